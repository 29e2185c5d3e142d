#pragma once

#include "modules/sharing/peer_link.h"
#include "modules/sharing/quota_bucket.h"

#include <map>
#include <variant>

namespace cowslipline {

/// This instance decides on the organisation's requests.
struct quota_held
{};

/// Another instance has taken the quota over from this one.
struct quota_handed_over
{
  udp_endpoint mTo;
};

/// Not known: another instance may decide, and has to hand the quota over.
struct quota_not_held
{};

using quota_place = std::variant<quota_held, quota_handed_over, quota_not_held>;

/// What this instance knows of the owners of an organisation's quota.
struct owner_standing
{
  /// By the registrations that this instance knows.
  bool mIsFirstOwner = false;
  std::uint64_t mEpoch = 0; ///< Of these registrations.
};

/// Which quotas this instance decides on, and to which instances it has handed
/// others over. Instances learn of a change of the registrations at different
/// times, and ask different owners until all have: if each of these decided on
/// its own, the fleet would admit a quota once for each of them. A quota is
/// therefore held by one instance, which gives it up only by handing it over;
/// others forward the requests that they are asked about.
class quota_holdings
{
public:
  quota_place PlaceOf(std::string_view aOrganisation,
                      const owner_standing& aStanding,
                      steady_time aNow) const;

  /// This instance has taken the quota over, or decided on a request.
  void Hold(std::string_view aOrganisation,
            const owner_standing& aStanding,
            steady_time aNow);

  /// aState: what the instance at aTo was sent, to be sent again if it repeats
  /// its request.
  void HandOver(std::string_view aOrganisation,
                const udp_endpoint& aTo,
                const std::optional<quota_state>& aState,
                steady_time aNow);

  /// The instance that the quota was last handed over to.
  std::optional<udp_endpoint> HandedOverTo(
    std::string_view aOrganisation) const;

  /// The state that was sent to the instance at aTo a moment ago.
  std::optional<quota_state> HandedOverState(std::string_view aOrganisation,
                                             const udp_endpoint& aTo,
                                             steady_time aNow) const;

  /// The instance to which the quota was handed over does not reply.
  void Forget(std::string_view aOrganisation);

  void Prune(steady_time aNow);

private:
  struct held_entry
  {
    std::uint64_t mEpoch = 0;
    steady_time mDecidedAt;
  };
  struct handed_over_entry
  {
    udp_endpoint mTo;
    std::optional<quota_state> mState;
    steady_time mHandedOverAt;
  };
  using entry = std::variant<held_entry, handed_over_entry>;

  std::map<std::string, entry, std::less<>> mEntries;
};

} // namespace cowslipline
