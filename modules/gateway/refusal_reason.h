#pragma once

#include <array>
#include <string_view>

namespace cowslipline {

/// Why a request was refused. Names, statuses and messages are in the table of
/// refusal_reason.cpp.
enum class refusal_reason
{
  KeyMissing,
  KeyMalformed,
  KeyUnknown,
  KeyWithdrawn,
  OrganisationNotAllowed,
  RouteNotFound,
  MethodNotAllowed,
  RequestMalformed,
  RequestTooLarge,
  HeadersTooLarge,
  RateLimited,
  Overloaded,
  NoTarget,
  NotReady,
  Isolated,
  Draining,
  StoreUnavailable,
  RecordsFull,
  Quarantined,
  DeadlineTooShort,
  IdempotencyKeyMissing,
  IdempotencyKeyMalformed,
  IdempotencyKeyReused,
  InProgress,
  OutcomeUnknown,
  AlreadyRun,
  UpstreamTimeout,
  UpstreamFailed,
  UpstreamIncomplete,
  UpstreamWrongAnswer,
  UpstreamUnreachable,
};

inline constexpr std::size_t kRefusalReasonCount = 31;

/// Whether a refused request has run.
enum class ran_state
{
  NotRun,
  Unknown,
  Ran,
};

struct refusal_description
{
  refusal_reason mReason;
  std::string_view mName; ///< Such as "rate_limited".
  int mStatus;
  ran_state mRan;
  std::string_view mMessage; ///< For people; short and friendly.
};

const refusal_description&
Describe(refusal_reason aReason);

std::string_view
NameOf(ran_state aRan);

} // namespace cowslipline
