#include "modules/sharing/stated_limits.h"

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Longer than an instance can serve by an old version.
constexpr duration kLearnedExpiry = 120s;

/// Replaces aLatest by a limit of a later version.
void
TakeLater(std::optional<stated_limit>& aLatest, const stated_limit& aOther)
{
  if (!aLatest || aLatest->mVersion < aOther.mVersion) {
    aLatest = aOther;
  }
}

} // namespace

bool
stated_limits::Learn(std::string_view aOrganisation,
                     const stated_limit& aSent,
                     const configured_limit& aOwn,
                     steady_time aNow)
{
  if (aSent.mVersion <= aOwn.mVersion) {
    return false;
  }
  const auto inserted = mLearned.try_emplace(std::string(aOrganisation),
                                             learned_limit{ aSent, aNow });
  auto& known = inserted.first->second;
  known.mSentAt = aNow;
  if (inserted.second || known.mStated.mVersion >= aSent.mVersion) {
    return inserted.second;
  }
  known.mStated = aSent;
  return true;
}

std::optional<stated_limit>
stated_limits::Learned(std::string_view aOrganisation,
                       const configured_limit& aOwn) const
{
  const auto found = mLearned.find(aOrganisation);
  const bool isLater =
    found != mLearned.end() && found->second.mStated.mVersion > aOwn.mVersion;
  return isLater ? std::optional(found->second.mStated) : std::nullopt;
}

std::optional<stated_limit>
stated_limits::Latest(std::string_view aOrganisation,
                      const configured_limit& aOwn,
                      const std::optional<stated_limit>& aSent) const
{
  std::optional<stated_limit> latest;
  if (aOwn.mLimit) {
    latest = stated_limit{ aOwn.mVersion, *aOwn.mLimit };
  }
  if (const auto learned = Learned(aOrganisation, aOwn)) {
    TakeLater(latest, *learned);
  }
  if (aSent) {
    TakeLater(latest, *aSent);
  }
  return latest;
}

void
stated_limits::Prune(steady_time aNow)
{
  for (auto entry = mLearned.begin(); entry != mLearned.end();) {
    const bool isOld = aNow - entry->second.mSentAt > kLearnedExpiry;
    entry = isOld ? mLearned.erase(entry) : std::next(entry);
  }
}

} // namespace cowslipline
