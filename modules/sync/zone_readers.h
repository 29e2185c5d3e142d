#pragma once

#include "modules/sharing/member_table.h"

#include <map>
#include <string>

namespace cowslipline {

/// Names the instance that watches the store for its availability zone: the
/// first by rendezvous hashing that has not lost the store or been silent
/// lately. Only a few instances of a zone take their turn, so that an outage of
/// the store does not make each of them a caller. Answers the load of a store
/// that is away or turns some instances away; no network, and the time is an
/// argument.
class zone_readers
{
public:
  explicit zone_readers(const member_table& aMembers)
    : mMembers(aMembers)
  {
  }

  /// The member has no recent state of the store, or does not reply. Passes
  /// over it for some seconds.
  void PassOver(const std::string& aName, steady_time aNow);

  const fleet_member& Reader(steady_time aNow) const;
  /// The instance that takes over from the reader; nullptr if there is no other
  /// candidate.
  const fleet_member* NextReader(steady_time aNow) const;

private:
  /// By descending rendezvous weight.
  std::vector<const fleet_member*> Candidates(steady_time aNow) const;
  bool IsPassedOver(const fleet_member& aMember, steady_time aNow) const;

  const member_table& mMembers;
  std::map<std::string, steady_time> mPassedOverUntil;
};

} // namespace cowslipline
