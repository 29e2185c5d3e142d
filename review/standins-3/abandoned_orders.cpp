// Callers send long orders and leave before they are answered. Other callers
// have kept connections with requests to another service at work meanwhile. The
// platform kills a process that exceeds its memory.

#include "fleet.h"

#include <set>

using namespace review;

namespace {

constexpr std::size_t kOrderBytes = 12'000'000;
constexpr int kOrders = 30;
constexpr double kOrderGap = 0.1;
constexpr double kLeavesAfter = 0.25;

// A target that takes an order of this size reads for 3 s.
constexpr double kReadBytesPerSecond = 4'000'000;
constexpr double kOrderWork = 0.47;
constexpr int kOrderTargets = 11;

// One in five of all callers leaves.
constexpr int kReaders = 4 * kOrders;
constexpr int kReadTargets = 14;
constexpr double kReadWork = 0.6;
constexpr double kReadPause = 2.4;

constexpr long kMemoryKibibytes = 260L * 1024;
constexpr double kRestartDelay = 1;

// LOST: more than three times.
constexpr int kAllowed = 3;

json
Route(const std::string& aName,
      const std::string& aType,
      double aTimeout,
      const std::string& aService)
{
  return { { "name", aName },
           { "hostname", "tanks.example" },
           { "path-prefix", '/' + aName + '/' },
           { "route-type", aType },
           { "timeout-s", aTimeout },
           { "slo-latency-s", 2 },
           { "priority", 1 },
           { "service", aService },
           { "attempts", 2 },
           { "public", false } };
}

json
Service(const std::string& aName)
{
  return { { "name", aName },
           { "health-path", "/healthz" },
           { "max-conns", 360 } };
}

json
Configuration()
{
  return { { "version", 7 },
           { "routes",
             { Route("orders", "non_idempotent", 4, "workshop"),
               Route("status", "idempotent", 10, "ledger") } },
           { "services", { Service("workshop"), Service("ledger") } },
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

/// A sound target that takes long orders at the speed of its link.
class order_target
{
public:
  order_target(store& aStore, std::string aId)
    : mStore(aStore)
    , mId(std::move(aId))
  {
    mBorn = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
    std::tie(mListener, mPort) = Listen();
    Beat();
    std::thread([this] {
      while (true) {
        SleepSeconds(1.5);
        Beat();
      }
    }).detach();
    std::thread([this] {
      while (true) {
        const int accepted =
          ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted >= 0) {
          std::thread([this, accepted] { Run(accepted); }).detach();
        }
      }
    }).detach();
  }

  static std::set<std::string> Ran()
  {
    const std::lock_guard<std::mutex> lock(Mutex());
    return Ids();
  }

private:
  static std::mutex& Mutex()
  {
    static std::mutex mutex;
    return mutex;
  }
  static std::set<std::string>& Ids()
  {
    static std::set<std::string> ids;
    return ids;
  }

  void Beat()
  {
    mStore.Put("servers/" + mId,
               { { "service", "workshop" },
                 { "address", "127.0.0.1:" + std::to_string(mPort) },
                 { "zone", "zone-a" },
                 { "version", "v1" },
                 { "slots", 6 },
                 { "state", "ready" },
                 { "cold-remaining-s", 0 },
                 { "seq", ++mSequence },
                 { "born", mBorn } });
  }

  static std::string Value(const std::string& aHead, const std::string& aName)
  {
    const auto at = aHead.find(aName + ": ");
    if (at == std::string::npos) {
      return "";
    }
    const auto begin = at + aName.size() + 2;
    return aHead.substr(begin, aHead.find("\r\n", begin) - begin);
  }

  void Run(int aFd)
  {
    std::string buffer;
    std::vector<char> bytes(65536);
    while (true) {
      std::size_t end = std::string::npos;
      while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const auto count = ::recv(aFd, bytes.data(), bytes.size(), 0);
        if (count <= 0) {
          ::close(aFd);
          return;
        }
        buffer.append(bytes.data(), static_cast<std::size_t>(count));
      }
      const auto head = buffer.substr(0, end + 2);
      buffer.erase(0, end + 4);
      auto left =
        std::strtoull(Value(head, "Content-Length").c_str(), nullptr, 10);
      const auto id = Value(head, "Attempt-Id");
      const double startedAt = Now();
      std::size_t taken = buffer.size();
      left -= std::min<unsigned long long>(left, taken);
      buffer.clear();
      while (left > 0) {
        const double due =
          startedAt + static_cast<double>(taken) / kReadBytesPerSecond;
        SleepSeconds(std::max(0.0, due - Now()));
        const auto count = ::recv(aFd, bytes.data(), bytes.size(), 0);
        if (count <= 0) {
          ::close(aFd);
          return;
        }
        taken += static_cast<std::size_t>(count);
        left -= std::min<unsigned long long>(
          left, static_cast<unsigned long long>(count));
      }
      {
        const std::lock_guard<std::mutex> lock(Mutex());
        Ids().insert(id);
      }
      SleepSeconds(kOrderWork);
      std::string headers = "Attempt-Id: ";
      headers.append(id).append("\r\nResponse-Seal: 3e1b.").append(id);
      const auto text = Answer(200, "cut", headers + "\r\n");
      if (::send(aFd, text.data(), text.size(), MSG_NOSIGNAL) <= 0) {
        ::close(aFd);
        return;
      }
    }
  }

  store& mStore;
  std::string mId;
  int mListener = -1;
  int mPort = 0;
  std::int64_t mBorn = 0;
  std::uint64_t mSequence = 0;
};

/// KiB that are the process's own; 0 when it is not there.
long
OwnMemory(pid_t aPid)
{
  std::ifstream status("/proc/" + std::to_string(aPid) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "RssAnon:") {
      long kibibytes = 0;
      status >> kibibytes;
      return kibibytes;
    }
  }
  return 0;
}

/// What the platform does with a process that exceeds its memory.
class memory_limit
{
public:
  memory_limit(edge& aEdge, record& aRecord)
    : mEdge(aEdge)
    , mRecord(aRecord)
  {
    mThread = std::thread([this] { Watch(); });
  }
  ~memory_limit() { Stop(); }

  void Stop()
  {
    mIsOver = true;
    if (mThread.joinable()) {
      mThread.join();
    }
  }
  int Kills() const { return mKills; }
  long Peak() const { return mPeak; }

private:
  void Watch()
  {
    while (!mIsOver) {
      SleepSeconds(0.01);
      const long used = OwnMemory(mEdge.Pid());
      mPeak = std::max(mPeak.load(), used);
      if (used > kMemoryKibibytes) {
        mRecord.Line("platform: the instance has " + std::to_string(used) +
                     " KiB, allowed " + std::to_string(kMemoryKibibytes) +
                     "; it is killed");
        mEdge.Kill();
        ++mKills;
        SleepSeconds(kRestartDelay);
        mEdge.Start();
      }
    }
  }

  edge& mEdge;
  record& mRecord;
  std::atomic<bool> mIsOver{ false };
  std::atomic<int> mKills{ 0 };
  std::atomic<long> mPeak{ 0 };
  std::thread mThread;
};

caller_request
Request(const std::string& aMethod,
        const std::string& aRoute,
        const std::string& aId)
{
  caller_request request;
  request.mMethod = aMethod;
  request.mHost = "tanks.example";
  request.mPath = '/' + aRoute + '/' + aId;
  request.mKey = "key-of-acme";
  request.mId = aId;
  return request;
}

/// Sends one order; leaves without its answer, if that is wanted.
void
Order(const edge& aEdge, int aNumber, bool aDoesLeave, record& aRecord)
{
  auto request = Request("POST", "orders", "order-" + std::to_string(aNumber));
  request.mDeadlineMs = 8000;
  request.mBody.assign(kOrderBytes, 'o');
  const auto opened = connection::Open(aEdge.Ip(), edge::kFront);
  if (!opened || !opened->Send(request.Text())) {
    aRecord.Line("caller: " + request.mId + " is not taken");
    return;
  }
  aRecord.Line("caller: " + request.mId + " is sent");
  const auto answer = opened->Read(aDoesLeave ? kLeavesAfter : 8);
  aRecord.Line("caller: " + request.mId +
               (answer ? " is answered " + std::to_string(answer->Status())
                : aDoesLeave ? std::string(": has left")
                             : std::string(" has no answer")));
}

/// What callers with kept connections have seen.
struct read_log
{
  std::mutex mMutex;
  std::vector<std::string> mCut; ///< Closed without an answer, kept connection.
  std::map<int, int> mStatuses;
};

void
ReadStatuses(const edge& aEdge,
             int aCaller,
             const std::atomic<bool>& aIsOver,
             read_log& aLog)
{
  std::unique_ptr<connection> opened;
  bool isKept = false;
  SleepSeconds((kReadWork + kReadPause) * aCaller / kReaders);
  for (int i = 0; !aIsOver; ++i) {
    if (!opened) {
      opened = connection::Open(aEdge.Ip(), edge::kFront);
      isKept = false;
      if (!opened) {
        SleepSeconds(0.2);
        continue;
      }
    }
    const auto request = Request(
      "GET", "status", 's' + std::to_string(aCaller) + '-' + std::to_string(i));
    const bool isSent = opened->Send(request.Text());
    const auto answer = isSent ? opened->Read(10) : std::nullopt;
    const bool isAnswered = answer && answer->mIsWhole;
    {
      const std::lock_guard<std::mutex> lock(aLog.mMutex);
      if (isAnswered) {
        ++aLog.mStatuses[answer->Status()];
      } else if (isSent && isKept) {
        aLog.mCut.push_back(request.mId);
      }
    }
    isKept = isAnswered;
    if (!isAnswered || answer->Header("connection") == "close") {
      opened.reset();
    }
    SleepSeconds(isAnswered ? kReadPause : 0.2);
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
  std::vector<std::unique_ptr<order_target>> workshop;
  workshop.reserve(kOrderTargets);
  for (int i = 0; i < kOrderTargets; ++i) {
    workshop.push_back(std::make_unique<order_target>(
      platform, "workshop-" + std::to_string(i)));
  }
  std::vector<std::unique_ptr<target>> ledger;
  ledger.reserve(kReadTargets);
  for (int i = 0; i < kReadTargets; ++i) {
    ledger.push_back(std::make_unique<target>(
      platform,
      target::settings{
        "ledger-" + std::to_string(i), "ledger", kReadWork, 400 }));
  }
  edge one(options.mTemporary, "edge-1", LoopbackIp(1), platform.Port());
  one.Start();
  if (!one.AwaitReady(10)) {
    Finish(log, 2, "the instance does not start");
  }
  SleepSeconds(4);

  memory_limit limit(one, log);
  std::atomic<bool> isOver{ false };
  read_log reads;
  std::vector<std::thread> callers;
  callers.reserve(kReaders + kOrders);
  for (int i = 0; i < kReaders; ++i) {
    callers.emplace_back([&, i] { ReadStatuses(one, i, isOver, reads); });
  }
  // Each has an answer on its connection by then.
  SleepSeconds(2 * (kReadWork + kReadPause));
  for (int i = 0; i < kOrders && limit.Kills() == 0; ++i) {
    callers.emplace_back([&, i] { Order(one, i, options.mIsTrouble, log); });
    SleepSeconds(kOrderGap);
  }
  SleepSeconds(5);
  isOver = true;
  for (auto& caller : callers) {
    caller.join();
  }
  limit.Stop();

  std::set<std::string> ran;
  for (const auto& each : ledger) {
    for (const auto& run : each->Runs()) {
      ran.insert(run.mId);
    }
  }
  int lost = 0;
  for (const auto& id : reads.mCut) {
    log.Line("caller: " + id + " on a kept connection has no answer" +
             (ran.count(id) > 0 ? ", a target ran it" : ""));
    lost += ran.count(id) > 0 ? 1 : 0;
  }
  for (const auto& [status, count] : reads.mStatuses) {
    log.Line("callers with kept connections: " + std::to_string(count) +
             " answers " + std::to_string(status));
  }
  std::ostringstream text;
  text << lost << " requests on kept connections, run by sound targets, ended "
       << "without an answer; allowed " << kAllowed << " (killed "
       << limit.Kills() << " times for its memory, at most "
       << limit.Peak() / 1024 << " MiB, " << order_target::Ran().size()
       << " orders ran)";
  Finish(log, lost > kAllowed ? 1 : 0, text.str());
}
