#pragma once

#include <string>

namespace cowslipline {

/// Names of the headers that callers, this fleet and targets exchange. They
/// differ between deployments; their meaning does not.
struct header_dialect
{
  std::string mRequestId;      ///< One for each attempt of a caller; echoed.
  std::string mDeadlineMs;     ///< Milliseconds that are left.
  std::string mKey;            ///< The caller's key; never sent upstream.
  std::string mOrganisation;   ///< Set by the fleet, whatever the caller sent.
  std::string mExpectedTarget; ///< Any other target must not run the request.
  std::string mNotRun;         ///< The target states that it did not run it.
  std::string mSignature;      ///< The target's proof of a successful answer.
};

} // namespace cowslipline
