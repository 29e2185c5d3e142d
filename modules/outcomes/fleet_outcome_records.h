#pragma once

#include "modules/outcomes/report_queue.h"

#include <memory>

namespace cowslipline {

/// The instance's side: claims records at the owners of their shards.
class fleet_outcome_records final : public outcome_records
{
public:
  struct services
  {
    /// Owns the tasks, so the tasks must not own it.
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

  /// Answers the claims and reports of other instances.
  void HandlePeers();

private:
  attempt MakeAttempt(const claim& aClaim);
  record_key KeyOf(const claim& aClaim) const;
  claim_reply Negotiate(const attempt& aAttempt,
                        duration aDeadline,
                        steady_time aEnd,
                        yield_context aYield);
  claim_reply Ask(const claim_message& aRequest, yield_context aYield);
  claim_reply AskPeer(const instance_name& aOwner,
                      const claim_message& aRequest,
                      yield_context aYield);

  services mServices;
  std::shared_ptr<record_owner> mOwner;
  random_source mRandom;
  std::uint64_t mInstanceHash;
  std::shared_ptr<report_queue> mReports;
};

} // namespace cowslipline
