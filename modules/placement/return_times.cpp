#include "modules/placement/return_times.h"

#include <algorithm>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Without a latency objective, or with a long one.
constexpr duration kEarliest = 250ms;
constexpr duration kLatest = 1s;

// Bounds of the span as fractions (1/n) of the latency objective.
constexpr int kEarliestDivisor = 8;
constexpr int kLatestDivisor = 2;

} // namespace

duration
ReturnTime(duration aObjective, double aPart)
{
  const bool hasObjective = aObjective > duration(0);
  const auto earliest =
    hasObjective ? std::min<duration>(kEarliest, aObjective / kEarliestDivisor)
                 : kEarliest;
  const auto latest =
    hasObjective ? std::min<duration>(kLatest, aObjective / kLatestDivisor)
                 : kLatest;
  return earliest +
         duration(static_cast<duration::rep>(
           aPart * static_cast<double>((latest - earliest).count())));
}

} // namespace cowslipline
