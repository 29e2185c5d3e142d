#pragma once

#include "core/metrics.h"
#include "modules/configuration/snapshot.h"

#include <map>
#include <memory>
#include <string>

namespace cowslipline {

/// Bounds the retries of a service to a tenth of its first attempts. Kept at
/// each instance; since each keeps its part, the sum over the fleet holds.
class retry_budget
{
public:
  retry_budget(std::shared_ptr<snapshot_source> aSource,
               std::shared_ptr<metrics> aMetrics);

  void RecordFirstAttempt(service_index aService);

  /// True when a retry may be sent now; takes it from the budget.
  bool TakeRetry(service_index aService);

private:
  /// Tokens of the service, by name: a new snapshot may renumber services.
  double* FindTokens(service_index aService);

  std::shared_ptr<snapshot_source> mSource;
  std::shared_ptr<metrics> mMetrics;
  std::map<std::string, double, std::less<>> mTokens;
};

} // namespace cowslipline
