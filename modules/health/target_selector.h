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

/// Called after each report with the state of the reported target.
using report_observer = std::function<
  void(service_state& aService, target_state& aTarget, const attempt_report&)>;

/// Load balancer: chooses the target of each attempt by the power of two
/// choices, among the targets in use and preferably in the own availability
/// zone. Must be used on the control thread only.
class target_selector
{
public:
  target_selector(std::shared_ptr<scheduler> aScheduler,
                  std::shared_ptr<membership> aMembership,
                  std::shared_ptr<target_table> aTable,
                  std::shared_ptr<ejection_log> aLog,
                  std::shared_ptr<metrics> aMetrics,
                  std::uint64_t aSeed);

  /// Chooses a target and counts an attempt in flight there; the caller must
  /// end it with Report() or Abandon(). aService is an index into the current
  /// snapshot, which is returned with the choice; a caller with an older
  /// snapshot must compare mServiceName.
  /// Errors: errc::NoTarget when no target may be used, errc::Overloaded when
  /// all usable targets are at their concurrency limit.
  result<target_choice> Choose(service_index aService,
                               const excluded_targets& aExcluded);

  /// Ends an attempt and updates the target's state with its outcome.
  void Report(const attempt_report& aReport);

  /// Ends an attempt without an outcome, such as one that its caller cancelled.
  void Abandon(const target_choice& aChoice);

  /// Number of requests that this instance may currently have in flight at the
  /// service.
  std::uint32_t CapacityOf(service_index aService);

  /// Whether this instance sends new requests to the target.
  bool IsInUse(std::string_view aService, std::string_view aTarget);

  /// Log records of a target with their evidence, oldest first.
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
  /// Picks a suspect target at random, so that it gets about three times its
  /// usual share of the requests and the owner gets evidence sooner.
  std::optional<target_index> PickSuspect(
    const std::vector<candidate>& aCandidates);
  /// Index of a random candidate, with probability in proportion to its weight.
  std::size_t DrawByWeight(const std::vector<candidate>& aCandidates);
  /// Power of two choices: draws two candidates and takes the less loaded one,
  /// or the first when one of them is in slow start.
  target_index PickLessLoaded(const std::vector<candidate>& aCandidates);
  target_state* EndAttempt(const target_choice& aChoice);
  void LogBreakerOpened(const service_state& aService,
                        const target_state& aTarget);

  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<membership> mMembership;
  std::shared_ptr<target_table> mTable;
  std::shared_ptr<ejection_log> mLog;
  std::shared_ptr<metrics> mMetrics;
  random_source mRandom;
  report_observer mObserver;
};

} // namespace cowslipline
