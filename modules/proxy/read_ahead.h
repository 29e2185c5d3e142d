#pragma once

#include "core/http_head.h"
#include "modules/routing/routing.h"

namespace cowslipline {

/// What a connection holds when the next request on it has come whole.
struct read_ahead_state
{
  /// Requests on the connection without a complete answer.
  std::size_t mUnanswered = 0;
  /// The last of them asks for the connection to be closed.
  bool mIsClosing = false;
  /// The instance takes on work.
  bool mIsServing = true;
};

/// Decides whether a request starts before those in front of it on its
/// connection are answered. Answers the load of callers that send several
/// requests at once: one slow answer would use up the time of all behind it.
///
/// A connection may end at any answer, and what stands behind that answer
/// counts as not read: only a request that may be repeated starts early.
bool
MayStartEarly(const request_head& aHead,
              const route_spec* aRoute,
              const read_ahead_state& aState);

} // namespace cowslipline
