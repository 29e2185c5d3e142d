#pragma once

#include <cstdint>
#include <random>

namespace cowslipline {

/// Seeded random numbers. Tests give a fixed seed; the daemon takes one from
/// the operating system.
class random_source
{
public:
  explicit random_source(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /// Uniform in [0, aLimit). aLimit must be positive.
  std::uint64_t Below(std::uint64_t aLimit)
  {
    return std::uniform_int_distribution<std::uint64_t>(0, aLimit - 1)(mEngine);
  }

  /// Uniform in [0, 1).
  double Unit()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mEngine);
  }

  std::uint64_t Next() { return mEngine(); }

private:
  std::mt19937_64 mEngine;
};

} // namespace cowslipline
