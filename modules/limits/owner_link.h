#pragma once

#include "core/scheduler.h"
#include "modules/fleet/peer_channel.h"
#include "modules/limits/limit_messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cowslipline {

/// Queue of token requests and usage reports from this instance to one shard
/// owner. At most one request is in flight; what is added meanwhile is batched
/// into the next one.
class owner_link
{
public:
  explicit owner_link(instance_name aOwner)
    : mOwner(std::move(aOwner))
  {
  }

  const instance_name& Owner() const { return mOwner; }

  void AddWanting(const std::string& aOrganisation);
  void AddReport(const std::string& aOrganisation,
                 std::uint64_t aOwnerBoot,
                 const usage_report& aReport,
                 steady_time aNow);

  /// Organisations that wanted tokens since the last call.
  std::set<std::string> TakeWanting();

  /// Adds the reports that have not expired to the request. Those for an
  /// earlier process of the owner are dropped: it has forgotten the grants.
  void AddReports(token_request& aRequest, steady_time aNow);

  bool HasWanting() const { return !mWanting.empty(); }
  bool HasReports() const { return !mReports.empty(); }
  steady_time OldestReport() const { return mOldestReport; }

  void NoteReply(std::uint64_t aOwnerBoot);
  void NoteFailure(steady_time aNow);
  /// True while the owner is passed over because it did not answer; the next
  /// owner is asked until another attempt is due (exponential backoff).
  bool IsAvoided(steady_time aNow) const { return aNow < mAvoidedUntil; }

  bool mIsBusy = false; ///< A task serves the link.
  event mAdded;         ///< A request or report was added.

private:
  static constexpr int kFailuresTolerated = 2;

  struct pending_report
  {
    std::uint64_t mOwnerBoot;
    usage_report mReport;
    steady_time mExpires;
  };

  instance_name mOwner;
  std::uint64_t mOwnerBoot = 0;
  int mFailures = 0;
  steady_time mAvoidedUntil{ duration(0) };
  std::set<std::string> mWanting;
  std::map<std::string, std::vector<pending_report>> mReports;
  steady_time mOldestReport{ duration(0) };
};

} // namespace cowslipline
