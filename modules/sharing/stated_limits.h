#pragma once

#include "modules/sharing/quota_bucket.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipline {

/// An organisation's limit and the version of the configuration that states it.
struct stated_limit
{
  std::uint64_t mVersion = 0;
  quota_limit mLimit;
};

/// What the configuration of this instance says of an organisation.
struct configured_limit
{
  std::uint64_t mVersion = 0;
  /// Nothing if the version has no such organisation.
  std::optional<quota_limit> mLimit;
};

/// Limits of organisations that other instances know by a later version of the
/// configuration than this one: an owner that is behind decides by them. Empty
/// while the instances agree.
class stated_limits
{
public:
  /// Records the limit that another instance sent, unless a version as late is
  /// known. True if it is news.
  bool Learn(std::string_view aOrganisation,
             const stated_limit& aSent,
             const configured_limit& aOwn,
             steady_time aNow);

  /// What Learn() recorded last; nothing if nothing later than aOwn is known.
  std::optional<stated_limit> Learned(std::string_view aOrganisation,
                                      const configured_limit& aOwn) const;

  /// The limit of the latest version known that has the organisation: of this
  /// instance's configuration, of what it learned, or aSent, by the instance
  /// that asks. Nothing if none states a limit, so that no request may be
  /// admitted.
  std::optional<stated_limit> Latest(
    std::string_view aOrganisation,
    const configured_limit& aOwn,
    const std::optional<stated_limit>& aSent) const;

  /// Removes limits that were not sent again for long.
  void Prune(steady_time aNow);

private:
  struct learned_limit
  {
    stated_limit mStated;
    steady_time mSentAt;
  };

  std::map<std::string, learned_limit, std::less<>> mLearned;
};

} // namespace cowslipline
