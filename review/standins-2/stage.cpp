#include "stage.h"

#include <cstdio>
#include <cstring>

#include <unistd.h>

namespace review {

record::record(const setting& aSetting)
  : mFile(aSetting.mFolder + "/record.txt")
{
}

void
record::Line(const std::string& aText)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f  ", Now());
  mFile << time << aText << std::endl;
}

std::string
Configuration(int aVersion,
              const std::vector<route>& aRoutes,
              const std::vector<tenant>& aTenants)
{
  using nlohmann::json;
  auto routes = json::array();
  std::set<std::string> names;
  for (const auto& each : aRoutes) {
    names.insert(each.mService);
    routes.push_back(
      { { "name", each.mName },
        { "hostname", each.mHost },
        { "path-prefix", each.mPrefix },
        { "route-type", each.mIsIdempotent ? "idempotent" : "non_idempotent" },
        { "timeout-s", each.mTimeout },
        { "slo-latency-s", each.mObjective },
        { "priority", 1 },
        { "service", each.mService },
        { "attempts", 2 },
        { "public", each.mIsPublic } });
  }
  auto services = json::array();
  for (const auto& name : names) {
    services.push_back({ { "name", name },
                         { "health-path", "/healthz" },
                         { "max-conns", 360 },
                         { "protocol", "h1" },
                         { "tls", false } });
  }
  auto tenants = json::array();
  for (const auto& each : aTenants) {
    tenants.push_back({ { "name", each.mName },
                        { "api-keys", each.mKeys },
                        { "priority", 1 },
                        { "rate-per-s", each.mRate },
                        { "burst", each.mBurst } });
  }
  return json{
    { "version", aVersion },
    { "routes", routes },
    { "services", services },
    { "limits",
      { { "max-header-bytes", 16384 },
        { "max-body-bytes", 67108864 },
        { "header-timeout-s", 3 },
        { "idle-timeout-s", 15 } } },
    { "tenants", tenants }
  }.dump();
}

std::string
LongConfiguration(int aVersion,
                  std::vector<route> aRoutes,
                  const std::vector<tenant>& aTenants,
                  std::size_t aBytes)
{
  const auto size = [&](const std::vector<route>& aListed) {
    return Configuration(aVersion, aListed, aTenants).size();
  };
  auto longer = aRoutes;
  longer.push_back(
    { "r-100000", "h100000.example", "/p100000/", aRoutes[0].mService });
  const auto begun = size(aRoutes);
  const auto count = (aBytes - begun) / (size(longer) - begun);
  for (std::size_t i = 0; i < count; ++i) {
    const auto name = std::to_string(100'000 + i);
    aRoutes.push_back({ "r-" + name,
                        "h" + name + ".example",
                        "/p" + name + '/',
                        aRoutes[0].mService });
  }
  return Configuration(aVersion, aRoutes, aTenants);
}

std::string
NewId()
{
  static std::atomic<unsigned> last{ 0 };
  char id[24];
  std::snprintf(id, sizeof(id), "%08x%08x", 0x51e7U, ++last);
  return id;
}

std::string
Render(const request& aRequest, const std::string& aId)
{
  headers head{ { "Host", aRequest.mHost },
                { "Attempt-Id", aId },
                { "Deadline-Ms", std::to_string(aRequest.mDeadlineMs) } };
  if (!aRequest.mKey.empty()) {
    head["Api-Key"] = aRequest.mKey;
  }
  if (aRequest.mMethod != "GET") {
    head["Content-Length"] = std::to_string(aRequest.mBody.size());
  }
  return RenderHead(aRequest.mMethod + ' ' + aRequest.mPath + " HTTP/1.1",
                    head) +
         aRequest.mBody;
}

exchange
client::Ask(const request& aRequest)
{
  constexpr double kMillisecond = 0.001;
  exchange asked;
  asked.mId = NewId();
  if (!mConnection) {
    const int made = Connect("127.0.0.1", mEdge.Port(), 0);
    if (made < 0) {
      asked.mReason = "no connection";
      return asked;
    }
    mConnection = std::make_unique<connection>(made);
  }
  asked.mSentAt = Now();
  mConnection->Write(Render(aRequest, asked.mId));
  const auto answer = mConnection->Read(aRequest.mDeadlineMs * kMillisecond);
  asked.mAnsweredAt = Now();
  if (!answer) {
    mConnection.reset();
    asked.mReason = "closed or silent";
    return asked;
  }
  asked.mStatus = answer->Status();
  asked.mIsLeaving = !answer->Header("server-leaving").empty();
  if (asked.mStatus != 200) {
    asked.mReason = answer->mBody.substr(0, answer->mBody.find('\n'));
  }
  if (answer->Header("connection") == "close") {
    mConnection.reset();
  }
  return asked;
}

} // namespace review

int
main(int aCount, char** aArguments)
{
  using namespace review;
  const struct
  {
    const char* mName;
    int (*mRun)(const setting&);
  } cases[] = { { "stale-pages", StalePages },
                { "leaving-target", LeavingTarget },
                { "slow-readers", SlowReaders },
                { "long-changes", LongChanges },
                { "foreign-entry", ForeignEntry } };
  if (aCount != 4) {
    std::fprintf(stderr, "usage: stage CASE FOLDER SCRATCH\n");
    return CannotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const setting given{ aArguments[2],
                       aArguments[3],
                       trouble == nullptr || std::strcmp(trouble, "0") != 0 };
  Now();
  for (const auto& each : cases) {
    if (std::strcmp(each.mName, aArguments[1]) == 0) {
      const int code = each.mRun(given);
      // Threads of the stand-ins still use what is static.
      std::fflush(nullptr);
      ::_exit(code);
    }
  }
  return CannotRun;
}
