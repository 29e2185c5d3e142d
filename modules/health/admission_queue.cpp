#include "modules/health/admission_queue.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr std::size_t kMaxWaiting = 64;
/// Completed requests above which the mean duration halves its history.
constexpr double kMaxCompletions = 50;
/// Waiting requests check the capacity this often: it also grows without a
/// completed request, when a target returns to use.
constexpr duration kCapacityCheckInterval = std::chrono::milliseconds(20);

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

admission_queue::service_queue&
admission_queue::QueueOf(service_index aService)
{
  const auto snapshot = mSource->Current();
  return aService < snapshot->mServices.size()
           ? mQueues[snapshot->mServices[aService].mName]
           : mQueues[std::string()];
}

void
admission_queue::UpdateActiveTime(service_queue& aQueue)
{
  const auto now = mScheduler->Now();
  if (aQueue.mActive > 0) {
    aQueue.mActiveSeconds +=
      aQueue.mActive *
      std::chrono::duration<double>(now - aQueue.mUpdated).count();
  }
  aQueue.mUpdated = now;
}

void
admission_queue::Admit(service_queue& aQueue)
{
  UpdateActiveTime(aQueue);
  ++aQueue.mActive;
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
  auto& queue = QueueOf(aService);
  const auto capacity = mSelector->CapacityOf(aService);
  // A service without targets is admitted, so that target_selector::Choose()
  // returns the specific error.
  if (capacity == 0 || (queue.mWaiting == 0 && queue.mActive < capacity)) {
    Admit(queue);
    return {};
  }
  if (!CanStartInTime(aService, queue, aOrganisation, aDeadline) ||
      !MakeRoom(aOrganisation)) {
    return Refuse();
  }
  return Wait(aService, Enqueue(queue, aOrganisation), aDeadline, aYield);
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
      Remove(QueueOf(aService), aWaiter);
      return Refuse();
    }
    aWaiter->mChanged.Wait(
      *mScheduler, std::min(left, kCapacityCheckInterval), aYield);
    if (aWaiter->mState == waiter_state::Waiting) {
      Dispatch(aService, QueueOf(aService));
    }
  }
  return aWaiter->mState == waiter_state::Admitted ? result<void>{} : Refuse();
}

void
admission_queue::Leave(service_index aService)
{
  auto& queue = QueueOf(aService);
  UpdateActiveTime(queue);
  if (queue.mActive > 0) {
    --queue.mActive;
  }
  queue.mCompleted += 1;
  if (queue.mCompleted > kMaxCompletions) {
    queue.mCompleted /= 2;
    queue.mActiveSeconds /= 2;
  }
  Dispatch(aService, queue);
}

void
admission_queue::Dispatch(service_index aService, service_queue& aQueue)
{
  const auto capacity = mSelector->CapacityOf(aService);
  while (aQueue.mWaiting > 0 && aQueue.mActive < capacity) {
    const auto next = PopNext(aQueue);
    Admit(aQueue);
    next->mState = waiter_state::Admitted;
    next->mChanged.Set();
  }
}

std::shared_ptr<admission_queue::waiter>
admission_queue::PopNext(service_queue& aQueue)
{
  auto organisation = std::move(aQueue.mOrganisations.front());
  aQueue.mOrganisations.pop_front();
  auto next = organisation.mWaiters.front();
  organisation.mWaiters.pop_front();
  if (!organisation.mWaiters.empty()) {
    aQueue.mOrganisations.push_back(std::move(organisation));
  }
  --aQueue.mWaiting;
  --mWaiting;
  return next;
}

std::shared_ptr<admission_queue::waiter>
admission_queue::Enqueue(service_queue& aQueue,
                         organisation_index aOrganisation)
{
  auto organisation =
    std::find_if(aQueue.mOrganisations.begin(),
                 aQueue.mOrganisations.end(),
                 [&](const auto& aOrganisationQueue) {
                   return aOrganisationQueue.mOrganisation == aOrganisation;
                 });
  if (organisation == aQueue.mOrganisations.end()) {
    organisation =
      aQueue.mOrganisations.insert(organisation, { aOrganisation, {} });
  }
  auto added = std::make_shared<waiter>();
  added->mOrganisation = aOrganisation;
  organisation->mWaiters.push_back(added);
  ++aQueue.mWaiting;
  ++mWaiting;
  return added;
}

void
admission_queue::Remove(service_queue& aQueue,
                        const std::shared_ptr<waiter>& aWaiter)
{
  for (auto organisation = aQueue.mOrganisations.begin();
       organisation != aQueue.mOrganisations.end();
       ++organisation) {
    const auto found = std::find(
      organisation->mWaiters.begin(), organisation->mWaiters.end(), aWaiter);
    if (found == organisation->mWaiters.end()) {
      continue;
    }
    organisation->mWaiters.erase(found);
    if (organisation->mWaiters.empty()) {
      aQueue.mOrganisations.erase(organisation);
    }
    --aQueue.mWaiting;
    --mWaiting;
    return;
  }
}

bool
admission_queue::MakeRoom(organisation_index aOrganisation)
{
  if (mWaiting < kMaxWaiting) {
    return true;
  }
  // One organisation must not fill the queue for all: drop the newest request
  // of the organisation with the longest queue.
  service_queue* longestService = nullptr;
  organisation_queue* longest = nullptr;
  std::size_t own = 0;
  for (auto& [name, queue] : mQueues) {
    for (auto& organisation : queue.mOrganisations) {
      own += organisation.mOrganisation == aOrganisation
               ? organisation.mWaiters.size()
               : 0;
      if (longest == nullptr ||
          organisation.mWaiters.size() > longest->mWaiters.size()) {
        longest = &organisation;
        longestService = &queue;
      }
    }
  }
  if (longest == nullptr || longest->mWaiters.size() <= own + 1) {
    return false;
  }
  const auto refused = longest->mWaiters.back();
  Remove(*longestService, refused);
  refused->mState = waiter_state::Refused;
  refused->mChanged.Set();
  return true;
}

bool
admission_queue::CanStartInTime(service_index aService,
                                const service_queue& aQueue,
                                organisation_index aOrganisation,
                                steady_time aDeadline) const
{
  const auto left =
    std::chrono::duration<double>(aDeadline - mScheduler->Now()).count();
  if (left <= 0) {
    return false;
  }
  const auto capacity = mSelector->CapacityOf(aService);
  if (capacity == 0 || aQueue.mCompleted == 0) {
    return true;
  }
  // In round-robin order, all waiting requests of the same organisation start
  // first, and up to one more than that of each other organisation.
  std::size_t own = 0;
  for (const auto& organisation : aQueue.mOrganisations) {
    own += organisation.mOrganisation == aOrganisation
             ? organisation.mWaiters.size()
             : 0;
  }
  std::size_t ahead = own;
  for (const auto& organisation : aQueue.mOrganisations) {
    ahead += organisation.mOrganisation == aOrganisation
               ? 0
               : std::min(organisation.mWaiters.size(), own + 1);
  }
  const double meanSeconds = aQueue.mActiveSeconds / aQueue.mCompleted;
  return static_cast<double>(ahead + 1) * meanSeconds / capacity <= left;
}

} // namespace cowslipline
