#include "review/standins/caller.h"
#include "review/standins/edge_process.h"
#include "review/standins/target_server.h"

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int kTargets = 2;
constexpr auto kRestart = 2s; // "Back after some seconds".

constexpr int kRetries = 10;
constexpr auto kRetryPause = 5s;

// Others have short orders at work all the while.
constexpr int kCallers = 6;
constexpr auto kCallerPause = 200ms;

constexpr auto kContact = 3s; // contact-s
constexpr int kCrashesBeforeBlock = 3;
constexpr int kMostRetries = 3;

std::string
Configuration()
{
  using nlohmann::json;
  return json{
    { "version", 1 },
    { "routes",
      json::array({ { { "name", "orders" },
                      { "hostname", "orders.example" },
                      { "path-prefix", "/orders/" },
                      { "route-type", "idempotent" },
                      { "timeout-s", 4 },
                      { "slo-latency-s", 2 },
                      { "priority", 1 },
                      { "service", "workshop" },
                      { "attempts", 2 },
                      { "public", false } } }) },
    { "services",
      json::array({ { { "name", "workshop" },
                      { "health-path", "/healthz" },
                      { "max-conns", 360 } } }) },
    { "limits",
      { { "max-header-bytes", 16384 },
        { "max-body-bytes", 1048576 },
        { "header-timeout-s", 3 },
        { "idle-timeout-s", 15 } } }
  }.dump();
}

/// Keeps the targets of a service up: each is back, under its id and at its
/// address, some seconds after a crash.
class restarting_targets
{
public:
  restarting_targets(platform_store& aStore,
                     record& aRecord,
                     target_server::run_handler aHandler)
    : mStore(aStore)
    , mRecord(aRecord)
    , mHandler(std::move(aHandler))
    , mTargets(kTargets)
    , mPorts(kTargets)
    , mDownSince(kTargets)
  {
    for (std::size_t i = 0; i < mTargets.size(); ++i) {
      Start(i);
    }
    mThread = std::thread([this] { Run(); });
  }
  ~restarting_targets()
  {
    mIsStopped = true;
    mThread.join();
  }
  restarting_targets(const restarting_targets&) = delete;
  restarting_targets& operator=(const restarting_targets&) = delete;

private:
  void Start(std::size_t aIndex)
  {
    mTargets[aIndex] =
      std::make_unique<target_server>(mStore,
                                      mRecord,
                                      "i-" + std::to_string(100 + aIndex),
                                      "workshop",
                                      "zone-a",
                                      mHandler,
                                      mPorts[aIndex]);
    mPorts[aIndex] = mTargets[aIndex]->Port();
    mRecord.Add("started i-" + std::to_string(100 + aIndex));
  }

  void Run()
  {
    while (!mIsStopped) {
      for (std::size_t i = 0; i < mTargets.size(); ++i) {
        if (mTargets[i] && mTargets[i]->HasCrashed()) {
          mTargets[i].reset();
          mDownSince[i] = clock_type::now();
        }
        if (!mTargets[i] && clock_type::now() - mDownSince[i] > kRestart) {
          Start(i);
        }
      }
      std::this_thread::sleep_for(10ms);
    }
  }

  platform_store& mStore;
  record& mRecord;
  target_server::run_handler mHandler;
  std::vector<std::unique_ptr<target_server>> mTargets;
  std::vector<std::uint16_t> mPorts;
  std::vector<time_point> mDownSince;
  std::atomic<bool> mIsStopped{ false };
  std::thread mThread;
};

} // namespace

/// A request that crashes its targets comes again and again, and is passed on
/// each time to targets that are back under their ids.
int
main(int aCount, char** aArguments)
{
  const auto arguments = ReadArguments(aCount, aArguments);
  record log(arguments.mRecordPath);
  platform_store store(log);
  store.Put("op/config", Configuration());

  std::mutex mutex;
  std::vector<std::pair<time_point, std::string>> poisonRuns;
  restarting_targets targets(
    store, log, [&](const std::string&, const http_message& aRequest) {
      if (aRequest.Word(1).find("/poison") != std::string::npos) {
        const std::lock_guard<std::mutex> lock(mutex);
        poisonRuns.emplace_back(clock_type::now(),
                                aRequest.Header("attempt-id"));
      }
    });
  edge_process edge(log,
                    { "edge-a",
                      "zone-a",
                      LoopbackAddress(1),
                      store.Ip() + ":" + std::to_string(store.Port()),
                      arguments.mFolder,
                      UsualBounds() });
  if (!edge.Start() || !edge.WaitReady(10s)) {
    return kExitNotRun;
  }

  std::atomic<bool> isStopped{ false };
  std::atomic<int> served{ 0 };
  std::atomic<int> failed{ 0 };
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      while (!isStopped) {
        auto socket = http_socket::Connect(edge.Ip(), edge.CallersPort());
        caller_request request;
        request.mTarget = "/orders/status?work=500";
        if (socket) {
          const auto answer =
            SendRequest(*socket, request, NewRequestId(), log);
          ++(answer.mStatus == 200 ? served : failed);
        }
        std::this_thread::sleep_for(kCallerPause);
      }
    });
  }
  std::this_thread::sleep_for(2s);
  for (int i = 0; i < kRetries; ++i) {
    auto socket = http_socket::Connect(edge.Ip(), edge.CallersPort());
    caller_request request;
    request.mTarget = arguments.mIsTrouble ? "/orders/poison" : "/orders/sound";
    if (socket) {
      SendRequest(*socket, request, NewRequestId(), log);
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  isStopped = true;
  for (auto& caller : callers) {
    caller.join();
  }

  const std::lock_guard<std::mutex> lock(mutex);
  std::map<std::string, int> late;
  for (std::size_t i = kCrashesBeforeBlock; i < poisonRuns.size(); ++i) {
    const auto& third = poisonRuns[kCrashesBeforeBlock - 1];
    if (poisonRuns[i].first > third.first + kContact) {
      ++late[poisonRuns[i].second];
    }
  }
  log.Add("crashes " + std::to_string(poisonRuns.size()) +
          "; retries that reached a target later than 3 s after the third: " +
          std::to_string(late.size()) + ", allowed " +
          std::to_string(kMostRetries) + "; other requests served " +
          std::to_string(served) + ", failed " + std::to_string(failed));
  if (served == 0) {
    return kExitNotRun;
  }
  return late.size() > kMostRetries ? kExitBroken : kExitHeld;
}
