#include "modules/outcomes/record_owner.h"

namespace cowslipline {

namespace {

/// Interval between checks for shards that this instance no longer owns. They
/// are not dropped at once: membership views may change back, and rebuilding an
/// index costs one store read for each segment.
constexpr duration kDropInterval = std::chrono::seconds(30);

constexpr const char*
ClaimCounterName(claim_status aStatus)
{
  switch (aStatus) {
    case claim_status::Granted:
      return "cowslipline_outcome_claims_total{answer=\"granted\"}";
    case claim_status::Finished:
      return "cowslipline_outcome_claims_total{answer=\"finished\"}";
    case claim_status::InProgress:
      return "cowslipline_outcome_claims_total{answer=\"in_progress\"}";
    case claim_status::OutcomeUnknown:
      return "cowslipline_outcome_claims_total{answer=\"outcome_unknown\"}";
    case claim_status::KeyReused:
      return "cowslipline_outcome_claims_total{answer=\"key_reused\"}";
    case claim_status::NotOwner:
      return "cowslipline_outcome_claims_total{answer=\"not_owner\"}";
    case claim_status::StoreUnavailable:
      return "cowslipline_outcome_claims_total{answer=\"store_unavailable\"}";
    case claim_status::RecordsFull:
      return "cowslipline_outcome_claims_total{answer=\"records_full\"}";
    case claim_status::NotReady:
      return "cowslipline_outcome_claims_total{answer=\"not_ready\"}";
  }
  return "cowslipline_outcome_claims_total{answer=\"other\"}";
}

} // namespace

record_owner::record_owner(outcome_environment aEnvironment,
                           std::shared_ptr<membership> aMembership,
                           std::uint64_t aSeed)
  : mEnvironment(std::move(aEnvironment))
  , mMembership(std::move(aMembership))
  , mRandom(aSeed)
{
}

claim_reply
record_owner::Claim(const claim_message& aRequest, yield_context aYield)
{
  const auto shard = ShardOf(AsView(aRequest.mAttempt.mKey));
  claim_reply reply{ claim_status::NotOwner, false, {} };
  if (IsOwn(shard)) {
    reply = FindShard(shard)->Claim(aRequest, aYield);
  }
  mEnvironment.mMetrics->Counter(ClaimCounterName(reply.mStatus)).Add();
  return reply;
}

report_status
record_owner::Report(const report_request& aRequest, yield_context aYield)
{
  if (!IsOwn(aRequest.mShard)) {
    return report_status::NotOwner;
  }
  const auto shard = FindShard(aRequest.mShard);
  return shard->Report(aRequest.mEntries, aRequest.mWait, aYield)
           ? report_status::Committed
           : report_status::NotCommitted;
}

bool
record_owner::IsOwn(shard_index aShard) const
{
  return mMembership->OwnerOf(aShard) == mMembership->Self().mName;
}

std::shared_ptr<record_shard>
record_owner::FindShard(shard_index aShard)
{
  DropForeignShards();
  auto& shard = mShards[aShard];
  if (!shard) {
    shard =
      std::make_shared<record_shard>(aShard, mEnvironment, mRandom.Next());
  }
  return shard;
}

void
record_owner::DropForeignShards()
{
  const auto now = mEnvironment.mScheduler->Now();
  if (now - mLastDrop < kDropInterval) {
    return;
  }
  mLastDrop = now;
  for (auto next = mShards.begin(); next != mShards.end();) {
    const bool isKept = IsOwn(next->first) || !next->second->IsIdle();
    next = isKept ? std::next(next) : mShards.erase(next);
  }
}

std::size_t
record_owner::IndexBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [number, shard] : mShards) {
    bytes += shard->Index().Bytes();
  }
  return bytes;
}

} // namespace cowslipline
