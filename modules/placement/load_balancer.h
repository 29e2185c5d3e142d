#pragma once

#include "core/random.h"
#include "modules/placement/outlier_detector.h"
#include "modules/placement/slot_leases.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cowslipline {

/// A ready target of the requested service.
struct placement_candidate
{
  std::string_view mId;
  std::string_view mAvailabilityZone;
  std::uint32_t mSlots = 1; ///< Requests that it runs at a time.
  bool mIsCold = false;     ///< Recently started, and still slow.
};

struct placement_request
{
  bool mIsRepeatable = false; ///< Idempotent: may run more than once.
  /// Ids of targets that this request was already sent to.
  std::vector<std::string> mTried;
};

/// A target whose slot is to be lent.
struct slot_offer
{
  std::size_t mIndex = 0; ///< Of the candidate.
  /// It has no free slot, or is chosen only for lack of a better one.
  bool mIsFull = false;
};

/// Zone-aware load balancer that uses the power of two choices: it compares two
/// random targets and takes the less loaded one, which works although instances
/// know little of each other's load. Targets of the own availability zone come
/// first, because traffic between zones costs money and time. Targets that the
/// outlier detector avoids get no requests while enough others are left.
class load_balancer
{
public:
  /// aFloorShare: share of a service's ready targets, in [0, 1], that stays in
  /// use despite unconfirmed failures.
  load_balancer(std::string aAvailabilityZone,
                double aFloorShare,
                std::uint64_t aSeed);

  void SetFloorShare(double aFloorShare) { mFloorShare = aFloorShare; }

  /// Returns an index into aCandidates, or nothing when the request was already
  /// sent to all of them.
  std::optional<std::size_t> Choose(
    const std::vector<placement_candidate>& aCandidates,
    const placement_request& aRequest,
    const outlier_detector& aDetector,
    steady_time aNow);

  /// Chooses as the owner of a group of the own availability zone's targets:
  /// the least loaded by the leases, at random among equals. aCandidates: all
  /// of the service, since the floor share counts them all. Nothing when no
  /// target of the group is left to choose.
  std::optional<slot_offer> ChooseToLend(
    const std::vector<placement_candidate>& aCandidates,
    const slot_group& aGroup,
    const placement_request& aRequest,
    const outlier_detector& aDetector,
    const slot_leases& aLeases,
    steady_time aNow);

  /// True when there are candidates and all of them report that they are full,
  /// so that another send would only be refused.
  static bool AreAllFull(const std::vector<placement_candidate>& aCandidates,
                         const outlier_detector& aDetector,
                         steady_time aNow);

  /// Counts a request that this instance sends to the target as in flight,
  /// until EndRequest with the same arguments. aIsLent: the owner of the
  /// target's slots counts it, so that it is in no load report.
  void BeginRequest(std::string_view aTarget, bool aIsLent = false);
  void EndRequest(std::string_view aTarget, bool aIsLent = false);

  /// Sets the number of requests that another instance of the availability zone
  /// has in flight at the target.
  void SetRemoteLoad(std::string_view aInstance,
                     std::string_view aTarget,
                     std::uint32_t aRequests,
                     steady_time aNow);

  /// In-flight requests of this instance by target, without those on lent slots
  /// and without targets that have none.
  std::vector<std::pair<std::string, std::uint32_t>> LocalLoad() const;

  /// Removes expired load reports and targets without load.
  void Prune(steady_time aNow);

private:
  struct remote_load
  {
    std::uint32_t mRequests = 0;
    steady_time mReportedAt;
  };

  struct target_load
  {
    std::uint32_t mLocal = 0;
    std::uint32_t mLent = 0; ///< Of mLocal, those on lent slots.
    std::unordered_map<std::string, remote_load> mRemote;
  };

  /// The candidates of the best class present, by index.
  struct best_candidates
  {
    std::vector<std::size_t> mOwnZone;
    std::vector<std::size_t> mOtherZones;
    bool mIsPreferred = false; ///< The class is the best there is.
  };

  /// Which candidates the detector and the floor share leave out.
  std::vector<bool> FindAvoided(
    const std::vector<placement_candidate>& aCandidates,
    const placement_request& aRequest,
    const outlier_detector& aDetector,
    steady_time aNow) const;

  /// aIsAvoided: by index. aIndices: the candidates to choose from.
  best_candidates FindBest(const std::vector<placement_candidate>& aCandidates,
                           const std::vector<std::size_t>& aIndices,
                           const std::vector<bool>& aIsAvoided,
                           const placement_request& aRequest,
                           const outlier_detector& aDetector,
                           steady_time aNow);

  /// Requests in flight per slot of the target, counting the one to be placed;
  /// doubled for a cold target.
  double LoadOf(const placement_candidate& aCandidate, steady_time aNow) const;

  std::string mAvailabilityZone;
  double mFloorShare;
  random_source mRandom;
  std::unordered_map<std::string, target_load> mLoads;
};

} // namespace cowslipline
