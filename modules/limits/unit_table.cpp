#include "modules/limits/unit_table.h"

#include "core/cbor.h"
#include "core/check.h"
#include "modules/limits/limit_constants.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

using nlohmann::json;

constexpr int kTableVersion = 1;

unsigned
SumOf(const unit_table::entries& aEntries)
{
  unsigned sum = 0;
  for (const auto& [name, entry] : aEntries) {
    sum += entry.mUnits;
  }
  return sum;
}

result<unit_table::entries>
EntriesFrom(const json& aValue)
{
  unit_table::entries entries;
  unsigned sum = 0;
  for (const auto& [name, item] : aValue.at("h").items()) {
    const unit_entry entry{ item.at(0).get<std::uint64_t>(),
                            item.at(1).get<unsigned>(),
                            item.at(2).get<std::uint64_t>(),
                            item.at(3).get<bool>() };
    if (entry.mUnits > kAllotmentUnits) {
      return Fail(errc::MessageMalformed);
    }
    sum += entry.mUnits;
    entries.emplace(name, entry);
  }
  if (sum > kAllotmentUnits) {
    return Fail(errc::MessageMalformed);
  }
  return entries;
}

} // namespace

result<unit_table>
unit_table::Parse(std::string_view aValue)
{
  const auto value = DecodeCbor(aValue).value_or(json());
  if (!value.is_object() || value.value("v", json()) != kTableVersion) {
    return Fail(errc::MessageMalformed);
  }
  try {
    auto entries = EntriesFrom(value);
    COWSLIPLINE_PROPAGATE(entries);
    unit_table table;
    table.mEntries = std::move(*entries);
    return table;
  } catch (const json::exception&) {
    return Fail(errc::MessageMalformed);
  }
}

std::string
unit_table::Serialise() const
{
  COWSLIPLINE_INVARIANT(SumOf(mEntries) <= kAllotmentUnits,
                        "the fractions in the table exceed 1");
  auto holders = json::object();
  for (const auto& [name, entry] : mEntries) {
    holders[name] = {
      entry.mBoot, entry.mUnits, entry.mWriteId, entry.mIsMarked
    };
  }
  std::string bytes;
  json::to_cbor(json{ { "v", kTableVersion }, { "h", std::move(holders) } },
                bytes);
  return bytes;
}

const unit_entry*
unit_table::Find(std::string_view aName) const
{
  const auto found = mEntries.find(aName);
  return found == mEntries.end() ? nullptr : &found->second;
}

unsigned
unit_table::Held(std::string_view aName) const
{
  const auto* entry = Find(aName);
  return entry == nullptr ? 0 : entry->mUnits;
}

unsigned
unit_table::Free() const
{
  return kAllotmentUnits - SumOf(mEntries);
}

void
unit_table::Set(const instance_name& aName, const unit_entry& aEntry)
{
  if (aEntry.mUnits == 0) {
    mEntries.erase(aName);
  } else {
    mEntries[aName] = aEntry;
  }
}

unsigned
unit_table::TargetFor(const instance_name& aName,
                      const std::vector<instance_name>& aLive) const
{
  const auto count = std::max<unsigned>(1, aLive.size());
  const auto lower = kAllotmentUnits / count;
  const auto upper = (kAllotmentUnits + count - 1) / count;
  const auto held = Held(aName);
  const auto available = Free();
  const auto lacking = Lacking(aLive, lower);
  if (held < lower) {
    return std::min(lower, held + available);
  }
  if (available > lacking) {
    return std::max(held, std::min(upper, held + available - lacking));
  }
  if (held > upper && Lacking(aLive, upper) > available) {
    return upper;
  }
  return held - UnitsToGive(aName, aLive, lacking - available, lower);
}

/// Units that live instances lack to hold aShare each.
unsigned
unit_table::Lacking(const std::vector<instance_name>& aLive,
                    unsigned aShare) const
{
  unsigned lacking = 0;
  for (const auto& name : aLive) {
    lacking += aShare - std::min(aShare, Held(name));
  }
  return lacking;
}

/// The part of the lacking units that aName should give back. Units are taken
/// one by one from the largest holder, so that all instances compute the same
/// result and each gives only its part.
unsigned
unit_table::UnitsToGive(const instance_name& aName,
                        const std::vector<instance_name>& aLive,
                        unsigned aLacking,
                        unsigned aShare) const
{
  std::vector<std::pair<unsigned, instance_name>> holders;
  holders.reserve(aLive.size());
  for (const auto& name : aLive) {
    holders.emplace_back(Held(name), name);
  }
  std::make_heap(holders.begin(), holders.end());
  unsigned surplus = 0;
  for (; aLacking > 0 && holders.front().first > aShare; --aLacking) {
    std::pop_heap(holders.begin(), holders.end());
    auto& largest = holders.back();
    --largest.first;
    surplus += largest.second == aName ? 1 : 0;
    std::push_heap(holders.begin(), holders.end());
  }
  return surplus;
}

} // namespace cowslipline
