#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace cowslipline {

/// A counter that only grows. Safe from any thread.
class counter
{
public:
  void Add(std::uint64_t aCount = 1)
  {
    mValue.fetch_add(aCount, std::memory_order_relaxed);
  }
  std::uint64_t Value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> mValue{ 0 };
};

/// A latency histogram with logarithmic buckets. Safe from any thread.
class latency_histogram;

/// Named counters and histograms. Names include their labels, such as
/// `cowslipline_refusals_total{reason="rate_limited"}`. The number of series
/// is bounded; further names share the series `cowslipline_series_dropped`.
class metrics
{
public:
  metrics();
  ~metrics();

  counter& Counter(std::string_view aName);
  void ObserveSeconds(std::string_view aName, double aSeconds);

  /// Value of the histogram at a quantile in [0, 1], in seconds; 0 when empty.
  double Quantile(std::string_view aName, double aQuantile) const;

  /// Text exposition format, sorted by name.
  std::string RenderText() const;

private:
  latency_histogram& Histogram(std::string_view aName);

  mutable std::mutex mMutex;
  std::map<std::string, std::unique_ptr<counter>, std::less<>> mCounters;
  std::map<std::string, std::unique_ptr<latency_histogram>, std::less<>>
    mHistograms;
};

} // namespace cowslipline
