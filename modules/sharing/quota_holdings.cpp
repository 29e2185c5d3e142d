#include "modules/sharing/quota_holdings.h"

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// A first owner takes a quota back after this time: the instance that asked for
// it knew of other registrations, and all know the same ones by then.
constexpr duration kReclaimAfter = 1s;

constexpr duration kHandedOverExpiry = 10s;
constexpr duration kHeldExpiry = 120s;

// A repeated request for a quota comes within this time.
constexpr duration kRepeatTime = 200ms;

} // namespace

quota_place
quota_holdings::PlaceOf(std::string_view aOrganisation,
                        const owner_standing& aStanding,
                        steady_time aNow) const
{
  const auto found = mEntries.find(aOrganisation);
  if (found == mEntries.end()) {
    return quota_not_held{};
  }
  struct visitor
  {
    const owner_standing& mStanding;
    steady_time mNow;

    quota_place operator()(const held_entry& aEntry) const
    {
      const bool isOwner =
        mStanding.mIsFirstOwner && mStanding.mEpoch == aEntry.mEpoch;
      const bool isHeld =
        isOwner || mNow - aEntry.mDecidedAt <= kMaxContinuousGap;
      return isHeld ? quota_place(quota_held{}) : quota_not_held{};
    }
    quota_place operator()(const handed_over_entry& aEntry) const
    {
      const auto limit =
        mStanding.mIsFirstOwner ? kReclaimAfter : kHandedOverExpiry;
      const bool isValid = mNow - aEntry.mHandedOverAt <= limit;
      return isValid ? quota_place(quota_handed_over{ aEntry.mTo })
                     : quota_not_held{};
    }
  };
  return std::visit(visitor{ aStanding, aNow }, found->second);
}

void
quota_holdings::Hold(std::string_view aOrganisation,
                     const owner_standing& aStanding,
                     steady_time aNow)
{
  mEntries.insert_or_assign(std::string(aOrganisation),
                            held_entry{ aStanding.mEpoch, aNow });
}

void
quota_holdings::HandOver(std::string_view aOrganisation,
                         const udp_endpoint& aTo,
                         const std::optional<quota_state>& aState,
                         steady_time aNow)
{
  mEntries.insert_or_assign(std::string(aOrganisation),
                            handed_over_entry{ aTo, aState, aNow });
}

std::optional<udp_endpoint>
quota_holdings::HandedOverTo(std::string_view aOrganisation) const
{
  const auto found = mEntries.find(aOrganisation);
  const auto* handed = found == mEntries.end()
                         ? nullptr
                         : std::get_if<handed_over_entry>(&found->second);
  return handed == nullptr ? std::nullopt : std::optional(handed->mTo);
}

std::optional<quota_state>
quota_holdings::HandedOverState(std::string_view aOrganisation,
                                const udp_endpoint& aTo,
                                steady_time aNow) const
{
  const auto found = mEntries.find(aOrganisation);
  if (found == mEntries.end()) {
    return std::nullopt;
  }
  const auto* handed = std::get_if<handed_over_entry>(&found->second);
  const bool isRepeated = handed != nullptr && handed->mTo == aTo &&
                          aNow - handed->mHandedOverAt <= kRepeatTime;
  return isRepeated ? handed->mState : std::nullopt;
}

void
quota_holdings::Forget(std::string_view aOrganisation)
{
  const auto found = mEntries.find(aOrganisation);
  if (found != mEntries.end()) {
    mEntries.erase(found);
  }
}

void
quota_holdings::Prune(steady_time aNow)
{
  struct visitor
  {
    steady_time mNow;

    bool operator()(const held_entry& aEntry) const
    {
      return mNow - aEntry.mDecidedAt > kHeldExpiry;
    }
    bool operator()(const handed_over_entry& aEntry) const
    {
      return mNow - aEntry.mHandedOverAt > kHandedOverExpiry;
    }
  };
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    const bool isExpired = std::visit(visitor{ aNow }, entry->second);
    entry = isExpired ? mEntries.erase(entry) : std::next(entry);
  }
}

} // namespace cowslipline
