#pragma once

#include "core/time.h"

#include <asio/ip/udp.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

using udp_endpoint = asio::ip::udp::endpoint;

/// An instance of the fleet as it registered itself.
struct fleet_member
{
  std::string mName;
  std::string mAvailabilityZone;
  udp_endpoint mAddress; ///< Receives peer messages.
};

/// The instances of the fleet as their registrations name them, and those that
/// are passed over for a while because they do not reply. What an instance
/// hears does not keep a member whose registration is gone: those that hear it
/// and those that do not would name different owners.
class member_table
{
public:
  explicit member_table(fleet_member aSelf);

  const fleet_member& Self() const { return mSelf; }

  void Put(const fleet_member& aMember);
  /// The registration is gone.
  void Remove(std::string_view aName);

  /// The registrations that are known, this instance's among them.
  std::vector<std::string> Registered() const;

  void OnHeard(std::string_view aName);
  void OnNoReply(std::string_view aName, steady_time aNow);

  /// Members in use, this instance included.
  std::size_t Count(steady_time aNow) const;

  /// Members in use in the order in which they own the item: the second one
  /// replaces the first while that does not reply. This instance is among them
  /// while it is registered, or alone: without a registration the others do not
  /// count on it.
  std::vector<const fleet_member*> OwnersOf(std::string_view aItem,
                                            std::size_t aCount,
                                            steady_time aNow) const;

  /// True when this instance owns the item as long as all members reply: no
  /// other instance is asked about it first.
  bool IsFirstOwner(std::string_view aItem) const;

  /// The member in use of this instance's availability zone that owns the
  /// item; this instance itself among them.
  const fleet_member& ZoneOwnerOf(std::string_view aItem,
                                  steady_time aNow) const;

  /// The other members in use of this instance's availability zone.
  std::vector<const fleet_member*> ZonePeers(steady_time aNow) const;

  /// One member in use of each other availability zone, by turns.
  std::vector<const fleet_member*> Relays(std::uint64_t aTurn,
                                          steady_time aNow) const;

  /// Grows whenever the set of registrations changes.
  std::uint64_t Epoch() const { return mEpoch; }

private:
  struct member_state
  {
    fleet_member mMember;
    steady_time mPassedOverUntil;
  };

  static bool IsInUse(const member_state& aState, steady_time aNow);

  fleet_member mSelf;
  bool mIsSelfRegistered = false;
  std::map<std::string, member_state, std::less<>> mMembers;
  std::uint64_t mEpoch = 1;
};

} // namespace cowslipline
