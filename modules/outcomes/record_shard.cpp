#include "modules/outcomes/record_shard.h"

#include "core/check.h"

#include <algorithm>
#include <set>

namespace cowslipline {

namespace {

constexpr duration kInitialBackoff = std::chrono::milliseconds(20);
constexpr duration kMaxBackoff = std::chrono::seconds(1);

/// Waiting claims are refused once the store has failed for this long, since
/// each of them blocks a thread of the data plane.
constexpr duration kRefusalDelay = std::chrono::milliseconds(500);

/// Maximum age of the index when a claim for a record without an outcome is
/// decided from it. An instance that owns the shard again may lack an outcome
/// that another owner committed. An age above zero limits the store reads that
/// repeated requests cause.
constexpr duration kMaxIndexAge = std::chrono::milliseconds(100);

} // namespace

record_shard::record_shard(shard_index aShard,
                           outcome_environment aEnvironment,
                           std::uint64_t aSeed)
  : mEnvironment(std::move(aEnvironment))
  , mScheduler(*mEnvironment.mScheduler)
  , mRandom(aSeed)
  , mBudget(mEnvironment.mSettings.mWritesPerSecond,
            mEnvironment.mSettings.mWriteBurst,
            mScheduler.Now())
  , mLog(aShard, mEnvironment, mBudget)
{
}

claim_reply
record_shard::Claim(const claim_message& aRequest, yield_context aYield)
{
  const auto& attempt = aRequest.mAttempt;
  const auto pending = std::make_shared<pending_claim>();
  const auto deadline =
    std::chrono::ceil<std::chrono::milliseconds>(aRequest.mDeadline);
  pending->mEntry = { attempt.mKey,
                      attempt.mFingerprint,
                      attempt.mId,
                      mScheduler.WallNow() + deadline.count() };
  pending->mArrivedAt = mScheduler.Now();
  const auto known = Decide(*pending);
  auto reply = known ? *known : WaitForReply(pending, aRequest.mWait, aYield);
  if (reply.mStatus != claim_status::Finished) {
    return reply;
  }
  return AddBody(attempt.mKey, std::move(reply), aYield);
}

claim_reply
record_shard::WaitForReply(const std::shared_ptr<pending_claim>& aClaim,
                           duration aWait,
                           yield_context aYield)
{
  const auto end = mScheduler.Now() + aWait;
  mClaims.push_back(aClaim);
  EnsureTaskRuns();
  while (!aClaim->mReply) {
    const auto left = end - mScheduler.Now();
    if (left <= duration(0) || !aClaim->mDone.Wait(mScheduler, left, aYield)) {
      break;
    }
  }
  if (!aClaim->mReply) {
    aClaim->mIsAbandoned = true;
    Refuse(*aClaim, claim_status::StoreUnavailable);
  }
  return *aClaim->mReply;
}

claim_reply
record_shard::AddBody(const record_key& aKey,
                      claim_reply aReply,
                      yield_context aYield)
{
  const auto* record = mLog.Index().Find(aKey);
  if (record == nullptr || !record->mIsFinished || !record->mHasBody) {
    return aReply;
  }
  auto outcome = mLog.ReadOutcome(aKey, aYield);
  // If the body can't be read, the answer still says that the request ran.
  if (outcome) {
    aReply.mOutcome = std::move(*outcome);
  }
  return aReply;
}

bool
record_shard::Report(const std::vector<log_entry>& aEntries,
                     duration aWait,
                     yield_context aYield)
{
  const auto now = mScheduler.Now();
  const auto call = std::make_shared<pending_call>();
  call->mUncommittedEntries = aEntries.size();
  for (const auto& entry : aEntries) {
    mReports.push_back(
      { entry, call, now + mEnvironment.mSettings.mReportDelay });
  }
  EnsureTaskRuns();
  while (call->mUncommittedEntries > 0) {
    const auto left = now + aWait - mScheduler.Now();
    if (left <= duration(0) || !call->mDone.Wait(mScheduler, left, aYield)) {
      call->mIsAbandoned = true;
      return call->mUncommittedEntries == 0;
    }
  }
  return true;
}

void
record_shard::EnsureTaskRuns()
{
  if (mIsRunning) {
    mWorkArrived.Set();
    return;
  }
  mIsRunning = true;
  mScheduler.Spawn(
    [self = shared_from_this()](yield_context aYield) { self->Run(aYield); });
}

void
record_shard::Run(yield_context aYield)
{
  while (HasWork()) {
    RunStep(aYield);
  }
  mIsRunning = false;
}

bool
record_shard::HasWork() const
{
  return !mClaims.empty() || !mReports.empty() ||
         (mLog.HasExpiredSegments() && !mFailingSince);
}

void
record_shard::RunStep(yield_context aYield)
{
  DropAbandoned();
  if ((!mLog.IsCurrent() || IsRefreshDue()) && !RefreshLog(aYield)) {
    return;
  }
  CompleteDecided();
  const bool isQueueEmpty = mClaims.empty() && mReports.empty();
  if (isQueueEmpty && !mLog.HasExpiredSegments()) {
    return;
  }
  const auto wait = WaitBeforeCommit();
  if (wait > duration(0)) {
    mWorkArrived.Wait(mScheduler, wait, aYield);
    return;
  }
  if (!isQueueEmpty) {
    Commit(aYield);
  }
  if (mLog.HasExpiredSegments()) {
    RemoveExpired(aYield);
  }
}

bool
record_shard::RefreshLog(yield_context aYield)
{
  const auto refreshed = mLog.Refresh(aYield);
  if (!refreshed) {
    HandleStoreFailure(refreshed.error(), aYield);
    return false;
  }
  mFailingSince.reset();
  if (mHasSubmitted) {
    ResolveSubmitted(mLog.IsCommitted(mSubmittedCommit));
  }
  return true;
}

void
record_shard::DropAbandoned()
{
  // A submitted entry stays until it is known whether its commit was applied.
  const auto claims =
    std::remove_if(mClaims.begin(), mClaims.end(), [](const auto& aClaim) {
      return aClaim->mReply || (aClaim->mIsAbandoned && !aClaim->mIsSubmitted);
    });
  mClaims.erase(claims, mClaims.end());
  const auto reports =
    std::remove_if(mReports.begin(), mReports.end(), [](const auto& aReport) {
      return aReport.mCall->mIsAbandoned && !aReport.mIsSubmitted;
    });
  mReports.erase(reports, mReports.end());
}

void
record_shard::CompleteDecided()
{
  for (const auto& claim : mClaims) {
    auto reply = Decide(*claim);
    if (reply) {
      CompleteClaim(*claim, std::move(*reply));
    }
  }
  DropAbandoned();
  for (auto next = mReports.begin(); next != mReports.end();) {
    if (!IsOutcomeCommitted(next->mEntry)) {
      ++next;
      continue;
    }
    if (--next->mCall->mUncommittedEntries == 0) {
      next->mCall->mDone.Set();
    }
    next = mReports.erase(next);
  }
}

std::optional<claim_reply>
record_shard::Decide(const pending_claim& aClaim) const
{
  auto reply = DecideFromRecord(aClaim.mEntry);
  if (reply) {
    return IsIndexStaleFor(aClaim) ? std::nullopt : reply;
  }
  if (mLog.Index().Bytes() > mEnvironment.mSettings.mIndexBytesLimit) {
    return claim_reply{ claim_status::RecordsFull, false, {} };
  }
  return {};
}

bool
record_shard::IsRefreshDue() const
{
  return std::any_of(
    mClaims.begin(), mClaims.end(), [this](const auto& aClaim) {
      return IsIndexStaleFor(*aClaim);
    });
}

bool
record_shard::IsIndexStaleFor(const pending_claim& aClaim) const
{
  const auto* record = mLog.Index().Find(aClaim.mEntry.mKey);
  // A finished record never changes, and a record of the same attempt means
  // that the claim is granted.
  return record != nullptr && !record->mIsFinished &&
         record->mAttempt != aClaim.mEntry.mAttempt &&
         mLog.ConfirmedAt() + kMaxIndexAge < aClaim.mArrivedAt;
}

std::optional<claim_reply>
record_shard::DecideFromRecord(const claim_entry& aClaim) const
{
  const auto* record = mLog.Index().Find(aClaim.mKey);
  if (record == nullptr) {
    return {};
  }
  if (record->mFingerprint != aClaim.mFingerprint) {
    return claim_reply{ claim_status::KeyReused, false, {} };
  }
  if (record->mIsFinished) {
    recorded_outcome outcome;
    outcome.mStatus = record->mStatus;
    return claim_reply{ claim_status::Finished, false, outcome };
  }
  return DecideUnfinished(aClaim, *record);
}

claim_reply
record_shard::DecideUnfinished(const claim_entry& aClaim,
                               const record& aRecord) const
{
  if (aRecord.mAttempt == aClaim.mAttempt) {
    return Grant(aClaim);
  }
  const auto* outcome = FindPendingOutcome(aClaim, aRecord.mAttempt);
  if (outcome != nullptr) {
    return { claim_status::Finished, false, *outcome };
  }
  return { mScheduler.WallNow() < aRecord.mAttemptDeadline
             ? claim_status::InProgress
             : claim_status::OutcomeUnknown,
           false,
           {} };
}

claim_reply
record_shard::Grant(const claim_entry& aClaim) const
{
  // The index contains committed entries only, so this record is durable.
  const auto* record = mLog.Index().Find(aClaim.mKey);
  COWSLIPLINE_INVARIANT(record != nullptr && !record->mIsFinished &&
                          record->mAttempt == aClaim.mAttempt,
                        "a claim is granted without a committed record");
  return { claim_status::Granted, false, {} };
}

const recorded_outcome*
record_shard::FindPendingOutcome(const claim_entry& aClaim,
                                 std::uint64_t aAttempt) const
{
  for (const auto& report : mReports) {
    const auto* finish = std::get_if<finish_entry>(&report.mEntry);
    if (finish != nullptr && finish->mKey == aClaim.mKey &&
        finish->mAttempt == aAttempt) {
      return &finish->mOutcome;
    }
  }
  return nullptr;
}

bool
record_shard::IsOutcomeCommitted(const log_entry& aEntry) const
{
  const auto* finish = std::get_if<finish_entry>(&aEntry);
  if (finish == nullptr) {
    return false;
  }
  const auto* record = mLog.Index().Find(finish->mKey);
  return record != nullptr && record->mIsFinished &&
         record->mAttempt == finish->mAttempt;
}

duration
record_shard::WaitBeforeCommit()
{
  const auto now = mScheduler.Now();
  auto wait = mBudget.WaitTime(now);
  if (mClaims.empty() && !mReports.empty()) {
    wait = std::max(wait, duration(mReports.front().mDueAt - now));
  }
  return wait;
}

log_batch
record_shard::BuildBatch()
{
  log_batch batch;
  batch.mCommitId = mRandom.Next();
  const auto bytes = AddClaims(batch);
  AddReports(batch, bytes);
  return batch;
}

std::size_t
record_shard::AddClaims(log_batch& aBatch)
{
  std::size_t bytes = 0;
  std::set<record_key> keys;
  for (const auto& claim : mClaims) {
    bytes += EntryBytes(claim->mEntry);
    if (bytes > mEnvironment.mSettings.mOpenSegmentBytes) {
      break;
    }
    // A second claim for the same key is decided once the first is committed. A
    // claim whose key got a record meanwhile is decided after a refresh.
    const auto& key = claim->mEntry.mKey;
    if (!claim->mIsAbandoned && mLog.Index().Find(key) == nullptr &&
        keys.insert(key).second) {
      claim->mIsSubmitted = true;
      aBatch.mEntries.emplace_back(claim->mEntry);
    }
  }
  return bytes;
}

void
record_shard::AddReports(log_batch& aBatch, std::size_t aBytes)
{
  for (auto& report : mReports) {
    aBytes += EntryBytes(report.mEntry);
    if (aBytes > mEnvironment.mSettings.mOpenSegmentBytes &&
        !aBatch.mEntries.empty()) {
      return;
    }
    report.mIsSubmitted = true;
    aBatch.mEntries.push_back(report.mEntry);
  }
}

void
record_shard::Commit(yield_context aYield)
{
  const auto batch = BuildBatch();
  if (batch.mEntries.empty()) {
    return;
  }
  mSubmittedCommit = batch.mCommitId;
  mHasSubmitted = true;
  const auto appended = mLog.Append(batch, aYield);
  if (appended) {
    mFailingSince.reset();
    ResolveSubmitted(true);
    return;
  }
  if (appended.error() == errc::StoreAnswerLost) {
    MarkMayBeRecorded();
    return;
  }
  ResolveSubmitted(false);
  if (appended.error() != errc::StoreConflict) {
    HandleStoreFailure(appended.error(), aYield);
  }
}

void
record_shard::MarkMayBeRecorded()
{
  for (const auto& claim : mClaims) {
    claim->mMayBeRecorded = claim->mMayBeRecorded || claim->mIsSubmitted;
  }
}

void
record_shard::ResolveSubmitted(bool aIsCommitted)
{
  mHasSubmitted = false;
  for (const auto& claim : mClaims) {
    claim->mIsSubmitted = false;
  }
  for (auto next = mReports.begin(); next != mReports.end();) {
    const bool isDone = next->mIsSubmitted && aIsCommitted;
    next->mIsSubmitted = false;
    if (isDone && --next->mCall->mUncommittedEntries == 0) {
      next->mCall->mDone.Set();
    }
    next = isDone ? mReports.erase(next) : std::next(next);
  }
}

void
record_shard::HandleStoreFailure(std::error_code aError, yield_context aYield)
{
  const auto now = mScheduler.Now();
  if (!mFailingSince) {
    mFailingSince = now;
    mBackoff = kInitialBackoff;
  }
  if (now - *mFailingSince >= kRefusalDelay) {
    RefuseClaims(aError == errc::NotReady ? claim_status::NotReady
                                          : claim_status::StoreUnavailable);
  }
  mScheduler.SleepFor(mBackoff, aYield);
  mBackoff = std::min(mBackoff * 2, kMaxBackoff);
}

void
record_shard::RefuseClaims(claim_status aStatus)
{
  for (const auto& claim : mClaims) {
    if (!claim->mReply) {
      Refuse(*claim, aStatus);
    }
  }
}

void
record_shard::Refuse(pending_claim& aClaim, claim_status aStatus) const
{
  // A refusal means that the request did not run. If an earlier attempt may
  // have run it, an answer from a stale index is safer.
  auto known = DecideFromRecord(aClaim.mEntry);
  CompleteClaim(aClaim,
                known ? std::move(*known) : claim_reply{ aStatus, false, {} });
}

void
record_shard::RemoveExpired(yield_context aYield)
{
  const auto removed = mLog.RemoveExpiredSegment(aYield);
  if (!removed) {
    HandleStoreFailure(removed.error(), aYield);
  }
}

void
record_shard::CompleteClaim(pending_claim& aClaim, claim_reply aReply)
{
  aReply.mMayBeRecorded = aReply.mStatus != claim_status::Granted &&
                          (aClaim.mIsSubmitted || aClaim.mMayBeRecorded);
  aClaim.mReply = std::move(aReply);
  aClaim.mDone.Set();
}

} // namespace cowslipline
