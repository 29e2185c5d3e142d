#pragma once

#include "core/metrics.h"
#include "modules/configuration/snapshot.h"

#include <map>
#include <memory>
#include <string>

namespace cowslipline {

/// Retry budget (token bucket): limits the retries of a service to a tenth of
/// its first attempts, so that retries do not multiply the load of an outage.
/// Each instance limits its own retries, which also limits those of the fleet.
class retry_budget
{
public:
  retry_budget(std::shared_ptr<snapshot_source> aSource,
               std::shared_ptr<metrics> aMetrics);

  void RecordFirstAttempt(service_index aService);

  /// Takes one retry from the budget. Returns false, and takes nothing, when
  /// the budget is used up.
  bool TakeRetry(service_index aService);

private:
  /// Tokens of the service, in retries; null when the service is unknown. Kept
  /// by name, since a new snapshot may renumber the services.
  double* FindTokens(service_index aService);

  std::shared_ptr<snapshot_source> mSource;
  std::shared_ptr<metrics> mMetrics;
  std::map<std::string, double, std::less<>> mTokens;
};

} // namespace cowslipline
