#pragma once

#include "core/time.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace cowslipline {

/// This instance's part of the fleet's bound on repeated sends: in any window
/// a service gets at most `ratio` x its requests + `extra` arrivals beyond the
/// first of each request. Answers the load of a fault that makes most first
/// sends fail: without a bound, repeats would double it.
///
/// Each instance earns the ratio from its own requests and holds an equal part
/// of the extra, so no messages are needed.
class retry_budget
{
public:
  /// aExtra: arrivals that the whole fleet may add in one window.
  retry_budget(double aRatio, double aExtra)
    : mRatio(aRatio * kUsedPart)
    , mExtra(aExtra * kUsedPart)
  {
  }

  /// Instances that share the extra.
  void SetInstances(std::size_t aCount);

  void OnRequest(std::string_view aService);

  /// Takes one repeated send; false when there is none left.
  bool Take(std::string_view aService);

private:
  /// Repeats that were earned in one window count in the next one as well.
  static constexpr double kUsedPart = 0.8;

  struct account
  {
    double mLeft = 0;
    bool mIsNew = true;
  };

  double MostHeld() const;
  account& AccountOf(std::string_view aService);

  double mRatio;
  double mExtra;
  std::size_t mInstances = 1;
  std::unordered_map<std::string, account> mAccounts;
};

} // namespace cowslipline
