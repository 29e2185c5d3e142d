#pragma once

#include "core/random.h"
#include "modules/outcomes/outcome_messages.h"
#include "modules/outcomes/shard_log.h"

#include <deque>
#include <memory>

namespace cowslipline {

/// The owner's side of one shard: answers claims from the index and groups
/// what must be written into commits. A task runs only while there is work.
class record_shard : public std::enable_shared_from_this<record_shard>
{
public:
  record_shard(shard_index aShard,
               outcome_environment aEnvironment,
               std::uint64_t aSeed);

  /// Suspends the task until the claim is decided, at most for its wait.
  claim_reply Claim(const claim_message& aRequest, yield_context aYield);

  /// Suspends the task until the entries are committed. False after the wait.
  bool Report(const std::vector<log_entry>& aEntries,
              duration aWait,
              yield_context aYield);

  bool IsIdle() const { return !mIsRunning; }
  const record_index& Index() const { return mLog.Index(); }

private:
  /// Wait of one task for its claim or its reports.
  struct waiter
  {
    event mDone;
    bool mIsAbandoned = false;
  };
  struct pending_claim : waiter
  {
    claim_entry mEntry;
    steady_time mArrived{};
    std::optional<claim_reply> mReply;
    bool mIsSubmitted = false;
    /// A commit with it lost its answer and may be applied late.
    bool mMayBeRecorded = false;
  };
  struct pending_call : waiter
  {
    std::size_t mLeft = 0;
  };
  struct pending_report
  {
    log_entry mEntry;
    std::shared_ptr<pending_call> mCall;
    steady_time mDue;
    bool mIsSubmitted = false;
  };

  void Wake();
  void Run(yield_context aYield);
  void RunStep(yield_context aYield);
  bool HasWork() const;
  bool Recover(yield_context aYield);
  void DropAbandoned();
  void Settle();
  std::optional<claim_reply> Decide(const pending_claim& aClaim) const;
  std::optional<claim_reply> DecideKnown(const claim_entry& aClaim) const;
  bool IsRefreshDue() const;
  bool IsOutdatedFor(const pending_claim& aClaim) const;
  claim_reply DecideUnfinished(const claim_entry& aClaim,
                               const record& aRecord) const;
  claim_reply Grant(const claim_entry& aClaim) const;
  const recorded_outcome* FindPendingOutcome(const claim_entry& aClaim,
                                             std::uint64_t aAttempt) const;
  bool IsReported(const log_entry& aEntry) const;
  duration WaitBeforeCommit();
  log_batch BuildBatch();
  std::size_t AddClaims(log_batch& aBatch);
  void AddReports(log_batch& aBatch, std::size_t aBytes);
  void Commit(yield_context aYield);
  void ResolveSubmitted(bool aIsCommitted);
  void NoteFailure(std::error_code aError, yield_context aYield);
  void RefuseClaims(claim_status aStatus);
  void Refuse(pending_claim& aClaim, claim_status aStatus) const;
  void RemoveExpired(yield_context aYield);
  void MarkLost();
  claim_reply Await(const std::shared_ptr<pending_claim>& aClaim,
                    duration aWait,
                    yield_context aYield);
  claim_reply AddBody(const record_key& aKey,
                      claim_reply aReply,
                      yield_context aYield);
  static void Answer(pending_claim& aClaim, claim_reply aReply);

  const outcome_environment mEnvironment;
  scheduler& mScheduler;
  random_source mRandom;
  write_budget mBudget;
  shard_log mLog;
  std::deque<std::shared_ptr<pending_claim>> mClaims;
  std::deque<pending_report> mReports;
  event mArrived;
  std::uint64_t mSubmittedCommit = 0;
  bool mHasSubmitted = false;
  bool mIsRunning = false;
  std::optional<steady_time> mFailingSince;
  duration mBackoff{ 0 };
};

} // namespace cowslipline
