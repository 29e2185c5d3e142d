#include "modules/sync/zone_readers.h"

#include "core/hash.h"

#include <algorithm>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// A reader that has lost the store is tried again after this time: its state is
// then as recent as that of the other followers, and the trial costs one call.
constexpr duration kPassOverTime = 3s;

// Instances of a zone that take their turn as its reader. With a third of the
// instances turned away by the store, all three are in 1 case of 27.
constexpr std::size_t kCandidates = 3;

} // namespace

void
zone_readers::PassOver(const std::string& aName, steady_time aNow)
{
  mPassedOverUntil[aName] = aNow + kPassOverTime;
  for (auto entry = mPassedOverUntil.begin();
       entry != mPassedOverUntil.end();) {
    entry =
      entry->second <= aNow ? mPassedOverUntil.erase(entry) : std::next(entry);
  }
}

bool
zone_readers::IsPassedOver(const fleet_member& aMember, steady_time aNow) const
{
  const auto found = mPassedOverUntil.find(aMember.mName);
  return found != mPassedOverUntil.end() && aNow < found->second;
}

std::vector<const fleet_member*>
zone_readers::Candidates(steady_time aNow) const
{
  const auto item = Hash64("reader of the store");
  std::vector<std::pair<std::uint64_t, const fleet_member*>> weighted;
  weighted.emplace_back(RendezvousWeight(mMembers.Self().mName, item),
                        &mMembers.Self());
  for (const auto* peer : mMembers.ZonePeers(aNow)) {
    weighted.emplace_back(RendezvousWeight(peer->mName, item), peer);
  }
  const auto count = std::min(kCandidates, weighted.size());
  std::partial_sort(
    weighted.begin(),
    weighted.begin() + static_cast<std::ptrdiff_t>(count),
    weighted.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft > aRight; });
  std::vector<const fleet_member*> candidates;
  for (std::size_t i = 0; i < count; ++i) {
    candidates.push_back(weighted[i].second);
  }
  return candidates;
}

const fleet_member&
zone_readers::Reader(steady_time aNow) const
{
  const auto candidates = Candidates(aNow);
  const auto found = std::find_if(
    candidates.begin(), candidates.end(), [&](const fleet_member* aMember) {
      return !IsPassedOver(*aMember, aNow);
    });
  return found != candidates.end() ? **found : *candidates.front();
}

const fleet_member*
zone_readers::NextReader(steady_time aNow) const
{
  const auto& reader = Reader(aNow);
  for (const auto* candidate : Candidates(aNow)) {
    if (candidate->mName != reader.mName && !IsPassedOver(*candidate, aNow)) {
      return candidate;
    }
  }
  return nullptr;
}

} // namespace cowslipline
