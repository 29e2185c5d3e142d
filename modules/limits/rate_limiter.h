#pragma once

#include "core/kernel.h"
#include "core/metrics.h"
#include "core/scheduler.h"
#include "modules/configuration/snapshot.h"
#include "modules/fleet/membership.h"
#include "modules/fleet/peer_channel.h"
#include "modules/limits/allotment_manager.h"
#include "modules/limits/local_fraction.h"
#include "modules/limits/organisation_limits.h"
#include "modules/limits/shard_owner.h"
#include "modules/limits/token_client.h"
#include "platform/key_value_store.h"

#include <memory>
#include <string_view>

namespace cowslipline {

/// The services that the limiter uses.
struct limiter_services
{
  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<key_value_store> mStore;
  std::shared_ptr<peer_channel> mChannel;
  std::shared_ptr<membership> mMembership;
  std::shared_ptr<snapshot_source> mSnapshots;
  std::shared_ptr<metrics> mMetrics;
};

/// Distributed token-bucket rate limiter. Enforces the rate and burst of each
/// organisation across the fleet: over any window, all instances together admit
/// at most rate x window + burst. Used on the control thread.
class rate_limiter : public std::enable_shared_from_this<rate_limiter>
{
public:
  static std::shared_ptr<rate_limiter> Create(limiter_services aServices);

  /// Registers the peer handlers and starts the periodic tasks.
  void Start();

  /// Waits at most aWait for a token. Errors: errc::RateLimited;
  /// errc::NotReady when there is no configuration, or when no owner answers
  /// and this instance has no fraction of its own.
  result<void> Admit(std::string_view aOrganisation,
                     duration aWait,
                     yield_context aYield);

  /// Delay for the Retry-After header after Admit() has refused.
  duration SuggestedRetryDelay(std::string_view aOrganisation) const;

  /// Leaves gracefully: stops granting and delegating, then gives back the
  /// units. Takes about 5 s. Admit() continues to work with tokens of other
  /// owners. Errors: those of the store; the units are then reclaimed by
  /// others.
  result<void> Leave(yield_context aYield);

  /// Organisations with state in this instance, for metrics and benchmarks.
  std::size_t OrganisationCount() const;

  unsigned Units() const { return mLocalFraction.Units(); }

private:
  explicit rate_limiter(limiter_services aServices);

  void Maintain(yield_context aYield);
  void WatchDelegations(yield_context aYield);
  void NotifyNextOwners(const instance_name& aFailed, shard_mask aShards);
  void SendNotices();
  void Ping(yield_context aYield);
  result<std::string> HandleDelegationMessage(const instance_name& aFrom,
                                              std::string_view aPayload);
  result<std::string> HandleTokens(const instance_name& aFrom,
                                   std::string_view aPayload);
  delegation_reply Delegate(const instance_name& aFrom,
                            const delegation_message& aMessage);
  void Release(const instance_name& aFrom, const delegation_message& aMessage);

  limiter_services mServices;
  scheduler& mScheduler;
  organisation_limits mLimits;
  local_fraction mLocalFraction;
  allotment_manager mAllotment;
  shard_owner mOwner;
  token_client mClient;
  bool mHasLeft = false;
};

} // namespace cowslipline
