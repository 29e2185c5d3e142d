// One request crashes each target that begins to run it, and comes again. Its
// route is split over three services, whose targets have other callers'
// requests at work all the while.

#include "fleet.h"

#include <set>

using namespace review;

namespace {

constexpr int kServices = 3;
constexpr std::size_t kTargets = 9;
constexpr double kDown = 2;
constexpr int kRepeats = 18;
constexpr double kRepeatGap = 4;
constexpr double kContact = 3;
constexpr char kPoisonPath[] = "/quotes/poison";

// BUDGET: more than three retries.
constexpr int kAllowed = 3;

std::string
ServiceName(int aIndex)
{
  return "quotes-" + std::to_string(aIndex);
}

json
Configuration()
{
  auto services = json::array();
  auto split = json::array();
  for (int i = 0; i < kServices; ++i) {
    services.push_back({ { "name", ServiceName(i) },
                         { "health-path", "/healthz" },
                         { "max-conns", 360 } });
    split.push_back({ { "service", ServiceName(i) }, { "weight", 1 } });
  }
  return { { "version", 7 },
           { "routes",
             { { { "name", "quotes" },
                 { "hostname", "quotes.example" },
                 { "path-prefix", "/quotes/" },
                 { "route-type", "idempotent" },
                 { "timeout-s", 6 },
                 { "slo-latency-s", 2 },
                 { "priority", 1 },
                 { "traffic-split", split },
                 { "attempts", 1 },
                 { "public", false } } } },
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

/// What all targets see of the request that crashes them.
struct crash_log
{
  std::mutex mMutex;
  std::vector<double> mCrashes;
  std::set<std::string> mReached; ///< Ids of repeats that reached a target.
  std::map<std::string, double> mReachedAt;
  int mBrokenOff = 0; ///< Requests of others at work in a crash.
};

/// A target whose process crashes when it begins to run the request, if that
/// is wanted: its port refuses connections until it has started again.
class crashing_target
{
public:
  crashing_target(store& aStore,
                  std::string aId,
                  std::string aService,
                  bool aDoesCrash,
                  crash_log& aLog)
    : mStore(aStore)
    , mId(std::move(aId))
    , mService(std::move(aService))
    , mDoesCrash(aDoesCrash)
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
               { { "service", mService },
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
        mLog.mReachedAt.emplace(id, Now());
        if (mDoesCrash) {
          mLog.mCrashes.push_back(Now());
        }
      }
      const bool isPoison =
        mDoesCrash && read->mFirstLine.find(kPoisonPath) != std::string::npos;
      if (isPoison) {
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
  std::string mService;
  bool mDoesCrash;
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

int
Ask(const edge& aEdge, const std::string& aPath, const std::string& aId)
{
  const auto opened = connection::Open(aEdge.Ip(), edge::kFront);
  caller_request request;
  request.mHost = "quotes.example";
  request.mPath = aPath;
  request.mKey = "key-of-acme";
  request.mId = aId;
  if (!opened || !opened->Send(request.Text())) {
    return 0;
  }
  const auto answer = opened->Read(6);
  return answer ? answer->Status() : 0;
}

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
      platform,
      "i-" + std::to_string(i),
      ServiceName(static_cast<int>(i) % kServices),
      options.mIsTrouble,
      crashes));
  }
  edge one(options.mTemporary, "edge-1", LoopbackIp(1), platform.Port());
  one.Start();
  if (!one.AwaitReady(10)) {
    Finish(log, 2, "the instance does not start");
  }
  SleepSeconds(4);

  std::atomic<bool> isOver{ false };
  std::atomic<int> served{ 0 };
  std::atomic<int> failed{ 0 };
  constexpr int kOthers = 6;
  std::vector<std::thread> others;
  others.reserve(kOthers);
  for (int caller = 0; caller < kOthers; ++caller) {
    others.emplace_back([&, caller] {
      for (int i = 0; !isOver; ++i) {
        const auto id = "o" + std::to_string(caller) + '-' + std::to_string(i);
        const int status = Ask(one, "/quotes/" + id, id);
        (status == 200 ? served : failed) += 1;
        SleepSeconds(0.05);
      }
    });
  }
  std::vector<double> sentAt;
  for (int i = 0; i < kRepeats; ++i) {
    const auto id = "again-" + std::to_string(i);
    sentAt.push_back(Now());
    const int status = Ask(one, kPoisonPath, id);
    log.Line("caller: " + id + " to " + kPoisonPath + " is answered " +
             std::to_string(status));
    SleepSeconds(std::max(0.0, sentAt.back() + kRepeatGap - Now()));
  }
  isOver = true;
  for (auto& other : others) {
    other.join();
  }

  const std::lock_guard<std::mutex> lock(crashes.mMutex);
  const double third = crashes.mCrashes.size() < 3 ? 1e9 : crashes.mCrashes[2];
  int late = 0;
  for (const auto& [id, at] : crashes.mReachedAt) {
    log.Line("target: " + id + " has come");
    late += at > third + kContact ? 1 : 0;
  }
  std::ostringstream text;
  text << late << " retries reached a target later than " << kContact
       << " s after the third crash; allowed " << kAllowed << " ("
       << crashes.mCrashes.size() << " crashes, " << crashes.mBrokenOff
       << " requests of others broken off, " << served << " served, " << failed
       << " not)";
  Finish(log, late > kAllowed ? 1 : 0, text.str());
}
