#pragma once

#include "core/time.h"
#include "modules/sharing/peer_message.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

/// Registration of an instance of the fleet.
struct fleet_member
{
  std::string mName;
  std::string mAvailabilityZone;
  udp_endpoint mAddress; ///< UDP address for peer messages.
  /// Random number of the process; 0: not named.
  std::uint64_t mRunId = 0;
};

/// Membership table: the registered instances of the fleet, and which of them
/// are skipped for a while because they did not reply. Names the owners of an
/// item by rendezvous hashing, so that instances with the same registrations
/// name the same owners. Messages from a member do not keep it in the table
/// once its registration is gone: otherwise the instances that still receive
/// them and those that do not would name different owners.
class member_table
{
public:
  explicit member_table(fleet_member aSelf);

  const fleet_member& Self() const { return mSelf; }

  /// Adds the registration of a member, or replaces it. One that is known
  /// already, as in a full read of the store, changes nothing.
  void Put(const fleet_member& aMember);
  /// Removes a member whose registration has ended.
  void Remove(std::string_view aName, steady_time aNow);

  /// Nothing for a member that is not registered, and for this instance.
  const fleet_member* Find(std::string_view aName) const;

  /// Names of the registered members, this instance's included if it is
  /// registered.
  std::vector<std::string> RegisteredNames() const;

  /// Ends the skipping of a member that sent a message.
  void OnMessageFrom(std::string_view aName);
  /// Skips a member for a second because it did not reply. aAsked: as
  /// registered when it was asked; a process that has registered since was not.
  void OnNoReply(const fleet_member& aAsked, steady_time aNow);

  /// Number of members that are not skipped, this instance included.
  std::size_t Count(steady_time aNow) const;

  /// The first aCount owners of the item among the members that are not
  /// skipped, by descending rendezvous weight: the second owner replaces the
  /// first while the first does not reply. This instance is included only while
  /// it is registered, since the other instances do not know it otherwise, or
  /// if there is no other member.
  std::vector<const fleet_member*> OwnersOf(std::string_view aItem,
                                            std::size_t aCount,
                                            steady_time aNow) const;

  /// True if this instance is the first owner of the item among all registered
  /// members, skipped ones included: no other instance is asked before it.
  bool IsFirstOwner(std::string_view aItem) const;

  /// Members that may have been the item's owner before this instance: those
  /// before it in the order of owners that were removed in the last seconds, a
  /// few at most, and the first of the other registered members, skipped ones
  /// included.
  std::vector<fleet_member> PreviousOwnersOf(std::string_view aItem,
                                             steady_time aNow) const;

  /// Owner of the item among this instance and the members of its availability
  /// zone that are not skipped.
  const fleet_member& ZoneOwnerOf(std::string_view aItem,
                                  steady_time aNow) const;

  /// Owner of the item among the members of the availability zone that are not
  /// skipped, this instance included in its own zone. Nothing for a zone
  /// without members.
  const fleet_member* OwnerIn(std::string_view aAvailabilityZone,
                              std::string_view aItem,
                              steady_time aNow) const;

  /// The other members of this instance's availability zone that are not
  /// skipped.
  std::vector<const fleet_member*> ZonePeers(steady_time aNow) const;

  /// One member of each other availability zone that is not skipped, to pass
  /// messages on inside its zone. Round-robin over aRound, to spread the load.
  std::vector<const fleet_member*> OtherZoneRelays(std::uint64_t aRound,
                                                   steady_time aNow) const;

  /// Version of the set of registrations: increases whenever that changes.
  std::uint64_t Epoch() const { return mEpoch; }

private:
  struct member_state
  {
    fleet_member mMember;
    steady_time mSkippedUntil;
  };

  static bool IsInUse(const member_state& aState, steady_time aNow);

  fleet_member mSelf;
  bool mIsSelfRegistered = false;
  std::map<std::string, member_state, std::less<>> mMembers;
  struct removed_member
  {
    fleet_member mMember;
    steady_time mRemovedAt;
  };
  std::map<std::string, removed_member, std::less<>> mRemoved;
  std::uint64_t mEpoch = 1;
};

} // namespace cowslipline
