#pragma once

#include "core/result.h"

#include <functional>
#include <string_view>

namespace cowslipline {

/// Source of the lines of one or more logs, in any order. It can be read more
/// than once, since the diagnosis of a request needs two passes.
class log_source
{
public:
  virtual ~log_source() = default;

  /// Calls the visitor for each line; every call starts again at the first one.
  /// Fails when a log cannot be read.
  virtual result<void> ForEachLine(
    const std::function<void(std::string_view)>& aVisitor) = 0;
};

} // namespace cowslipline
