#include "modules/explain/line_tally.h"

#include <algorithm>
#include <vector>

namespace cowslipline {

void
line_tally::Add(std::string_view aName, std::size_t aCount)
{
  mCounts[std::string(aName)] += aCount;
  mTotal += aCount;
}

std::size_t
line_tally::Of(std::string_view aName) const
{
  const auto found = mCounts.find(aName);
  return found == mCounts.end() ? 0 : found->second;
}

std::string
line_tally::Text() const
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
