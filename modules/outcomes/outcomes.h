#pragma once

// Public header of the outcomes module: idempotency keys. Durable records
// ensure that a request on a non-idempotent route runs at most once in the
// whole fleet and that a repetition gets the recorded outcome.
#include "core/hash.h"
#include "core/kernel.h"
#include "core/scheduler.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cowslipline {

/// Keyed digest of organisation, route and idempotency key.
using record_key = digest16;

/// Longest response body that is recorded for a replay, in bytes.
constexpr std::size_t kRecordedBodyBytes = 2048;

/// Request for the right to run one request on a non-idempotent route.
struct claim
{
  std::string mOrganisation;
  std::string mRoute;
  std::string mIdempotencyKey;
  /// Hash of method, path, query and body, which a repetition must not change.
  /// Detects a key that is reused for another request.
  std::uint64_t mFingerprint = 0;
  /// How long the attempt may run. While a record has no outcome, further
  /// claims get in_progress for this long and outcome_unknown afterwards.
  duration mDeadline = std::chrono::seconds(2);
};

/// The right to send one request upstream, once.
struct attempt
{
  record_key mKey{};
  /// Random; tells the attempts for one key apart.
  std::uint64_t mId = 0;
  std::uint64_t mFingerprint = 0;
};

/// The response that a repeated request gets instead of running again.
struct recorded_outcome
{
  /// HTTP status.
  int mStatus = 0;
  std::string mContentType;
  /// Empty when the body is longer than kRecordedBodyBytes or can't be read.
  std::optional<std::string> mBody;
};

/// The record is durable and the caller may send the request once.
struct granted
{
  attempt mAttempt;
};
/// An earlier attempt ran and this was its outcome.
struct finished
{
  recorded_outcome mOutcome;
};
/// An earlier attempt may be running.
struct in_progress
{};
/// An earlier attempt may have run; its outcome was never recorded.
struct outcome_unknown
{};
/// The key belongs to a request with another fingerprint.
struct key_reused
{};

using claim_answer =
  std::variant<granted, finished, in_progress, outcome_unknown, key_reused>;

/// Idempotency records with at-most-once execution. Control thread only.
class outcome_records
{
public:
  virtual ~outcome_records() = default;

  /// Records an attempt for the claim's key unless the key has a record, and
  /// suspends the task for at most aWait. The request must not be sent unless
  /// the answer is `granted`. If an error is returned although the record was
  /// written, this class releases it. If this returns `granted` after its
  /// caller has stopped waiting, Release() must be called.
  /// Errors: errc::StoreUnavailable (treat as not claimed), errc::RecordsFull,
  /// errc::NotReady (no owner reached, or the owner can't read the shard's
  /// records).
  virtual result<claim_answer> Claim(const claim& aClaim,
                                     duration aWait,
                                     yield_context aYield) = 0;

  /// Records the outcome of an attempt that ran. Delivery is retried until the
  /// owner has committed it. A second call for an attempt has no effect. A body
  /// longer than kRecordedBodyBytes is not recorded.
  virtual void Finish(const attempt& aAttempt, recorded_outcome aOutcome) = 0;

  /// Deletes the record of an attempt that has certainly not run, so that the
  /// key can be claimed again. Finish() must not follow for the same attempt.
  virtual void Release(const attempt& aAttempt) = 0;

  /// Number of outcomes and releases that no owner has committed yet. An
  /// instance that shuts down waits until there are none.
  virtual std::size_t CountUndelivered() const = 0;
};

struct outcome_settings
{
  /// Minimum time that a record is kept, by the wall clocks of the owners.
  std::chrono::milliseconds mRetention = std::chrono::hours(24);
  /// Bytes of memory of one shard's index above which new claims are refused.
  std::size_t mIndexBytesLimit = std::size_t{ 8 } << 20;
  /// Size in bytes at which the open segment is sealed.
  std::size_t mOpenSegmentBytes = std::size_t{ 64 } << 10;
  /// Limit of the store writes for one shard. 32 shards at 8/s stay below the
  /// 300 writes/s of the store that are available to the fleet.
  double mWritesPerSecond = 8;
  double mWriteBurst = 8;
  /// How long an outcome waits for a claim with which it can be written in one
  /// commit.
  duration mReportDelay = std::chrono::milliseconds(250);
};

/// Finds "scheduler", "store", "peer_channel", "membership", "metrics" and
/// "fleet_secret" and registers "outcome_records" (outcome_records).
/// Errors: errc::ServiceMissing, errc::Duplicate.
result<void>
RegisterOutcomes(kernel& aKernel, const outcome_settings& aSettings = {});

} // namespace cowslipline
