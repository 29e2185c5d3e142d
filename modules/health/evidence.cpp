#include "modules/health/evidence.h"

#include "core/cbor.h"
#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

using nlohmann::json;

constexpr double kFirstBucketMicros = 250;
constexpr std::uint64_t kMaxAgeMs = 600'000;

json
ToJson(const target_evidence& aEvidence, steady_time aNow)
{
  const auto& counts = aEvidence.mCounts;
  json buckets = json::array();
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    if (counts.mLatencies.at(i) > 0) {
      buckets.push_back(i);
      buckets.push_back(counts.mLatencies.at(i));
    }
  }
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
    aNow - counts.mLastSuccess);
  return json::array({ aEvidence.mTarget,
                       counts.mSuccesses,
                       counts.mFailures,
                       counts.mConnectFailures,
                       std::min<std::uint64_t>(
                         static_cast<std::uint64_t>(age.count()), kMaxAgeMs),
                       std::move(buckets) });
}

void
ReadBuckets(const json& aBuckets, evidence_counts& aCounts)
{
  for (std::size_t i = 0; i + 1 < aBuckets.size(); i += 2) {
    aCounts.mLatencies.at(aBuckets.at(i).get<std::size_t>()) +=
      aBuckets.at(i + 1).get<std::uint32_t>();
  }
}

target_evidence
FromJson(const json& aValue, steady_time aNow)
{
  target_evidence evidence;
  auto& counts = evidence.mCounts;
  evidence.mTarget = aValue.at(0).get<std::uint32_t>();
  counts.mSuccesses = aValue.at(1).get<std::uint32_t>();
  counts.mFailures = aValue.at(2).get<std::uint32_t>();
  counts.mConnectFailures = aValue.at(3).get<std::uint32_t>();
  counts.mLastSuccess = aNow - std::chrono::milliseconds(std::min(
                                 aValue.at(4).get<std::uint64_t>(), kMaxAgeMs));
  ReadBuckets(aValue.at(5), counts);
  return evidence;
}

} // namespace

std::size_t
LatencyBucket(duration aLatency)
{
  const double micros = std::max(static_cast<double>(aLatency.count()), 1.0);
  const double bucket =
    std::floor(std::log2(micros / kFirstBucketMicros) * kBucketsPerDoubling);
  return static_cast<std::size_t>(
    std::clamp(bucket, 0.0, static_cast<double>(kLatencyBuckets - 1)));
}

void
evidence_counts::Record(attempt_outcome aOutcome,
                        duration aLatency,
                        steady_time aNow)
{
  if (aOutcome == attempt_outcome::Success) {
    ++mSuccesses;
    ++mLatencies.at(LatencyBucket(aLatency));
    // The start counts: an attempt that began before a fault may still succeed.
    mLastSuccess = aNow - aLatency;
  } else if (aOutcome == attempt_outcome::ConnectFailure) {
    ++mConnectFailures;
  } else if (IsFailure(aOutcome)) {
    ++mFailures;
  }
}

std::string
EncodeEvidence(const service_evidence& aEvidence, steady_time aNow)
{
  json targets = json::array();
  for (const auto& target : aEvidence.mTargets) {
    targets.push_back(ToJson(target, aNow));
  }
  std::string payload;
  json::to_cbor(
    json::array(
      { aEvidence.mService, aEvidence.mEjectionDigest, std::move(targets) }),
    payload);
  return payload;
}

result<service_evidence>
DecodeEvidence(std::string_view aPayload, steady_time aNow)
{
  try {
    const auto value = DecodeCbor(aPayload).value_or(json());
    service_evidence evidence;
    evidence.mService = value.at(0).get<std::uint32_t>();
    evidence.mEjectionDigest = value.at(1).get<std::uint32_t>();
    for (const auto& target : value.at(2)) {
      evidence.mTargets.push_back(FromJson(target, aNow));
    }
    return evidence;
  } catch (const std::exception&) {
    return Fail(errc::MessageMalformed);
  }
}

} // namespace cowslipline
