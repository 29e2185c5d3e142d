#pragma once

#include "core/random.h"
#include "modules/outcomes/outcome_messages.h"
#include "modules/outcomes/shard_log.h"

#include <deque>
#include <memory>

namespace cowslipline {

/// Decides the claims for one shard at its owner: answers them from the index
/// and batches new entries into commits of the shard's log (group commit). Its
/// task runs only while there is work.
class record_shard : public std::enable_shared_from_this<record_shard>
{
public:
  record_shard(shard_index aShard,
               outcome_environment aEnvironment,
               std::uint64_t aSeed);

  /// Suspends the task until the claim is decided, at most for its wait.
  claim_reply Claim(const claim_message& aRequest, yield_context aYield);

  /// Suspends the task until the entries are committed. False if they are not
  /// within aWait.
  bool Report(const std::vector<log_entry>& aEntries,
              duration aWait,
              yield_context aYield);

  bool IsIdle() const { return !mIsRunning; }
  const record_index& Index() const { return mLog.Index(); }

private:
  /// State of one task that waits for its claim or its reports.
  struct waiter
  {
    event mDone;
    bool mIsAbandoned = false;
  };
  struct pending_claim : waiter
  {
    claim_entry mEntry;
    steady_time mArrivedAt{};
    std::optional<claim_reply> mReply;
    bool mIsSubmitted = false;
    /// The answer to a commit with this claim was lost; the commit may still be
    /// applied.
    bool mMayBeRecorded = false;
  };
  struct pending_call : waiter
  {
    /// Entries not committed yet.
    std::size_t mUncommittedEntries = 0;
  };
  struct pending_report
  {
    log_entry mEntry;
    std::shared_ptr<pending_call> mCall;
    /// Committed by then even without a claim to share the write.
    steady_time mDueAt;
    bool mIsSubmitted = false;
  };

  /// Starts the task, or notifies it of new work if it runs.
  void EnsureTaskRuns();
  void Run(yield_context aYield);
  void RunStep(yield_context aYield);
  bool HasWork() const;
  /// Refreshes the log and resolves a commit whose answer was lost. False after
  /// a failure.
  bool RefreshLog(yield_context aYield);
  void DropAbandoned();
  /// Completes the claims that the index decides and the reports whose outcome
  /// is already committed.
  void CompleteDecided();
  /// Empty if the claim needs a commit or a refresh.
  std::optional<claim_reply> Decide(const pending_claim& aClaim) const;
  std::optional<claim_reply> DecideFromRecord(const claim_entry& aClaim) const;
  bool IsRefreshDue() const;
  bool IsIndexStaleFor(const pending_claim& aClaim) const;
  claim_reply DecideUnfinished(const claim_entry& aClaim,
                               const record& aRecord) const;
  claim_reply Grant(const claim_entry& aClaim) const;
  const recorded_outcome* FindPendingOutcome(const claim_entry& aClaim,
                                             std::uint64_t aAttempt) const;
  bool IsOutcomeCommitted(const log_entry& aEntry) const;
  duration WaitBeforeCommit();
  log_batch BuildBatch();
  std::size_t AddClaims(log_batch& aBatch);
  void AddReports(log_batch& aBatch, std::size_t aBytes);
  void Commit(yield_context aYield);
  void ResolveSubmitted(bool aIsCommitted);
  /// Backs off, and refuses waiting claims after kRefusalDelay.
  void HandleStoreFailure(std::error_code aError, yield_context aYield);
  void RefuseClaims(claim_status aStatus);
  void Refuse(pending_claim& aClaim, claim_status aStatus) const;
  void RemoveExpired(yield_context aYield);
  void MarkMayBeRecorded();
  claim_reply WaitForReply(const std::shared_ptr<pending_claim>& aClaim,
                           duration aWait,
                           yield_context aYield);
  claim_reply AddBody(const record_key& aKey,
                      claim_reply aReply,
                      yield_context aYield);
  static void CompleteClaim(pending_claim& aClaim, claim_reply aReply);

  const outcome_environment mEnvironment;
  scheduler& mScheduler;
  random_source mRandom;
  write_budget mBudget;
  shard_log mLog;
  std::deque<std::shared_ptr<pending_claim>> mClaims;
  std::deque<pending_report> mReports;
  event mWorkArrived;
  std::uint64_t mSubmittedCommit = 0;
  bool mHasSubmitted = false;
  bool mIsRunning = false;
  /// Start of the current series of store failures.
  std::optional<steady_time> mFailingSince;
  duration mBackoff{ 0 };
};

} // namespace cowslipline
