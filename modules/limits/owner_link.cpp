#include "modules/limits/owner_link.h"

#include "modules/limits/limit_constants.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr duration kFirstPause = std::chrono::milliseconds(100);
constexpr int kLargestPauseDoublings = 3;

} // namespace

void
owner_link::AddWanting(const std::string& aOrganisation)
{
  mWanting.insert(aOrganisation);
  mAdded.Set();
}

void
owner_link::AddReport(const std::string& aOrganisation,
                      std::uint64_t aOwnerBoot,
                      const usage_report& aReport,
                      steady_time aNow)
{
  if (mReports.empty()) {
    mOldestReport = aNow;
  }
  mReports[aOrganisation].push_back(
    { aOwnerBoot, aReport, aNow + WithClockRateMargin(kTokenValidity) });
  mAdded.Set();
}

std::set<std::string>
owner_link::TakeWanting()
{
  return std::exchange(mWanting, {});
}

void
owner_link::AddReports(token_request& aRequest, steady_time aNow)
{
  aRequest.mOwnerBoot = mOwnerBoot;
  for (const auto& [organisation, reports] : std::exchange(mReports, {})) {
    auto item = std::find_if(aRequest.mItems.begin(),
                             aRequest.mItems.end(),
                             [&name = organisation](const auto& aItem) {
                               return aItem.mOrganisation == name;
                             });
    std::vector<usage_report> current;
    for (const auto& report : reports) {
      if (report.mOwnerBoot == mOwnerBoot && aNow < report.mExpires) {
        current.push_back(report.mReport);
      }
    }
    if (current.empty()) {
      continue;
    }
    if (item == aRequest.mItems.end()) {
      item = aRequest.mItems.insert(item, { organisation, 0, {} });
    }
    item->mReports = std::move(current);
  }
}

void
owner_link::NoteReply(std::uint64_t aOwnerBoot)
{
  mOwnerBoot = aOwnerBoot;
  mFailures = 0;
  mAvoidedUntil = steady_time(duration(0));
}

void
owner_link::NoteFailure(steady_time aNow)
{
  ++mFailures;
  if (mFailures >= kFailuresTolerated) {
    const auto doublings =
      std::min(mFailures - kFailuresTolerated, kLargestPauseDoublings);
    mAvoidedUntil = aNow + kFirstPause * (1 << doublings);
  }
}

} // namespace cowslipline
