#include "standins/upstream_standin/target_server.h"

#include <chrono>
#include <csignal>
#include <ctime>
#include <iostream>
#include <memory>
#include <vector>

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

using namespace cowslipline::standin;

namespace {

constexpr const char* kUsage = R"(Upstream stand-in for tests and benchmarks.

Usage:
  upstream_standin [--count=N] [--service-ms=MS] [--slots=N] [--queue=N]
                   [--seed=N] [--name=NAME] [--seconds=S]
  upstream_standin (-h | --help)

Serves targets on loopback ports that the system chose and prints one JSON
line: {"ports": [...]}. Ends after the given time or on SIGTERM or SIGINT.

Options:
  --count=N        Targets [default: 1].
  --service-ms=MS  Service time in milliseconds [default: 5].
  --slots=N        Requests that a target runs at a time [default: 6].
  --queue=N        Requests that wait for a slot [default: 6].
  --seed=N         Seed of the faults [default: 1].
  --name=NAME      Targets are called NAME0, NAME1, ... [default: t].
  --seconds=S      Lifetime in seconds [default: 600].
)";

/// Waits for a signal that ends the program, at most for the time.
void
WaitForEnd(const sigset_t& aSignals, long aSeconds)
{
  const timespec limit{ aSeconds, 0 };
  sigtimedwait(&aSignals, nullptr, &limit);
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  auto options = docopt::docopt(
    kUsage, { aArguments + 1, aArguments + aArgumentCount }, true);
  // Blocked before any thread starts, so that all threads leave them to
  // WaitForEnd().
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  std::vector<std::unique_ptr<target_server>> servers;
  nlohmann::json ports = nlohmann::json::array();
  const auto seed = static_cast<std::uint64_t>(options["--seed"].asLong());
  for (long i = 0; i < options["--count"].asLong(); ++i) {
    target_options target;
    target.mName = options["--name"].asString() + std::to_string(i);
    target.mSeed = seed + static_cast<std::uint64_t>(i);
    target.mSlots = static_cast<int>(options["--slots"].asLong());
    target.mQueue = static_cast<int>(options["--queue"].asLong());
    target.mFaults.mServiceMilliseconds =
      static_cast<int>(options["--service-ms"].asLong());
    servers.push_back(std::make_unique<target_server>(target));
    if (!servers.back()->Start()) {
      std::cerr << "cannot bind a loopback port\n";
      return 1;
    }
    ports.push_back(servers.back()->Port());
  }
  std::cout << nlohmann::json{ { "ports", ports } }.dump() << std::endl;
  WaitForEnd(signals, options["--seconds"].asLong());
  return 0;
}
