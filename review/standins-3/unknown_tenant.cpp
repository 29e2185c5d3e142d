// The store turns one of three instances away while a configuration adds
// tenants, which send many times their quota to the other two.

#include "fleet.h"

using namespace review;

namespace {

constexpr double kRate = 20;
constexpr double kBurst = 20;
constexpr double kWindow = 5;
// (rate x window + burst) x (1 + quota-overshoot) + quota-slack
constexpr double kAllowed = (kRate * kWindow + kBurst) * 1.1 + 20;

// Some of the new tenants are owned by the instance that is turned away.
constexpr int kTenants = 4;
constexpr int kTimesUsual = 8;
constexpr double kTurnedAway = 9;
constexpr double kLoad = 8;

std::string
TenantName(int aIndex)
{
  return "newcomer-" + std::to_string(aIndex);
}

json
Configuration(int aVersion, int aNewcomers)
{
  auto tenants = json::array();
  const auto add = [&](const std::string& aName) {
    tenants.push_back({ { "name", aName },
                        { "api-keys", { "key-of-" + aName } },
                        { "priority", 1 },
                        { "rate-per-s", kRate },
                        { "burst", kBurst } });
  };
  add("acme");
  for (int i = 0; i < aNewcomers; ++i) {
    add(TenantName(i));
  }
  return { { "version", aVersion },
           { "routes",
             { { { "name", "quotes" },
                 { "hostname", "quotes.example" },
                 { "path-prefix", "/quotes/" },
                 { "route-type", "idempotent" },
                 { "timeout-s", 6 },
                 { "slo-latency-s", 2 },
                 { "priority", 1 },
                 { "service", "quotes" },
                 { "attempts", 2 },
                 { "public", false } } } },
           { "services",
             { { { "name", "quotes" },
                 { "health-path", "/healthz" },
                 { "max-conns", 360 } } } },
           { "limits",
             { { "max-header-bytes", 16384 },
               { "max-body-bytes", 67108864 },
               { "header-timeout-s", 3 },
               { "idle-timeout-s", 15 } } },
           { "tenants", tenants } };
}

/// Sends half of the tenant's load to the instance, over kept connections.
void
SendLoad(const edge& aEdge,
         int aTenant,
         int aEdgeIndex,
         std::atomic<int>& aSent)
{
  constexpr int kCallers = 8;
  constexpr double kInterval = kCallers * 2 / (kTimesUsual * kRate);
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      auto opened = connection::Open(aEdge.Ip(), edge::kFront);
      const double begin = Now() + kInterval * caller / kCallers;
      for (int i = 0; i * kInterval < kLoad; ++i) {
        SleepSeconds(std::max(0.0, begin + i * kInterval - Now()));
        caller_request request;
        request.mHost = "quotes.example";
        request.mPath = "/quotes/1";
        request.mKey = "key-of-" + TenantName(aTenant);
        request.mId = "t" + std::to_string(aTenant) + '-' +
                      std::to_string(aEdgeIndex) + '-' +
                      std::to_string(caller) + '-' + std::to_string(i);
        ++aSent;
        const bool isSent = opened && opened->Send(request.Text());
        const auto answer = isSent ? opened->Read(6) : std::optional<message>();
        if (!answer || answer->Header("connection") == "close") {
          opened = connection::Open(aEdge.Ip(), edge::kFront);
        }
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
}

/// The most requests that ran within the window.
std::size_t
MostInWindow(std::vector<double> aTimes)
{
  std::sort(aTimes.begin(), aTimes.end());
  std::size_t most = 0;
  for (std::size_t begin = 0, end = 0; begin < aTimes.size(); ++begin) {
    while (end < aTimes.size() && aTimes[end] <= aTimes[begin] + kWindow) {
      ++end;
    }
    most = std::max(most, end - begin);
  }
  return most;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto options = OptionsOf(aCount, aArguments);
  record log(options.mFolder + "/record.txt");
  store platform(log);
  platform.Put("op/config", Configuration(7, 0));
  constexpr int kTargets = 4;
  std::vector<std::unique_ptr<target>> targets;
  targets.reserve(kTargets);
  for (int i = 0; i < kTargets; ++i) {
    targets.push_back(std::make_unique<target>(
      platform, target::settings{ "i-" + std::to_string(i), "quotes" }));
  }
  constexpr int kEdges = 3;
  std::vector<std::unique_ptr<edge>> edges;
  edges.reserve(kEdges);
  for (int i = 0; i < kEdges; ++i) {
    const auto name = "edge-" + std::to_string(i);
    const std::string zone(1, static_cast<char>('a' + i));
    edges.push_back(std::make_unique<edge>(
      options.mTemporary,
      name,
      LoopbackIp(i + 1),
      platform.AddPort(name),
      std::map<std::string, std::string>{ { "zone", "zone-" + zone } }));
    edges.back()->Start();
  }
  for (const auto& each : edges) {
    if (!each->AwaitReady(10)) {
      Finish(log, 2, "an instance does not start");
    }
  }
  SleepSeconds(8);

  if (options.mIsTrouble) {
    log.Line("store: turns edge-0 away");
    platform.TurnAway("edge-0", true);
  }
  const double turnedAwayAt = Now();
  SleepSeconds(1);
  platform.Put("op/config", Configuration(8, kTenants));
  log.Line("store: version 8 adds " + std::to_string(kTenants) + " tenants");
  SleepSeconds(1);
  std::atomic<int> sent{ 0 };
  std::vector<std::thread> loads;
  loads.reserve(static_cast<std::size_t>(kTenants) * 2);
  for (int tenant = 0; tenant < kTenants; ++tenant) {
    for (int i = 1; i < kEdges; ++i) {
      loads.emplace_back(
        [&, tenant, i] { SendLoad(*edges[i], tenant, i, sent); });
    }
  }
  SleepSeconds(turnedAwayAt + kTurnedAway - Now());
  platform.TurnAway("edge-0", false);
  log.Line("store: serves edge-0 again");
  for (auto& load : loads) {
    load.join();
  }

  std::map<std::string, std::vector<double>> times;
  for (const auto& each : targets) {
    for (const auto& ran : each->Runs()) {
      times[ran.mTenant].push_back(ran.mAt);
    }
  }
  std::size_t most = 0;
  std::string worst;
  for (const auto& [tenant, ranAt] : times) {
    const auto ofTenant = MostInWindow(ranAt);
    log.Line("targets: ran " + std::to_string(ranAt.size()) + " requests of " +
             tenant + ", at most " + std::to_string(ofTenant) + " in 5 s");
    if (ofTenant > most) {
      most = ofTenant;
      worst = tenant;
    }
  }
  std::ostringstream text;
  text << most << " requests of " << worst << " ran in " << kWindow
       << " s; allowed " << kAllowed << " (" << sent << " sent by " << kTenants
       << " tenants)";
  if (times.empty()) {
    Finish(log, 2, text.str());
  }
  Finish(log, static_cast<double>(most) > kAllowed ? 1 : 0, text.str());
}
