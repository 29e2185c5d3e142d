#pragma once

#include "modules/explain/log_line.h"

#include <map>
#include <string>

namespace cowslipline {

/// Counts by name, for sentences such as "9 broken, 3 served".
class line_tally
{
public:
  void Add(std::string_view aName, std::size_t aCount = 1);

  std::size_t Total() const { return mTotal; }
  std::size_t Of(std::string_view aName) const;
  std::size_t Names() const { return mCounts.size(); }

  /// The counts, the largest first: "9 broken, 3 served".
  std::string Text() const;

private:
  std::map<std::string, std::size_t, std::less<>> mCounts;
  std::size_t mTotal = 0;
};

} // namespace cowslipline
