#include "modules/sync/platform_sync.h"

#include "core/log.h"

#include <algorithm>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Parts of the time within which a change must be in force. A reader that has
// lost the store is noticed by its age: the oldest proof that is believed, a
// follower's interval and one call to the store have to fit into that time. A
// proof counts from its question and lasts until the next answer, so a sound
// reader's is up to two waits old.
constexpr double kWatchPart = 0.25;
constexpr double kBelievedPart = 0.55;
constexpr double kFollowPart = 0.3;

// Between two watches after changes. Changes come in series, and each answer
// is a call that is paid for.
constexpr duration kAfterChanges = 100ms;

// Between two tries while the store is away, drawn between half and all of it,
// so that the fleet does not come back in step.
constexpr duration kRetryWait = 300ms;

// Entries that lapsed during an outage are back within two seconds of its end,
// as the operators of the platform state.
constexpr duration kLapseGrace = 2s;

// An outage of this length may make entries lapse.
constexpr duration kOutage = 2500ms;

// Changes that a reader keeps for followers that missed a datagram.
constexpr std::size_t kRecentChanges = 64;

// Longer texts are not passed on: they would not arrive in one datagram.
constexpr std::size_t kPassedOnBytes = 4096;

duration
PartOf(duration aDuration, double aPart)
{
  return std::chrono::duration_cast<duration>(aDuration * aPart);
}

std::string
MillisecondsText(duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

/// What a series of changes leaves out or takes away.
struct entry_changes
{
  std::set<std::string> mMissingTargets;
  std::set<std::string> mMissingMembers;
};

} // namespace

platform_sync::platform_sync(scheduler& aScheduler,
                             platform_feed& aFeed,
                             platform_view& aView,
                             metrics& aMetrics,
                             sync_peers& aPeers,
                             duration aConfigurationBound,
                             std::uint64_t aSeed)
  : mScheduler(aScheduler)
  , mFeed(aFeed)
  , mView(aView)
  , mMetrics(aMetrics)
  , mPeers(aPeers)
  , mRandom(aSeed)
{
  SetConfigurationBound(aConfigurationBound);
}

void
platform_sync::SetConfigurationBound(duration aBound)
{
  mWatchWait = PartOf(aBound, kWatchPart);
  mFollowInterval = PartOf(aBound, kFollowPart);
  mBelievedAge = PartOf(aBound, kBelievedPart);
}

void
platform_sync::Run(yield_context aYield)
{
  while (!mIsStopped) {
    const bool isDone = Step(aYield);
    RemoveOverdue();
    if (!isDone && !mIsStopped) {
      const auto wait =
        kRetryWait / 2 + duration(static_cast<duration::rep>(
                           mRandom.Unit() * (kRetryWait / 2).count()));
      mScheduler.SleepFor(wait, aYield);
    }
  }
}

bool
platform_sync::Step(yield_context aYield)
{
  if (!mIsHistoryKnown) {
    return ReadAll(aYield);
  }
  if (!mIsInContact) {
    // A watch that does not wait proves at once that the configuration is
    // current. The store goes first: an instance that was cut off alone is
    // back soonest that way.
    return Watch(1ms, aYield) || Follow(aYield);
  }
  const auto now = mScheduler.Now();
  const auto untilOverdue = std::min(mLapsedTargets.TimeToOverdue(now),
                                     mLapsedMembers.TimeToOverdue(now));
  if (mPeers.IsReader()) {
    return Watch(std::min(mWatchWait, untilOverdue), aYield);
  }
  if (!Follow(aYield) && !Watch(1ms, aYield)) {
    return false;
  }
  if (mIsHistoryKnown) {
    mWoken.Wait(mScheduler, std::min(mFollowInterval, untilOverdue), aYield);
  }
  return true;
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
  mIsToldPartially = false;
  mRecent.clear();
  Apply(*changes, true);
  mView.mIsComplete = true;
  return true;
}

bool
platform_sync::Watch(duration aWait, yield_context aYield)
{
  const auto askedAt = mScheduler.Now();
  const auto from = mRevision;
  mMetrics.Counter("cowslipline_store_calls_total{call=\"watch\"}").Add();
  const auto changes = mFeed.Watch(mRevision, aWait, aYield);
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
  mIsToldPartially = false;
  Apply(*changes, false);
  Remember(from, *changes);
  if (!changes->mEvents.empty()) {
    mScheduler.SleepFor(kAfterChanges, aYield);
  }
  return true;
}

void
platform_sync::Remember(std::uint64_t aFrom, const platform_changes& aChanges)
{
  if (aChanges.mEvents.empty()) {
    return;
  }
  changes_reply told;
  told.mFromRevision = aFrom;
  told.mToRevision = aChanges.mRevision;
  told.mIsPartial =
    aChanges.mHasConfiguration || aChanges.mText.size() > kPassedOnBytes;
  if (!told.mIsPartial) {
    told.mText = aChanges.mText;
  }
  if (mPeers.IsReader()) {
    mPeers.Tell(told);
  }
  mRecent.push_back(std::move(told));
  if (mRecent.size() > kRecentChanges) {
    mRecent.pop_front();
  }
}

changes_reply
platform_sync::Answer(const changes_request& aQuestion) const
{
  changes_reply answer;
  answer.mId = aQuestion.mId;
  answer.mFromRevision = aQuestion.mKnownRevision;
  answer.mToRevision = aQuestion.mKnownRevision;
  const auto age = std::min<duration>(mView.mFreshness.Age(mScheduler.Now()),
                                      std::chrono::hours(1));
  answer.mAgeMs = static_cast<std::uint32_t>(age / 1ms) + 1;
  if (mRevision == aQuestion.mKnownRevision) {
    return answer;
  }
  // One step at a time: the next question gets the next one.
  const auto next = std::find_if(
    mRecent.begin(), mRecent.end(), [&](const changes_reply& aChanges) {
      return aChanges.mFromRevision == aQuestion.mKnownRevision;
    });
  if (next != mRecent.end()) {
    answer.mToRevision = next->mToRevision;
    answer.mIsPartial = next->mIsPartial;
    answer.mText = next->mText;
  } else {
    answer.mIsPartial = true;
  }
  return answer;
}

bool
platform_sync::Follow(yield_context aYield)
{
  if (mIsToldPartially) {
    return false;
  }
  // Changes of one second come in a few steps; more are read from the store.
  constexpr int kMostSteps = 4;
  for (int step = 0; step < kMostSteps; ++step) {
    const auto askedAt = mScheduler.Now();
    const auto revision = mRevision;
    const auto answer = mPeers.Ask(revision, aYield);
    if (!answer || answer->mIsPartial) {
      return false;
    }
    if (answer->mToRevision > answer->mFromRevision) {
      if (!ApplyPassedOn(*answer)) {
        return false;
      }
      continue;
    }
    if (answer->mFromRevision != mRevision) {
      // Told of changes while the answer was on its way: ask again.
      continue;
    }
    const duration age = std::chrono::milliseconds(answer->mAgeMs);
    if (age > mBelievedAge) {
      return false;
    }
    OnAnswer(askedAt - age);
    return true;
  }
  return false;
}

bool
platform_sync::ApplyPassedOn(const changes_reply& aChanges)
{
  if (aChanges.mFromRevision != mRevision) {
    return aChanges.mToRevision <= mRevision;
  }
  auto events = mFeed.Decode(aChanges.mText);
  if (!events) {
    Log(log_level::Warn,
        "passed_on_changes_unreadable",
        { { "reason", events.error().message() } });
    return false;
  }
  GrantLapseGrace();
  platform_changes changes;
  changes.mEvents = std::move(*events);
  changes.mRevision = aChanges.mToRevision;
  changes.mText = aChanges.mText;
  const auto from = mRevision;
  Apply(changes, false);
  Remember(from, changes);
  return true;
}

void
platform_sync::OnTold(const changes_reply& aChanges)
{
  if (!mIsHistoryKnown || aChanges.mToRevision <= mRevision) {
    return;
  }
  const bool isApplied = !aChanges.mIsPartial && ApplyPassedOn(aChanges);
  mIsToldPartially = mIsToldPartially || aChanges.mIsPartial;
  if (!isApplied) {
    mWoken.Set();
  }
}

void
platform_sync::GrantLapseGrace()
{
  const auto now = mScheduler.Now();
  const bool wasAway =
    mLastAnswer != steady_time() && mView.mFreshness.Age(now) > kOutage;
  if (wasAway) {
    mLapsedTargets.BeginGrace(now + kLapseGrace);
    mLapsedMembers.BeginGrace(now + kLapseGrace);
  }
}

void
platform_sync::OnAnswer(steady_time aAskedAt)
{
  const auto now = mScheduler.Now();
  GrantLapseGrace();
  if (!mIsInContact) {
    mIsInContact = true;
    const bool isFirst = mLastAnswer == steady_time();
    Log(log_level::Info,
        isFirst ? "store_reached" : "store_regained",
        { { "away_ms", isFirst ? "0" : MillisecondsText(now - mLastAnswer) } });
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
  entry_changes seen;
  if (aIsWhole) {
    // What a whole read does not name is missing.
    for (const auto& [id, entry] : mView.mTargets.All()) {
      seen.mMissingTargets.insert(id);
    }
    const auto members = mView.mMembers.RegisteredNames();
    seen.mMissingMembers.insert(members.begin(), members.end());
  }
  struct visitor
  {
    platform_sync& mSync;
    entry_changes& mSeen;
    bool mIsWhole;

    void operator()(const configuration_changed& aChange) const
    {
      mSync.ApplyConfiguration(aChange);
    }
    void operator()(const target_changed& aChange) const
    {
      mSeen.mMissingTargets.erase(aChange.mEntry.mId);
      mSync.mLapsedTargets.OnReturned(aChange.mEntry.mId);
      mSync.mView.mTargets.Put(aChange.mEntry);
      // One line for each of thousands of targets would displace all others.
      if (mIsWhole) {
        return;
      }
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
      if (mSync.mView.mTargets.Find(aChange.mId) != nullptr) {
        mSeen.mMissingTargets.insert(aChange.mId);
      }
    }
    void operator()(const member_changed& aChange) const
    {
      mSeen.mMissingMembers.erase(aChange.mMember.mName);
      mSync.mLapsedMembers.OnReturned(aChange.mMember.mName);
      mSync.mView.mMembers.Put(aChange.mMember);
      if (mIsWhole) {
        return;
      }
      Log(log_level::Info,
          "member_joined",
          { { "peer", aChange.mMember.mName },
            { "zone", aChange.mMember.mAvailabilityZone } });
    }
    void operator()(const member_removed& aChange) const
    {
      mSeen.mMissingMembers.insert(aChange.mName);
    }
    void operator()(const entry_unreadable& aChange) const
    {
      Log(log_level::Warn,
          "entry_unreadable",
          { { "key", aChange.mKey }, { "reason", aChange.mReason } });
    }
  };
  for (const auto& event : aChanges.mEvents) {
    std::visit(visitor{ *this, seen, aIsWhole }, event);
  }
  RemoveMissing(seen.mMissingTargets, seen.mMissingMembers);
  if (aIsWhole) {
    Log(log_level::Info,
        "store_read",
        { { "revision", std::to_string(mRevision) },
          { "targets", std::to_string(mView.mTargets.All().size()) },
          { "members",
            std::to_string(mView.mMembers.RegisteredNames().size()) } });
  }
}

void
platform_sync::RemoveMissing(const std::set<std::string>& aTargets,
                             const std::set<std::string>& aMembers)
{
  const auto now = mScheduler.Now();
  const std::vector<std::string> targets(aTargets.begin(), aTargets.end());
  const auto knownTargets = mView.mTargets.All().size();
  for (const auto& id : mLapsedTargets.Decide(targets, knownTargets, now)) {
    RemoveTarget(id, "removed");
  }
  const std::vector<std::string> members(aMembers.begin(), aMembers.end());
  const auto knownMembers = mView.mMembers.RegisteredNames().size();
  for (const auto& name : mLapsedMembers.Decide(members, knownMembers, now)) {
    RemoveMember(name, "removed");
  }
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
platform_sync::RemoveTarget(const std::string& aId, const char* aCause)
{
  mView.mTargets.Remove(aId);
  Log(log_level::Info,
      "target_removed",
      { { "target", aId }, { "cause", aCause } });
}

void
platform_sync::RemoveMember(const std::string& aName, const char* aCause)
{
  mView.mMembers.Remove(aName);
  Log(
    log_level::Info, "member_left", { { "peer", aName }, { "cause", aCause } });
}

void
platform_sync::RemoveOverdue()
{
  const auto now = mScheduler.Now();
  for (const auto& id : mLapsedTargets.TakeOverdue(now)) {
    RemoveTarget(id, "lapsed");
  }
  for (const auto& name : mLapsedMembers.TakeOverdue(now)) {
    RemoveMember(name, "lapsed");
  }
}

} // namespace cowslipline
