#include "modules/placement/poison_request_detector.h"

#include <algorithm>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// During a zone failure up to two targets may go down with the same request by
// coincidence, so the third crash blocks.
constexpr std::size_t kCrashesToBlock = 3;

// Long enough for crashed targets to restart, which takes seconds. Doubled by
// each crash after a block, since the request comes again.
constexpr duration kFirstBlockDuration = 60s;
constexpr duration kMaxBlockDuration = 960s;

// Suspects are remembered for longer than any block.
constexpr duration kSuspectExpiry = 1200s;

// No target is back sooner than this after a crash. Reports of the same crash
// that come late are told from another one by it.
constexpr duration kMinRestartTime = 500ms;

} // namespace

void
poison_request_detector::OnCrash(request_fingerprint aRequest,
                                 std::string_view aTarget,
                                 steady_time aSentAt,
                                 steady_time aNow)
{
  auto& suspect = mSuspects[aRequest];
  const auto known = suspect.mTargets.find(aTarget);
  const bool isSameCrash = known != suspect.mTargets.end() &&
                           aSentAt < known->second + kMinRestartTime;
  if (isSameCrash) {
    return;
  }
  ++suspect.mCrashes;
  suspect.mTargets.insert_or_assign(std::string(aTarget), aNow);
  suspect.mLastCrash = aNow;
}

bool
poison_request_detector::OnServed(request_fingerprint aRequest)
{
  return mSuspects.erase(aRequest) > 0;
}

duration
poison_request_detector::BlockDuration(const suspect& aSuspect)
{
  auto block = kFirstBlockDuration;
  for (auto i = kCrashesToBlock; i < aSuspect.mCrashes; ++i) {
    block = std::min(2 * block, kMaxBlockDuration);
  }
  return block;
}

bool
poison_request_detector::IsBlocked(request_fingerprint aRequest,
                                   steady_time aNow) const
{
  const auto found = mSuspects.find(aRequest);
  return found != mSuspects.end() &&
         found->second.mCrashes >= kCrashesToBlock &&
         aNow - found->second.mLastCrash < BlockDuration(found->second);
}

void
poison_request_detector::Prune(steady_time aNow)
{
  for (auto entry = mSuspects.begin(); entry != mSuspects.end();) {
    const auto expiry = entry->second.mCrashes < kCrashesToBlock
                          ? kFirstBlockDuration
                          : kSuspectExpiry;
    const bool isOld = aNow - entry->second.mLastCrash > expiry;
    entry = isOld ? mSuspects.erase(entry) : std::next(entry);
  }
}

} // namespace cowslipline
