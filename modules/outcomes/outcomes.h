#pragma once

// Public header of the outcomes module: a request on a non-idempotent route
// runs at most once in the whole fleet.
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

/// Longest response body that is kept for a replay, in bytes.
constexpr std::size_t kRecordedBodyBytes = 2048;

/// One request on a non-idempotent route.
struct claim
{
  std::string mOrganisation;
  std::string mRoute;
  std::string mIdempotencyKey;
  /// Hash of everything in which a repetition must be equal: method, path,
  /// query and body. It recognises a key that is reused for another request.
  std::uint64_t mFingerprint = 0;
  /// How long the attempt may run. A record without an outcome is answered
  /// in_progress for this long and outcome_unknown afterwards.
  duration mDeadline = std::chrono::seconds(2);
};

/// The right to send one request upstream, once.
struct attempt
{
  record_key mKey{};
  std::uint64_t mId = 0;
  std::uint64_t mFingerprint = 0;
};

struct recorded_outcome
{
  int mStatus = 0;
  std::string mContentType;
  /// Empty when the body was too large to keep.
  std::optional<std::string> mBody;
};

/// The record is durable; the caller may send the request once.
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

/// At-most-once records, used on the control thread only.
class outcome_records
{
public:
  virtual ~outcome_records() = default;

  /// Suspends the task for at most aWait. Without a granted answer the request
  /// must not be sent. After an error the record is released later, if it was
  /// made. A caller that no longer waits when this returns `granted` must call
  /// Release().
  /// Errors: errc::StoreUnavailable (not claimed as far as the caller is
  /// concerned), errc::RecordsFull, errc::NotReady (no owner reached, or the
  /// owner can't read the shard's records).
  virtual result<claim_answer> Claim(const claim& aClaim,
                                     duration aWait,
                                     yield_context aYield) = 0;

  /// Records the outcome of an attempt that ran. Delivery is retried until the
  /// owner has committed it. Repeating it has no effect. A body above
  /// kRecordedBodyBytes is not kept.
  virtual void Finish(const attempt& aAttempt, recorded_outcome aOutcome) = 0;

  /// Gives up an attempt that is certain not to have run, so that the key can
  /// be claimed again. Finish() must not follow for the same attempt.
  virtual void Release(const attempt& aAttempt) = 0;

  /// Outcomes and releases that no owner has committed yet. A leaving instance
  /// waits until there are none.
  virtual std::size_t CountUndelivered() const = 0;
};

struct outcome_settings
{
  /// How long a record is kept at least, by the wall clocks of the owners.
  std::chrono::milliseconds mRetention = std::chrono::hours(24);
  /// Memory of one shard's index above which new claims are refused.
  std::size_t mIndexBytesLimit = std::size_t{ 8 } << 20;
  /// Size at which the open segment is sealed.
  std::size_t mOpenSegmentBytes = std::size_t{ 64 } << 10;
  /// Store writes for one shard. 32 shards at 8/s stay below the 300 writes/s
  /// that the store spares for the fleet.
  double mWritesPerSecond = 8;
  double mWriteBurst = 8;
  /// How long outcomes wait for a claim to share its write.
  duration mReportDelay = std::chrono::milliseconds(250);
};

/// Finds "scheduler", "store", "peer_channel", "membership", "metrics" and
/// "fleet_secret" and registers "outcome_records" (outcome_records).
/// Errors: errc::ServiceMissing, errc::Duplicate.
result<void>
RegisterOutcomes(kernel& aKernel, const outcome_settings& aSettings = {});

} // namespace cowslipline
