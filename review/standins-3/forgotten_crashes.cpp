// One request crashes each target that begins to run it, and comes again, at
// one instance after the other. Once it is known, the instances are restarted
// one by one.

#include "fleet.h"

#include <set>

using namespace review;

namespace {

constexpr std::size_t kInstances = 4;
constexpr std::size_t kTargets = 11;
constexpr double kDown = 2;
constexpr double kRepeatGap = 1;
constexpr double kContact = 3;
constexpr double kGrace = 6;
// From the start of a restarted instance to the stop of the next one.
constexpr double kRollGap = 9;
constexpr char kPoisonPath[] = "/orders/poison";

// BUDGET: more than three retries.
constexpr int kAllowed = 3;

json
Configuration()
{
  return { { "version", 7 },
           { "routes",
             { { { "name", "orders" },
                 { "hostname", "orders.example" },
                 { "path-prefix", "/orders/" },
                 { "route-type", "non_idempotent" },
                 { "timeout-s", 4 },
                 { "slo-latency-s", 2 },
                 { "priority", 1 },
                 { "service", "workshop" },
                 { "attempts", 2 },
                 { "public", false } } } },
           { "services",
             { { { "name", "workshop" },
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
                 { "rate-per-s", 0 },
                 { "burst", 0 } } } } };
}

/// What all targets see of the request that crashes them.
struct crash_log
{
  std::mutex mMutex;
  std::vector<double> mCrashes;
  std::set<std::string> mReached; ///< Ids of repeats that reached a target.
  int mBrokenOff = 0;             ///< Requests of others at work in a crash.
};

/// A target whose process crashes when it begins to run the request: its port
/// refuses connections until it has started again.
class crashing_target
{
public:
  crashing_target(store& aStore, std::string aId, crash_log& aLog)
    : mStore(aStore)
    , mId(std::move(aId))
    , mLog(aLog)
  {
    std::tie(mListener, mPort) = Listen();
    Begin();
    std::thread([this] { Accept(); }).detach();
    std::thread([this] {
      while (true) {
        SleepSeconds(1.5);
        if (!mIsDown) {
          Beat();
        }
      }
    }).detach();
  }

private:
  void Begin()
  {
    mBorn = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
    mSequence = 0;
    Beat();
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
                 { "born", mBorn.load() } });
  }

  void Accept()
  {
    while (true) {
      const int listener = mListener;
      const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        SleepSeconds(0.01);
        continue;
      }
      std::thread([this, accepted] { Run(accepted); }).detach();
    }
  }

  void Run(int aFd)
  {
    connection served(aFd);
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (mIsDown) {
        return;
      }
      mOpen.insert(&served);
    }
    while (const auto read = served.Read(15)) {
      const auto id = read->Header("attempt-id");
      if (mIsDown || !read->mIsWhole) {
        break;
      }
      if (read->Header("expect-instance") != mId) {
        served.Send(Answer(421, ""));
        continue;
      }
      if (read->mFirstLine.find(kPoisonPath) != std::string::npos) {
        const std::lock_guard<std::mutex> lock(mLog.mMutex);
        mLog.mReached.insert(id);
        mLog.mCrashes.push_back(Now());
      }
      if (read->mFirstLine.find(kPoisonPath) != std::string::npos) {
        Crash();
        break;
      }
      ++mAtWork;
      SleepSeconds(0.5);
      --mAtWork;
      std::string headers = "Attempt-Id: ";
      headers.append(id).append("\r\nResponse-Seal: 3e1b.");
      headers.append(id).append("\r\n");
      if (mIsDown || !served.Send(Answer(200, "fine", headers))) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mOpen.erase(&served);
  }

  void Crash()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mIsDown = true;
      ::shutdown(mListener, SHUT_RDWR);
      ::close(mListener);
      for (auto* open : mOpen) {
        open->ShutDown();
      }
    }
    {
      const std::lock_guard<std::mutex> lock(mLog.mMutex);
      mLog.mBrokenOff += mAtWork;
    }
    std::thread([this] {
      SleepSeconds(kDown);
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const int one = 1;
      ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
      auto address = AddressOf("127.0.0.1", mPort);
      while (::bind(fd,
                    reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) != 0 ||
             ::listen(fd, 512) != 0) {
        SleepSeconds(0.05);
      }
      mListener = fd;
      mIsDown = false;
      Begin();
    }).detach();
  }

  store& mStore;
  std::string mId;
  crash_log& mLog;
  std::atomic<int> mListener{ -1 };
  int mPort = 0;
  std::atomic<bool> mIsDown{ false };
  std::atomic<int> mAtWork{ 0 };
  std::atomic<std::int64_t> mBorn{ 0 };
  std::atomic<std::uint64_t> mSequence{ 0 };
  std::mutex mMutex;
  std::set<connection*> mOpen;
};

/// Status of the answer; 0 without one.
int
Order(const std::string& aIp, const std::string& aPath, const std::string& aId)
{
  const auto opened = connection::Open(aIp, edge::kFront);
  caller_request request;
  request.mMethod = "POST";
  request.mHost = "orders.example";
  request.mPath = aPath;
  request.mKey = "key-of-acme";
  request.mId = aId;
  request.mBody = "one pane";
  if (!opened || !opened->Send(request.Text())) {
    return 0;
  }
  const auto answer = opened->Read(6);
  return answer ? answer->Status() : 0;
}

/// The instances as the platform runs them and directs callers to them.
class fleet
{
public:
  fleet(const std::string& aTemporary, int aStorePort, record& aRecord)
    : mRecord(aRecord)
  {
    for (std::size_t i = 0; i < kInstances; ++i) {
      const auto name = "edge-" + std::to_string(i);
      mInstances.push_back(std::make_unique<instance>());
      mInstances.back()->mName = name;
      mInstances.back()->mEdge = std::make_unique<edge>(
        aTemporary, name, LoopbackIp(static_cast<int>(i) + 1), aStorePort);
    }
  }

  bool Start()
  {
    for (const auto& each : mInstances) {
      each->mEdge->Start();
    }
    for (const auto& each : mInstances) {
      if (!each->mEdge->AwaitReady(10)) {
        return false;
      }
      each->mStartedAt = Now();
      each->mIsInUse = true;
    }
    return true;
  }

  /// The index of the instance in use that comes after this one.
  std::size_t NextAfter(std::size_t aIndex) const
  {
    while (true) {
      aIndex = (aIndex + 1) % kInstances;
      if (mInstances[aIndex]->mIsInUse) {
        return aIndex;
      }
    }
  }

  const std::string& Ip(std::size_t aIndex) const
  {
    return mInstances[aIndex]->mEdge->Ip();
  }

  /// True if the processes ran for the whole contact-s.
  bool IsInTouch(std::size_t aIndex) const
  {
    return mInstances[aIndex]->mIsInUse &&
           Now() - mInstances[aIndex]->mStartedAt > kContact;
  }

  /// SIGTERM, SIGKILL after grace-s, and a start.
  bool Restart(std::size_t aIndex)
  {
    auto& restarted = *mInstances[aIndex];
    restarted.mIsInUse = false;
    mRecord.Line("platform: stops " + restarted.mName);
    restarted.mEdge->Signal(SIGTERM);
    mIsAwaited = true;
    std::thread killer([this, pid = restarted.mEdge->Pid()] {
      const double end = Now() + kGrace;
      while (Now() < end && mIsAwaited) {
        SleepSeconds(0.05);
      }
      if (mIsAwaited) {
        ::kill(pid, SIGKILL);
      }
    });
    restarted.mEdge->Wait();
    mIsAwaited = false;
    killer.join();
    restarted.mEdge->Start();
    if (!restarted.mEdge->AwaitReady(10)) {
      return false;
    }
    restarted.mStartedAt = Now();
    restarted.mIsInUse = true;
    mRecord.Line("platform: " + restarted.mName + " is ready again");
    return true;
  }

private:
  struct instance
  {
    std::string mName;
    std::unique_ptr<edge> mEdge;
    std::atomic<double> mStartedAt{ 0 };
    std::atomic<bool> mIsInUse{ false };
  };

  record& mRecord;
  std::vector<std::unique_ptr<instance>> mInstances;
  std::atomic<bool> mIsAwaited{ false };
};

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto options = OptionsOf(aCount, aArguments);
  record log(options.mFolder + "/record.txt");
  store platform(log);
  platform.Put("op/config", Configuration());
  crash_log crashes;
  std::vector<std::unique_ptr<crashing_target>> targets;
  targets.reserve(kTargets);
  for (std::size_t i = 0; i < kTargets; ++i) {
    targets.push_back(std::make_unique<crashing_target>(
      platform, "i-" + std::to_string(i), crashes));
  }
  fleet instances(options.mTemporary, platform.Port(), log);
  if (!instances.Start()) {
    Finish(log, 2, "the instances do not start");
  }
  SleepSeconds(5);

  std::atomic<bool> isOver{ false };
  std::atomic<int> served{ 0 };
  std::atomic<int> failed{ 0 };
  constexpr int kOthers = 8;
  std::vector<std::thread> callers;
  callers.reserve(kOthers + 1);
  for (int caller = 0; caller < kOthers; ++caller) {
    callers.emplace_back([&, caller] {
      std::size_t index = static_cast<std::size_t>(caller) % kInstances;
      for (int i = 0; !isOver; ++i) {
        const auto id = "o" + std::to_string(caller) + '-' + std::to_string(i);
        index = instances.NextAfter(index);
        const int status = Order(instances.Ip(index), "/orders/" + id, id);
        (status == 200 ? served : failed) += 1;
        SleepSeconds(0.05);
      }
    });
  }

  // Ids of repeats by an instance in touch, with the time of sending.
  std::map<std::string, double> sentInTouch;
  callers.emplace_back([&] {
    std::size_t index = 0;
    for (int i = 0; !isOver; ++i) {
      const auto id = "again-" + std::to_string(i);
      const double sentAt = Now();
      index = instances.NextAfter(index);
      if (instances.IsInTouch(index)) {
        sentInTouch[id] = sentAt;
      }
      const int status = Order(instances.Ip(index), kPoisonPath, id);
      log.Line("caller: " + id + " to " + kPoisonPath + " at edge-" +
               std::to_string(index) + " is answered " +
               std::to_string(status));
      SleepSeconds(std::max(0.0, sentAt + kRepeatGap - Now()));
    }
  });
  SleepSeconds(12);
  for (std::size_t i = 0; i < kInstances; ++i) {
    if (options.mIsTrouble && !instances.Restart(i)) {
      Finish(log, 2, "an instance does not start again");
    }
    SleepSeconds(kRollGap);
  }
  isOver = true;
  for (auto& caller : callers) {
    caller.join();
  }

  const std::lock_guard<std::mutex> lock(crashes.mMutex);
  const double third = crashes.mCrashes.size() < 3 ? 1e9 : crashes.mCrashes[2];
  int late = 0;
  for (const auto& id : crashes.mReached) {
    const auto sent = sentInTouch.find(id);
    const bool isLate =
      sent != sentInTouch.end() && sent->second > third + kContact;
    log.Line("target: " + id + " has come" +
             (isLate ? ", late, from an instance in touch" : ""));
    late += isLate ? 1 : 0;
  }
  std::ostringstream text;
  text << late << " retries reached a target later than " << kContact
       << " s after the third crash, sent by instances in touch; allowed "
       << kAllowed << " (" << crashes.mCrashes.size() << " crashes, "
       << crashes.mBrokenOff << " orders of others broken off, " << served
       << " served, " << failed << " not)";
  Finish(log, late > kAllowed ? 1 : 0, text.str());
}
