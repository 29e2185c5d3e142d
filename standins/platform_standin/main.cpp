#include "standins/platform_standin/stored_values.h"

#include <atomic>
#include <iostream>
#include <thread>

#include <docopt/docopt.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace {

constexpr char kUsage[] =
  R"(Stand-in for the platform: key-value service and list of instances.

Usage:
  platform_standin [--seconds N]

Options:
  --seconds N  End after this time. [default: 600]

Prints one JSON line with its port. Faults are set with
POST /_control?away=0|1&lose_answers=0..100&latency_ms=N.
)";

// Watches block a thread each.
constexpr std::size_t kThreads = 64;

struct fault_settings
{
  std::atomic<bool> mIsAway{ false };
  std::atomic<int> mLoseAnswersPercent{ 0 };
  std::atomic<int> mLatencyMilliseconds{ 1 };
  std::atomic<std::uint64_t> mWrites{ 0 };
  std::atomic<std::uint64_t> mReads{ 0 };
};

std::uint64_t
NumberOf(const httplib::Request& aRequest, const char* aName)
{
  const auto text = aRequest.get_param_value(aName);
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

class platform_server
{
public:
  platform_server()
  {
    mServer.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
    mServer.set_keep_alive_max_count(1000);
    AddValueHandlers();
    AddInstanceHandlers();
    AddControlHandlers();
  }

  int Bind() { return mServer.bind_to_any_port("127.0.0.1"); }
  void Serve() { mServer.listen_after_bind(); }
  void Stop() { mServer.stop(); }

private:
  /// True when the request was answered by a fault.
  bool ApplyFaults(httplib::Response& aResponse)
  {
    std::this_thread::sleep_for(
      std::chrono::milliseconds(mFaults.mLatencyMilliseconds));
    if (mFaults.mIsAway) {
      aResponse.status = 503;
      return true;
    }
    return false;
  }

  /// Turns the answer to an applied write into an error now and then.
  void LoseAnswer(httplib::Response& aResponse)
  {
    const auto number = mFaults.mWrites.load() % 100;
    if (number < static_cast<std::uint64_t>(mFaults.mLoseAnswersPercent)) {
      aResponse.status = 500;
    }
  }

  void AddValueHandlers()
  {
    const char* pattern = R"(/kv/(.+))";
    mServer.Get(pattern, [this](const auto& aRequest, auto& aResponse) {
      ++mFaults.mReads;
      if (!ApplyFaults(aResponse)) {
        AnswerRead(aRequest, aResponse);
      }
    });
    mServer.Put(pattern, [this](const auto& aRequest, auto& aResponse) {
      ++mFaults.mWrites;
      if (ApplyFaults(aResponse)) {
        return;
      }
      const auto version = mValues.CompareAndSwap(
        aRequest.matches[1], NumberOf(aRequest, "expected"), aRequest.body);
      aResponse.status = version ? 200 : 412;
      aResponse.set_header("Version", std::to_string(version.value_or(0)));
      LoseAnswer(aResponse);
    });
    mServer.Delete(pattern, [this](const auto& aRequest, auto& aResponse) {
      ++mFaults.mWrites;
      if (!ApplyFaults(aResponse)) {
        const bool isRemoved =
          mValues.Remove(aRequest.matches[1], NumberOf(aRequest, "expected"));
        aResponse.status = isRemoved ? 200 : 412;
      }
    });
  }

  void AnswerRead(const httplib::Request& aRequest,
                  httplib::Response& aResponse)
  {
    const bool isWatch = aRequest.has_param("after");
    const std::string key = aRequest.matches[1];
    const auto wait = std::chrono::milliseconds(NumberOf(aRequest, "wait_ms"));
    const auto value =
      isWatch ? mValues.WaitForChange(key, NumberOf(aRequest, "after"), wait)
              : mValues.Read(key);
    if (!value) {
      aResponse.status = isWatch ? 304 : 404;
      return;
    }
    aResponse.set_header("Version", std::to_string(value->mVersion));
    aResponse.set_content(value->mValue, "application/octet-stream");
  }

  void AddInstanceHandlers()
  {
    mServer.Get("/instances", [this](const auto&, auto& aResponse) {
      const std::lock_guard<std::mutex> lock(mMutex);
      aResponse.set_content(mInstances.dump(), "application/json");
    });
    mServer.Put("/instances", [this](const auto& aRequest, auto& aResponse) {
      auto list = nlohmann::json::parse(aRequest.body, nullptr, false);
      if (!list.is_array()) {
        aResponse.status = 400;
        return;
      }
      const std::lock_guard<std::mutex> lock(mMutex);
      mInstances = std::move(list);
    });
  }

  void AddControlHandlers()
  {
    mServer.Post("/_control", [this](const auto& aRequest, auto& aResponse) {
      if (aRequest.has_param("away")) {
        mFaults.mIsAway = NumberOf(aRequest, "away") != 0;
      }
      if (aRequest.has_param("lose_answers")) {
        mFaults.mLoseAnswersPercent =
          static_cast<int>(NumberOf(aRequest, "lose_answers"));
      }
      if (aRequest.has_param("latency_ms")) {
        mFaults.mLatencyMilliseconds =
          static_cast<int>(NumberOf(aRequest, "latency_ms"));
      }
      aResponse.status = 200;
    });
    mServer.Get("/_counts", [this](const auto&, auto& aResponse) {
      const nlohmann::json counts = { { "reads", mFaults.mReads.load() },
                                      { "writes", mFaults.mWrites.load() } };
      aResponse.set_content(counts.dump(), "application/json");
    });
  }

  httplib::Server mServer;
  cowslipline::stored_values mValues;
  fault_settings mFaults;
  std::mutex mMutex;
  nlohmann::json mInstances = nlohmann::json::array();
};

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  const auto options = docopt::docopt(
    kUsage, { aArguments + 1, aArguments + aArgumentCount }, true, "");
  platform_server server;
  const int port = server.Bind();
  if (port < 0) {
    std::cerr << "cannot bind a port\n";
    return 1;
  }
  std::cout << nlohmann::json{ { "port", port } }.dump() << std::endl;
  std::thread serving([&server] { server.Serve(); });
  std::this_thread::sleep_for(
    std::chrono::seconds(options.at("--seconds").asLong()));
  server.Stop();
  serving.join();
  return 0;
}
