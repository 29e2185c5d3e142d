#pragma once

#include "core/tcp_stream.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace cowslipline {

enum class target_phase
{
  Ready,
  Draining, ///< Finishes what it has; gets no new requests.
};

/// What a target says of itself in the platform's store.
struct target_entry
{
  std::string mId;
  std::string mService;
  tcp_endpoint mAddress;
  std::string mAvailabilityZone;
  std::uint32_t mSlots = 1; ///< Requests that it runs at a time.
  target_phase mPhase = target_phase::Ready;
  duration mColdRemaining{ 0 }; ///< It stays slow for this long.
  std::int64_t mBornMs = 0;     ///< Start of this incarnation, Unix time.
};

/// All registered targets. An entry that cannot be read names no target.
class target_directory
{
public:
  /// Sets or replaces the entry of an id.
  void Put(target_entry aEntry);
  void Remove(std::string_view aId);

  const target_entry* Find(std::string_view aId) const;
  /// Ready targets of a service, in the order of their ids.
  std::vector<const target_entry*> Ready(std::string_view aService) const;
  const std::map<std::string, target_entry, std::less<>>& All() const
  {
    return mEntries;
  }

private:
  std::map<std::string, target_entry, std::less<>> mEntries;
  std::unordered_map<std::string,
                     std::map<std::string, const target_entry*, std::less<>>>
    mByService;
};

} // namespace cowslipline
