// The store turns the instance away while large configurations come in quick
// succession. Afterwards callers use a route that these moved.

#include "fleet.h"

using namespace review;

namespace {

constexpr int kFillers = 3400;
constexpr int kVersions = 12;
constexpr double kVersionGap = 0.33;
constexpr double kTurnedAway = 5.5;
constexpr double kContact = 3;
constexpr double kApplyBound = 2;

json
Route(const std::string& aName, const std::string& aService)
{
  return { { "name", "r-" + aName },
           { "hostname", "status.example" },
           { "path-prefix", '/' + aName + '/' },
           { "route-type", "idempotent" },
           { "timeout-s", 6 },
           { "slo-latency-s", 2 },
           { "priority", 1 },
           { "service", aService },
           { "attempts", 2 },
           { "public", true } };
}

json
Configuration(int aVersion, const std::string& aService)
{
  auto routes = json::array({ Route("open", aService) });
  for (int i = 0; i < kFillers; ++i) {
    routes.push_back(Route("filler-" + std::to_string(i), "other"));
  }
  auto services = json::array();
  for (const char* name : { "before", "after", "other" }) {
    services.push_back({ { "name", name },
                         { "health-path", "/healthz" },
                         { "max-conns", 360 } });
  }
  return { { "version", aVersion },
           { "routes", routes },
           { "services", services },
           { "limits",
             { { "max-header-bytes", 16384 },
               { "max-body-bytes", 67108864 },
               { "header-timeout-s", 3 },
               { "idle-timeout-s", 15 } } },
           { "tenants",
             { { { "name", "acme" },
                 { "api-keys", { "key-of-acme" } },
                 { "priority", 1 },
                 { "rate-per-s", 0 },
                 { "burst", 0 } } } } };
}

int
Ask(const edge& aEdge, const std::string& aId, record& aRecord)
{
  const auto opened = connection::Open(aEdge.Ip(), edge::kFront);
  caller_request request;
  request.mHost = "status.example";
  request.mPath = "/open/1";
  request.mId = aId;
  if (!opened || !opened->Send(request.Text())) {
    return 0;
  }
  const auto answer = opened->Read(6);
  const int status = answer ? answer->Status() : 0;
  aRecord.Line("caller: " + aId + " to " + request.mPath + " is answered " +
               std::to_string(status));
  return status;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto options = OptionsOf(aCount, aArguments);
  record log(options.mFolder + "/record.txt");
  store platform(log);
  const auto first = Configuration(7, "before");
  log.Line("a version has " + std::to_string(first.dump().size()) +
           " bytes; value-bytes is 1048576");
  platform.Put("op/config", first);
  target before(platform, { "i-1", "before" });
  target after(platform, { "i-2", "after" });
  edge one(options.mTemporary, "edge-1", LoopbackIp(1), platform.Port());
  one.Start();
  if (!one.AwaitReady(10)) {
    Finish(log, 2, "the instance does not start");
  }
  SleepSeconds(4);
  if (Ask(one, "first", log) != 200) {
    Finish(log, 2, "the instance does not serve");
  }

  if (options.mIsTrouble) {
    log.Line("store: turns the instance away");
    platform.SetFate(
      [](const std::string&, const json&) { return call_fate::Refused; });
  }
  const double turnedAwayAt = Now();
  for (int i = 0; i < kVersions; ++i) {
    SleepSeconds(kVersionGap);
    // A watch that waits when the disruption begins still gets one version.
    const bool isMoved = i >= kVersions / 2;
    platform.Put("op/config",
                 Configuration(8 + i, isMoved ? "after" : "before"));
    log.Line("store: version " + std::to_string(8 + i) +
             (isMoved ? ", /open/ goes to the service 'after'" : ""));
  }
  const double acknowledgedAt = Now();
  SleepSeconds(std::max(0.0, turnedAwayAt + kTurnedAway - Now()));
  platform.SetFate(nullptr);
  log.Line("store: serves the instance again");
  const double inTouchAt =
    std::max(Now() + kContact, acknowledgedAt + kApplyBound) + 0.2;
  SleepSeconds(inTouchAt - Now());
  for (int i = 0; i < 30; ++i) {
    Ask(one, "later-" + std::to_string(i), log);
    SleepSeconds(0.5);
  }

  int wrong = 0;
  for (const auto& ran : before.Runs()) {
    log.Line("target of the old service: ran " + ran.mId);
    wrong += ran.mAt > inTouchAt ? 1 : 0;
  }
  Finish(log,
         wrong > 0 ? 1 : 0,
         std::to_string(wrong) +
           " requests ran at the old service, sent later than " +
           std::to_string(static_cast<int>(kApplyBound)) +
           " s after the new version was acknowledged");
}
