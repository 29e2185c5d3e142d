#pragma once

#include "modules/explain/log_line.h"

#include <map>
#include <string>

namespace cowslipline {

/// Frequency table: how often each name occurred, such as the outcomes of the
/// sends to a target.
class frequency_table
{
public:
  void Add(std::string_view aName, std::size_t aCount = 1);

  std::size_t Total() const { return mTotal; }
  /// Zero for a name that was not added.
  std::size_t CountOf(std::string_view aName) const;
  std::size_t DistinctNames() const { return mCounts.size(); }

  /// The counts in descending order, such as "9 broken, 3 served"; "none" when
  /// the table is empty.
  std::string Text() const;

private:
  std::map<std::string, std::size_t, std::less<>> mCounts;
  std::size_t mTotal = 0;
};

} // namespace cowslipline
