// The store turns one instance away while a key goes from one tenant to
// another. Afterwards a caller sends the key, on a public route and on one that
// needs a key.

#include "fleet.h"

using namespace review;

namespace {

constexpr double kTurnedAway = 9;
constexpr double kRevokeBound = 5;
constexpr char kKey[] = "key-1";
constexpr char kFormer[] = "acme";
constexpr char kHolder[] = "globex";

json
Route(const std::string& aName, bool aIsPublic)
{
  return { { "name", aName },
           { "hostname", "status.example" },
           { "path-prefix", '/' + aName + '/' },
           { "route-type", "idempotent" },
           { "timeout-s", 6 },
           { "slo-latency-s", 2 },
           { "priority", 1 },
           { "service", "status" },
           { "attempts", 2 },
           { "public", aIsPublic } };
}

json
Tenant(const std::string& aName, const std::vector<std::string>& aKeys)
{
  return { { "name", aName },
           { "api-keys", aKeys },
           { "priority", 1 },
           { "rate-per-s", 0 },
           { "burst", 0 } };
}

/// The key belongs to the tenant aHolder.
json
Configuration(int aVersion, const std::string& aHolder)
{
  std::vector<std::string> former = { "key-of-acme" };
  std::vector<std::string> later = { "key-of-globex" };
  (aHolder == kFormer ? former : later).emplace_back(kKey);
  return { { "version", aVersion },
           { "routes", { Route("open", true), Route("closed", false) } },
           { "services",
             { { { "name", "status" },
                 { "health-path", "/healthz" },
                 { "max-conns", 360 } } } },
           { "limits",
             { { "max-header-bytes", 16384 },
               { "max-body-bytes", 67108864 },
               { "header-timeout-s", 3 },
               { "idle-timeout-s", 15 } } },
           { "tenants", { Tenant(kFormer, former), Tenant(kHolder, later) } } };
}

/// Status of the answer; 0 without one.
int
Ask(const edge& aEdge,
    const std::string& aRoute,
    const std::string& aId,
    record& aRecord)
{
  const auto opened = connection::Open(aEdge.Ip(), edge::kFront);
  caller_request request;
  request.mHost = "status.example";
  request.mPath = '/' + aRoute + "/1";
  request.mKey = kKey;
  request.mId = aId;
  if (!opened || !opened->Send(request.Text())) {
    return 0;
  }
  const auto answer = opened->Read(6);
  const int status = answer ? answer->Status() : 0;
  aRecord.Line("caller: " + aId + " to " + request.mPath + " with " + kKey +
               " is answered " + std::to_string(status));
  return status;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto options = OptionsOf(aCount, aArguments);
  record log(options.mFolder + "/record.txt");
  store platform(log);
  platform.Put("op/config", Configuration(7, kFormer));
  target status(platform, { "i-1", "status" });
  edge one(options.mTemporary, "edge-1", LoopbackIp(1), platform.Port());
  one.Start();
  if (!one.AwaitReady(10)) {
    Finish(log, 2, "the instance does not start");
  }
  SleepSeconds(4);
  if (Ask(one, "open", "before-open", log) != 200 ||
      Ask(one, "closed", "before-closed", log) != 200) {
    Finish(log, 2, "the instance does not serve");
  }

  if (options.mIsTrouble) {
    log.Line("store: turns the instance away");
    platform.SetFate(
      [](const std::string&, const json&) { return call_fate::Refused; });
  }
  const double turnedAwayAt = Now();
  SleepSeconds(1);
  platform.Put("op/config", Configuration(8, kHolder));
  const double withdrawnAt = Now();
  log.Line("store: version 8, in which " + std::string(kKey) +
           " is a key of globex and no longer of acme");
  SleepSeconds(kRevokeBound + 0.5);
  int sent = 0;
  while (Now() < turnedAwayAt + kTurnedAway) {
    const auto number = std::to_string(++sent);
    Ask(one, "open", "after-open-" + number, log);
    Ask(one, "closed", "after-closed-" + number, log);
    SleepSeconds(0.2);
  }
  platform.SetFate(nullptr);

  int wrong = 0;
  for (const auto& ran : status.Runs()) {
    log.Line("target: ran " + ran.mId + ", Tenant '" + ran.mTenant + "'");
    const bool isLate = ran.mAt > withdrawnAt + kRevokeBound;
    const bool isForeign = !ran.mTenant.empty() && ran.mTenant != kHolder;
    wrong += isLate && isForeign ? 1 : 0;
  }
  Finish(log,
         wrong > 0 ? 1 : 0,
         std::to_string(wrong) + " requests of globex ran as requests of " +
           kFormer + ", which has not held their key for over " +
           std::to_string(static_cast<int>(kRevokeBound)) + " s");
}
