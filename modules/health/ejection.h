#pragma once

#include "core/result.h"
#include "modules/fleet/peer_channel.h"
#include "modules/health/health_types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cowslipline {

enum class ejection_reason : std::uint8_t
{
  Errors,
  ConnectFailures,
  Slow,
};

/// Log and admin name of a reason.
std::string_view
NameOf(ejection_reason aReason);

/// Whose path to the target is at fault. Without zones and instance the
/// target itself is.
struct ejection_scope
{
  std::vector<std::string> mZones;
  instance_name mInstance;

  bool IsFleet() const { return mZones.empty() && mInstance.empty(); }
  bool Includes(const instance_name& aInstance, std::string_view aZone) const;
  /// "fleet", "zones a b" or "instance a".
  std::string Text() const;
};

/// The counts that a decision rests on.
struct ejection_evidence
{
  std::uint64_t mRequests = 0;
  std::uint64_t mFailures = 0;
  std::uint32_t mInstances = 0; ///< Instances that saw failures.
  double mScore = 0;            ///< Log-likelihood ratio, in nats.
};

/// A decision that a target is out of use until it expires.
struct ejection
{
  std::uint32_t mService = 0; ///< NameHash of the service.
  std::uint32_t mTarget = 0;  ///< NameHash of the target.
  std::uint64_t mSequence = 0;
  ejection_reason mReason = ejection_reason::Errors;
  ejection_scope mScope;
  ejection_evidence mEvidence;
  /// Share of failing requests, 0 to 1; the floor keeps the lowest in use.
  double mSeverity = 0;
  /// Time left when the message is sent; 0 or less withdraws the ejection.
  std::chrono::milliseconds mTimeLeft{ 0 };
};

/// Equal at owner and holder when they know the same ejections, in any order.
std::uint32_t
DigestOf(const std::vector<ejection>& aEjections);

std::string
EncodeEjections(const std::vector<ejection>& aEjections);

/// Errors: errc::MessageMalformed.
result<std::vector<ejection>>
DecodeEjections(std::string_view aPayload);

} // namespace cowslipline
