#include "modules/gateway/refusal.h"

#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

/// The reason's own message, unless an earlier attempt makes its statement
/// about the run untrue.
std::string_view
MessageOf(const refusal& aRefusal)
{
  const auto& description = Describe(aRefusal.mReason);
  const bool isUncertain = aRefusal.mRan == ran_state::Unknown &&
                           description.mRan == ran_state::NotRun;
  return isUncertain ? Describe(refusal_reason::UpstreamTimeout).mMessage
                     : description.mMessage;
}

} // namespace

caller_answer
MakeRefusalAnswer(const refusal& aRefusal, std::string_view aRequestId)
{
  const auto& description = Describe(aRefusal.mReason);
  caller_answer answer;
  answer.mStatus = description.mStatus;
  answer.mHeaders.Add("Content-Type", "application/json");
  answer.mHeaders.Add("Cowslipline-Reason", description.mName);
  answer.mHeaders.Add("Cowslipline-Ran", NameOf(aRefusal.mRan));
  answer.mHeaders.Add("X-Request-Id", aRequestId);
  if (description.mStatus == 429 || description.mStatus == 503) {
    answer.mHeaders.Add("Retry-After", "1");
  }
  if (description.mStatus == 401) {
    answer.mHeaders.Add("WWW-Authenticate", "Bearer");
  }
  std::string message(MessageOf(aRefusal));
  nlohmann::ordered_json error = {
    { "reason", description.mName },
    { "ran", NameOf(aRefusal.mRan) },
  };
  if (aRefusal.mIsEarlierAttemptUnknown) {
    message += " If you sent it before, that attempt may have run.";
    error["earlier_attempt"] = NameOf(ran_state::Unknown);
  }
  error["message"] = message;
  error["request_id"] = aRequestId;
  const nlohmann::ordered_json body = { { "error", std::move(error) } };
  answer.mText = body.dump();
  return answer;
}

std::string
RefusalCounterName(refusal_reason aReason)
{
  return "cowslipline_refusals_total{reason=\"" +
         std::string(Describe(aReason).mName) + "\"}";
}

} // namespace cowslipline
