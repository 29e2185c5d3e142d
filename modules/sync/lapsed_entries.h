#pragma once

#include "core/time.h"

#include <set>
#include <string>
#include <vector>

namespace cowslipline {

/// Decides about entries that are missing when the store is back. Registrations
/// lapse together while the store is away and are renewed once it is back, so
/// when a large part is missing at once, all missing ones get time to return.
/// After this instance alone was cut off only those that left are missing; they
/// are gone at once.
class lapsed_entries
{
public:
  /// The store answers again. aUntil: when missing entries count as gone.
  void BeginGrace(steady_time aUntil);

  /// aKnown: entries before any of aMissing was removed. Returns the entries
  /// that are gone now.
  std::vector<std::string> Decide(const std::vector<std::string>& aMissing,
                                  std::size_t aKnown,
                                  steady_time aNow);

  /// The entry is registered again.
  void OnReturned(const std::string& aId) { mHeld.erase(aId); }

  /// How long until TakeOverdue() returns something; the maximum while nothing
  /// is held.
  duration TimeToOverdue(steady_time aNow) const;

  /// The entries that have not returned in time.
  std::vector<std::string> TakeOverdue(steady_time aNow);

private:
  steady_time mGraceUntil;
  std::size_t mMissing = 0; ///< Since the grace began.
  std::set<std::string> mHeld;
};

} // namespace cowslipline
