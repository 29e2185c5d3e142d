// Two instances start while the store loses the answers of some writes and
// carries these out later. Afterwards one organisation sends more than its
// quota to both.

#include "fleet.h"

using namespace review;

namespace {

constexpr double kRate = 20;
constexpr double kBurst = 20;
constexpr double kWindow = 5;
// (rate x window + burst) x (1 + quota-overshoot) + quota-slack
constexpr double kAllowed = (kRate * kWindow + kBurst) * 1.1 + 20;

constexpr double kLateBy = 3;
constexpr double kLoad = 10;

json
Configuration()
{
  return { { "version", 7 },
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
           { "tenants",
             { { { "name", "acme" },
                 { "api-keys", { "key-of-acme" } },
                 { "priority", 1 },
                 { "rate-per-s", kRate },
                 { "burst", kBurst } } } } };
}

/// Sends 60 requests a second to the instance over kept connections.
void
SendLoad(const edge& aEdge,
         int aEdgeIndex,
         record& aRecord,
         std::atomic<int>& aServed,
         std::atomic<int>& aRefused)
{
  constexpr int kCallers = 12;
  constexpr double kInterval = 0.2;
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
        request.mKey = "key-of-acme";
        request.mId = "r" + std::to_string(aEdgeIndex) + '-' +
                      std::to_string(caller) + '-' + std::to_string(i);
        if (!opened || !opened->Send(request.Text())) {
          opened = connection::Open(aEdge.Ip(), edge::kFront);
          continue;
        }
        const auto answer = opened->Read(6);
        const int status = answer ? answer->Status() : 0;
        aRecord.Line("caller: " + request.mId + " is answered " +
                     std::to_string(status));
        aServed += status == 200 ? 1 : 0;
        aRefused += status == 429 ? 1 : 0;
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

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto options = OptionsOf(aCount, aArguments);
  record log(options.mFolder + "/record.txt");
  store platform(log);
  platform.Put("op/config", Configuration());
  constexpr int kTargets = 3;
  std::vector<std::unique_ptr<target>> targets;
  targets.reserve(kTargets);
  for (int i = 0; i < kTargets; ++i) {
    targets.push_back(std::make_unique<target>(
      platform, target::settings{ "i-" + std::to_string(i), "quotes" }));
  }

  // The first registration of each instance: 2 of the 8 writes at the start.
  std::map<std::string, int> registrations;
  platform.SetLateBy(kLateBy);
  platform.SetFate([&](const std::string& aCall, const json& aBody) {
    if (aCall != "POST /-/kv-txn" || aBody["puts"].empty()) {
      return call_fate::Answered;
    }
    const auto key = aBody["puts"][0]["key"].get<std::string>();
    const bool isLost = ++registrations[key] == 1 && options.mIsTrouble;
    log.Line("store: write of " + key + " under lease " +
             std::to_string(aBody["puts"][0]["lease"].get<std::uint64_t>()) +
             (isLost ? ", not answered and done later" : ""));
    return isLost ? call_fate::Late : call_fate::Answered;
  });

  edge one(options.mTemporary, "edge-1", LoopbackIp(1), platform.Port());
  edge two(options.mTemporary, "edge-2", LoopbackIp(2), platform.Port());
  one.Start();
  two.Start();
  if (!one.AwaitReady(10) || !two.AwaitReady(10)) {
    Finish(log, 2, "the instances do not start");
  }
  // The disruption has ended, and contact-s (3 s) has passed.
  SleepSeconds(20);
  for (const auto& key : platform.Keys("cowslipline/")) {
    log.Line("store: has " + key);
  }

  std::atomic<int> served{ 0 };
  std::atomic<int> refused{ 0 };
  std::thread first([&] { SendLoad(one, 1, log, served, refused); });
  SendLoad(two, 2, log, served, refused);
  first.join();

  std::vector<double> times;
  for (const auto& each : targets) {
    for (const auto& ran : each->Runs()) {
      times.push_back(ran.mAt);
    }
  }
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  for (std::size_t begin = 0, end = 0; begin < times.size(); ++begin) {
    while (end < times.size() && times[end] <= times[begin] + kWindow) {
      ++end;
    }
    most = std::max(most, end - begin);
  }
  std::ostringstream text;
  text << most << " requests of one organisation ran in " << kWindow
       << " s; allowed " << kAllowed << " (" << served << " served, " << refused
       << " refused with 429)";
  if (served == 0) {
    Finish(log, 2, text.str());
  }
  Finish(log, static_cast<double>(most) > kAllowed ? 1 : 0, text.str());
}
