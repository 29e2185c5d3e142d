#include "core/metrics.h"

#include <sstream>

#include <boost/histogram.hpp>

namespace cowslipline {

namespace {

constexpr std::size_t kSeriesLimit = 2000;
constexpr char kDroppedSeries[] = "cowslipline_series_dropped";
constexpr int kLatencyBuckets = 60;
constexpr double kLatencySmallest = 1e-4;
constexpr double kLatencyLargest = 100.0;

namespace bh = boost::histogram;
using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;

/// Name without labels, for the TYPE line.
std::string_view
BaseName(std::string_view aName)
{
  return aName.substr(0, aName.find('{'));
}

void
WriteTypeLine(std::ostream& aOut,
              std::string& aLast,
              std::string_view aName,
              const char* aType)
{
  const auto base = BaseName(aName);
  if (base != aLast) {
    aLast = std::string(base);
    aOut << "# TYPE " << base << ' ' << aType << '\n';
  }
}

} // namespace

class latency_histogram
{
public:
  latency_histogram()
    : mHistogram(bh::make_histogram(
        latency_axis(kLatencyBuckets, kLatencySmallest, kLatencyLargest)))
  {
  }

  void Observe(double aSeconds)
  {
    mHistogram(aSeconds);
    mSum += aSeconds;
    ++mCount;
  }

  double Quantile(double aQuantile) const
  {
    const double wanted = aQuantile * static_cast<double>(mCount);
    double seen = 0;
    for (auto&& bin : bh::indexed(mHistogram, bh::coverage::all)) {
      seen += *bin;
      if (seen >= wanted && seen > 0) {
        return std::min(bin.bin().upper(), kLatencyLargest);
      }
    }
    return 0;
  }

  void Render(std::ostream& aOut, std::string_view aName) const
  {
    double seen = 0;
    for (auto&& bin : bh::indexed(mHistogram, bh::coverage::all)) {
      seen += *bin;
      if (*bin == 0) {
        continue;
      }
      aOut << BaseName(aName) << "_bucket{le=\"" << bin.bin().upper() << "\"} "
           << seen << '\n';
    }
    aOut << BaseName(aName) << "_bucket{le=\"+Inf\"} " << mCount << '\n'
         << BaseName(aName) << "_sum " << mSum << '\n'
         << BaseName(aName) << "_count " << mCount << '\n';
  }

private:
  decltype(bh::make_histogram(latency_axis(1, 1.0, 2.0))) mHistogram;
  double mSum = 0;
  std::uint64_t mCount = 0;
};

metrics::metrics() = default;
metrics::~metrics() = default;

counter&
metrics::Counter(std::string_view aName)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  auto found = mCounters.find(aName);
  if (found == mCounters.end()) {
    const bool isFull = mCounters.size() >= kSeriesLimit;
    const auto name = isFull ? std::string_view(kDroppedSeries) : aName;
    found =
      mCounters.try_emplace(std::string(name), std::make_unique<counter>())
        .first;
  }
  return *found->second;
}

latency_histogram&
metrics::Histogram(std::string_view aName)
{
  auto found = mHistograms.find(aName);
  if (found == mHistograms.end()) {
    found =
      mHistograms
        .try_emplace(std::string(aName), std::make_unique<latency_histogram>())
        .first;
  }
  return *found->second;
}

void
metrics::ObserveSeconds(std::string_view aName, double aSeconds)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Histogram(aName).Observe(aSeconds);
}

double
metrics::Quantile(std::string_view aName, double aQuantile) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mHistograms.find(aName);
  return found == mHistograms.end() ? 0 : found->second->Quantile(aQuantile);
}

std::string
metrics::RenderText() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::ostringstream out;
  std::string last;
  for (const auto& [name, counter] : mCounters) {
    WriteTypeLine(out, last, name, "counter");
    out << name << ' ' << counter->Value() << '\n';
  }
  for (const auto& [name, histogram] : mHistograms) {
    WriteTypeLine(out, last, name, "histogram");
    histogram->Render(out, name);
  }
  return out.str();
}

} // namespace cowslipline
