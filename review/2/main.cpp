#include "review/standins/caller.h"
#include "review/standins/edge_process.h"
#include "review/standins/target_server.h"

#include <csignal>
#include <set>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int kConnections = 8;
constexpr auto kGrace = 6s;

// After the SIGTERM.
constexpr auto kSilentFrom = 1s;
constexpr auto kSilentUntil = 5s;
constexpr auto kRequestsAt = 3400ms;

constexpr char kWork[] = "2400"; // Milliseconds that a request runs.

std::string
Configuration()
{
  const auto route = [](const char* aName,
                        const char* aPrefix,
                        const char* aType,
                        const char* aService,
                        double aTimeout) {
    return nlohmann::json{
      { "name", aName },          { "hostname", "orders.example" },
      { "path-prefix", aPrefix }, { "route-type", aType },
      { "timeout-s", aTimeout },  { "slo-latency-s", 2 },
      { "priority", 1 },          { "service", aService },
      { "attempts", 2 },          { "public", false }
    };
  };
  const auto service = [](const char* aName) {
    return nlohmann::json{ { "name", aName },
                           { "health-path", "/healthz" },
                           { "max-conns", 360 } };
  };
  return nlohmann::json{
    { "version", 1 },
    { "routes",
      { route("orders", "/orders/", "non_idempotent", "workshop", 4),
        route("status", "/status/", "idempotent", "ledger", 10) } },
    { "services", { service("workshop"), service("ledger") } },
    { "limits",
      { { "max-header-bytes", 16384 },
        { "max-body-bytes", 1048576 },
        { "header-timeout-s", 3 },
        { "idle-timeout-s", 15 } } }
  }.dump();
}

} // namespace

/// An instance is stopped while the store is silent. Requests that it takes on
/// kept connections, and passes on, are cut off.
int
main(int aCount, char** aArguments)
{
  const auto arguments = ReadArguments(aCount, aArguments);
  record log(arguments.mRecordPath);
  platform_store store(log);
  store.Put("op/config", Configuration());

  std::mutex mutex;
  std::set<std::string> passedOn;
  const auto onRun = [&](const std::string&, const http_message& aRequest) {
    const std::lock_guard<std::mutex> lock(mutex);
    passedOn.insert(aRequest.Header("attempt-id"));
  };
  std::vector<std::unique_ptr<target_server>> targets;
  for (int i = 0; i < 6; ++i) {
    const std::string zone = i % 2 == 0 ? "zone-a" : "zone-b";
    targets.push_back(
      std::make_unique<target_server>(store,
                                      log,
                                      "i-" + std::to_string(100 + i),
                                      i < 3 ? "workshop" : "ledger",
                                      zone,
                                      onRun));
  }
  const auto storeAddress = store.Ip() + ":" + std::to_string(store.Port());
  const auto makeEdge = [&](const char* aName, const char* aZone, int aLast) {
    return std::make_unique<edge_process>(
      log,
      edge_process::options{ aName,
                             aZone,
                             LoopbackAddress(aLast),
                             storeAddress,
                             arguments.mFolder,
                             UsualBounds() });
  };
  const auto leaving = makeEdge("edge-a", "zone-a", 1);
  const auto other = makeEdge("edge-b", "zone-b", 2);
  if (!leaving->Start() || !other->Start() || !leaving->WaitReady(10s) ||
      !other->WaitReady(10s)) {
    return kExitNotRun;
  }
  std::this_thread::sleep_for(1s);

  std::vector<http_socket> kept;
  for (int i = 0; i < kConnections; ++i) {
    auto socket = http_socket::Connect(leaving->Ip(), leaving->CallersPort());
    if (!socket) {
      return kExitNotRun;
    }
    caller_request request;
    request.mMethod = "POST";
    request.mTarget = "/orders/first?work=50";
    const auto answer = SendRequest(*socket, request, NewRequestId(), log);
    if (answer.mStatus != 200 || answer.mWantsClose) {
      return kExitNotRun;
    }
    kept.push_back(std::move(*socket));
  }

  leaving->Signal(SIGTERM, "SIGTERM");
  const auto stoppedAt = clock_type::now();
  std::thread trouble([&] {
    if (arguments.mIsTrouble) {
      std::this_thread::sleep_until(stoppedAt + kSilentFrom);
      store.SetSilent(true);
      std::this_thread::sleep_until(stoppedAt + kSilentUntil);
      store.SetSilent(false);
    }
  });
  std::thread platform([&] {
    std::this_thread::sleep_until(stoppedAt + kGrace);
    if (!leaving->WaitForEnd(0ms)) {
      leaving->Signal(SIGKILL, "SIGKILL at the end of the grace time");
      leaving->WaitForEnd(2s);
    }
  });

  std::this_thread::sleep_until(stoppedAt + kRequestsAt);
  std::vector<std::thread> callers;
  callers.reserve(kConnections);
  std::vector<caller_answer> answers(kConnections);
  for (int i = 0; i < kConnections; ++i) {
    callers.emplace_back([&, i] {
      const auto index = static_cast<std::size_t>(i);
      auto& socket = kept[index];
      if (socket.HasEnded()) {
        // The platform leads new connections to the other instance.
        log.Add("kept connection has been closed, a new one is opened");
        auto opened = http_socket::Connect(other->Ip(), other->CallersPort());
        if (!opened) {
          return;
        }
        socket = std::move(*opened);
      }
      caller_request request;
      request.mMethod = i % 2 == 0 ? "POST" : "GET";
      request.mTarget = std::string(i % 2 == 0 ? "/orders/" : "/status/") +
                        "second?work=" + kWork;
      request.mDeadline = 8s;
      answers[index] = SendRequest(socket, request, NewRequestId(), log);
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  trouble.join();
  platform.join();

  int lost = 0;
  int served = 0;
  for (const auto& answer : answers) {
    const bool wasPassedOn = passedOn.count(answer.mRequestId) > 0;
    served += answer.mStatus == 200 ? 1 : 0;
    if (answer.mStatus == 0 && !answer.mIsTimedOut && wasPassedOn) {
      ++lost;
      log.Add("LOST: passed on, connection ended without an answer: " +
              answer.mRequestId);
    }
  }
  log.Add("served " + std::to_string(served) + ", lost " +
          std::to_string(lost));
  return lost > 0 ? kExitBroken : kExitHeld;
}
