#pragma once

#include "core/tcp_stream.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cowslipline {

/// Idle connections to targets.
class upstream_pool
{
public:
  /// A connection that has neither ended nor sent anything, or null.
  std::unique_ptr<tcp_stream> Take(std::string_view aTarget, steady_time aNow);

  /// aKeepFor: how long the target keeps an idle connection open.
  void Put(std::string_view aTarget,
           std::unique_ptr<tcp_stream> aStream,
           duration aKeepFor,
           steady_time aNow);

  /// Closes the connections to a target, for example of one that has ended.
  void Drop(std::string_view aTarget);
  void CloseExpired(steady_time aNow);
  std::size_t Size() const;

private:
  struct idle_connection
  {
    std::unique_ptr<tcp_stream> mStream;
    steady_time mUsableUntil;
  };
  std::unordered_map<std::string, std::vector<idle_connection>> mIdle;
};

} // namespace cowslipline
