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

/// What one instance has to ask of and to report to one owner. At most one
/// request is on its way; what comes up meanwhile goes into the next one.
class owner_link
{
public:
  explicit owner_link(instance_name aOwner)
    : mOwner(std::move(aOwner))
  {
  }

  const instance_name& Owner() const { return mOwner; }

  void Want(const std::string& aOrganisation);
  void Report(const std::string& aOrganisation,
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
  /// The owner does not answer; the next owner is asked until one more attempt
  /// is due.
  bool IsAvoided(steady_time aNow) const { return aNow < mAvoidedUntil; }

  bool mIsBusy = false; ///< A task works on the link.
  event mWork;

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
