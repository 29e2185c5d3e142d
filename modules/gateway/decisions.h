#pragma once

#include "core/hash.h"
#include "core/result.h"
#include "core/time.h"
#include "modules/configuration/snapshot.h"

#include <any>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cowslipline {

// What the gateway asks of other modules. All calls block the calling thread,
// at most for the given time, and may come from many threads at once.

/// Whether the organisation is within its rate.
class rate_decision
{
public:
  virtual ~rate_decision() = default;
  /// Errors: errc::RateLimited; any other error is refused as rate_limited
  /// too, because an uncertain answer must not exceed a rate.
  virtual result<void> Admit(std::string_view aOrganisation,
                             duration aWait) = 0;
};

struct key_accepted
{
  organisation_index mOrganisation = 0;
  std::string mKeyId; ///< Public identifier of the key.
};
struct key_absent
{};
struct key_unreadable
{};
struct key_not_known
{};
struct key_revoked
{};

using key_verdict = std::
  variant<key_accepted, key_absent, key_unreadable, key_not_known, key_revoked>;

/// Which organisation a key belongs to.
class key_decision
{
public:
  virtual ~key_decision() = default;
  /// aAuthorization is the whole value of the header, empty when absent.
  virtual key_verdict Verify(const snapshot& aSnapshot,
                             std::string_view aAuthorization) = 0;
};

struct claim_request
{
  std::string mOrganisation;
  std::string mRouteId;
  std::string mIdempotencyKey;
  digest16 mFingerprint{}; ///< Of method, path, query and body.
  duration mRouteDeadline{};
};

/// Identifies a granted claim. The adapter puts the attempt of the module
/// `outcomes` into it.
struct claim_ticket
{
  std::any mAttempt;
};

/// What a finished request answered. The body is absent when it is too large
/// to be kept.
struct finished_answer
{
  int mStatus = 0;
  std::string mContentType;
  std::optional<std::string> mBody;
};

struct claim_granted
{
  claim_ticket mTicket;
};
struct claim_finished
{
  finished_answer mAnswer;
};
struct claim_in_progress
{};
struct claim_unknown
{};
struct claim_reused
{};

using claim_verdict = std::variant<claim_granted,
                                   claim_finished,
                                   claim_in_progress,
                                   claim_unknown,
                                   claim_reused>;

/// At-most-once records of non-idempotent requests.
class claim_decision
{
public:
  virtual ~claim_decision() = default;
  /// Errors: errc::RecordsFull; errc::StoreUnavailable and errc::Timeout when
  /// the claim was not confirmed in time. The implementation releases a claim
  /// that is granted after its caller has stopped waiting.
  virtual result<claim_verdict> Claim(const claim_request& aRequest,
                                      duration aWait) = 0;
  /// The request ran and its answer is known.
  virtual void Finish(const claim_ticket& aTicket,
                      const finished_answer& aAnswer) = 0;
  /// The request certainly did not run. A claim that is neither finished nor
  /// released stays recorded with an unknown outcome.
  virtual void Release(const claim_ticket& aTicket) = 0;
};

/// Classes of attempts, as health evidence counts them.
enum class attempt_class
{
  Success,
  ErrorStatus,    ///< 5xx that is not shed.
  Timeout,        ///< The connection stayed silent or was too slow.
  ConnectFailure, ///< Certainly not run.
  Incomplete,     ///< The connection ended before the answer was whole.
  WrongAnswer,    ///< Whole, but not the answer to this request.
  Shed,           ///< The upstream says that it did not run the request.
  Canceled,       ///< The caller left; says nothing about the target.
};

struct target_request
{
  snapshot_pointer mSnapshot;
  service_index mService = 0;
  std::string mOrganisation; ///< Empty on open routes without a key.
  digest16 mFingerprint{};
  std::vector<target_index> mExcluded;
};

struct chosen_target
{
  target_index mTarget = 0;
  /// For the implementation, such as the slot that was taken.
  std::any mSlot;
};

struct attempt_result
{
  attempt_class mClass = attempt_class::Success;
  duration mLatency{};
  /// The answer carried `Cowslipline-Draining: true`.
  bool mIsDraining = false;
  /// The connection was reset after the request had been sent.
  bool mIsReset = false;
};

enum class quarantine_verdict
{
  Clear,
  Quarantined,
  /// Quarantined, and this request was seen to reach an upstream before.
  QuarantinedAfterRun,
};

/// Targets, slots, retry budget and quarantine.
class target_decision
{
public:
  virtual ~target_decision() = default;

  virtual quarantine_verdict CheckQuarantine(const target_request& aRequest,
                                             duration aWait) = 0;
  /// Waits in the admission queue until a target has a free slot.
  /// Errors: errc::NoTarget; errc::Overloaded and errc::Timeout when no slot
  /// became free.
  virtual result<chosen_target> Choose(const target_request& aRequest,
                                       duration aWait) = 0;
  /// Ends an attempt that was made and gives its slot back.
  virtual void Report(const target_request& aRequest,
                      const chosen_target& aTarget,
                      const attempt_result& aResult) = 0;
  /// Gives the slot back without an attempt.
  virtual void Abandon(const target_request& aRequest,
                       const chosen_target& aTarget) = 0;
  /// Counts a first attempt, from which the retry budget earns.
  virtual void CountFirstAttempt(const target_request& aRequest) = 0;
  /// Takes one retry from the budget of the service.
  virtual bool TakeRetry(const target_request& aRequest) = 0;
};

struct instance_ready
{};
struct instance_not_ready
{
  std::string mReason;
};
/// The configuration may be out of date; guarded routes are refused.
struct instance_isolated
{};
/// The instance leaves. It serves until the load balancer has noticed, then
/// refuses new requests.
struct instance_draining
{
  bool mIsRefusing = false;
};

using readiness = std::variant<instance_ready,
                               instance_not_ready,
                               instance_isolated,
                               instance_draining>;

class readiness_decision
{
public:
  virtual ~readiness_decision() = default;
  virtual readiness Current() = 0;
};

/// The decisions a gateway works with. They outlive it.
struct gateway_decisions
{
  key_decision& mKeys;
  rate_decision& mRates;
  claim_decision& mClaims;
  target_decision& mTargets;
  readiness_decision& mReadiness;
};

} // namespace cowslipline
