#pragma once

#include "core/time.h"

#include <chrono>

namespace cowslipline {

/// Equal parts into which every rate and burst is divided.
constexpr unsigned kAllotmentUnits = 240;

/// How long an owner counts a delegation, from the moment it sent the request,
/// and how often it requests renewal. Both are shorter while organisations of
/// the shard are in use, since after the owner's failure nobody can grant the
/// delegated tokens until the delegations have ended. The values belong to the
/// protocol version, since both sides must use the same.
constexpr duration kDelegationValidity = std::chrono::seconds(4);
constexpr duration kDelegationPeriod = std::chrono::milliseconds(1300);
constexpr duration kDelegationValidityInUse = std::chrono::milliseconds(800);
constexpr duration kDelegationPeriodInUse = std::chrono::milliseconds(250);

/// How long a shard counts as in use after the last request for a token. Longer
/// than the pauses between requests of small organisations; otherwise their
/// delegations would be the long ones when the owner fails.
constexpr duration kInUseTime = std::chrono::seconds(10);

/// How long an instance acts as interim owner of a shard after a member told it
/// that the owner has failed. Covers the time until membership names the next
/// owner.
constexpr duration kInterimOwnerTime = std::chrono::seconds(10);

/// How long a holder may use granted tokens, from the moment it sent its
/// request.
constexpr duration kTokenValidity = std::chrono::milliseconds(200);

/// Clock rates of two instances may differ by 2%. The side that must not reuse
/// a fraction or token early waits longer by this part than the side that uses
/// it.
constexpr int kClockRateMarginPercent = 2;

constexpr duration
WithClockRateMargin(duration aDuration)
{
  return aDuration + aDuration * kClockRateMarginPercent / 100;
}

/// An instance that had no contact with a peer or the store for kIsolationLimit
/// stops using its units, since others may reclaim them after kReclaimSilence.
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
