#include "modules/health/retry_budget.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr double kTokensPerFirstAttempt = 0.1;
constexpr double kMaxTokens = 10;

} // namespace

retry_budget::retry_budget(std::shared_ptr<snapshot_source> aSource,
                           std::shared_ptr<metrics> aMetrics)
  : mSource(std::move(aSource))
  , mMetrics(std::move(aMetrics))
{
}

double*
retry_budget::FindTokens(service_index aService)
{
  const auto snapshot = mSource->Current();
  if (aService >= snapshot->mServices.size()) {
    return nullptr;
  }
  // The bucket starts empty: with a full one after each restart the retries
  // would exceed a tenth.
  return &mTokens.try_emplace(snapshot->mServices[aService].mName, 0.0)
            .first->second;
}

void
retry_budget::RecordFirstAttempt(service_index aService)
{
  if (auto* const tokens = FindTokens(aService); tokens != nullptr) {
    *tokens = std::min(kMaxTokens, *tokens + kTokensPerFirstAttempt);
  }
}

bool
retry_budget::TakeRetry(service_index aService)
{
  // Ten additions of 0.1 give slightly less than 1.
  constexpr double kRounding = 1e-9;
  auto* const tokens = FindTokens(aService);
  if (tokens == nullptr || *tokens < 1 - kRounding) {
    mMetrics->Counter("cowslipline_health_retries_refused_total").Add();
    return false;
  }
  *tokens = std::max(0.0, *tokens - 1);
  mMetrics->Counter("cowslipline_health_retries_total").Add();
  return true;
}

} // namespace cowslipline
