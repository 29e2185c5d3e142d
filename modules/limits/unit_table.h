#pragma once

#include "core/check.h"
#include "core/result.h"
#include "modules/fleet/peer_channel.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

/// Units of one instance in the table.
struct unit_entry
{
  std::uint64_t mBoot = 0;
  unsigned mUnits = 0;
  /// Random number of the holder's last write. Shows whether a write without an
  /// answer was applied, and whether the holder has been active.
  std::uint64_t mWriteId = 0;
  /// Another instance intends to reclaim the units. The holder removes the
  /// mark when it reads it.
  bool mIsMarked = false;
};

/// The content of the store's value "fleet/allotments": which instance holds
/// how many of the units. The sum is at most kAllotmentUnits.
class unit_table
{
public:
  using entries = std::map<instance_name, unit_entry, std::less<>>;

  /// Errors: errc::MessageMalformed, also when the sum is too large.
  static result<unit_table> Parse(std::string_view aValue);
  std::string Serialise() const;

  const entries& Entries() const { return mEntries; }
  const unit_entry* Find(std::string_view aName) const;
  unsigned Held(std::string_view aName) const;
  unsigned Free() const;

  /// Sets an entry; one without units is removed.
  void Set(const instance_name& aName, const unit_entry& aEntry);

  /// The units that an instance should hold, given the live instances (itself
  /// included). More than it holds now only as far as units are free; less only
  /// when another live instance lacks them.
  unsigned TargetFor(const instance_name& aName,
                     const std::vector<instance_name>& aLive) const;

private:
  unsigned Lacking(const std::vector<instance_name>& aLive,
                   unsigned aShare) const;
  unsigned UnitsToGive(const instance_name& aName,
                       const std::vector<instance_name>& aLive,
                       unsigned aLacking,
                       unsigned aShare) const;

  entries mEntries;
};

} // namespace cowslipline
