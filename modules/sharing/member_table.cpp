#include "modules/sharing/member_table.h"

#include "core/hash.h"

#include <algorithm>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// How long a member that did not reply is skipped. It may be frozen or
// unreachable, and asking it again delays each waiting request by a tenth of a
// second.
constexpr duration kSkipTime = 1s;

// A removed member may still decide for instances that have not heard of its
// removal. All have after a few seconds.
constexpr duration kRemovedExpiry = 10s;

// Removed members that are asked for what they decided.
constexpr std::size_t kMaxPreviousOwners = 3;

bool
IsSameRegistration(const fleet_member& aLeft, const fleet_member& aRight)
{
  // Without the number a restarted process cannot be told from its predecessor.
  return aLeft.mRunId != 0 && aLeft.mRunId == aRight.mRunId &&
         aLeft.mAddress == aRight.mAddress &&
         aLeft.mAvailabilityZone == aRight.mAvailabilityZone;
}

} // namespace

member_table::member_table(fleet_member aSelf)
  : mSelf(std::move(aSelf))
{
}

void
member_table::Put(const fleet_member& aMember)
{
  if (aMember.mName == mSelf.mName) {
    mEpoch += mIsSelfRegistered ? 0 : 1;
    mIsSelfRegistered = true;
    return;
  }
  const auto* known = Find(aMember.mName);
  if (known != nullptr && IsSameRegistration(*known, aMember)) {
    return;
  }
  ++mEpoch;
  mMembers[aMember.mName] = { aMember, steady_time() };
  mRemoved.erase(aMember.mName);
}

void
member_table::Remove(std::string_view aName, steady_time aNow)
{
  for (auto entry = mRemoved.begin(); entry != mRemoved.end();) {
    const bool isOld = aNow - entry->second.mRemovedAt > kRemovedExpiry;
    entry = isOld ? mRemoved.erase(entry) : std::next(entry);
  }
  const auto found = mMembers.find(aName);
  if (found != mMembers.end()) {
    mRemoved[found->first] = { found->second.mMember, aNow };
    mMembers.erase(found);
    ++mEpoch;
  }
  if (aName == mSelf.mName) {
    mEpoch += mIsSelfRegistered ? 1 : 0;
    mIsSelfRegistered = false;
  }
}

const fleet_member*
member_table::Find(std::string_view aName) const
{
  const auto found = mMembers.find(aName);
  return found == mMembers.end() ? nullptr : &found->second.mMember;
}

std::vector<std::string>
member_table::RegisteredNames() const
{
  std::vector<std::string> names;
  names.reserve(mMembers.size() + 1);
  for (const auto& [name, state] : mMembers) {
    names.push_back(name);
  }
  if (mIsSelfRegistered) {
    names.push_back(mSelf.mName);
  }
  return names;
}

void
member_table::OnMessageFrom(std::string_view aName)
{
  const auto found = mMembers.find(aName);
  if (found != mMembers.end()) {
    found->second.mSkippedUntil = steady_time();
  }
}

void
member_table::OnNoReply(const fleet_member& aAsked, steady_time aNow)
{
  const auto found = mMembers.find(aAsked.mName);
  if (found != mMembers.end() &&
      found->second.mMember.mRunId == aAsked.mRunId) {
    found->second.mSkippedUntil = aNow + kSkipTime;
  }
}

bool
member_table::IsInUse(const member_state& aState, steady_time aNow)
{
  return aNow >= aState.mSkippedUntil;
}

std::size_t
member_table::Count(steady_time aNow) const
{
  return 1 + static_cast<std::size_t>(std::count_if(
               mMembers.begin(), mMembers.end(), [&](const auto& aEntry) {
                 return IsInUse(aEntry.second, aNow);
               }));
}

std::vector<const fleet_member*>
member_table::OwnersOf(std::string_view aItem,
                       std::size_t aCount,
                       steady_time aNow) const
{
  const auto item = Hash64(aItem);
  std::vector<std::pair<std::uint64_t, const fleet_member*>> weighted;
  for (const auto& [name, state] : mMembers) {
    if (IsInUse(state, aNow)) {
      weighted.emplace_back(RendezvousWeight(name, item), &state.mMember);
    }
  }
  if (mIsSelfRegistered || weighted.empty()) {
    weighted.emplace_back(RendezvousWeight(mSelf.mName, item), &mSelf);
  }
  const auto count = std::min(aCount, weighted.size());
  std::partial_sort(
    weighted.begin(),
    weighted.begin() + static_cast<std::ptrdiff_t>(count),
    weighted.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft > aRight; });
  std::vector<const fleet_member*> owners;
  for (std::size_t i = 0; i < count; ++i) {
    owners.push_back(weighted[i].second);
  }
  return owners;
}

bool
member_table::IsFirstOwner(std::string_view aItem) const
{
  if (!mIsSelfRegistered && !mMembers.empty()) {
    return false;
  }
  const auto item = Hash64(aItem);
  const auto ownWeight = RendezvousWeight(mSelf.mName, item);
  return std::all_of(mMembers.begin(), mMembers.end(), [&](const auto& aEntry) {
    return RendezvousWeight(aEntry.first, item) < ownWeight;
  });
}

std::vector<fleet_member>
member_table::PreviousOwnersOf(std::string_view aItem, steady_time aNow) const
{
  const auto item = Hash64(aItem);
  const auto ownWeight = RendezvousWeight(mSelf.mName, item);
  using weighted_member = std::pair<std::uint64_t, const fleet_member*>;
  std::vector<weighted_member> removed;
  for (const auto& [name, state] : mRemoved) {
    const auto weight = RendezvousWeight(name, item);
    if (weight > ownWeight && aNow - state.mRemovedAt <= kRemovedExpiry) {
      removed.emplace_back(weight, &state.mMember);
    }
  }
  // The members that came right before this one are the likeliest.
  std::sort(removed.begin(), removed.end());
  removed.resize(std::min(removed.size(), kMaxPreviousOwners));
  weighted_member present{ 0, nullptr };
  for (const auto& [name, state] : mMembers) {
    present =
      std::max(present, { RendezvousWeight(name, item), &state.mMember });
  }
  std::vector<fleet_member> previous;
  previous.reserve(removed.size() + 1);
  for (const auto& [weight, member] : removed) {
    previous.push_back(*member);
  }
  if (present.second != nullptr) {
    previous.push_back(*present.second);
  }
  return previous;
}

const fleet_member&
member_table::ZoneOwnerOf(std::string_view aItem, steady_time aNow) const
{
  return *OwnerIn(mSelf.mAvailabilityZone, aItem, aNow);
}

const fleet_member*
member_table::OwnerIn(std::string_view aAvailabilityZone,
                      std::string_view aItem,
                      steady_time aNow) const
{
  const auto item = Hash64(aItem);
  const bool isOwnZone = aAvailabilityZone == mSelf.mAvailabilityZone;
  const auto* owner = isOwnZone ? &mSelf : nullptr;
  auto highestWeight = isOwnZone ? RendezvousWeight(mSelf.mName, item) : 0;
  for (const auto& [name, state] : mMembers) {
    if (state.mMember.mAvailabilityZone != aAvailabilityZone ||
        !IsInUse(state, aNow)) {
      continue;
    }
    const auto weight = RendezvousWeight(name, item);
    if (owner == nullptr || weight > highestWeight) {
      highestWeight = weight;
      owner = &state.mMember;
    }
  }
  return owner;
}

std::vector<const fleet_member*>
member_table::ZonePeers(steady_time aNow) const
{
  std::vector<const fleet_member*> peers;
  for (const auto& [name, state] : mMembers) {
    if (state.mMember.mAvailabilityZone == mSelf.mAvailabilityZone &&
        IsInUse(state, aNow)) {
      peers.push_back(&state.mMember);
    }
  }
  return peers;
}

std::vector<const fleet_member*>
member_table::OtherZoneRelays(std::uint64_t aRound, steady_time aNow) const
{
  std::map<std::string_view, std::vector<const fleet_member*>> zones;
  for (const auto& [name, state] : mMembers) {
    if (state.mMember.mAvailabilityZone != mSelf.mAvailabilityZone &&
        IsInUse(state, aNow)) {
      zones[state.mMember.mAvailabilityZone].push_back(&state.mMember);
    }
  }
  std::vector<const fleet_member*> relays;
  relays.reserve(zones.size());
  for (const auto& [zone, members] : zones) {
    relays.push_back(members[aRound % members.size()]);
  }
  return relays;
}

} // namespace cowslipline
