#include "modules/sync/platform_sync.h"

#include "core/log.h"

#include <algorithm>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// A watch waits this part of the revocation bound: an answer and the next one
// together have to arrive within the bound.
constexpr int kWatchPart = 3;

// Between two watches after changes. Changes come in series, and each answer
// is a call that is paid for.
constexpr duration kAfterChanges = 100ms;

// Between two tries while the store is away, drawn between half and all of it,
// so that the fleet does not come back in step.
constexpr duration kRetryWait = 500ms;

// Entries that lapsed during an outage are back within two seconds of its end.
constexpr duration kLapseGrace = 2s;

// An outage of this length may make entries lapse.
constexpr duration kOutage = 2500ms;

std::string
MillisecondsText(duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

} // namespace

platform_sync::platform_sync(scheduler& aScheduler,
                             platform_feed& aFeed,
                             platform_view& aView,
                             metrics& aMetrics,
                             duration aRevocationBound,
                             std::uint64_t aSeed)
  : mScheduler(aScheduler)
  , mFeed(aFeed)
  , mView(aView)
  , mMetrics(aMetrics)
  , mRandom(aSeed)
  , mWatchWait(aRevocationBound / kWatchPart)
{
}

void
platform_sync::Run(yield_context aYield)
{
  while (!mIsStopped) {
    const bool isDone = mIsHistoryKnown ? Watch(aYield) : ReadAll(aYield);
    DropLapsedTargets();
    if (!isDone && !mIsStopped) {
      const auto wait =
        kRetryWait / 2 + duration(static_cast<duration::rep>(
                           mRandom.Unit() * (kRetryWait / 2).count()));
      mScheduler.SleepFor(wait, aYield);
    }
  }
}

bool
platform_sync::ReadAll(yield_context aYield)
{
  const auto askedAt = mScheduler.Now();
  mMetrics.Counter("cowslipline_store_calls_total{call=\"read_all\"}").Add();
  const auto changes = mFeed.ReadAll(aYield);
  if (!changes) {
    OnFailure(changes.error(), "read_all");
    return false;
  }
  mIsHistoryKnown = true;
  OnAnswer(askedAt);
  Apply(*changes, true);
  mView.mIsComplete = true;
  return true;
}

bool
platform_sync::Watch(yield_context aYield)
{
  const auto askedAt = mScheduler.Now();
  // After an outage the first watch asks for what has changed and returns at
  // once: it proves that the configuration is current.
  const auto wait = mIsInContact ? mWatchWait : duration(1ms);
  mMetrics.Counter("cowslipline_store_calls_total{call=\"watch\"}").Add();
  const auto changes = mFeed.Watch(mRevision, wait, aYield);
  if (!changes && changes.error() == errc::HistoryLost) {
    Log(log_level::Info,
        "store_history_lost",
        { { "revision", std::to_string(mRevision) } });
    mIsHistoryKnown = false;
    return true;
  }
  if (!changes) {
    OnFailure(changes.error(), "watch");
    return false;
  }
  OnAnswer(askedAt);
  Apply(*changes, false);
  if (!changes->mEvents.empty()) {
    mScheduler.SleepFor(kAfterChanges, aYield);
  }
  return true;
}

void
platform_sync::OnAnswer(steady_time aAskedAt)
{
  const auto now = mScheduler.Now();
  if (!mIsInContact) {
    mIsInContact = true;
    const bool isFirst = mLastAnswer == steady_time();
    Log(log_level::Info,
        isFirst ? "store_reached" : "store_regained",
        { { "away_ms", isFirst ? "0" : MillisecondsText(now - mLastAnswer) } });
    if (!isFirst && now - mLastAnswer > kOutage) {
      mLapseGraceUntil = now + kLapseGrace;
    }
  }
  mLastAnswer = now;
  mView.mFreshness.Confirm(aAskedAt);
}

void
platform_sync::OnFailure(std::error_code aError, const char* aCall)
{
  mMetrics.Counter("cowslipline_store_failures_total").Add();
  if (!mIsInContact) {
    return;
  }
  mIsInContact = false;
  Log(log_level::Warn,
      "store_lost",
      { { "call", aCall },
        { "reason", aError.message() },
        { "configuration_age_ms",
          MillisecondsText(mView.mFreshness.Age(mScheduler.Now())) } });
}

void
platform_sync::Apply(const platform_changes& aChanges, bool aIsWhole)
{
  mRevision = std::max(mRevision, aChanges.mRevision);
  std::vector<std::string> targets;
  std::vector<std::string> members;
  struct visitor
  {
    platform_sync& mSync;
    std::vector<std::string>& mTargets;
    std::vector<std::string>& mMembers;

    void operator()(const configuration_changed& aChange) const
    {
      mSync.ApplyConfiguration(aChange);
    }
    void operator()(const target_changed& aChange) const
    {
      mSync.mLapsed.erase(aChange.mEntry.mId);
      mSync.mView.mTargets.Put(aChange.mEntry);
      mTargets.push_back(aChange.mEntry.mId);
      Log(log_level::Info,
          "target_changed",
          { { "target", aChange.mEntry.mId },
            { "service", aChange.mEntry.mService },
            { "phase",
              aChange.mEntry.mPhase == target_phase::Ready ? "ready"
                                                           : "draining" } });
    }
    void operator()(const target_removed& aChange) const
    {
      mSync.RemoveTarget(aChange.mId);
    }
    void operator()(const member_changed& aChange) const
    {
      mSync.mView.mMembers.Put(aChange.mMember);
      mMembers.push_back(aChange.mMember.mName);
    }
    void operator()(const member_removed& aChange) const
    {
      mSync.mView.mMembers.Remove(aChange.mName, mSync.mScheduler.Now());
    }
    void operator()(const entry_unreadable& aChange) const
    {
      Log(log_level::Warn,
          "entry_unreadable",
          { { "key", aChange.mKey }, { "reason", aChange.mReason } });
    }
  };
  for (const auto& event : aChanges.mEvents) {
    std::visit(visitor{ *this, targets, members }, event);
  }
  if (!aIsWhole) {
    return;
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : mView.mTargets.All()) {
    if (std::find(targets.begin(), targets.end(), id) == targets.end()) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    RemoveTarget(id);
  }
  mView.mMembers.Retain(members, mScheduler.Now());
}

void
platform_sync::ApplyConfiguration(const configuration_changed& aChange)
{
  const auto version = aChange.mIndex->Configuration().mVersion;
  const auto inForce =
    mView.mRoutes ? mView.mRoutes->Configuration().mVersion : 0;
  if (mView.mRoutes && version <= inForce) {
    return;
  }
  mView.mRoutes = aChange.mIndex;
  Log(log_level::Info,
      "configuration_in_force",
      { { "version", std::to_string(version) },
        { "previous", std::to_string(inForce) },
        { "routes",
          std::to_string(aChange.mIndex->Configuration().mRoutes.size()) } });
}

void
platform_sync::RemoveTarget(const std::string& aId)
{
  const auto now = mScheduler.Now();
  if (mView.mTargets.Find(aId) == nullptr) {
    return;
  }
  if (now < mLapseGraceUntil) {
    mLapsed.emplace(aId, mLapseGraceUntil);
    return;
  }
  mView.mTargets.Remove(aId);
  Log(log_level::Info, "target_removed", { { "target", aId } });
}

void
platform_sync::DropLapsedTargets()
{
  const auto now = mScheduler.Now();
  for (auto lapsed = mLapsed.begin(); lapsed != mLapsed.end();) {
    if (now < lapsed->second) {
      ++lapsed;
      continue;
    }
    mView.mTargets.Remove(lapsed->first);
    Log(log_level::Info,
        "target_removed",
        { { "target", lapsed->first }, { "cause", "lapsed" } });
    lapsed = mLapsed.erase(lapsed);
  }
}

} // namespace cowslipline
