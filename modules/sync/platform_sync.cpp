#include "modules/sync/platform_sync.h"

#include "core/log.h"

#include <algorithm>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Fractions of the configuration bound, the time within which a change must be
// in force. A follower notices that its reader has lost the store by the age of
// the reader's state. The greatest accepted age, one follow interval and one
// call to the store must therefore fit into the bound. The reader's age counts
// from the start of its last answered watch, so it reaches two watch waits even
// while the reader is connected.
constexpr double kWatchFraction = 0.25;
constexpr double kMaxReaderAgeFraction = 0.55;
constexpr double kFollowFraction = 0.2;

// Until its state has this age a follower asks other instances of its zone
// first. The last tenth of the bound is for the call to the store.
constexpr double kMaxAgeBeforeCallFraction = 0.9;

// A follower whose reader has too old a state asks again after this time: an
// instance that takes over as the reader needs it to look at the store.
constexpr duration kTakeOverWait = 100ms;
// Answers with too old a state until another instance is asked. The one that
// takes over waits for 240 ms until it knows that its reader is silent.
constexpr int kMaxOldAnswers = 3;

// Pause between two watches after changes, as a fraction of the configuration
// bound. Changes come in series, and each call to the store is charged for; the
// pause collects them into one answer.
constexpr double kPauseFraction = 0.04;

// Longest pause between two attempts while the store is unavailable. The pause
// is drawn at random between half and all of it, so that the instances do not
// all reconnect at the same time.
constexpr duration kRetryWait = 300ms;

// Longest wait between two failed calls of an instance that is not a reader, as
// a fraction of the configuration bound: while the store turns it away it
// follows its zone. One that has nothing to serve from yet tries more often.
constexpr double kBackoffFraction = 1.2;
constexpr double kReadBackoffFraction = 0.4;

// Full reads that a peer has caused in many instances are spread over this
// time.
constexpr duration kReadSpread = 300ms;

// A store that has no history at all is not read more often than this.
constexpr duration kMinReadInterval = 300ms;

// Entries may expire during an outage that lasts longer than this.
constexpr duration kMinOutage = 2500ms;

// Number of changes kept for followers that missed a datagram.
constexpr std::size_t kMaxRecentChanges = 64;

// Text of the changes that are kept, in bytes: some configurations.
constexpr std::size_t kMaxRecentBytes = 4UL * 1024 * 1024;

duration
FractionOf(duration aDuration, double aFraction)
{
  return std::chrono::duration_cast<duration>(aDuration * aFraction);
}

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
                             sync_peers& aPeers,
                             duration aConfigurationBound,
                             std::uint64_t aSeed)
  : mScheduler(aScheduler)
  , mFeed(aFeed)
  , mView(aView)
  , mMetrics(aMetrics)
  , mPeers(aPeers)
  , mRandom(aSeed)
  , mUpdater(aScheduler, aView)
{
  SetConfigurationBound(aConfigurationBound);
}

void
platform_sync::SetConfigurationBound(duration aBound)
{
  mWatchWait = FractionOf(aBound, kWatchFraction);
  mFollowInterval = FractionOf(aBound, kFollowFraction);
  mMaxReaderAge = FractionOf(aBound, kMaxReaderAgeFraction);
  mMaxAgeBeforeCall = FractionOf(aBound, kMaxAgeBeforeCallFraction);
  mPauseAfterChanges = FractionOf(aBound, kPauseFraction);
  mLongestBackoff = FractionOf(aBound, kBackoffFraction);
  mLongestReadBackoff = FractionOf(aBound, kReadBackoffFraction);
}

void
platform_sync::Run(yield_context aYield)
{
  while (!mIsStopped) {
    const bool isDone = SyncOnce(aYield);
    mUpdater.RemoveLapsedEntries();
    if (!isDone && !mIsStopped) {
      mScheduler.SleepFor(kRetryWait / 2 + RandomPart(kRetryWait / 2), aYield);
    }
  }
}

duration
platform_sync::RandomPart(duration aWhole)
{
  return duration(static_cast<duration::rep>(
    mRandom.Unit() * static_cast<double>(aWhole.count())));
}

bool
platform_sync::SyncOnce(yield_context aYield)
{
  if (mUpdater.IsFullReadDue()) {
    mIsPositionValid = false;
    mIsReadSpread = true;
  }
  if (!mIsPositionValid) {
    if (!MayCallStore(mScheduler.Now())) {
      return false;
    }
    if (mIsReadSpread) {
      mIsReadSpread = false;
      mScheduler.SleepFor(RandomPart(kReadSpread), aYield);
    }
    return mView.mIsComplete || mHasReadOldState ? ReadAll(aYield)
                                                 : ReadOldState(aYield);
  }
  const auto now = mScheduler.Now();
  auto untilExpiry = mUpdater.TimeToExpiry();
  if (mPeers.IsReader()) {
    if (!IsRecovered()) {
      RecordRecovery(now, aYield);
      untilExpiry = std::min(untilExpiry, TimeToRecovery(now));
    }
    // After a failure a watch without waiting confirms at once that the
    // configuration is current.
    const duration wait = mIsConnected ? mWatchWait : duration(1ms);
    const bool wasComplete = mView.mIsComplete;
    const bool isDone = Watch(std::min(wait, untilExpiry), aYield);
    if (isDone && !wasComplete) {
      // Instances that start together register one after the other.
      mScheduler.SleepFor(mPauseAfterChanges, aYield);
    }
    return isDone;
  }
  if (!FollowReader(aYield)) {
    if (!MayCallStore(mScheduler.Now()) || !Watch(1ms, aYield)) {
      return false;
    }
    mMetrics.Counter("cowslipline_store_follower_calls_total").Add();
  }
  if (mIsPositionValid) {
    mWakeUp.Wait(mScheduler, std::min(mFollowInterval, untilExpiry), aYield);
  }
  return true;
}

bool
platform_sync::ReadOldState(yield_context aYield)
{
  mHasReadOldState = true;
  mMetrics.Counter("cowslipline_store_calls_total{call=\"read_old_state\"}")
    .Add();
  const auto changes = mFeed.ReadAll(read_state::MayBeOld, aYield);
  if (!changes) {
    OnStoreFailure(changes.error(), "read_old_state");
    return false;
  }
  OnStoreAnswered();
  mPosition = changes->mPosition;
  mIsPositionValid = true;
  mLastReadAt = mScheduler.Now();
  // The store may have come back from a copy right before this instance
  // started.
  mRewriteEnd = mLastReadAt + kRewriteTime;
  Apply(*changes, true);
  return true;
}

bool
platform_sync::ReadAll(yield_context aYield)
{
  const auto requestedAt = mScheduler.Now();
  mMetrics.Counter("cowslipline_store_calls_total{call=\"read_all\"}").Add();
  const auto changes = mFeed.ReadAll(read_state::Latest, aYield);
  if (!changes) {
    OnStoreFailure(changes.error(), "read_all");
    return false;
  }
  const auto generation = changes->mPosition.mGeneration;
  if (generation < mPosition.mGeneration) {
    // An answer that was under way while the store came back.
    OnStoreFailure(errc::StoreUnavailable, "read_all");
    return false;
  }
  OnStoreAnswered();
  // That of a return replaces it.
  BeginGraceAfterOutage();
  const bool isRestored =
    mView.mIsComplete && generation > mPosition.mGeneration;
  if (!mView.mIsComplete) {
    // It may have come back right before this instance started.
    mRewriteEnd = mScheduler.Now() + kRewriteTime;
  } else if (isRestored) {
    OnStoreRestored(changes->mPosition);
  }
  mPosition = changes->mPosition;
  mIsPositionValid = true;
  mLastReadAt = requestedAt;
  mMustAskStore = false;
  mRecentChanges.clear();
  mRecentBytes = 0;
  Apply(*changes, true);
  if (isRestored) {
    mRestoredHandler({ mUpdater.ListedLease(), generation });
  }
  ConfirmFreshness(requestedAt);
  return true;
}

bool
platform_sync::Watch(duration aWait, yield_context aYield)
{
  const auto requestedAt = mScheduler.Now();
  const auto from = mPosition;
  mMetrics.Counter("cowslipline_store_calls_total{call=\"watch\"}").Add();
  const auto changes = mFeed.Watch(from, aWait, aYield);
  if (!changes && changes.error() == errc::HistoryLost) {
    OnStoreAnswered();
    Log(log_level::Info,
        "store_history_lost",
        { { "revision", std::to_string(from.mRevision) },
          { "generation", std::to_string(from.mGeneration) } });
    mIsPositionValid = false;
    if (mScheduler.Now() - mLastReadAt < kMinReadInterval) {
      mScheduler.SleepFor(kMinReadInterval, aYield);
    }
    return true;
  }
  if (!changes) {
    OnStoreFailure(changes.error(), "watch");
    return false;
  }
  OnStoreAnswered();
  if (mPosition != from || !mIsPositionValid) {
    // A peer was faster: what it sent must not be replaced by older events.
    return true;
  }
  BeginGraceAfterOutage();
  mMustAskStore = false;
  Apply(*changes, false);
  ConfirmFreshness(requestedAt);
  RecordChanges(from.mRevision, *changes);
  if (!changes->mEvents.empty()) {
    mScheduler.SleepFor(mPauseAfterChanges, aYield);
  }
  return true;
}

void
platform_sync::RecordChanges(std::uint64_t aFrom,
                             const platform_changes& aChanges)
{
  if (aChanges.mPosition.mRevision == aFrom) {
    return;
  }
  changes_reply recorded;
  recorded.mFromRevision = aFrom;
  recorded.mToRevision = aChanges.mPosition.mRevision;
  recorded.mGeneration = aChanges.mPosition.mGeneration;
  recorded.mText = aChanges.mText;
  if (mPeers.IsReader()) {
    mPeers.Broadcast(recorded);
  }
  mRecentBytes += recorded.mText.size();
  mRecentChanges.push_back(std::move(recorded));
  while (mRecentChanges.size() > kMaxRecentChanges ||
         (mRecentBytes > kMaxRecentBytes && mRecentChanges.size() > 1)) {
    mRecentBytes -= mRecentChanges.front().mText.size();
    mRecentChanges.pop_front();
  }
}

changes_reply
platform_sync::Answer(const changes_request& aQuestion)
{
  const auto asked = mScheduler.Now();
  if (!mPeers.IsReader() && AgeOfState(asked) > mFollowInterval) {
    // The reader may be silent; then this instance may have to take over.
    mWakeUp.Set();
  }
  changes_reply answer;
  answer.mId = aQuestion.mId;
  answer.mFromRevision = aQuestion.mKnownRevision;
  answer.mToRevision = aQuestion.mKnownRevision;
  answer.mGeneration = mPosition.mGeneration;
  const auto age = std::min<duration>(AgeOfState(asked), std::chrono::hours(1));
  answer.mAgeMs = static_cast<std::uint32_t>(age / 1ms) + 1;
  if (aQuestion.mGeneration != mPosition.mGeneration) {
    answer.mIsPartial = true;
    return answer;
  }
  // A follower that knows later changes, from the reader before this one, has
  // all that this instance knows; its state is at least as recent.
  if (aQuestion.mKnownRevision >= mPosition.mRevision) {
    return answer;
  }
  // One recorded change per answer; the follower asks again for the next one.
  const auto next =
    std::find_if(mRecentChanges.begin(),
                 mRecentChanges.end(),
                 [&](const changes_reply& aChanges) {
                   return aChanges.mFromRevision <= aQuestion.mKnownRevision &&
                          aQuestion.mKnownRevision < aChanges.mToRevision;
                 });
  if (next != mRecentChanges.end()) {
    answer.mFromRevision = next->mFromRevision;
    answer.mToRevision = next->mToRevision;
    answer.mText = next->mText;
  } else {
    answer.mIsPartial = true;
  }
  return answer;
}

bool
platform_sync::FollowReader(yield_context aYield)
{
  if (mMustAskStore) {
    return MustCallStore("incomplete_broadcast");
  }
  // The changes of one second are a few records. A follower that is further
  // behind reads them from the store.
  constexpr int kMaxSteps = 16;
  int oldAnswers = 0;
  for (int step = 0; step < kMaxSteps && !mPeers.IsReader(); ++step) {
    const auto requestedAt = mScheduler.Now();
    const auto answer = mPeers.AskReader(mPosition, aYield);
    if (answer && answer->mGeneration > mPosition.mGeneration) {
      OnLaterGeneration(answer->mGeneration);
      return true;
    }
    if (!answer && !IsStoreDue(mScheduler.Now())) {
      continue;
    }
    if (!answer) {
      return MustCallStore("no_answer");
    }
    if (answer->mIsPartial || answer->mGeneration != mPosition.mGeneration) {
      return MustCallStore("changes_unknown_to_reader");
    }
    if (answer->mToRevision > answer->mFromRevision) {
      if (!ApplyForwarded(*answer)) {
        return MustCallStore("changes_unreadable");
      }
      continue;
    }
    if (answer->mFromRevision != mPosition.mRevision) {
      // A broadcast was applied while the answer was in transit: ask again.
      continue;
    }
    const duration age = std::chrono::milliseconds(answer->mAgeMs);
    if (age > mMaxReaderAge) {
      if (IsStoreDue(mScheduler.Now())) {
        return MustCallStore("state_old");
      }
      if (++oldAnswers % kMaxOldAnswers == 0) {
        mPeers.PassOverReader();
      }
      mScheduler.SleepFor(kTakeOverWait, aYield);
      continue;
    }
    BeginGraceAfterOutage();
    ConfirmFreshness(requestedAt - age);
    return true;
  }
  return !mPeers.IsReader() && MustCallStore("far_behind");
}

bool
platform_sync::MustCallStore(const char* aReason)
{
  // No line for each attempt while the store is away.
  if (MayCallStore(mScheduler.Now())) {
    Log(log_level::Info, "follower_calls_store", { { "reason", aReason } });
  }
  return false;
}

bool
platform_sync::ApplyForwarded(const changes_reply& aChanges)
{
  // Changes that are known already may come again, before new ones.
  if (aChanges.mFromRevision > mPosition.mRevision ||
      aChanges.mToRevision <= mPosition.mRevision) {
    return aChanges.mToRevision <= mPosition.mRevision;
  }
  auto events = mFeed.Decode(aChanges.mText);
  if (!events) {
    Log(log_level::Warn,
        "passed_on_changes_unreadable",
        { { "reason", events.error().message() } });
    return false;
  }
  BeginGraceAfterOutage();
  platform_changes changes;
  changes.mEvents = std::move(*events);
  changes.mPosition = { aChanges.mGeneration, aChanges.mToRevision };
  changes.mText = aChanges.mText;
  Apply(changes, false);
  RecordChanges(aChanges.mFromRevision, changes);
  return true;
}

void
platform_sync::OnChangesReceived(const changes_reply& aChanges)
{
  if (!mIsPositionValid) {
    return;
  }
  if (aChanges.mGeneration > mPosition.mGeneration) {
    OnLaterGeneration(aChanges.mGeneration);
    mWakeUp.Set();
    return;
  }
  if (aChanges.mGeneration < mPosition.mGeneration ||
      aChanges.mToRevision <= mPosition.mRevision) {
    return;
  }
  const bool isApplied = !aChanges.mIsPartial && ApplyForwarded(aChanges);
  mMustAskStore = mMustAskStore || aChanges.mIsPartial;
  if (!isApplied) {
    mWakeUp.Set();
  }
}

void
platform_sync::OnLaterGeneration(std::uint64_t aGeneration)
{
  Log(log_level::Info,
      "store_generation_heard",
      { { "generation", std::to_string(aGeneration) },
        { "own", std::to_string(mPosition.mGeneration) } });
  mIsPositionValid = false;
  mIsReadSpread = true;
}

void
platform_sync::OnStoreRestored(const store_position& aPosition)
{
  Log(log_level::Warn,
      "store_restored",
      { { "generation", std::to_string(aPosition.mGeneration) },
        { "revision", std::to_string(aPosition.mRevision) },
        { "previous_generation", std::to_string(mPosition.mGeneration) },
        { "previous_revision", std::to_string(mPosition.mRevision) } });
  mMetrics.Counter("cowslipline_store_restored_total").Add();
  mUpdater.OnStoreRestored();
  mRewriteEnd = mScheduler.Now() + kRewriteTime;
  if (mPeers.IsReader()) {
    changes_reply notice;
    notice.mToRevision = aPosition.mRevision;
    notice.mGeneration = aPosition.mGeneration;
    notice.mIsPartial = true;
    mPeers.Broadcast(notice);
  }
}

void
platform_sync::BeginGraceAfterOutage()
{
  const auto now = mScheduler.Now();
  const bool wasAway =
    mLastConfirmedAt != steady_time() && AgeOfState(now) > kMinOutage;
  if (wasAway) {
    mUpdater.OnOutageEnded();
  }
}

void
platform_sync::ConfirmFreshness(steady_time aRequestedAt)
{
  const auto now = mScheduler.Now();
  if (!mIsConnected) {
    mIsConnected = true;
    const bool isFirst = mLastConfirmedAt == steady_time();
    Log(log_level::Info,
        isFirst ? "store_reached" : "store_regained",
        { { "away_ms",
            isFirst ? "0" : MillisecondsText(now - mLastConfirmedAt) } });
  }
  mView.mIsComplete = true;
  mLastConfirmedAt = now;
  mSyncedAt = std::max(mSyncedAt, aRequestedAt);
  if (IsRecovered() || aRequestedAt >= mRewriteEnd) {
    mView.mFreshness.Confirm(aRequestedAt);
  }
}

bool
platform_sync::IsRecovered() const
{
  return mPosition.mGeneration == 0 ||
         mView.mRecoveredGeneration == mPosition.mGeneration;
}

duration
platform_sync::TimeToRecovery(steady_time aNow) const
{
  return aNow < mRewriteEnd ? mRewriteEnd - aNow : duration::max();
}

void
platform_sync::RecordRecovery(steady_time aNow, yield_context aYield)
{
  if (aNow < mRewriteEnd) {
    return;
  }
  const auto generation = mPosition.mGeneration;
  mMetrics.Counter("cowslipline_store_calls_total{call=\"record_recovery\"}")
    .Add();
  const auto recorded = mFeed.RecordRecovery(generation, aYield);
  if (!recorded) {
    Log(log_level::Info,
        "store_recovery_not_recorded",
        { { "generation", std::to_string(generation) },
          { "reason", recorded.error().message() } });
  }
}

bool
platform_sync::IsStoreDue(steady_time aNow) const
{
  return AgeOfState(aNow) > mMaxAgeBeforeCall - kTakeOverWait;
}

duration
platform_sync::AgeOfState(steady_time aNow) const
{
  return mSyncedAt == steady_time::min() ? duration::max() : aNow - mSyncedAt;
}

void
platform_sync::OnStoreFailure(std::error_code aError, const char* aCall)
{
  mMetrics.Counter("cowslipline_store_failures_total").Add();
  const auto now = mScheduler.Now();
  mBackoff = std::min(std::max<duration>(2 * mBackoff, kRetryWait),
                      mIsPositionValid ? mLongestBackoff : mLongestReadBackoff);
  mNextCallAt = now + mBackoff / 2 + RandomPart(mBackoff / 2);
  mPeers.OnStoreLost(AgeOfState(now));
  if (!mIsConnected) {
    return;
  }
  mIsConnected = false;
  Log(log_level::Warn,
      "store_lost",
      { { "call", aCall },
        { "reason", aError.message() },
        { "configuration_age_ms",
          MillisecondsText(mView.mFreshness.Age(mScheduler.Now())) } });
}

void
platform_sync::Apply(const platform_changes& aChanges, bool aIsFullRead)
{
  mPosition = aChanges.mPosition;
  const bool wasRecovered = IsRecovered();
  mUpdater.Apply(aChanges, aIsFullRead);
  if (!wasRecovered && IsRecovered()) {
    Log(log_level::Info,
        "store_recovered",
        { { "generation", std::to_string(mPosition.mGeneration) } });
    // A follower has its state confirmed by the reader at once.
    mWakeUp.Set();
  }
}

} // namespace cowslipline
