#pragma once

#include <string>

namespace cowslipline {

/// Names of the HTTP headers that callers, the fleet and targets exchange. The
/// names differ between deployments; the meaning is the same.
struct fleet_header_names
{
  std::string mRequestId;      ///< Set by the caller per attempt; echoed.
  std::string mDeadlineMs;     ///< Time left, in milliseconds.
  std::string mKey;            ///< The caller's API key; never sent upstream.
  std::string mOrganisation;   ///< Set by the fleet; the caller's is dropped.
  std::string mExpectedTarget; ///< Other targets must not run the request.
  std::string mNotRun;    ///< Response: the target did not run the request.
  std::string mSignature; ///< Response: proves that the target succeeded.
  /// Response: requests/s that the target accepts from the whole fleet.
  std::string mRateLimit;
  /// Response, value 1: the target drains, it will exit soon.
  std::string mDraining;
};

} // namespace cowslipline
