#pragma once

#include "core/result.h"
#include "modules/health/health_types.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace cowslipline {

/// Latency buckets grow by a factor of 2^(1/4) from 0.25 ms to 65 s.
constexpr std::size_t kLatencyBuckets = 72;

/// Bucket of a latency.
std::size_t
LatencyBucket(duration aLatency);

/// Factors of two between adjacent buckets: bucket + 4 is twice the latency.
constexpr double kBucketsPerDoubling = 4;

/// Counts of attempts at one target.
struct evidence_counts
{
  std::uint32_t mSuccesses = 0;
  /// Failures other than connect failures.
  std::uint32_t mFailures = 0;
  std::uint32_t mConnectFailures = 0;
  /// Latencies of successes.
  std::array<std::uint32_t, kLatencyBuckets> mLatencies{};
  /// Start of the last attempt that succeeded; tells the owner whether the
  /// target was reached after the failures of others.
  steady_time mLastSuccess{};

  void Record(attempt_outcome aOutcome, duration aLatency, steady_time aNow);
  std::uint32_t Attempts() const
  {
    return mSuccesses + mFailures + mConnectFailures;
  }
};

struct target_evidence
{
  std::uint32_t mTarget = 0; ///< NameHash.
  evidence_counts mCounts;
};

struct service_evidence
{
  std::uint32_t mService = 0; ///< NameHash.
  /// Digest of the ejections that the sender holds; the owner answers with its
  /// ejections when it expects another one.
  std::uint32_t mHeldDigest = 0;
  std::vector<target_evidence> mTargets;
};

/// CBOR: [service, digest, [[target, successes, failures, connect failures,
/// age of the last success in ms, [bucket, count, ...]], ...]]
std::string
EncodeEvidence(const service_evidence& aEvidence, steady_time aNow);

/// Errors: errc::MessageMalformed.
result<service_evidence>
DecodeEvidence(std::string_view aPayload, steady_time aNow);

} // namespace cowslipline
