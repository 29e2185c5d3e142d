#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include <httplib.h>

namespace cowslipline::testing {

/// The platform's key-value protocol over HTTP, in the test's own process and
/// on a port that the system chose. Also answers /status as an instance that
/// always has the version in force.
class http_store_standin
{
public:
  http_store_standin()
  {
    mServer.Get(R"(/kv/(.+))", [this](const auto& aRequest, auto& aResponse) {
      Read(aRequest, aResponse);
    });
    mServer.Put(R"(/kv/(.+))", [this](const auto& aRequest, auto& aResponse) {
      Write(aRequest, aResponse);
    });
    mServer.Get("/status", [this](const auto& /*aRequest*/, auto& aResponse) {
      aResponse.set_content(mStatus, "application/json");
    });
    mPort = mServer.bind_to_any_port("127.0.0.1");
    mThread = std::thread([this] { mServer.listen_after_bind(); });
    while (!mServer.is_running()) {
      std::this_thread::yield();
    }
  }
  http_store_standin(const http_store_standin&) = delete;
  http_store_standin& operator=(const http_store_standin&) = delete;
  ~http_store_standin()
  {
    mServer.stop();
    mThread.join();
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(mPort); }

  std::string mStatus;

private:
  using stored = std::pair<std::string, std::uint64_t>;

  void Read(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    const std::lock_guard lock(mMutex);
    const auto found = mValues.find(aRequest.matches[1]);
    if (found == mValues.end()) {
      aResponse.status = 404;
      return;
    }
    aResponse.set_header("Version", std::to_string(found->second.second));
    aResponse.set_content(found->second.first, "application/octet-stream");
  }

  void Write(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    const std::lock_guard lock(mMutex);
    auto& value = mValues[aRequest.matches[1]];
    if (std::to_string(value.second) != aRequest.get_param_value("expected")) {
      aResponse.status = 412;
      return;
    }
    value = { aRequest.body, value.second + 1 };
    aResponse.set_header("Version", std::to_string(value.second));
  }

  httplib::Server mServer;
  int mPort = 0;
  std::thread mThread;
  std::mutex mMutex;
  std::map<std::string, stored> mValues;
};

} // namespace cowslipline::testing
