#pragma once

#include "core/hash.h"
#include "core/metrics.h"
#include "core/scheduler.h"
#include "modules/fleet/membership.h"
#include "modules/fleet/peer_channel.h"
#include "modules/health/health_types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>

namespace cowslipline {

/// Protection from poison requests (queries of death): quarantines a request
/// for 10 minutes after it crashed two different targets within 10 minutes.
/// Requests are identified by fingerprint; the owner of the fingerprint's shard
/// collects the crashes that all instances report.
class request_quarantine
{
public:
  request_quarantine(std::shared_ptr<scheduler> aScheduler,
                     std::shared_ptr<peer_channel> aChannel,
                     std::shared_ptr<membership> aMembership,
                     std::shared_ptr<metrics> aMetrics);

  /// Registers the peer handlers.
  void Start();

  bool IsQuarantined(const digest16& aFingerprint) const;

  /// Records that an attempt of this request ended in a connection reset, or
  /// that its target refused connections afterwards.
  void RecordCrash(const digest16& aFingerprint,
                   std::string_view aService,
                   std::string_view aTarget);

private:
  struct entry
  {
    /// Time of the last crash of each target, by hash of service and target.
    std::map<std::uint32_t, steady_time> mCrashes;
    steady_time mQuarantinedUntil{};
    steady_time mChanged{};
  };

  void Add(const digest16& aFingerprint, std::uint32_t aTarget);
  /// Quarantines the request here and at all members.
  void Quarantine(const digest16& aFingerprint);
  void RemoveOldest();
  void HandleCrash(std::string_view aPayload);
  void HandleQuarantine(std::string_view aPayload);

  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<peer_channel> mChannel;
  std::shared_ptr<membership> mMembership;
  std::shared_ptr<metrics> mMetrics;
  std::map<digest16, entry> mEntries;
};

} // namespace cowslipline
