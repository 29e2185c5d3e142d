#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace cowslipline {

/// The open connections of callers. Ends idle ones to make room or to stop.
/// Safe from any thread.
class connection_registry
{
public:
  void Enter(int aDescriptor);
  /// Called before the socket is closed, so that a later connection with the
  /// same descriptor is never ended in its place.
  void Leave(int aDescriptor);

  /// Waits for the first byte of the next request. False when the connection
  /// shall end: the timeout passed, the instance stops or needs room.
  /// aNeedsRoom is asked once the connection counts as idle, so that room
  /// needed at the same moment is not missed.
  bool WaitForInput(int aDescriptor,
                    duration aTimeout,
                    const std::function<bool()>& aNeedsRoom);

  /// Ends the wait of the connection that has been idle longest.
  void EndLongestIdle();
  /// Ends all waits; later ones return what has already arrived.
  void StopIdle();
  bool IsStopping() const;
  /// Breaks all connections.
  void BreakAll();

  std::size_t Count() const;

private:
  struct entry
  {
    int mWake = -1; ///< An eventfd; ends the wait without touching the socket.
    bool mIsIdle = false;
    std::uint64_t mIdleOrder = 0;
  };

  static void Wake(entry& aEntry);
  /// The eventfd to wait on, or -1 when the instance stops.
  int MarkIdle(int aDescriptor);
  void MarkBusy(int aDescriptor);

  mutable std::mutex mMutex;
  std::map<int, entry> mEntries;
  std::uint64_t mNextOrder = 0;
  bool mIsStopping = false;
};

} // namespace cowslipline
