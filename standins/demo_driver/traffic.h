#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cowslipline {

struct demo_instance
{
  int mCallersPort = 0;
  int mAdminPort = 0;
};

/// One kind of request that callers send in turn.
struct request_kind
{
  std::string mMethod;
  std::string mPath;
  bool mIsIdempotent = true;
};

struct traffic_options
{
  std::vector<demo_instance> mInstances;
  std::vector<std::string> mKeys;
  std::vector<request_kind> mKinds;
  std::size_t mCallers = 8;
  std::chrono::seconds mTime{ 20 };
};

/// What callers saw. Safe from any thread.
class traffic_report
{
public:
  void AddAnswer(double aSeconds, bool aIsQuery);
  void AddDirect(double aSeconds);
  void AddRefusal(const std::string& aReason);
  void AddCut(const std::string& aWhat);
  void AddWrongAnswer() { ++mWrongAnswers; }
  void AddReplay() { ++mReplays; }

  /// Prints the summary; false when a request was cut or answered wrongly.
  bool Print() const;

private:
  mutable std::mutex mMutex;
  std::vector<double> mQueries; ///< Seconds, through the fleet.
  std::vector<double> mDirect;  ///< Seconds, the same request sent directly.
  std::uint64_t mAnswered = 0;
  std::map<std::string, std::uint64_t> mRefusals;
  std::map<std::string, std::map<int, std::uint64_t>> mRefusalSeconds;
  std::chrono::steady_clock::time_point mStart =
    std::chrono::steady_clock::now();
  std::map<std::string, std::uint64_t> mCuts;
  std::atomic<std::uint64_t> mWrongAnswers{ 0 };
  std::atomic<std::uint64_t> mReplays{ 0 };
};

/// Sends requests from several callers through the instances that are ready,
/// as a load balancer would, until the time is over.
void
RunTraffic(const traffic_options& aOptions,
           int aDirectPort,
           traffic_report& aReport);

} // namespace cowslipline
