#include "stage.h"

namespace review {

namespace {

constexpr double kWatched = 20;

} // namespace

int
ForeignEntry(const setting& aSetting)
{
  record record(aSetting);
  static store store;
  store.Put(
    "op/config",
    Configuration(
      3,
      { { "deposits", "pay.example", "/deposit/", "ledger", false, 4, 1 } },
      { { "hronec", { "key-one" }, 0, 0 } }));
  static std::vector<std::unique_ptr<target>> targets;
  target::traits traits;
  traits.mService = "ledger";
  traits.mWork = 0.1;
  for (const auto* id : { "i-one", "i-two", "i-three" }) {
    traits.mId = id;
    targets.push_back(std::make_unique<target>(store, traits));
    targets.back()->Register();
  }
  // A server of another system, which keeps a list of its own in the store. It
  // has the id that its entry names, and runs what it is sent.
  traits.mId = "i-other";
  traits.mForeignEntry = { { "service", "ledger" },
                           { "zone", "zone-a" },
                           { "slots", 6 },
                           { "state", "ready" },
                           { "seq", "2026-12-07" } };
  static target other(store, traits);

  const auto port = FreePort();
  store.Open(port);
  edge edge({ "edge-1", "zone-a", port, aSetting.mScratch });
  edge.Start();
  if (!edge.AwaitReady(10)) {
    record.Line("the instance did not become ready");
    return CannotRun;
  }
  SleepFor(2);
  if (aSetting.mHasTrouble) {
    other.Register();
    record.Line("another writer puts servers/i-other, without version and "
                "cold-remaining-s, and with a text as seq");
  }
  client client(edge);
  request deposit;
  deposit.mMethod = "PUT";
  deposit.mHost = "pay.example";
  deposit.mPath = "/deposit/9";
  deposit.mKey = "key-one";
  deposit.mBody = "100 EUR";
  deposit.mDeadlineMs = 4000;
  int served = 0;
  const double until = Now() + kWatched;
  while (Now() < until) {
    const auto asked = client.Ask(deposit);
    record.Line("deposit " + asked.mId + " answered " +
                std::to_string(asked.mStatus) + ' ' + asked.mReason);
    served += asked.mStatus == 200 ? 1 : 0;
    SleepFor(0.1);
  }
  int foreign = 0;
  for (const auto& each : target::Runs()) {
    record.Line(each.mId + " reached " + each.mTarget + ": " + each.mOutcome);
    foreign += each.mTarget == "i-other" ? 1 : 0;
  }
  record.Line(std::to_string(foreign) + " deposits of " +
              std::to_string(served) +
              " that were answered with 200 ran at i-other");
  return served == 0 ? CannotRun : foreign > 0 ? Broken : Held;
}

} // namespace review
