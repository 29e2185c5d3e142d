#pragma once

#include "core/result.h"
#include "modules/health/health_types.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace cowslipline {

/// Buckets of the latency histogram: from 0.25 ms to 65 s, each 2^(1/4) times
/// as wide as the one before.
constexpr std::size_t kLatencyBuckets = 72;

/// Index of the bucket that contains the latency; smaller and larger latencies
/// fall into the first and last bucket.
std::size_t
LatencyBucket(duration aLatency);

/// Buckets per factor of two: bucket + 4 is twice the latency.
constexpr double kBucketsPerDoubling = 4;

/// Counts of attempts at one target since the last report.
struct evidence_counts
{
  std::uint32_t mSuccesses = 0;
  /// Failures other than connect failures.
  std::uint32_t mFailures = 0;
  std::uint32_t mConnectFailures = 0;
  /// Latencies of successes.
  std::array<std::uint32_t, kLatencyBuckets> mLatencies{};
  /// Start of the last successful attempt. The owner compares it with the first
  /// failure that other instances reported.
  steady_time mLastSuccess{};

  void Record(attempt_outcome aOutcome, duration aLatency, steady_time aNow);
  std::uint32_t Attempts() const
  {
    return mSuccesses + mFailures + mConnectFailures;
  }
};

/// What one instance observed of one target.
struct target_evidence
{
  std::uint32_t mTarget = 0; ///< NameHash of the target.
  evidence_counts mCounts;
};

/// Report of one instance to the owner of a service.
struct service_evidence
{
  std::uint32_t mService = 0; ///< NameHash of the service.
  /// Digest of the owner's ejections that the sender knows. When it differs
  /// from the owner's digest, the owner sends its ejections again.
  std::uint32_t mEjectionDigest = 0;
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
