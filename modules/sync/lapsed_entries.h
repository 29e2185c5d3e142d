#pragma once

#include "core/time.h"

#include <set>
#include <string>
#include <vector>

namespace cowslipline {

/// Grace period for registrations that are missing from the store after an
/// outage. Leases cannot be renewed while the store is unavailable, so most
/// registrations expire together and return shortly after the outage. When at
/// least a third of the entries is missing, their removal is deferred until the
/// grace period ends. When only this instance was cut off from the store, few
/// entries are missing; their owners did leave, so they are removed at once.
/// A store that has come back from an older copy lacks what was written since,
/// so every missing entry is deferred.
class lapsed_entries
{
public:
  /// To be called when the store is available again. Deferred entries are
  /// removed from aGraceEnd on. aIsRestored: from an older copy.
  void BeginGracePeriod(steady_time aGraceEnd, bool aIsRestored);

  /// Returns the entries to remove now, which are all of aMissing or none.
  /// Deferred ones are returned by TakeExpired(). aKnown: number of entries
  /// before any of aMissing is removed.
  std::vector<std::string> SelectForRemoval(
    const std::vector<std::string>& aMissing,
    std::size_t aKnown,
    steady_time aNow);

  /// Cancels the deferred removal of an entry that is registered again.
  void OnReturned(const std::string& aId) { mDeferred.erase(aId); }

  /// Time until TakeExpired() returns entries; duration::max() when no removal
  /// is deferred.
  duration TimeToExpiry(steady_time aNow) const;

  /// Returns, once the grace period is over, the deferred entries that were not
  /// registered again, and forgets them.
  std::vector<std::string> TakeExpired(steady_time aNow);

private:
  steady_time mGraceEnd;
  bool mIsRestored = false;
  std::size_t mMissingCount = 0; ///< Since the grace period began.
  std::set<std::string> mDeferred;
};

} // namespace cowslipline
