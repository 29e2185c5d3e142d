#include "modules/health/admission_queue.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr std::size_t kLargestQueue = 64;
/// Completions that the mean stay remembers.
constexpr double kRememberedCompletions = 50;
/// Capacity can grow while nothing leaves: a target returns to use.
constexpr duration kRecheck = std::chrono::milliseconds(20);

} // namespace

admission_queue::admission_queue(std::shared_ptr<scheduler> aScheduler,
                                 std::shared_ptr<snapshot_source> aSource,
                                 std::shared_ptr<target_selector> aSelector,
                                 std::shared_ptr<metrics> aMetrics)
  : mScheduler(std::move(aScheduler))
  , mSource(std::move(aSource))
  , mSelector(std::move(aSelector))
  , mMetrics(std::move(aMetrics))
{
}

admission_queue::lane&
admission_queue::LaneOf(service_index aService)
{
  const auto snapshot = mSource->Current();
  return aService < snapshot->mServices.size()
           ? mLanes[snapshot->mServices[aService].mName]
           : mLanes[std::string()];
}

void
admission_queue::Advance(lane& aLane)
{
  const auto now = mScheduler->Now();
  if (aLane.mActive > 0) {
    aLane.mActiveSeconds +=
      aLane.mActive *
      std::chrono::duration<double>(now - aLane.mUpdated).count();
  }
  aLane.mUpdated = now;
}

void
admission_queue::Admit(lane& aLane)
{
  Advance(aLane);
  ++aLane.mActive;
}

result<void>
admission_queue::Refuse()
{
  mMetrics->Counter("cowslipline_health_admission_refused_total").Add();
  return Fail(errc::Overloaded);
}

result<void>
admission_queue::Enter(service_index aService,
                       organisation_index aOrganisation,
                       steady_time aDeadline,
                       yield_context aYield)
{
  auto& lane = LaneOf(aService);
  const auto capacity = mSelector->CapacityOf(aService);
  // Without any target the selector gives the reason of the refusal.
  if (capacity == 0 || (lane.mWaiting == 0 && lane.mActive < capacity)) {
    Admit(lane);
    return {};
  }
  if (!CanStartInTime(aService, lane, aOrganisation, aDeadline) ||
      !MakeRoom(aOrganisation)) {
    return Refuse();
  }
  return Wait(aService, Queue(lane, aOrganisation), aDeadline, aYield);
}

result<void>
admission_queue::Wait(service_index aService,
                      const std::shared_ptr<waiter>& aWaiter,
                      steady_time aDeadline,
                      yield_context aYield)
{
  while (aWaiter->mState == waiter_state::Waiting) {
    const auto left = aDeadline - mScheduler->Now();
    if (left <= duration(0)) {
      Remove(LaneOf(aService), aWaiter);
      return Refuse();
    }
    aWaiter->mChanged.Wait(*mScheduler, std::min(left, kRecheck), aYield);
    if (aWaiter->mState == waiter_state::Waiting) {
      Dispatch(aService, LaneOf(aService));
    }
  }
  return aWaiter->mState == waiter_state::Admitted ? result<void>{} : Refuse();
}

void
admission_queue::Leave(service_index aService)
{
  auto& lane = LaneOf(aService);
  Advance(lane);
  if (lane.mActive > 0) {
    --lane.mActive;
  }
  lane.mCompleted += 1;
  if (lane.mCompleted > kRememberedCompletions) {
    lane.mCompleted /= 2;
    lane.mActiveSeconds /= 2;
  }
  Dispatch(aService, lane);
}

void
admission_queue::Dispatch(service_index aService, lane& aLane)
{
  const auto capacity = mSelector->CapacityOf(aService);
  while (aLane.mWaiting > 0 && aLane.mActive < capacity) {
    const auto next = PopNext(aLane);
    Admit(aLane);
    next->mState = waiter_state::Admitted;
    next->mChanged.Set();
  }
}

std::shared_ptr<admission_queue::waiter>
admission_queue::PopNext(lane& aLane)
{
  auto turn = std::move(aLane.mTurns.front());
  aLane.mTurns.pop_front();
  auto next = turn.mWaiters.front();
  turn.mWaiters.pop_front();
  if (!turn.mWaiters.empty()) {
    aLane.mTurns.push_back(std::move(turn));
  }
  --aLane.mWaiting;
  --mWaiting;
  return next;
}

std::shared_ptr<admission_queue::waiter>
admission_queue::Queue(lane& aLane, organisation_index aOrganisation)
{
  auto turn = std::find_if(
    aLane.mTurns.begin(), aLane.mTurns.end(), [&](const auto& aTurn) {
      return aTurn.mOrganisation == aOrganisation;
    });
  if (turn == aLane.mTurns.end()) {
    turn = aLane.mTurns.insert(turn, { aOrganisation, {} });
  }
  auto added = std::make_shared<waiter>();
  added->mOrganisation = aOrganisation;
  turn->mWaiters.push_back(added);
  ++aLane.mWaiting;
  ++mWaiting;
  return added;
}

void
admission_queue::Remove(lane& aLane, const std::shared_ptr<waiter>& aWaiter)
{
  for (auto turn = aLane.mTurns.begin(); turn != aLane.mTurns.end(); ++turn) {
    const auto found =
      std::find(turn->mWaiters.begin(), turn->mWaiters.end(), aWaiter);
    if (found == turn->mWaiters.end()) {
      continue;
    }
    turn->mWaiters.erase(found);
    if (turn->mWaiters.empty()) {
      aLane.mTurns.erase(turn);
    }
    --aLane.mWaiting;
    --mWaiting;
    return;
  }
}

bool
admission_queue::MakeRoom(organisation_index aOrganisation)
{
  if (mWaiting < kLargestQueue) {
    return true;
  }
  // A flood must not keep others out: the newest request of the organisation
  // with the longest queue makes room.
  lane* fullest = nullptr;
  organisation_queue* longest = nullptr;
  std::size_t own = 0;
  for (auto& [name, one] : mLanes) {
    for (auto& turn : one.mTurns) {
      own += turn.mOrganisation == aOrganisation ? turn.mWaiters.size() : 0;
      if (longest == nullptr ||
          turn.mWaiters.size() > longest->mWaiters.size()) {
        longest = &turn;
        fullest = &one;
      }
    }
  }
  if (longest == nullptr || longest->mWaiters.size() <= own + 1) {
    return false;
  }
  const auto refused = longest->mWaiters.back();
  Remove(*fullest, refused);
  refused->mState = waiter_state::Refused;
  refused->mChanged.Set();
  return true;
}

bool
admission_queue::CanStartInTime(service_index aService,
                                const lane& aLane,
                                organisation_index aOrganisation,
                                steady_time aDeadline) const
{
  const auto left =
    std::chrono::duration<double>(aDeadline - mScheduler->Now()).count();
  if (left <= 0) {
    return false;
  }
  const auto capacity = mSelector->CapacityOf(aService);
  if (capacity == 0 || aLane.mCompleted == 0) {
    return true;
  }
  // Turns before this request: its own organisation's waiting requests, and
  // as many of each other organisation.
  std::size_t own = 0;
  for (const auto& turn : aLane.mTurns) {
    own += turn.mOrganisation == aOrganisation ? turn.mWaiters.size() : 0;
  }
  std::size_t ahead = own;
  for (const auto& turn : aLane.mTurns) {
    ahead += turn.mOrganisation == aOrganisation
               ? 0
               : std::min(turn.mWaiters.size(), own + 1);
  }
  const double stay = aLane.mActiveSeconds / aLane.mCompleted;
  return static_cast<double>(ahead + 1) * stay / capacity <= left;
}

} // namespace cowslipline
