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

/// Name of the reason in log lines and the admin interface.
std::string_view
NameOf(ejection_reason aReason);

/// The instances for which a target is ejected: one instance or the instances
/// of some availability zones when their network path is faulty, and the whole
/// fleet (both members empty) when the target itself is.
struct ejection_scope
{
  std::vector<std::string> mZones;
  instance_name mInstance;

  bool IsFleet() const { return mZones.empty() && mInstance.empty(); }
  bool Includes(const instance_name& aInstance, std::string_view aZone) const;
  /// "fleet", "zones a b" or "instance a".
  std::string Text() const;
};

/// Counts that led to an ejection.
struct ejection_evidence
{
  std::uint64_t mRequests = 0;
  std::uint64_t mFailures = 0;
  std::uint32_t mInstances = 0; ///< Instances that reported failures.
  double mScore = 0;            ///< Log-likelihood ratio, in nats.
};

/// Outlier ejection: the decision of a service's owner to take a target out of
/// use for a limited time. It is sent to all members.
struct ejection
{
  std::uint32_t mService = 0; ///< NameHash of the service.
  std::uint32_t mTarget = 0;  ///< NameHash of the target.
  /// Identifies the ejection among those of its owner; increases.
  std::uint64_t mSequence = 0;
  ejection_reason mReason = ejection_reason::Errors;
  ejection_scope mScope;
  ejection_evidence mEvidence;
  /// Share of failing requests, 0 to 1. When the service's floor forbids that
  /// all ejected targets are out, those of lowest severity stay in use.
  double mSeverity = 0;
  /// Remaining time when the message is sent; 0 or less withdraws the ejection.
  std::chrono::milliseconds mTimeLeft{ 0 };
};

/// Digest of targets and sequences, independent of the order. The owner
/// compares it with a member's digest to find lost messages.
std::uint32_t
DigestOf(const std::vector<ejection>& aEjections);

/// CBOR array with one array per ejection: [service, target, sequence, reason,
/// zones, instance, requests, failures, instances, score * 100,
/// severity * 1000, time left in ms].
std::string
EncodeEjections(const std::vector<ejection>& aEjections);

/// Errors: errc::MessageMalformed.
result<std::vector<ejection>>
DecodeEjections(std::string_view aPayload);

} // namespace cowslipline
