#pragma once

#include "core/result.h"

#include <functional>
#include <string_view>

namespace cowslipline {

/// The lines of one or more logs, in any order.
class log_source
{
public:
  virtual ~log_source() = default;

  /// Calls the visitor for each line, from the first one each time.
  virtual result<void> ForEachLine(
    const std::function<void(std::string_view)>& aVisitor) = 0;
};

} // namespace cowslipline
