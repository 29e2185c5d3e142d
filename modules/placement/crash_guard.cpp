#include "modules/placement/crash_guard.h"

#include <algorithm>

namespace cowslipline {

namespace {

// Two targets may go down under one request by chance, when a zone fails.
constexpr std::size_t kCrashesToBlock = 3;

// Targets need seconds to start again; a caller that still sends the request
// renews the block.
constexpr duration kBlockTime = std::chrono::seconds(60);

} // namespace

void
crash_guard::OnCrash(request_fingerprint aRequest,
                     std::string_view aTarget,
                     steady_time aNow)
{
  auto& suspect = mSuspects[aRequest];
  suspect.mLast = aNow;
  auto& targets = suspect.mTargets;
  const bool isKnown =
    std::find(targets.begin(), targets.end(), aTarget) != targets.end();
  if (!isKnown && targets.size() < kCrashesToBlock) {
    targets.emplace_back(aTarget);
  }
}

void
crash_guard::OnAnswer(request_fingerprint aRequest)
{
  mSuspects.erase(aRequest);
}

bool
crash_guard::IsBlocked(request_fingerprint aRequest, steady_time aNow) const
{
  const auto found = mSuspects.find(aRequest);
  return found != mSuspects.end() &&
         found->second.mTargets.size() >= kCrashesToBlock &&
         aNow - found->second.mLast < kBlockTime;
}

void
crash_guard::Prune(steady_time aNow)
{
  for (auto entry = mSuspects.begin(); entry != mSuspects.end();) {
    const bool isOld = aNow - entry->second.mLast > kBlockTime;
    entry = isOld ? mSuspects.erase(entry) : std::next(entry);
  }
}

} // namespace cowslipline
