#include "stage.h"

namespace review {

namespace {

constexpr int kClients = 8;

// "more than three times".
constexpr int kAllowed = 3;

// The deadline of pay-status; the answer is taken well within it.
constexpr int kDeadlineMs = 20'000;

// The deployments' answers have up to 30,000 bytes.
constexpr std::size_t kAnswerBytes = 30'000;

// Small windows, "so a peer that does not read blocks the writer".
constexpr int kReceiveBytes = 4096;

constexpr std::size_t kPieceBytes = 2'000;
constexpr double kPause = 0.8;

struct reading
{
  std::string mId;
  std::size_t mBytes = 0;
  std::size_t mWhole = 0;
  double mTook = 0;
};

reading
ReadSlowly(const edge& aEdge, double aPause)
{
  reading read;
  connection made(Connect("127.0.0.1", aEdge.Port(), kReceiveBytes));
  request status;
  status.mHost = "status.example";
  status.mPath = "/pay/7";
  status.mKey = "key-one";
  status.mDeadlineMs = kDeadlineMs;
  // The connection is kept from an earlier request.
  made.Write(Render(status, NewId()));
  if (!made.Read(5)) {
    return read;
  }
  read.mId = NewId();
  made.Write(Render(status, read.mId));
  const double sentAt = Now();
  std::string text;
  while (read.mWhole == 0 || text.size() < read.mWhole) {
    SleepFor(aPause);
    if (made.ReadSome(text, kPieceBytes) == 0) {
      break;
    }
    const auto end = text.find("\r\n\r\n");
    if (read.mWhole == 0 && end != std::string::npos) {
      read.mWhole = end + 4 + kAnswerBytes;
    }
  }
  read.mBytes = text.size();
  read.mTook = Now() - sentAt;
  return read;
}

} // namespace

int
SlowReaders(const setting& aSetting)
{
  record record(aSetting);
  static store store;
  const auto storePort = FreePort();
  store.Open(storePort);
  store.Put(
    "op/config",
    Configuration(
      3,
      { { "status", "status.example", "/pay/", "ledger", true, 10, 5 } },
      { { "hronec", { "key-one" }, 0, 0 } }));
  target::traits traits;
  traits.mService = "ledger";
  traits.mAnswerBytes = kAnswerBytes;
  static std::vector<std::unique_ptr<target>> targets;
  for (const auto* id : { "i-one", "i-two" }) {
    traits.mId = id;
    targets.push_back(std::make_unique<target>(store, traits));
    targets.back()->Register();
  }
  edge edge({ "edge-1", "zone-a", storePort, aSetting.mScratch });
  edge.Start();
  if (!edge.AwaitReady(10)) {
    record.Line("the instance did not become ready");
    return CannotRun;
  }
  // In touch.
  SleepFor(4);
  std::mutex mutex;
  std::vector<reading> readings;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] {
      const auto read = ReadSlowly(edge, aSetting.mHasTrouble ? kPause : 0);
      const std::lock_guard<std::mutex> lock(mutex);
      readings.push_back(read);
    });
  }
  for (auto& each : clients) {
    each.join();
  }
  int cut = 0;
  for (const auto& each : readings) {
    if (each.mId.empty()) {
      record.Line("a client got no answer to its first request");
      return CannotRun;
    }
    const bool isWhole = each.mWhole > 0 && each.mBytes >= each.mWhole;
    cut += isWhole ? 0 : 1;
    record.Line(each.mId + " got " + std::to_string(each.mBytes) + " of " +
                std::to_string(each.mWhole) + " bytes in " +
                std::to_string(each.mTook) + " s" +
                (isWhole ? "" : ", then the connection ended"));
  }
  for (const auto& each : target::Runs()) {
    record.Line(each.mId + " reached " + each.mTarget + ": " + each.mOutcome);
  }
  record.Line(std::to_string(cut) + " of " + std::to_string(kClients) +
              " answers were cut off by the instance");
  return cut > kAllowed ? Broken : Held;
}

} // namespace review
