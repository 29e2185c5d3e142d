#include "stage.h"

#include <csignal>

namespace review {

namespace {

// "strict-revocation true, revoke-s 5".
constexpr double kRevokeBound = 5;

// Within the limit of one value, 1,048,576 bytes, and in base64 larger than one
// page of a range.
constexpr std::size_t kConfigurationBytes = 800'000;

// "may be seconds old"; the disruption platform_compact lets reads be "x s (3)
// behind".
constexpr double kReadAge = 3;

constexpr double kLastRequest = 25;

std::string
Document(int aVersion, const std::vector<std::string>& aKeys)
{
  return LongConfiguration(
    aVersion,
    { { "prices", "prices.example", "/prices/", "catalogue" } },
    { { "hronec", aKeys, 0, 0 } },
    kConfigurationBytes);
}

} // namespace

int
StalePages(const setting& aSetting)
{
  record record(aSetting);
  static store store;
  const auto storePort = FreePort();
  store.Open(storePort);
  const auto before = Document(7, { "key-that-goes", "key-that-stays" });
  record.Line("configuration 7 has " + std::to_string(before.size()) +
              " bytes; it holds key-that-goes and key-that-stays");
  store.Put("op/config", before);
  target::traits traits;
  traits.mService = "catalogue";
  static std::vector<std::unique_ptr<target>> targets;
  for (const auto* id : { "i-one", "i-two", "i-three" }) {
    traits.mId = id;
    targets.push_back(std::make_unique<target>(store, traits));
    targets.back()->Register();
  }
  // Replicas that are some seconds behind know the targets, too.
  SleepFor(kReadAge + 1);
  if (aSetting.mHasTrouble) {
    record.Line("serializable reads: first pages are current, later pages 3 s "
                "old");
    store.SetReadAges(0, kReadAge);
  }

  edge edge({ "edge-1", "zone-a", storePort, aSetting.mScratch });
  edge.Start();
  if (!edge.AwaitReady(10)) {
    record.Line("the instance did not become ready");
    return CannotRun;
  }
  record.Line("edge-1 is ready");
  client client(edge);
  request withdrawn;
  withdrawn.mHost = "prices.example";
  withdrawn.mPath = "/prices/5";
  withdrawn.mKey = "key-that-goes";
  auto kept = withdrawn;
  kept.mKey = "key-that-stays";
  for (const auto& each : { withdrawn, kept }) {
    const auto asked = client.Ask(each);
    record.Line(each.mKey + " " + asked.mId + " answered " +
                std::to_string(asked.mStatus) + ' ' + asked.mReason);
    if (asked.mStatus != 200) {
      return CannotRun;
    }
  }

  store.Put("op/config", Document(9, { "key-that-stays" }));
  const double revokedAt = Now();
  record.Line("the store acknowledged configuration 9, without key-that-goes");
  SleepFor(1);
  edge.Signal(SIGKILL);
  record.Line("edge-1 was killed");
  SleepFor(0.3);
  edge.Start();
  record.Line("edge-1 was started again");
  if (!edge.AwaitReady(10)) {
    record.Line("the instance did not become ready");
    return CannotRun;
  }
  record.Line("edge-1 is ready");

  std::set<std::string> late;
  int served = 0;
  while (Now() - revokedAt < kLastRequest) {
    for (const auto& each : { withdrawn, kept }) {
      const auto asked = client.Ask(each);
      record.Line(each.mKey + " " + asked.mId + " answered " +
                  std::to_string(asked.mStatus) + ' ' + asked.mReason);
      const bool isLate = asked.mSentAt - revokedAt > kRevokeBound;
      if (isLate && each.mKey == withdrawn.mKey) {
        late.insert(asked.mId);
      }
      served += each.mKey == kept.mKey && asked.mStatus == 200 ? 1 : 0;
    }
    SleepFor(0.5);
  }
  int broken = 0;
  for (const auto& each : target::Runs()) {
    record.Line(each.mId + " reached " + each.mTarget + " for tenant " +
                each.mTenant + ": " + each.mOutcome);
    broken += late.count(each.mId) > 0 ? 1 : 0;
  }
  record.Line(std::to_string(late.size()) +
              " requests with key-that-goes were sent later than 5 s after its "
              "withdrawal; run: " +
              std::to_string(broken));
  if (served == 0) {
    record.Line("key-that-stays was never served");
    return CannotRun;
  }
  return broken > 0 ? Broken : Held;
}

} // namespace review
