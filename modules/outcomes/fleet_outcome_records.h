#pragma once

#include "modules/outcomes/report_queue.h"

#include <memory>

namespace cowslipline {

/// Client of the idempotency records: sends each claim to the instance that
/// owns the record's shard, and queues outcomes and releases for delivery.
/// Every instance has one.
class fleet_outcome_records final : public outcome_records
{
public:
  struct services
  {
    /// Not owning: the scheduler owns the tasks, and tasks hold these services.
    scheduler* mScheduler = nullptr;
    std::shared_ptr<peer_channel> mPeers;
    std::shared_ptr<membership> mMembership;
    std::shared_ptr<metrics> mMetrics;
    std::string mFleetSecret;
  };

  fleet_outcome_records(services aServices,
                        std::shared_ptr<record_owner> aOwner,
                        std::uint64_t aSeed);

  result<claim_answer> Claim(const claim& aClaim,
                             duration aWait,
                             yield_context aYield) override;
  void Finish(const attempt& aAttempt, recorded_outcome aOutcome) override;
  void Release(const attempt& aAttempt) override;
  std::size_t CountUndelivered() const override { return mReports->Size(); }

  /// Registers the handlers for claims and reports from other instances.
  void HandlePeers();

private:
  attempt MakeAttempt(const claim& aClaim);
  record_key MakeRecordKey(const claim& aClaim) const;
  /// Repeats the claim until an owner decides it or aEnd is reached.
  claim_reply ClaimWithRetries(const attempt& aAttempt,
                               duration aDeadline,
                               steady_time aEnd,
                               yield_context aYield);
  claim_reply ClaimAtOwner(const claim_message& aRequest, yield_context aYield);
  claim_reply ClaimAtPeer(const instance_name& aOwner,
                          const claim_message& aRequest,
                          yield_context aYield);

  services mServices;
  std::shared_ptr<record_owner> mOwner;
  random_source mRandom;
  std::uint64_t mInstanceHash;
  std::shared_ptr<report_queue> mReports;
};

} // namespace cowslipline
