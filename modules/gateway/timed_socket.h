#pragma once

#include "core/time.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace cowslipline {

enum class io_status
{
  Done,
  Closed,   ///< The other side closed its direction.
  Reset,    ///< The connection broke.
  TimedOut, ///< The deadline passed.
  Canceled, ///< The watched socket was closed by its other side.
  Answered, ///< Input came while a write could not go on.
};

struct io_result
{
  io_status mStatus = io_status::Done;
  std::size_t mBytes = 0;
};

/// Reads and writes on a connected socket until a deadline for the whole
/// operation, however the bytes trickle. Does not own the socket.
class timed_socket
{
public:
  explicit timed_socket(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  int Descriptor() const { return mDescriptor; }
  void SetDeadline(steady_time aDeadline) { mDeadline = aDeadline; }
  /// Ends waiting with Canceled when this socket's other side goes away; -1
  /// for none.
  void Watch(int aDescriptor) { mWatched = aDescriptor; }

  /// Ends a write that cannot go on when there is input: an upstream may
  /// answer without reading the whole request.
  void EndWritesOnInput() { mEndsWritesOnInput = true; }

  /// Reads at least one byte.
  io_result Read(char* aData, std::size_t aSize);
  /// Writes all bytes. mBytes says how many were taken by the system.
  io_result WriteAll(std::string_view aFirst, std::string_view aSecond = {});

  /// True when there is something to read or the connection has ended.
  bool IsReadable() const;

private:
  io_status WaitFor(short aEvents) const;

  int mDescriptor;
  int mWatched = -1;
  bool mEndsWritesOnInput = false;
  steady_time mDeadline = steady_time::max();
};

/// True when the other side of a connection has closed it or it broke. Data
/// that waits to be read does not count.
bool
HasPeerLeft(int aDescriptor);

} // namespace cowslipline
