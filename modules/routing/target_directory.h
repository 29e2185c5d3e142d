#pragma once

#include "core/tcp_stream.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace cowslipline {

/// Lifecycle phase that a target reports.
enum class target_phase
{
  Ready,
  Draining, ///< Finishes running requests; gets no new ones.
};

/// Registration of a target, as the target writes it to the platform's store.
struct target_entry
{
  std::string mId;
  std::string mService;
  tcp_endpoint mAddress;
  std::string mAvailabilityZone;
  std::uint32_t mSlots = 1; ///< Requests that it runs at a time.
  target_phase mPhase = target_phase::Ready;
  duration mColdRemaining{ 0 };  ///< Time until it runs at full speed.
  steady_time mColdUntil;        ///< That time's end, as ColdUntil() has it.
  std::int64_t mStartedAtMs = 0; ///< Start of this run of the target, Unix ms.
  std::uint64_t mSequence = 0;   ///< Increases with each write of this run.
};

/// True if the target wrote aLeft before aRight.
bool
IsOlder(const target_entry& aLeft, const target_entry& aRight);

/// End of the cold time of an entry that is read at aNow. An entry doesn't say
/// when it was written, so the time counts from the first reading of it: rather
/// too long than too short. aKnown: the target's previous entry, or null.
steady_time
ColdUntil(const target_entry* aKnown,
          const target_entry& aRead,
          steady_time aNow);

/// Service registry: all registered targets by id, and the ready ones by
/// service. An entry of the store that can't be read names no target, so it
/// isn't here.
class target_directory
{
public:
  /// Adds an entry, or replaces the entry with the same id.
  void Put(target_entry aEntry);
  void Remove(std::string_view aId);

  /// The target has said in an answer that this run of it drains. It counts as
  /// draining from now on, whatever entry of the run is put: an entry may be
  /// older than the answer. False if it counted so already.
  bool MarkDraining(const target_entry& aTarget, steady_time aNow);
  /// Forgets what runs have said that have not been listed for a minute.
  void Prune(steady_time aNow);

  const target_entry* Find(std::string_view aId) const;
  /// Ready targets of a service, in the order of their ids.
  std::vector<const target_entry*> Ready(std::string_view aService) const;
  const std::map<std::string, target_entry, std::less<>>& All() const
  {
    return mEntries;
  }

private:
  /// A run of a target: its id and start.
  using run_key = std::pair<std::string, std::int64_t>;

  static run_key RunOf(const target_entry& aEntry)
  {
    return { aEntry.mId, aEntry.mStartedAtMs };
  }

  std::map<std::string, target_entry, std::less<>> mEntries;
  /// Runs that have said that they drain, with the time at which they were last
  /// known to be listed.
  std::map<run_key, steady_time> mDraining;
  std::unordered_map<std::string,
                     std::map<std::string, const target_entry*, std::less<>>>
    mByService;
};

} // namespace cowslipline
