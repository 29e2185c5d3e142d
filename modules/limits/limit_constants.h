#pragma once

#include "core/time.h"

#include <chrono>

namespace cowslipline {

/// Equal parts into which every rate and burst is divided.
constexpr unsigned kAllotmentUnits = 240;

/// How long an owner counts a cession, from the moment it sent the request, and
/// how often it asks. While organisations of the shard are in use, both are
/// shorter: after the owner's failure nobody can grant the ceded tokens until
/// the cessions have ended. The values belong to the protocol version, since
/// both sides must use the same.
constexpr duration kCessionValidity = std::chrono::seconds(4);
constexpr duration kCessionPeriod = std::chrono::milliseconds(1300);
constexpr duration kCessionValidityInUse = std::chrono::milliseconds(800);
constexpr duration kCessionPeriodInUse = std::chrono::milliseconds(250);

/// A shard counts as in use for so long after the last token was asked for.
/// Longer than the pauses of small organisations, whose cessions would
/// otherwise be long when the owner fails.
constexpr duration kInUseTime = std::chrono::seconds(10);

/// An instance to which a member turned after the owner failed acts as owner
/// for so long, until membership names the next owner.
constexpr duration kInvitationTime = std::chrono::seconds(10);

/// How long a holder may use granted tokens, from the moment it sent its
/// request.
constexpr duration kTokenValidity = std::chrono::milliseconds(200);

/// The side that promises waits longer by this part than the side that relies
/// on the promise: clock rates may differ by 2%.
constexpr int kClockRateMarginPercent = 2;

constexpr duration
WithClockRateMargin(duration aDuration)
{
  return aDuration + aDuration * kClockRateMarginPercent / 100;
}

/// An instance that heard neither a peer nor the store for so long stops using
/// its units: others may have reclaimed them (after 60 s).
constexpr duration kIsolationLimit = std::chrono::seconds(30);
constexpr duration kReclaimSilence = std::chrono::seconds(60);

/// Tolerance for sums of floating-point tokens, in tokens.
constexpr double kTokenEpsilon = 1e-9;

inline double
InSeconds(duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace cowslipline
