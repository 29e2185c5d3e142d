#pragma once

#include "modules/gateway/caller_exchange.h"
#include "modules/gateway/refusal_reason.h"

#include <optional>
#include <string_view>

namespace cowslipline {

/// A refusal and what is known about the run of the request.
struct refusal
{
  refusal_reason mReason;
  ran_state mRan;
  /// The request has an idempotency key whose record was not read: it did not
  /// run now, but an earlier attempt with the key may have.
  bool mIsEarlierAttemptUnknown = false;

  /// With the ran state of the reason's table row.
  explicit refusal(refusal_reason aReason)
    : mReason(aReason)
    , mRan(Describe(aReason).mRan)
  {
  }
  refusal(refusal_reason aReason, ran_state aRan)
    : mReason(aReason)
    , mRan(aRan)
  {
  }
};

/// The JSON answer of a refusal with its headers.
caller_answer
MakeRefusalAnswer(const refusal& aRefusal, std::string_view aRequestId);

/// Name of the counter of a reason.
std::string
RefusalCounterName(refusal_reason aReason);

} // namespace cowslipline
