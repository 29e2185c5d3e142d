#include "modules/placement/poison_request_detector.h"

#include <algorithm>

namespace cowslipline {

namespace {

// During a zone failure up to two targets may go down with the same request by
// coincidence, so the third crash blocks.
constexpr std::size_t kCrashesToBlock = 3;

// Long enough for crashed targets to restart, which takes seconds. Each further
// crash extends the block.
constexpr duration kBlockDuration = std::chrono::seconds(60);

} // namespace

void
poison_request_detector::OnCrash(request_fingerprint aRequest,
                                 std::string_view aTarget,
                                 steady_time aNow)
{
  auto& suspect = mSuspects[aRequest];
  suspect.mLastCrash = aNow;
  auto& targets = suspect.mTargets;
  const bool isKnown =
    std::find(targets.begin(), targets.end(), aTarget) != targets.end();
  if (!isKnown && targets.size() < kCrashesToBlock) {
    targets.emplace_back(aTarget);
  }
}

void
poison_request_detector::OnAnswer(request_fingerprint aRequest)
{
  mSuspects.erase(aRequest);
}

bool
poison_request_detector::IsBlocked(request_fingerprint aRequest,
                                   steady_time aNow) const
{
  const auto found = mSuspects.find(aRequest);
  return found != mSuspects.end() &&
         found->second.mTargets.size() >= kCrashesToBlock &&
         aNow - found->second.mLastCrash < kBlockDuration;
}

void
poison_request_detector::Prune(steady_time aNow)
{
  for (auto entry = mSuspects.begin(); entry != mSuspects.end();) {
    const bool isOld = aNow - entry->second.mLastCrash > kBlockDuration;
    entry = isOld ? mSuspects.erase(entry) : std::next(entry);
  }
}

} // namespace cowslipline
