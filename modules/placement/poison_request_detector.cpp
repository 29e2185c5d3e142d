#include "modules/placement/poison_request_detector.h"

#include <algorithm>
#include <tuple>

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

// Targets of a suspect that are told to other instances: more than block it.
constexpr std::size_t kTargetsToShare = 4;

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
  for (auto i = kCrashesToBlock;
       i < aSuspect.mCrashes && block < kMaxBlockDuration;
       ++i) {
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

crash_suspect
poison_request_detector::ToShare(request_fingerprint aRequest,
                                 const suspect& aSuspect,
                                 steady_time aNow)
{
  crash_suspect shared;
  shared.mRequest = aRequest;
  shared.mCrashes = static_cast<std::uint32_t>(aSuspect.mCrashes);
  for (const auto& [target, crashedAt] : aSuspect.mTargets) {
    shared.mTargets.emplace_back(target, aNow - crashedAt);
  }
  const auto isLater = [](const auto& aLeft, const auto& aRight) {
    return std::tie(aLeft.second, aLeft.first) <
           std::tie(aRight.second, aRight.first);
  };
  std::sort(shared.mTargets.begin(), shared.mTargets.end(), isLater);
  shared.mTargets.resize(std::min(shared.mTargets.size(), kTargetsToShare));
  return shared;
}

std::vector<crash_suspect>
poison_request_detector::Suspects(steady_time aNow) const
{
  std::vector<crash_suspect> suspects;
  suspects.reserve(mSuspects.size());
  for (const auto& [request, suspect] : mSuspects) {
    suspects.push_back(ToShare(request, suspect, aNow));
  }
  std::sort(suspects.begin(),
            suspects.end(),
            [](const crash_suspect& aLeft, const crash_suspect& aRight) {
              return std::tie(aRight.mCrashes, aLeft.mRequest) <
                     std::tie(aLeft.mCrashes, aRight.mRequest);
            });
  return suspects;
}

std::optional<crash_suspect>
poison_request_detector::Blocked(request_fingerprint aRequest,
                                 steady_time aNow) const
{
  return IsBlocked(aRequest, aNow)
           ? std::optional(ToShare(aRequest, mSuspects.at(aRequest), aNow))
           : std::nullopt;
}

void
poison_request_detector::Merge(const crash_suspect& aOther, steady_time aNow)
{
  suspect other;
  other.mCrashes =
    std::max(std::size_t(aOther.mCrashes), aOther.mTargets.size());
  other.mLastCrash = steady_time::min();
  for (const auto& [target, age] : aOther.mTargets) {
    const auto crashedAt = aNow - age;
    other.mTargets.insert_or_assign(target, crashedAt);
    other.mLastCrash = std::max(other.mLastCrash, crashedAt);
  }
  if (other.mTargets.empty()) {
    return;
  }
  auto& merged = mSuspects[aOther.mRequest];
  if (other.mCrashes > merged.mCrashes) {
    std::swap(merged, other);
  }
  for (const auto& [target, crashedAt] : other.mTargets) {
    const auto known = merged.mTargets.find(target);
    const bool isSameCrash = known != merged.mTargets.end() &&
                             crashedAt < known->second + kMinRestartTime;
    // Those of targets that were left out are among the crashes of the other.
    const bool isLeftOut = known == merged.mTargets.end() &&
                           merged.mTargets.size() >= kTargetsToShare;
    if (!isSameCrash && !isLeftOut) {
      ++merged.mCrashes;
      merged.mTargets.insert_or_assign(target, crashedAt);
    }
  }
  merged.mLastCrash = std::max(merged.mLastCrash, other.mLastCrash);
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
