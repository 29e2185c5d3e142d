// Latency that one instance adds and its CPU per request, next to direct calls
// of the same upstream in the same run. The decisions of other modules are
// constant here; calls to the control plane are not part of the figures.
#include "modules/gateway/gateway.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <thread>
#include <vector>

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace cowslipline;

namespace {

constexpr const char* kUsage = R"(Latency added by one gateway.

Usage:
  bench_latency [--rate=N] [--connections=N] [--seconds=S] [--service-ms=MS]
                [--standin=PATH]

Options:
  --rate=N         Requests per second on each path [default: 200].
  --connections=N  Callers' connections on each path [default: 20].
  --seconds=S      Measured time [default: 10].
  --service-ms=MS  Service time of the upstream [default: 5].
  --standin=PATH   Upstream stand-in
                   [default: build/standins/upstream_standin].
)";

constexpr double kTargetMilliseconds = 3.2;
constexpr int kTargets = 4;
constexpr std::chrono::seconds kWarmUp{ 1 };

class constant_decisions final
  : public key_decision
  , public rate_decision
  , public claim_decision
  , public target_decision
  , public readiness_decision
{
public:
  key_verdict Verify(const snapshot&, std::string_view) override
  {
    return key_accepted{};
  }
  result<void> Admit(std::string_view, duration) override { return {}; }
  result<claim_verdict> Claim(const claim_request&, duration) override
  {
    return claim_granted{};
  }
  void Finish(const claim_ticket&, const finished_answer&) override {}
  void Release(const claim_ticket&) override {}
  quarantine_verdict CheckQuarantine(const target_request&, duration) override
  {
    return quarantine_verdict::Clear;
  }
  result<chosen_target> Choose(const target_request&, duration) override
  {
    return chosen_target{ mNext++ % kTargets, {} };
  }
  void Report(const target_request&,
              const chosen_target&,
              const attempt_result&) override
  {
  }
  void Abandon(const target_request&, const chosen_target&) override {}
  void CountFirstAttempt(const target_request&) override {}
  bool TakeRetry(const target_request&) override { return false; }
  readiness Current() override { return instance_ready{}; }

private:
  std::atomic<target_index> mNext{ 0 };
};

class fixed_source final : public snapshot_source
{
public:
  explicit fixed_source(const std::vector<std::uint16_t>& aPorts)
  {
    auto made = std::make_shared<snapshot>();
    made->mVersion = 1;
    service added;
    for (const auto port : aPorts) {
      target one;
      one.mHost = "127.0.0.1";
      one.mPort = port;
      added.mTargets.push_back(one);
    }
    made->mServices.push_back(added);
    made->mOrganisations.push_back({ "aquaria", 1000, 1000 });
    route all;
    all.mId = "all";
    all.mMethod = "GET";
    all.mPathPrefix = "/";
    made->mRoutes.push_back(all);
    mSnapshot = made;
  }
  snapshot_pointer Current() const override { return mSnapshot; }

private:
  snapshot_pointer mSnapshot;
};

struct figures
{
  std::vector<double> mMilliseconds;
  std::uint64_t mFailures = 0;

  double Quantile(double aQuantile) const
  {
    const auto last = static_cast<double>(mMilliseconds.size() - 1);
    return mMilliseconds.empty()
             ? 0
             : mMilliseconds[static_cast<std::size_t>(last * aQuantile)];
  }
};

/// Runs a gateway in this process until the pipe is closed. It has a process
/// of its own so that its CPU time can be told from that of the callers.
int
RunGateway(const std::vector<std::uint16_t>& aPorts, int aOut, int aUntil)
{
  constant_decisions decisions;
  fixed_source source(aPorts);
  metrics registry;
  auto created =
    gateway::Create({},
                    { decisions, decisions, decisions, decisions, decisions },
                    source,
                    registry);
  if (!created) {
    return 1;
  }
  (*created)->Start();
  const auto port = (*created)->Port();
  if (::write(aOut, &port, sizeof(port)) != sizeof(port)) {
    return 1;
  }
  char ignored = 0;
  (void)!::read(aUntil, &ignored, 1);
  (*created)->StopGracefully(std::chrono::seconds(5));
  return 0;
}

class gateway_process
{
public:
  explicit gateway_process(const std::vector<std::uint16_t>& aPorts)
  {
    int out[2] = {};
    int until[2] = {};
    if (::pipe(out) != 0 || ::pipe(until) != 0) {
      return;
    }
    mProcess = ::fork();
    if (mProcess == 0) {
      ::close(until[1]);
      ::_exit(RunGateway(aPorts, out[1], until[0]));
    }
    ::close(until[0]);
    ::close(out[1]);
    mUntil = until[1];
    if (::read(out[0], &mPort, sizeof(mPort)) != sizeof(mPort)) {
      mPort = 0;
    }
    ::close(out[0]);
  }

  std::uint16_t Port() const { return mPort; }

  /// Ends the process and returns its CPU time in microseconds.
  double End() const
  {
    ::close(mUntil);
    int status = 0;
    rusage usage{};
    ::wait4(mProcess, &status, 0, &usage);
    const auto time = [](const timeval& aTime) {
      return static_cast<double>(aTime.tv_sec) * 1e6 +
             static_cast<double>(aTime.tv_usec);
    };
    return time(usage.ru_utime) + time(usage.ru_stime);
  }

private:
  pid_t mProcess = -1;
  int mUntil = -1;
  std::uint16_t mPort = 0;
};

struct load
{
  int mConnections;
  std::chrono::microseconds mInterval; ///< Between requests of a connection.
  std::chrono::seconds mTime;
};

/// One connection with requests at fixed times, so that a slow answer does not
/// lower the rate.
figures
RunConnection(std::uint16_t aPort,
              const load& aLoad,
              std::chrono::steady_clock::time_point aFirst)
{
  httplib::Client client("127.0.0.1", aPort);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  const httplib::Headers headers{ { "Authorization", "Bearer benchmark" } };
  figures measured;
  const auto start = aFirst + kWarmUp;
  const auto end = start + aLoad.mTime;
  for (auto next = aFirst; next < end; next += aLoad.mInterval) {
    std::this_thread::sleep_until(next);
    const auto sent = std::chrono::steady_clock::now();
    const auto answer = client.Get("/tanks/7", headers);
    const std::chrono::duration<double, std::milli> took =
      std::chrono::steady_clock::now() - sent;
    if (!answer || answer->status != 200) {
      ++measured.mFailures;
    } else if (next >= start) {
      measured.mMilliseconds.push_back(took.count());
    }
  }
  return measured;
}

figures
Merge(const std::vector<figures>& aParts)
{
  figures merged;
  for (const auto& part : aParts) {
    merged.mFailures += part.mFailures;
    merged.mMilliseconds.insert(merged.mMilliseconds.end(),
                                part.mMilliseconds.begin(),
                                part.mMilliseconds.end());
  }
  std::sort(merged.mMilliseconds.begin(), merged.mMilliseconds.end());
  return merged;
}

/// Loads both paths at the same time; their requests alternate.
std::pair<figures, figures>
Measure(const std::vector<std::uint16_t>& aDirect,
        std::uint16_t aGateway,
        const load& aLoad)
{
  const auto count = static_cast<std::size_t>(aLoad.mConnections);
  std::vector<figures> direct(count);
  std::vector<figures> through(count);
  std::vector<std::thread> threads;
  const auto base =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
  for (std::size_t i = 0; i < count; ++i) {
    const auto first = base + aLoad.mInterval * i / count;
    const auto second = first + aLoad.mInterval / (2 * count);
    threads.emplace_back([&, i, first] {
      direct[i] = RunConnection(aDirect[i % aDirect.size()], aLoad, first);
    });
    threads.emplace_back(
      [&, i, second] { through[i] = RunConnection(aGateway, aLoad, second); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return { Merge(direct), Merge(through) };
}

std::vector<std::uint16_t>
ReadPorts(FILE* aPipe)
{
  std::array<char, 1024> line{};
  if (aPipe == nullptr ||
      std::fgets(line.data(), line.size(), aPipe) == nullptr) {
    return {};
  }
  const auto document = nlohmann::json::parse(line.data(), nullptr, false);
  return document.is_object()
           ? document["ports"].get<std::vector<std::uint16_t>>()
           : std::vector<std::uint16_t>();
}

void
PrintRow(const char* aName, const figures& aFigures)
{
  std::printf("%-16s %9zu %9llu %9.3f %9.3f\n",
              aName,
              aFigures.mMilliseconds.size(),
              static_cast<unsigned long long>(aFigures.mFailures),
              aFigures.Quantile(0.5),
              aFigures.Quantile(0.99));
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  auto options = docopt::docopt(
    kUsage, { aArguments + 1, aArguments + aArgumentCount }, true);
  const auto seconds = options["--seconds"].asLong();
  const auto connections = options["--connections"].asLong();
  const auto rate = options["--rate"].asLong();
  const auto command =
    options["--standin"].asString() + " --count=" + std::to_string(kTargets) +
    " --service-ms=" + std::to_string(options["--service-ms"].asLong()) +
    " --seconds=" + std::to_string(seconds + 3);
  auto* standin = ::popen(command.c_str(), "r");
  const auto ports = ReadPorts(standin);
  if (ports.size() != kTargets) {
    std::cerr << "the upstream stand-in does not start: " << command << "\n";
    return 1;
  }
  const gateway_process instance(ports);
  const load wanted{ static_cast<int>(connections),
                     std::chrono::microseconds(1'000'000 * connections / rate),
                     std::chrono::seconds(seconds) };
  const auto [direct, through] = Measure(ports, instance.Port(), wanted);
  const auto cpu = instance.End();
  ::pclose(standin);

  std::printf("%-16s %9s %9s %9s %9s\n",
              "path",
              "requests",
              "failures",
              "p50 ms",
              "p99 ms");
  PrintRow("direct", direct);
  PrintRow("gateway", through);
  const auto added = through.Quantile(0.99) - direct.Quantile(0.99);
  std::printf("%-16s %9s %9s %9.3f %9.3f\n",
              "added",
              "",
              "",
              through.Quantile(0.5) - direct.Quantile(0.5),
              added);
  const auto served = static_cast<double>(rate * (seconds + kWarmUp.count()));
  std::printf("CPU of the gateway: %.0f us per request\n", cpu / served);
  std::printf("target: %.1f ms added at p99: %s\n",
              kTargetMilliseconds,
              added <= kTargetMilliseconds ? "met" : "missed");
  return 0;
}
