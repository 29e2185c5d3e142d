#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cowslipline {

enum class repeat_rule
{
  Idempotent, ///< May run more than once.
  AtMostOnce,
};

struct service_spec
{
  std::string mName;
  std::string mHealthPath;
  /// Connections that one target accepts from the whole fleet.
  std::uint32_t mConnectionLimit = 0;
};

/// A service that receives a share of a route's requests.
struct traffic_share
{
  std::string mService;
  double mWeight = 1;
};

struct route_spec
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix; ///< Begins and ends with a slash.
  repeat_rule mRepeat = repeat_rule::AtMostOnce;
  duration mTimeout{ 0 };          ///< Zero: none beyond the caller's deadline.
  duration mLatencyObjective{ 0 }; ///< Zero: none.
  int mPriority = 0;               ///< 0 is the most urgent.
  std::vector<traffic_share> mShares;
  /// Targets that one request may be sent to.
  std::uint32_t mAttempts = 1;
  bool mIsPublic = false;
};

struct organisation_spec
{
  std::string mName;
  std::vector<std::string> mKeys;
  std::optional<int> mPriority; ///< Takes precedence over the route's.
  double mRate = 0;             ///< Requests/s in the whole fleet; 0: no limit.
  double mBurst = 0;            ///< Requests.
};

/// What a caller may send and how long it may take.
struct caller_limits
{
  std::size_t mHeadBytes = 16'384;
  std::size_t mBodyBytes = 1'048'576;
  duration mHeadTimeout = std::chrono::seconds(5);
  duration mIdleTimeout = std::chrono::seconds(15);
};

/// One version of the operators' configuration, as the platform holds it.
struct fleet_configuration
{
  std::uint64_t mVersion = 0;
  std::vector<route_spec> mRoutes;
  std::vector<service_spec> mServices;
  std::vector<organisation_spec> mOrganisations;
  caller_limits mLimits;
};

} // namespace cowslipline
