#include "modules/placement/cold_limit.h"

#include <cmath>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// After the cold time the limit doubles in this time, and ends after the second
// one: it is then sixteen times that of a cold target.
constexpr duration kDoublingTime = 500ms;
constexpr duration kWarmUpTime = 2s;

} // namespace

std::optional<send_limit>
ColdLimitAt(const send_limit& aCold, steady_time aColdUntil, steady_time aNow)
{
  if (aCold.mRate <= 0 || aNow >= aColdUntil + kWarmUpTime) {
    return std::nullopt;
  }
  if (aNow < aColdUntil) {
    return aCold;
  }
  const double factor =
    std::exp2(std::chrono::duration<double>(aNow - aColdUntil) /
              std::chrono::duration<double>(kDoublingTime));
  return send_limit{ aCold.mRate * factor, aCold.mMostPerSecond * factor };
}

} // namespace cowslipline
