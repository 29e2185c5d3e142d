#include "modules/placement/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Instances repeat a load report at least this often while the load is not
// zero, so an older report comes from an instance that has ended.
constexpr duration kRemoteLoadValidity = 2s;

// Load factor of a cold target, which works at half speed.
constexpr double kColdLoadFactor = 2.0;

// A target of another availability zone is chosen only if the candidate of the
// own zone has this much more load, in requests per slot. Traffic between
// zones costs money and time.
constexpr double kCrossZonePenalty = 0.75;

/// Preference class of a candidate, best first. Only candidates of the best
/// class present are considered.
enum class placement_rank
{
  Preferred,
  OnTrial,
  Full,
  Avoided,
};

} // namespace

load_balancer::load_balancer(std::string aAvailabilityZone,
                             double aFloorShare,
                             std::uint64_t aSeed)
  : mAvailabilityZone(std::move(aAvailabilityZone))
  , mFloorShare(aFloorShare)
  , mRandom(aSeed)
{
}

double
load_balancer::LoadOf(const placement_candidate& aCandidate,
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
  const double factor = aCandidate.mIsCold ? kColdLoadFactor : 1.0;
  return (requests + 1) * factor / std::max(1U, aCandidate.mSlots);
}

std::vector<bool>
load_balancer::FindAvoided(const std::vector<placement_candidate>& aCandidates,
                           const placement_request& aRequest,
                           const outlier_detector& aDetector,
                           steady_time aNow) const
{
  // The floor share limits how many targets with an unconfirmed failure are
  // avoided; those with the highest failure score come first. Targets with a
  // confirmed failure are always avoided and don't count towards the floor.
  const auto count = aCandidates.size();
  std::vector<std::size_t> unconfirmed;
  std::vector<bool> isAvoided(count, false);
  std::size_t confirmedCount = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const auto use = aDetector.UseOf(aCandidates[i].mId, aNow);
    const bool isUnsuitable =
      use == target_use::Avoided ||
      (use == target_use::EarlyTrial &&
       !(aRequest.mIsRepeatable && aRequest.mTried.empty()));
    if (!isUnsuitable) {
      continue;
    }
    if (aDetector.IsFailureConfirmed(aCandidates[i].mId)) {
      isAvoided[i] = true;
      ++confirmedCount;
    } else {
      unconfirmed.push_back(i);
    }
  }
  std::sort(unconfirmed.begin(),
            unconfirmed.end(),
            [&](std::size_t aLeft, std::size_t aRight) {
              return aDetector.FailureScore(aCandidates[aLeft].mId, aNow) >
                     aDetector.FailureScore(aCandidates[aRight].mId, aNow);
            });
  const auto maxAvoided = static_cast<std::size_t>(
    std::ceil(static_cast<double>(count - confirmedCount) * (1 - mFloorShare)));
  for (std::size_t i = 0; i < std::min(maxAvoided, unconfirmed.size()); ++i) {
    isAvoided[unconfirmed[i]] = true;
  }
  return isAvoided;
}

load_balancer::best_candidates
load_balancer::FindBest(const std::vector<placement_candidate>& aCandidates,
                        const std::vector<std::size_t>& aIndices,
                        const std::vector<bool>& aIsAvoided,
                        const placement_request& aRequest,
                        const outlier_detector& aDetector,
                        steady_time aNow)
{
  const auto rankOf = [&](std::size_t aIndex) {
    const auto& id = aCandidates[aIndex].mId;
    if (aIsAvoided[aIndex]) {
      return placement_rank::Avoided;
    }
    if (aDetector.IsFull(id, aNow)) {
      return placement_rank::Full;
    }
    const bool isTrial = aDetector.UseOf(id, aNow) != target_use::InUse;
    if (!isTrial) {
      return placement_rank::Preferred;
    }
    // A failed trial costs little when the request may be retried. A small
    // share of the other requests makes trials too, so that targets of services
    // without repeatable requests also return to use.
    constexpr double kTrialShare = 0.25;
    const bool mayMakeTrial = aRequest.mIsRepeatable
                                ? aRequest.mTried.empty()
                                : mRandom.Unit() < kTrialShare;
    return mayMakeTrial ? placement_rank::Preferred : placement_rank::OnTrial;
  };

  auto best = placement_rank::Avoided;
  best_candidates found;
  for (const auto i : aIndices) {
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
      found.mOwnZone.clear();
      found.mOtherZones.clear();
    }
    const bool isOwn = aCandidates[i].mAvailabilityZone == mAvailabilityZone;
    (isOwn ? found.mOwnZone : found.mOtherZones).push_back(i);
  }
  found.mIsPreferred = best == placement_rank::Preferred;
  return found;
}

std::optional<std::size_t>
load_balancer::Choose(const std::vector<placement_candidate>& aCandidates,
                      const placement_request& aRequest,
                      const outlier_detector& aDetector,
                      steady_time aNow)
{
  std::vector<std::size_t> all(aCandidates.size());
  std::iota(all.begin(), all.end(), std::size_t(0));
  const auto [ownZone, otherZones, isPreferred] =
    FindBest(aCandidates,
             all,
             FindAvoided(aCandidates, aRequest, aDetector, aNow),
             aRequest,
             aDetector,
             aNow);

  const auto pickLessLoaded = [&](const std::vector<std::size_t>& aIndices) {
    const auto first = aIndices[mRandom.Below(aIndices.size())];
    const auto second = aIndices[mRandom.Below(aIndices.size())];
    return LoadOf(aCandidates[first], aNow) <= LoadOf(aCandidates[second], aNow)
             ? first
             : second;
  };
  if (ownZone.empty() && otherZones.empty()) {
    return std::nullopt;
  }
  if (ownZone.empty()) {
    return pickLessLoaded(otherZones);
  }
  const auto ownPick = pickLessLoaded(ownZone);
  if (otherZones.empty()) {
    return ownPick;
  }
  const auto otherPick = pickLessLoaded(otherZones);
  return LoadOf(aCandidates[ownPick], aNow) >
             LoadOf(aCandidates[otherPick], aNow) + kCrossZonePenalty
           ? otherPick
           : ownPick;
}

std::optional<slot_offer>
load_balancer::ChooseToLend(const std::vector<placement_candidate>& aCandidates,
                            const slot_group& aGroup,
                            const placement_request& aRequest,
                            const outlier_detector& aDetector,
                            const slot_leases& aLeases,
                            steady_time aNow)
{
  std::vector<std::size_t> group;
  bool areAllInUse = true;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const auto& candidate = aCandidates[i];
    if (candidate.mAvailabilityZone == mAvailabilityZone &&
        IsInGroup(candidate.mId, aGroup)) {
      group.push_back(i);
      areAllInUse = areAllInUse &&
                    aDetector.UseOf(candidate.mId, aNow) == target_use::InUse;
    }
  }
  // The floor share concerns the whole service. Looking up all of its targets
  // is left out in the usual case, in which none of the group is suspected.
  const auto isAvoided =
    areAllInUse ? std::vector<bool>(aCandidates.size(), false)
                : FindAvoided(aCandidates, aRequest, aDetector, aNow);
  const auto found =
    FindBest(aCandidates, group, isAvoided, aRequest, aDetector, aNow);
  if (found.mOwnZone.empty()) {
    return std::nullopt;
  }
  slot_offer offer;
  double least = 0;
  std::uint64_t equals = 0;
  for (const auto i : found.mOwnZone) {
    const auto& candidate = aCandidates[i];
    const auto lent = aLeases.Lent(candidate.mId);
    const double factor = candidate.mIsCold ? kColdLoadFactor : 1.0;
    const double load = (lent + 1) * factor / std::max(1U, candidate.mSlots);
    if (equals > 0 && load > least) {
      continue;
    }
    equals = equals > 0 && load == least ? equals + 1 : 1;
    least = load;
    if (mRandom.Below(equals) == 0) {
      offer = { i, !found.mIsPreferred || lent >= candidate.mSlots };
    }
  }
  return offer;
}

bool
load_balancer::AreAllFull(const std::vector<placement_candidate>& aCandidates,
                          const outlier_detector& aDetector,
                          steady_time aNow)
{
  return !aCandidates.empty() &&
         std::all_of(aCandidates.begin(),
                     aCandidates.end(),
                     [&](const placement_candidate& aCandidate) {
                       return aDetector.IsFull(aCandidate.mId, aNow);
                     });
}

void
load_balancer::BeginRequest(std::string_view aTarget, bool aIsLent)
{
  auto& load = mLoads[std::string(aTarget)];
  ++load.mLocal;
  load.mLent += aIsLent ? 1 : 0;
}

void
load_balancer::EndRequest(std::string_view aTarget, bool aIsLent)
{
  const auto found = mLoads.find(std::string(aTarget));
  if (found != mLoads.end() && found->second.mLocal > 0) {
    --found->second.mLocal;
    found->second.mLent -= aIsLent ? 1 : 0;
  }
}

void
load_balancer::SetRemoteLoad(std::string_view aInstance,
                             std::string_view aTarget,
                             std::uint32_t aRequests,
                             steady_time aNow)
{
  mLoads[std::string(aTarget)].mRemote[std::string(aInstance)] = { aRequests,
                                                                   aNow };
}

std::vector<std::pair<std::string, std::uint32_t>>
load_balancer::LocalLoad() const
{
  std::vector<std::pair<std::string, std::uint32_t>> loads;
  for (const auto& [target, load] : mLoads) {
    if (load.mLocal > load.mLent) {
      loads.emplace_back(target, load.mLocal - load.mLent);
    }
  }
  return loads;
}

void
load_balancer::Prune(steady_time aNow)
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
