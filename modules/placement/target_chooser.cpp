#include "modules/placement/target_chooser.h"

#include <algorithm>
#include <cmath>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// A report of load is repeated at least this often while it is not zero; an
// older one is of an instance that has ended.
constexpr duration kRemoteLoadValidity = 2s;

// Weight of one request more at a cold target, which works at half speed.
constexpr double kColdFactor = 2.0;

// A target of another zone is worth its bytes only when the own zone's best
// has this much load more, in requests for each slot.
constexpr double kZoneAdvantage = 0.75;

/// Order in which targets are considered; the lowest rank that has a candidate
/// is used.
enum class placement_rank
{
  Preferred,
  OnTrial,
  Full,
  Avoided,
};

} // namespace

target_chooser::target_chooser(std::string aAvailabilityZone,
                               double aFloorShare,
                               std::uint64_t aSeed)
  : mAvailabilityZone(std::move(aAvailabilityZone))
  , mFloorShare(aFloorShare)
  , mRandom(aSeed)
{
}

double
target_chooser::LoadOf(const placement_candidate& aCandidate,
                       steady_time aNow) const
{
  const auto found = mLoads.find(std::string(aCandidate.mId));
  double requests = 0;
  if (found != mLoads.end()) {
    requests = found->second.mLocal;
    for (const auto& [instance, load] : found->second.mRemote) {
      if (aNow - load.mReportedAt < kRemoteLoadValidity) {
        requests += load.mRequests;
      }
    }
  }
  const double factor = aCandidate.mIsCold ? kColdFactor : 1.0;
  return (requests + 1) * factor / std::max(1U, aCandidate.mSlots);
}

std::optional<std::size_t>
target_chooser::Choose(const std::vector<placement_candidate>& aCandidates,
                       const placement_request& aRequest,
                       const target_records& aEvidence,
                       steady_time aNow)
{
  // The floor: of the targets that may be sound, at most this many are
  // avoided, the most suspect ones. Those that failed again are not sound.
  const auto count = aCandidates.size();
  std::vector<std::size_t> suspects;
  std::vector<bool> isAvoided(count, false);
  std::size_t confirmed = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const auto use = aEvidence.UseOf(aCandidates[i].mId, aNow);
    const bool isOut = use == target_use::Avoided ||
                       (use == target_use::EarlyTrial &&
                        !(aRequest.mIsRepeatable && aRequest.mTried.empty()));
    if (!isOut) {
      continue;
    }
    if (aEvidence.IsConfirmed(aCandidates[i].mId)) {
      isAvoided[i] = true;
      ++confirmed;
    } else {
      suspects.push_back(i);
    }
  }
  std::sort(suspects.begin(),
            suspects.end(),
            [&](std::size_t aLeft, std::size_t aRight) {
              return aEvidence.Suspicion(aCandidates[aLeft].mId, aNow) >
                     aEvidence.Suspicion(aCandidates[aRight].mId, aNow);
            });
  const auto mostAvoided = static_cast<std::size_t>(
    std::ceil(static_cast<double>(count - confirmed) * (1 - mFloorShare)));
  for (std::size_t i = 0; i < std::min(mostAvoided, suspects.size()); ++i) {
    isAvoided[suspects[i]] = true;
  }

  const auto rankOf = [&](std::size_t aIndex) {
    const auto& id = aCandidates[aIndex].mId;
    if (isAvoided[aIndex]) {
      return placement_rank::Avoided;
    }
    if (aEvidence.IsFull(id, aNow)) {
      return placement_rank::Full;
    }
    const bool isTrial = aEvidence.UseOf(id, aNow) != target_use::InUse;
    if (!isTrial) {
      return placement_rank::Preferred;
    }
    // A request that may run again loses little if the trial fails. Of the
    // others a few make the trial, so that a target of a service without
    // repeatable requests returns too.
    constexpr double kTrialShare = 0.1;
    const bool makesTrial = aRequest.mIsRepeatable
                              ? aRequest.mTried.empty()
                              : mRandom.Unit() < kTrialShare;
    return makesTrial ? placement_rank::Preferred : placement_rank::OnTrial;
  };

  auto best = placement_rank::Avoided;
  std::vector<std::size_t> own;
  std::vector<std::size_t> other;
  for (std::size_t i = 0; i < count; ++i) {
    const auto& tried = aRequest.mTried;
    if (std::find(tried.begin(), tried.end(), aCandidates[i].mId) !=
        tried.end()) {
      continue;
    }
    const auto rank = rankOf(i);
    if (rank > best) {
      continue;
    }
    if (rank < best) {
      best = rank;
      own.clear();
      other.clear();
    }
    const bool isOwn = aCandidates[i].mAvailabilityZone == mAvailabilityZone;
    (isOwn ? own : other).push_back(i);
  }

  const auto drawn = [&](const std::vector<std::size_t>& aIndices) {
    const auto first = aIndices[mRandom.Below(aIndices.size())];
    const auto second = aIndices[mRandom.Below(aIndices.size())];
    return LoadOf(aCandidates[first], aNow) <= LoadOf(aCandidates[second], aNow)
             ? first
             : second;
  };
  if (own.empty() && other.empty()) {
    return std::nullopt;
  }
  if (own.empty()) {
    return drawn(other);
  }
  const auto near = drawn(own);
  if (other.empty()) {
    return near;
  }
  const auto far = drawn(other);
  return LoadOf(aCandidates[near], aNow) >
             LoadOf(aCandidates[far], aNow) + kZoneAdvantage
           ? far
           : near;
}

bool
target_chooser::AreAllFull(const std::vector<placement_candidate>& aCandidates,
                           const target_records& aEvidence,
                           steady_time aNow)
{
  return !aCandidates.empty() &&
         std::all_of(aCandidates.begin(),
                     aCandidates.end(),
                     [&](const placement_candidate& aCandidate) {
                       return aEvidence.IsFull(aCandidate.mId, aNow);
                     });
}

void
target_chooser::Begin(std::string_view aTarget)
{
  ++mLoads[std::string(aTarget)].mLocal;
}

void
target_chooser::Finish(std::string_view aTarget)
{
  const auto found = mLoads.find(std::string(aTarget));
  if (found != mLoads.end() && found->second.mLocal > 0) {
    --found->second.mLocal;
  }
}

void
target_chooser::SetRemoteLoad(std::string_view aInstance,
                              std::string_view aTarget,
                              std::uint32_t aRequests,
                              steady_time aNow)
{
  mLoads[std::string(aTarget)].mRemote[std::string(aInstance)] = { aRequests,
                                                                   aNow };
}

std::vector<std::pair<std::string, std::uint32_t>>
target_chooser::LocalLoad() const
{
  std::vector<std::pair<std::string, std::uint32_t>> loads;
  for (const auto& [target, load] : mLoads) {
    if (load.mLocal > 0) {
      loads.emplace_back(target, load.mLocal);
    }
  }
  return loads;
}

void
target_chooser::Prune(steady_time aNow)
{
  for (auto load = mLoads.begin(); load != mLoads.end();) {
    auto& remote = load->second.mRemote;
    for (auto report = remote.begin(); report != remote.end();) {
      const bool isOld =
        aNow - report->second.mReportedAt > kRemoteLoadValidity;
      report = isOld ? remote.erase(report) : std::next(report);
    }
    const bool isUnused = load->second.mLocal == 0 && remote.empty();
    load = isUnused ? mLoads.erase(load) : std::next(load);
  }
}

} // namespace cowslipline
