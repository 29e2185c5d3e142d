#include "modules/outcomes/record_shard.h"

#include "core/check.h"

#include <algorithm>
#include <set>

namespace cowslipline {

namespace {

constexpr duration kFirstBackoff = std::chrono::milliseconds(20);
constexpr duration kLongestBackoff = std::chrono::seconds(1);

/// A failure this long refuses waiting claims at once, since each of them
/// blocks a thread of the data plane.
constexpr duration kTolerableFailure = std::chrono::milliseconds(500);

/// Age up to which the index is trusted for a record without an outcome. A
/// former owner whose shard came back may lack the outcome; this bounds the
/// reads that repeated requests cause.
constexpr duration kTrustedAge = std::chrono::milliseconds(100);

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
  pending->mArrived = mScheduler.Now();
  const auto known = Decide(*pending);
  auto reply = known ? *known : Await(pending, aRequest.mWait, aYield);
  if (reply.mStatus != claim_status::Finished) {
    return reply;
  }
  return AddBody(attempt.mKey, std::move(reply), aYield);
}

claim_reply
record_shard::Await(const std::shared_ptr<pending_claim>& aClaim,
                    duration aWait,
                    yield_context aYield)
{
  const auto end = mScheduler.Now() + aWait;
  mClaims.push_back(aClaim);
  Wake();
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
  // Without the body the answer still says truthfully that the request ran.
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
  call->mLeft = aEntries.size();
  for (const auto& entry : aEntries) {
    mReports.push_back(
      { entry, call, now + mEnvironment.mSettings.mReportDelay });
  }
  Wake();
  while (call->mLeft > 0) {
    const auto left = now + aWait - mScheduler.Now();
    if (left <= duration(0) || !call->mDone.Wait(mScheduler, left, aYield)) {
      call->mIsAbandoned = true;
      return call->mLeft == 0;
    }
  }
  return true;
}

void
record_shard::Wake()
{
  if (mIsRunning) {
    mArrived.Set();
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
         (mLog.HasExpiredObjects() && !mFailingSince);
}

void
record_shard::RunStep(yield_context aYield)
{
  DropAbandoned();
  if ((!mLog.IsCurrent() || IsRefreshDue()) && !Recover(aYield)) {
    return;
  }
  Settle();
  const bool isQueueEmpty = mClaims.empty() && mReports.empty();
  if (isQueueEmpty && !mLog.HasExpiredObjects()) {
    return;
  }
  const auto wait = WaitBeforeCommit();
  if (wait > duration(0)) {
    mArrived.Wait(mScheduler, wait, aYield);
    return;
  }
  if (!isQueueEmpty) {
    Commit(aYield);
  }
  if (mLog.HasExpiredObjects()) {
    RemoveExpired(aYield);
  }
}

bool
record_shard::Recover(yield_context aYield)
{
  const auto refreshed = mLog.Refresh(aYield);
  if (!refreshed) {
    NoteFailure(refreshed.error(), aYield);
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
  // A submitted claim stays until the fate of its commit is known.
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
record_shard::Settle()
{
  for (const auto& claim : mClaims) {
    auto reply = Decide(*claim);
    if (reply) {
      Answer(*claim, std::move(*reply));
    }
  }
  DropAbandoned();
  for (auto next = mReports.begin(); next != mReports.end();) {
    if (!IsReported(next->mEntry)) {
      ++next;
      continue;
    }
    if (--next->mCall->mLeft == 0) {
      next->mCall->mDone.Set();
    }
    next = mReports.erase(next);
  }
}

std::optional<claim_reply>
record_shard::Decide(const pending_claim& aClaim) const
{
  auto reply = DecideKnown(aClaim.mEntry);
  if (reply) {
    return IsOutdatedFor(aClaim) ? std::nullopt : reply;
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
      return IsOutdatedFor(*aClaim);
    });
}

bool
record_shard::IsOutdatedFor(const pending_claim& aClaim) const
{
  const auto* record = mLog.Index().Find(aClaim.mEntry.mKey);
  // A finished record never changes, and a grant is the attempt's own.
  return record != nullptr && !record->mIsFinished &&
         record->mAttempt != aClaim.mEntry.mAttempt &&
         mLog.ConfirmedAt() + kTrustedAge < aClaim.mArrived;
}

std::optional<claim_reply>
record_shard::DecideKnown(const claim_entry& aClaim) const
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
  return { mScheduler.WallNow() < aRecord.mUntil ? claim_status::InProgress
                                                 : claim_status::OutcomeUnknown,
           false,
           {} };
}

claim_reply
record_shard::Grant(const claim_entry& aClaim) const
{
  // The index holds confirmed entries only, so this record is durable.
  const auto* record = mLog.Index().Find(aClaim.mKey);
  COWSLIPLINE_INVARIANT(record != nullptr && !record->mIsFinished &&
                          record->mAttempt == aClaim.mAttempt,
                        "a claim is granted without a confirmed commit");
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
record_shard::IsReported(const log_entry& aEntry) const
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
    wait = std::max(wait, duration(mReports.front().mDue - now));
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
    // A second claim for the key is decided once the first is committed, and
    // one for a record that appeared meanwhile after a refresh.
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
    MarkLost();
    return;
  }
  ResolveSubmitted(false);
  if (appended.error() != errc::StoreConflict) {
    NoteFailure(appended.error(), aYield);
  }
}

void
record_shard::MarkLost()
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
    if (isDone && --next->mCall->mLeft == 0) {
      next->mCall->mDone.Set();
    }
    next = isDone ? mReports.erase(next) : std::next(next);
  }
}

void
record_shard::NoteFailure(std::error_code aError, yield_context aYield)
{
  const auto now = mScheduler.Now();
  if (!mFailingSince) {
    mFailingSince = now;
    mBackoff = kFirstBackoff;
  }
  if (now - *mFailingSince >= kTolerableFailure) {
    RefuseClaims(aError == errc::NotReady ? claim_status::NotReady
                                          : claim_status::StoreUnavailable);
  }
  mScheduler.SleepFor(mBackoff, aYield);
  mBackoff = std::min(mBackoff * 2, kLongestBackoff);
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
  // A refusal says "not run", which must not be said of a request that an
  // earlier attempt may have run. An outdated answer is better then.
  auto known = DecideKnown(aClaim.mEntry);
  Answer(aClaim, known ? std::move(*known) : claim_reply{ aStatus, false, {} });
}

void
record_shard::RemoveExpired(yield_context aYield)
{
  const auto removed = mLog.RemoveExpiredObject(aYield);
  if (!removed) {
    NoteFailure(removed.error(), aYield);
  }
}

void
record_shard::Answer(pending_claim& aClaim, claim_reply aReply)
{
  aReply.mMayBeRecorded = aReply.mStatus != claim_status::Granted &&
                          (aClaim.mIsSubmitted || aClaim.mMayBeRecorded);
  aClaim.mReply = std::move(aReply);
  aClaim.mDone.Set();
}

} // namespace cowslipline
