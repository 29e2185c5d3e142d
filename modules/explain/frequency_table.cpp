#include "modules/explain/frequency_table.h"

#include <algorithm>
#include <vector>

namespace cowslipline {

void
frequency_table::Add(std::string_view aName, std::size_t aCount)
{
  mCounts[std::string(aName)] += aCount;
  mTotal += aCount;
}

std::size_t
frequency_table::CountOf(std::string_view aName) const
{
  const auto found = mCounts.find(aName);
  return found == mCounts.end() ? 0 : found->second;
}

std::string
frequency_table::Text() const
{
  std::vector<std::pair<std::size_t, std::string>> sorted;
  sorted.reserve(mCounts.size());
  for (const auto& [name, count] : mCounts) {
    sorted.emplace_back(count, name);
  }
  std::stable_sort(
    sorted.begin(), sorted.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first > aRight.first;
    });
  std::string text;
  for (const auto& [count, name] : sorted) {
    text += (text.empty() ? "" : ", ") + std::to_string(count) + ' ' + name;
  }
  return text.empty() ? "none" : text;
}

} // namespace cowslipline
