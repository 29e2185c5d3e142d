#include "modules/gateway/refusal_reason.h"

#include "core/check.h"

namespace cowslipline {

namespace {

using reason = refusal_reason;
using ran = ran_state;

constexpr std::string_view kTryAgain =
  "We could not serve this right now. It did not run, so you can safely try "
  "again in a moment.";
constexpr std::string_view kMayHaveRun =
  "We did not get a clear answer in time. It may have run, so please check "
  "before you send it again.";

// In the order of the enumerators.
constexpr std::array<refusal_description, kRefusalReasonCount> kTable{ {
  { reason::KeyMissing,
    "key_missing",
    401,
    ran::NotRun,
    "Hi! This address needs a key. Please add yours and try again." },
  { reason::KeyMalformed,
    "key_malformed",
    401,
    ran::NotRun,
    "The key arrived in a form we cannot read. A fresh copy usually helps." },
  { reason::KeyUnknown,
    "key_unknown",
    401,
    ran::NotRun,
    "We do not know this key yet. Please check that it was copied whole." },
  { reason::KeyWithdrawn,
    "key_withdrawn",
    401,
    ran::NotRun,
    "This key is no longer in use. Your organisation can give you a new one." },
  { reason::OrganisationNotAllowed,
    "organisation_not_allowed",
    403,
    ran::NotRun,
    "This address is not set up for your organisation. We can help with "
    "that." },
  { reason::RouteNotFound,
    "route_not_found",
    404,
    ran::NotRun,
    "There is nothing at this address. Maybe a letter is missing?" },
  { reason::MethodNotAllowed,
    "method_not_allowed",
    405,
    ran::NotRun,
    "This address exists, but it takes a different kind of request." },
  { reason::RequestMalformed,
    "request_malformed",
    400,
    ran::NotRun,
    "We could not read this request, so nothing was done with it." },
  { reason::RequestTooLarge,
    "request_too_large",
    413,
    ran::NotRun,
    "This is more than we can take in one go. A smaller request will fit." },
  { reason::HeadersTooLarge,
    "headers_too_large",
    431,
    ran::NotRun,
    "The headers are longer than we can take. Fewer or shorter ones will "
    "fit." },
  { reason::RateLimited,
    "rate_limited",
    429,
    ran::NotRun,
    "That is a lot at once! Please wait a second and try again." },
  { reason::Overloaded, "overloaded", 503, ran::NotRun, kTryAgain },
  { reason::NoTarget, "no_target", 503, ran::NotRun, kTryAgain },
  { reason::NotReady, "not_ready", 503, ran::NotRun, kTryAgain },
  { reason::Isolated, "isolated", 503, ran::NotRun, kTryAgain },
  { reason::Draining, "draining", 503, ran::NotRun, kTryAgain },
  { reason::StoreUnavailable,
    "store_unavailable",
    503,
    ran::NotRun,
    kTryAgain },
  { reason::RecordsFull, "records_full", 503, ran::NotRun, kTryAgain },
  { reason::Quarantined,
    "quarantined",
    503,
    ran::NotRun,
    "This request has given our servers trouble, so we are looking into it "
    "first. Please try it later." },
  { reason::DeadlineTooShort,
    "deadline_too_short",
    504,
    ran::NotRun,
    "There was not enough time left to start this. It did not run." },
  { reason::IdempotencyKeyMissing,
    "idempotency_key_missing",
    400,
    ran::NotRun,
    "This kind of request needs an Idempotency-Key so that it never runs "
    "twice." },
  { reason::IdempotencyKeyMalformed,
    "idempotency_key_malformed",
    400,
    ran::NotRun,
    "The Idempotency-Key should have 1 to 128 visible characters." },
  { reason::IdempotencyKeyReused,
    "idempotency_key_reused",
    422,
    ran::NotRun,
    "This Idempotency-Key already belongs to a different request. A new key "
    "will do." },
  { reason::InProgress,
    "in_progress",
    409,
    ran::Unknown,
    "This request is still being worked on. Please ask again in a moment." },
  { reason::OutcomeUnknown,
    "outcome_unknown",
    409,
    ran::Unknown,
    "We cannot tell whether this request ran. Please check before you send "
    "it with a new key." },
  { reason::AlreadyRun,
    "already_run",
    409,
    ran::Ran,
    "This request already ran. Its answer was too long for us to keep." },
  { reason::UpstreamTimeout,
    "upstream_timeout",
    504,
    ran::Unknown,
    kMayHaveRun },
  { reason::UpstreamFailed, "upstream_failed", 502, ran::Unknown, kMayHaveRun },
  { reason::UpstreamIncomplete,
    "upstream_incomplete",
    502,
    ran::Unknown,
    kMayHaveRun },
  { reason::UpstreamWrongAnswer,
    "upstream_wrong_answer",
    502,
    ran::Unknown,
    kMayHaveRun },
  { reason::UpstreamUnreachable,
    "upstream_unreachable",
    502,
    ran::NotRun,
    kTryAgain },
} };

constexpr bool
IsTableInOrder()
{
  for (std::size_t i = 0; i < kTable.size(); ++i) {
    if (kTable[i].mReason != static_cast<refusal_reason>(i)) {
      return false;
    }
  }
  return true;
}
static_assert(IsTableInOrder());

} // namespace

const refusal_description&
Describe(refusal_reason aReason)
{
  return kTable.at(static_cast<std::size_t>(aReason));
}

std::string_view
NameOf(ran_state aRan)
{
  switch (aRan) {
    case ran_state::NotRun:
      return "not_run";
    case ran_state::Unknown:
      return "unknown";
    case ran_state::Ran:
      return "ran";
  }
  return "unknown";
}

} // namespace cowslipline
