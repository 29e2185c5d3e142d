#include "standins/demo_driver/traffic.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <thread>

#include <httplib.h>

namespace cowslipline {

namespace {

using steady = std::chrono::steady_clock;

constexpr auto kReadyPoll = std::chrono::milliseconds(100);
constexpr auto kPauseBetweenRequests = std::chrono::milliseconds(50);
constexpr auto kDirectPause = std::chrono::milliseconds(20);
constexpr int kClientTimeoutSeconds = 10;

// One in twenty non-idempotent requests is sent again through another
// instance, as a caller does that lost patience.
constexpr int kResendEvery = 20;

double
SecondsSince(steady::time_point aStart)
{
  return std::chrono::duration<double>(steady::now() - aStart).count();
}

double
Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index = static_cast<std::size_t>(
    aQuantile * static_cast<double>(aValues.size() - 1));
  return aValues[index];
}

/// Which instances the balancer sends new requests to.
class ready_instances
{
public:
  explicit ready_instances(const std::vector<demo_instance>& aInstances)
    : mInstances(aInstances)
    , mIsReady(aInstances.size())
  {
  }

  void PollUntil(steady::time_point aEnd)
  {
    while (steady::now() < aEnd) {
      for (std::size_t i = 0; i < mInstances.size(); ++i) {
        httplib::Client client("127.0.0.1", mInstances[i].mAdminPort);
        const auto answer = client.Get("/readyz");
        mIsReady[i] = answer && answer->status == 200;
      }
      std::this_thread::sleep_for(kReadyPoll);
    }
  }

  /// The first ready instance from aStart on; -1 when none is.
  int Next(std::size_t aStart) const
  {
    for (std::size_t i = 0; i < mIsReady.size(); ++i) {
      const auto index = (aStart + i) % mIsReady.size();
      if (mIsReady[index]) {
        return static_cast<int>(index);
      }
    }
    return -1;
  }

private:
  const std::vector<demo_instance>& mInstances;
  std::vector<std::atomic<bool>> mIsReady;
};

/// One caller with a kept-alive connection to each instance.
class demo_caller
{
public:
  demo_caller(std::size_t aNumber,
              const traffic_options& aOptions,
              const ready_instances& aReady,
              traffic_report& aReport)
    : mNumber(aNumber)
    , mOptions(aOptions)
    , mReady(aReady)
    , mReport(aReport)
  {
    for (const auto& instance : aOptions.mInstances) {
      mClients.push_back(
        std::make_unique<httplib::Client>("127.0.0.1", instance.mCallersPort));
      mClients.back()->set_keep_alive(true);
      mClients.back()->set_tcp_nodelay(true);
      mClients.back()->set_read_timeout(kClientTimeoutSeconds);
    }
  }

  void RunUntil(steady::time_point aEnd)
  {
    while (steady::now() < aEnd) {
      const auto& kind = mOptions.mKinds[mCount % mOptions.mKinds.size()];
      const auto id =
        "d" + std::to_string(mNumber) + "-" + std::to_string(mCount++);
      SendOnce(kind, id, mCount);
      if (!kind.mIsIdempotent && mCount % kResendEvery == 0) {
        SendOnce(kind, id, mCount + 1);
      }
      std::this_thread::sleep_for(kPauseBetweenRequests);
    }
  }

private:
  void SendOnce(const request_kind& aKind,
                const std::string& aId,
                std::size_t aStart)
  {
    for (std::size_t i = 0; i < mClients.size(); ++i) {
      const int index = mReady.Next(aStart + i);
      if (index < 0) {
        mReport.AddRefusal("no_instance_ready");
        return;
      }
      const auto start = steady::now();
      const auto answer =
        Send(*mClients[static_cast<std::size_t>(index)], aKind, aId);
      const bool isNeverSent =
        !answer && (answer.error() == httplib::Error::Connection ||
                    answer.error() == httplib::Error::ConnectionTimeout);
      if (!isNeverSent) {
        Record(aKind, aId, answer, SecondsSince(start));
        return;
      }
    }
    mReport.AddRefusal("no_instance_reachable");
  }

  httplib::Result Send(httplib::Client& aClient,
                       const request_kind& aKind,
                       const std::string& aId)
  {
    httplib::Headers headers = {
      { "Authorization",
        "Bearer " + mOptions.mKeys[mNumber % mOptions.mKeys.size()] },
    };
    if (!aKind.mIsIdempotent) {
      headers.emplace("Idempotency-Key", aId);
    }
    if (aKind.mMethod == "GET") {
      return aClient.Get(aKind.mPath + "?q=" + aId, headers);
    }
    return aClient.Post(aKind.mPath, headers, aId, "text/plain");
  }

  void Record(const request_kind& aKind,
              const std::string& aId,
              const httplib::Result& aAnswer,
              double aSeconds)
  {
    if (!aAnswer) {
      mReport.AddCut(aKind.mMethod + " " + aKind.mPath + ": " +
                     httplib::to_string(aAnswer.error()));
      return;
    }
    const auto reason = aAnswer->get_header_value("Cowslipline-Reason");
    if (!reason.empty()) {
      mReport.AddRefusal(reason);
      return;
    }
    if (aAnswer->status == 200 &&
        aAnswer->body.find(aId) == std::string::npos) {
      mReport.AddWrongAnswer();
    }
    if (aAnswer->has_header("Cowslipline-Replayed")) {
      mReport.AddReplay();
    }
    mReport.AddAnswer(aSeconds, aKind.mIsIdempotent);
  }

  std::size_t mNumber;
  std::size_t mCount = 0;
  const traffic_options& mOptions;
  const ready_instances& mReady;
  traffic_report& mReport;
  std::vector<std::unique_ptr<httplib::Client>> mClients;
};

void
SendDirect(int aPort,
           const std::string& aPath,
           steady::time_point aEnd,
           traffic_report& aReport)
{
  httplib::Client client("127.0.0.1", aPort);
  client.set_keep_alive(true);
  while (steady::now() < aEnd) {
    const auto start = steady::now();
    if (client.Get(aPath)) {
      aReport.AddDirect(SecondsSince(start));
    }
    std::this_thread::sleep_for(kDirectPause);
  }
}

} // namespace

void
traffic_report::AddAnswer(double aSeconds, bool aIsQuery)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mAnswered;
  if (aIsQuery) {
    mQueries.push_back(aSeconds);
  }
}

void
traffic_report::AddDirect(double aSeconds)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mDirect.push_back(aSeconds);
}

void
traffic_report::AddRefusal(const std::string& aReason)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mRefusals[aReason];
  const auto second = static_cast<int>(SecondsSince(mStart));
  mRefusalSeconds[aReason][second]++;
}

void
traffic_report::AddCut(const std::string& aWhat)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mCuts[aWhat];
}

bool
traffic_report::Print() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::printf("answered: %lu\n", static_cast<unsigned long>(mAnswered));
  for (const auto& [reason, count] : mRefusals) {
    std::printf("refused, %s: %lu (by second:",
                reason.c_str(),
                static_cast<unsigned long>(count));
    for (const auto& [second, inSecond] : mRefusalSeconds.at(reason)) {
      std::printf(" %d:%lu", second, static_cast<unsigned long>(inSecond));
    }
    std::printf(")\n");
  }
  for (const auto& [what, count] : mCuts) {
    std::printf(
      "CUT, %s: %lu\n", what.c_str(), static_cast<unsigned long>(count));
  }
  std::printf("replayed outcomes: %lu\nwrong answers: %lu\n",
              static_cast<unsigned long>(mReplays.load()),
              static_cast<unsigned long>(mWrongAnswers.load()));
  const double toMilliseconds = 1000;
  for (const double quantile : { 0.5, 0.99 }) {
    const auto through = Quantile(mQueries, quantile) * toMilliseconds;
    const auto direct = Quantile(mDirect, quantile) * toMilliseconds;
    std::printf("query latency p%g: %.2f ms, sent directly %.2f ms, "
                "added %.2f ms\n",
                quantile * 100,
                through,
                direct,
                through - direct);
  }
  return mCuts.empty() && mWrongAnswers == 0 && mAnswered > 0;
}

void
RunTraffic(const traffic_options& aOptions,
           int aDirectPort,
           traffic_report& aReport)
{
  const auto end = steady::now() + aOptions.mTime;
  ready_instances ready(aOptions.mInstances);
  std::vector<std::thread> threads;
  threads.emplace_back([&] { ready.PollUntil(end + kReadyPoll); });
  threads.emplace_back([&] {
    SendDirect(aDirectPort, aOptions.mKinds.front().mPath, end, aReport);
  });
  std::this_thread::sleep_for(3 * kReadyPoll);
  for (std::size_t i = 0; i < aOptions.mCallers; ++i) {
    threads.emplace_back(
      [&, i] { demo_caller(i, aOptions, ready, aReport).RunUntil(end); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

} // namespace cowslipline
