#pragma once

#include "core/metrics.h"
#include "core/random.h"
#include "core/result.h"
#include "modules/fleet/membership.h"
#include "modules/health/ejection_log.h"
#include "modules/health/health_types.h"
#include "modules/health/service_usage.h"
#include "modules/health/target_table.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace cowslipline {

/// Called after each report with the state of its target.
using report_observer = std::function<
  void(service_state& aService, target_state& aTarget, const attempt_report&)>;

/// Decides which target each attempt goes to. Used on the control thread only.
class target_selector
{
public:
  target_selector(std::shared_ptr<scheduler> aScheduler,
                  std::shared_ptr<membership> aMembership,
                  std::shared_ptr<target_table> aTable,
                  std::shared_ptr<ejection_log> aLog,
                  std::shared_ptr<metrics> aMetrics,
                  std::uint64_t aSeed);

  /// Chooses a target and counts the attempt in flight there; it must be ended
  /// by Report() or Abandon(). The index is that of the snapshot in force,
  /// which is returned with the choice: a caller that holds an older snapshot
  /// compares mServiceName.
  /// Errors: errc::NoTarget when no target may be used, errc::Overloaded when
  /// every target that may be used is at its concurrency limit.
  result<target_choice> Choose(service_index aService,
                               const excluded_targets& aExcluded);

  /// Ends an attempt and takes its outcome into account.
  void Report(const attempt_report& aReport);

  /// Ends an attempt whose outcome says nothing about the target, such as one
  /// that was cancelled by its caller.
  void Abandon(const target_choice& aChoice);

  /// Requests that this instance may have in flight at the service now.
  std::uint32_t CapacityOf(service_index aService);

  /// Whether this instance gives the target new work.
  bool IsInUse(std::string_view aService, std::string_view aTarget);

  /// Records about a target, oldest first, with their evidence.
  std::vector<ejection_record> Explain(std::string_view aService,
                                       std::string_view aTarget) const;

  void SetObserver(report_observer aObserver)
  {
    mObserver = std::move(aObserver);
  }

private:
  struct candidate
  {
    target_index mTarget = 0;
    double mLoad = 0;
    double mWeight = 1;
    bool mIsLocal = false;
    bool mIsSuspect = false;
  };

  std::vector<candidate> FindCandidates(const service& aSettings,
                                        const service_state& aState,
                                        const service_usage& aUsage,
                                        const excluded_targets& aExcluded);
  std::vector<candidate> PreferOwnZone(std::vector<candidate> aCandidates);
  /// A target under suspicion, for about three times its usual share of the
  /// requests; the owner needs evidence.
  std::optional<target_index> PickSuspect(
    const std::vector<candidate>& aCandidates);
  std::size_t Draw(const std::vector<candidate>& aCandidates);
  target_index PickByLoad(const std::vector<candidate>& aCandidates);
  target_state* EndAttempt(const target_choice& aChoice);
  void RecordHold(const service_state& aService, const target_state& aTarget);

  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<membership> mMembership;
  std::shared_ptr<target_table> mTable;
  std::shared_ptr<ejection_log> mLog;
  std::shared_ptr<metrics> mMetrics;
  random_source mRandom;
  report_observer mObserver;
};

} // namespace cowslipline
