// A configuration withdraws the only key of the only tenant. Afterwards callers
// send this key, and one that no configuration ever held.

#include "fleet.h"

using namespace review;

namespace {

constexpr double kRevokeBound = 5;
constexpr char kWithdrawn[] = "key-1";
constexpr char kInvented[] = "key-of-nobody";

json
Configuration(int aVersion, const json& aTenants)
{
  return { { "version", aVersion },
           { "routes",
             { { { "name", "orders" },
                 { "hostname", "orders.example" },
                 { "path-prefix", "/orders/" },
                 { "route-type", "non_idempotent" },
                 { "timeout-s", 6 },
                 { "slo-latency-s", 2 },
                 { "priority", 1 },
                 { "service", "orders" },
                 { "attempts", 2 },
                 { "public", false } } } },
           { "services",
             { { { "name", "orders" },
                 { "health-path", "/healthz" },
                 { "max-conns", 360 } } } },
           { "limits",
             { { "max-header-bytes", 16384 },
               { "max-body-bytes", 67108864 },
               { "header-timeout-s", 3 },
               { "idle-timeout-s", 15 } } },
           { "tenants", aTenants } };
}

json
Tenant(const std::string& aKey)
{
  return { { "name", "acme" },
           { "api-keys", json::array({ aKey }) },
           { "priority", 1 },
           { "rate-per-s", 0 },
           { "burst", 0 } };
}

/// Status of the answer; 0 without one.
int
Order(const edge& aEdge,
      const std::string& aKey,
      const std::string& aId,
      record& aRecord)
{
  const auto opened = connection::Open(aEdge.Ip(), edge::kFront);
  caller_request request;
  request.mMethod = "POST";
  request.mHost = "orders.example";
  request.mPath = "/orders/" + aId;
  request.mKey = aKey;
  request.mId = aId;
  request.mBody = "one pane";
  if (!opened || !opened->Send(request.Text())) {
    return 0;
  }
  const auto answer = opened->Read(6);
  const int status = answer ? answer->Status() : 0;
  aRecord.Line("caller: order " + aId + " with " + aKey + " is answered " +
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
  platform.Put("op/config",
               Configuration(7, json::array({ Tenant(kWithdrawn) })));
  target orders(platform, { "i-1", "orders" });
  edge one(options.mTemporary, "edge-1", LoopbackIp(1), platform.Port());
  one.Start();
  if (!one.AwaitReady(10)) {
    Finish(log, 2, "the instance does not start");
  }
  SleepSeconds(4);
  if (Order(one, kWithdrawn, "before-1", log) != 200 ||
      Order(one, kInvented, "before-2", log) != 401) {
    Finish(log, 2, "the instance does not serve");
  }

  // Without the disruption the tenant gets another key.
  platform.Put("op/config",
               Configuration(8,
                             options.mIsTrouble
                               ? json::array()
                               : json::array({ Tenant("key-2") })));
  const double withdrawnAt = Now();
  log.Line(std::string("store: version 8, ") +
           (options.mIsTrouble ? "with an empty list of tenants"
                               : "in which acme has another key"));
  SleepSeconds(kRevokeBound + 1);
  for (int i = 0; i < 10; ++i) {
    Order(one, kWithdrawn, "withdrawn-" + std::to_string(i), log);
    Order(one, kInvented, "invented-" + std::to_string(i), log);
    SleepSeconds(0.2);
  }

  int wrong = 0;
  for (const auto& ran : orders.Runs()) {
    log.Line("target: ran " + ran.mId + ", Tenant '" + ran.mTenant + "'");
    wrong += ran.mAt > withdrawnAt + kRevokeBound ? 1 : 0;
  }
  Finish(log,
         wrong > 0 ? 1 : 0,
         std::to_string(wrong) +
           " of 20 orders ran, with a key withdrawn over " +
           std::to_string(static_cast<int>(kRevokeBound)) +
           " s before or one that never was any tenant's");
}
