#pragma once

#include "modules/routing/routing.h"
#include "modules/sharing/member_table.h"

#include <map>
#include <string>

namespace cowslipline {

/// Remembers the targets and instances that have left in the last minute. A
/// store that has come back from an older copy lists them again until their
/// leases expire; an entry that the owner has written since is told from that
/// copy by what the owner says of itself.
class departed_entries
{
public:
  void OnTargetRemoved(const target_entry& aLast, steady_time aNow);
  void OnMemberRemoved(const fleet_member& aLast, steady_time aNow);
  void OnTargetReturned(const std::string& aId) { mTargets.erase(aId); }
  /// The departure of another process of the instance is still remembered.
  void OnMemberReturned(const fleet_member& aMember);

  /// True if the target has left, and aRead is not newer than its last entry.
  bool HasLeft(const target_entry& aRead) const;
  /// True if this process of the instance has left.
  bool HasLeft(const fleet_member& aRead) const;

  void Prune(steady_time aNow);

private:
  template<typename Entry>
  struct departed
  {
    Entry mLast;
    steady_time mAt;
  };

  std::map<std::string, departed<target_entry>> mTargets;
  std::map<std::string, departed<fleet_member>> mMembers;
};

} // namespace cowslipline
