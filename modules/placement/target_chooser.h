#pragma once

#include "core/random.h"
#include "modules/placement/target_records.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cowslipline {

/// A ready target of the service that a request goes to.
struct placement_candidate
{
  std::string_view mId;
  std::string_view mAvailabilityZone;
  std::uint32_t mSlots = 1;
  bool mIsCold = false; ///< Started a moment ago and is slow.
};

struct placement_request
{
  bool mIsRepeatable = false;
  /// Targets that this request was already sent to.
  std::vector<std::string> mTried;
};

/// Chooses a target for each request. Answers the ordinary load of a fleet
/// whose instances know little of each other: targets of the own availability
/// zone first, since bytes between zones cost money and time, the less loaded
/// of two drawn ones, and none that the fleet has seen failing while enough
/// others are left.
class target_chooser
{
public:
  /// aFloorShare: the part of a service's ready targets, in [0, 1], that stays
  /// in use whatever the evidence says.
  target_chooser(std::string aAvailabilityZone,
                 double aFloorShare,
                 std::uint64_t aSeed);

  void SetFloorShare(double aFloorShare) { mFloorShare = aFloorShare; }

  /// Nothing when no candidate is left that this request was not sent to.
  std::optional<std::size_t> Choose(
    const std::vector<placement_candidate>& aCandidates,
    const placement_request& aRequest,
    const target_records& aEvidence,
    steady_time aNow);

  /// True when every candidate answers that it is full: another send would
  /// only be refused.
  static bool AreAllFull(const std::vector<placement_candidate>& aCandidates,
                         const target_records& aEvidence,
                         steady_time aNow);

  /// A request of this instance is at the target.
  void Begin(std::string_view aTarget);
  void Finish(std::string_view aTarget);

  /// Requests that another instance of the zone has at the target.
  void SetRemoteLoad(std::string_view aInstance,
                     std::string_view aTarget,
                     std::uint32_t aRequests,
                     steady_time aNow);

  /// Requests of this instance at each target that has any.
  std::vector<std::pair<std::string, std::uint32_t>> LocalLoad() const;

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
    std::unordered_map<std::string, remote_load> mRemote;
  };

  /// Requests known to be at the target for each of its slots.
  double LoadOf(const placement_candidate& aCandidate, steady_time aNow) const;

  std::string mAvailabilityZone;
  double mFloorShare;
  random_source mRandom;
  std::unordered_map<std::string, target_load> mLoads;
};

} // namespace cowslipline
