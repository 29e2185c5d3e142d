#include "modules/proxy/read_ahead.h"

namespace cowslipline {

namespace {

// Each request in progress holds a task with its stack.
constexpr std::size_t kMostUnanswered = 8;

} // namespace

bool
MayStartEarly(const request_head& aHead,
              const route_spec* aRoute,
              const read_ahead_state& aState)
{
  if (!aState.mIsServing || aState.mIsClosing ||
      aState.mUnanswered >= kMostUnanswered) {
    return false;
  }
  // An interim answer has its turn too.
  if (aHead.mHeaders.Find("Expect")) {
    return false;
  }
  return aRoute != nullptr && aRoute->mRepeat == repeat_rule::Idempotent &&
         !aHead.mFraming.mIsChunked;
}

} // namespace cowslipline
