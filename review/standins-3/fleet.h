#pragma once

// Stand-ins for the platform's store, for targets and for callers, and the
// start of the project's own daemon. Header only; each case is one program.

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline double
Now()
{
  static const auto kStart = steady::now();
  return std::chrono::duration<double>(steady::now() - kStart).count();
}

inline void
SleepSeconds(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

/// record.txt of the case.
class record
{
public:
  explicit record(const std::string& aPath)
    : mFile(aPath)
  {
  }
  void Line(const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", Now());
    mFile << time << aText << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline std::string
EncodeBase64(std::string_view aBytes)
{
  static constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  std::size_t i = 0;
  for (; i < aBytes.size(); i += 3) {
    const auto at = [&](std::size_t aIndex) {
      return aIndex < aBytes.size()
               ? static_cast<std::uint32_t>(
                   static_cast<unsigned char>(aBytes[aIndex]))
               : 0U;
    };
    const auto group = (at(i) << 16) | (at(i + 1) << 8) | at(i + 2);
    text += kDigits[(group >> 18) & 63];
    text += kDigits[(group >> 12) & 63];
    text += i + 1 < aBytes.size() ? kDigits[(group >> 6) & 63] : '=';
    text += i + 2 < aBytes.size() ? kDigits[group & 63] : '=';
  }
  return text;
}

inline sockaddr_in
AddressOf(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

/// A listening socket at a free port of 127.0.0.1.
inline std::pair<int, int>
Listen()
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  // A target that starts again takes its address again.
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  auto address = AddressOf("127.0.0.1", 0);
  socklen_t size = sizeof(address);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(fd, 512) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return { fd, ntohs(address.sin_port) };
}

struct message
{
  std::string mFirstLine;
  std::map<std::string, std::string> mHeaders; ///< Names in lower case.
  std::string mBody;
  bool mIsWhole = false;

  std::string Header(const std::string& aName) const
  {
    const auto found = mHeaders.find(aName);
    return found == mHeaders.end() ? "" : found->second;
  }
  int Status() const
  {
    return mFirstLine.size() > 12 ? std::atoi(mFirstLine.c_str() + 9) : 0;
  }
};

/// A connection with blocking calls.
class connection
{
public:
  explicit connection(int aFd)
    : mFd(aFd)
  {
    const int one = 1;
    ::setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { ::close(mFd); }

  /// aReceiveBuffer: bytes of the socket's receive buffer, 0 for the usual.
  static std::unique_ptr<connection> Open(const std::string& aIp,
                                          int aPort,
                                          int aReceiveBuffer = 0)
  {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (aReceiveBuffer > 0) {
      ::setsockopt(
        fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof(aReceiveBuffer));
    }
    auto address = AddressOf(aIp, aPort);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_unique<connection>(fd);
  }

  bool Send(std::string_view aText)
  {
    while (!aText.empty()) {
      const auto sent = ::send(mFd, aText.data(), aText.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      aText.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  /// False at the end of the connection or at the time-out.
  bool Fill(double aTimeout)
  {
    pollfd readable{ mFd, POLLIN, 0 };
    if (::poll(&readable, 1, static_cast<int>(aTimeout * 1000)) != 1) {
      mEnd = "time-out";
      return false;
    }
    std::array<char, 16384> bytes;
    const auto count = ::recv(mFd, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      mEnd = count == 0 ? "closed" : std::strerror(errno);
      return false;
    }
    mBuffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
  }

  /// One request or answer with a length; nothing if none begins.
  std::optional<message> Read(double aTimeout)
  {
    const double end = Now() + aTimeout;
    std::size_t headEnd = 0;
    while ((headEnd = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(std::max(0.0, end - Now()))) {
        return std::nullopt;
      }
    }
    message read;
    std::istringstream head(mBuffer.substr(0, headEnd));
    std::string line;
    std::getline(head, read.mFirstLine);
    while (!read.mFirstLine.empty() && read.mFirstLine.back() == '\r') {
      read.mFirstLine.pop_back();
    }
    while (std::getline(head, line)) {
      while (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const auto colon = line.find(':');
      auto name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](char aChar) {
        return static_cast<char>(
          std::tolower(static_cast<unsigned char>(aChar)));
      });
      auto value = colon == std::string::npos ? "" : line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      read.mHeaders[name] = value;
    }
    const auto length = read.Header("content-length");
    const std::size_t size =
      headEnd + 4 +
      static_cast<std::size_t>(std::strtoull(length.c_str(), nullptr, 10));
    while (mBuffer.size() < size) {
      if (!Fill(std::max(0.0, end - Now()))) {
        read.mBody = mBuffer.substr(headEnd + 4);
        mBuffer.clear();
        return read;
      }
    }
    read.mBody = mBuffer.substr(headEnd + 4, size - headEnd - 4);
    read.mIsWhole = true;
    mBuffer.erase(0, size);
    return read;
  }

  const std::string& End() const { return mEnd; }
  void ShutDown() { ::shutdown(mFd, SHUT_RDWR); }

private:
  int mFd;
  std::string mBuffer;
  std::string mEnd;
};

using serve_function = std::function<void(connection&)>;

/// Accepts connections and serves each in a thread of its own.
inline int
Serve(serve_function aServe)
{
  const auto [fd, port] = Listen();
  std::thread([listener = fd, serve = std::move(aServe)] {
    while (true) {
      const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      std::thread([accepted, serve] {
        connection served(accepted);
        serve(served);
      }).detach();
    }
  }).detach();
  return port;
}

inline std::string
Answer(int aStatus, const std::string& aBody, const std::string& aHeaders = "")
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// What the store does with one call.
enum class call_fate
{
  Answered,
  Late,    ///< Not answered; carried out after mLateBy.
  Refused, ///< 503, nothing is done.
};

/// The platform's store: items, leases, watches, 20 s of history.
class store
{
public:
  using fate_function =
    std::function<call_fate(const std::string& aCall, const json& aBody)>;

  explicit store(record& aRecord)
    : mRecord(aRecord)
  {
    mPort = AddPort("");
    std::thread([this] { EndLeases(); }).detach();
  }

  int Port() const { return mPort; }

  /// Another port, whose callers can be turned away apart from the others.
  int AddPort(const std::string& aCaller)
  {
    return Serve(
      [this, aCaller](connection& aServed) { Run(aServed, aCaller); });
  }

  void TurnAway(const std::string& aCaller, bool aIsTurnedAway)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsTurnedAway[aCaller] = aIsTurnedAway;
  }

  void SetFate(fate_function aFate)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFate = std::move(aFate);
  }
  void SetLateBy(double aSeconds) { mLateBy = aSeconds; }

  /// What the operator or a target writes.
  void Put(const std::string& aKey, const json& aValue)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    PutLocked(aKey, EncodeBase64(aValue.dump()), 0);
  }

  std::vector<std::string> Keys(const std::string& aPrefix)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::vector<std::string> keys;
    for (const auto& [key, item] : mItems) {
      if (key.compare(0, aPrefix.size(), aPrefix) == 0) {
        keys.push_back(key);
      }
    }
    return keys;
  }

private:
  struct lease
  {
    double mTtl;
    double mEnd;
  };
  struct change
  {
    double mAt;
    json mEvent;
  };

  void PutLocked(const std::string& aKey,
                 const std::string& aValue,
                 std::uint64_t aLease)
  {
    ++mRevision;
    const auto known = mItems.find(aKey);
    const auto created = known == mItems.end()
                           ? mRevision
                           : known->second["created"].get<std::uint64_t>();
    mItems[aKey] = { { "key", aKey },
                     { "value", aValue },
                     { "revision", mRevision },
                     { "created", created },
                     { "lease", aLease } };
    AddChange(mItems[aKey]);
  }

  void RemoveLocked(const std::string& aKey)
  {
    if (mItems.erase(aKey) == 0) {
      return;
    }
    ++mRevision;
    AddChange(
      { { "key", aKey }, { "revision", mRevision }, { "tombstone", true } });
  }

  void AddChange(const json& aEvent)
  {
    constexpr double kHistory = 20;
    mHistory.push_back({ Now(), aEvent });
    while (mHistory.front().mAt < Now() - kHistory) {
      mOldest = mHistory.front().mEvent["revision"].get<std::uint64_t>();
      mHistory.pop_front();
    }
    mChanged.notify_all();
  }

  void EndLeases()
  {
    while (true) {
      SleepSeconds(0.02);
      const std::lock_guard<std::mutex> lock(mMutex);
      for (auto entry = mLeases.begin(); entry != mLeases.end();) {
        if (entry->second.mEnd > Now()) {
          ++entry;
          continue;
        }
        const auto id = entry->first;
        entry = mLeases.erase(entry);
        EndLeaseLocked(id);
      }
    }
  }

  void EndLeaseLocked(std::uint64_t aId)
  {
    std::vector<std::string> keys;
    for (const auto& [key, item] : mItems) {
      if (item["lease"].get<std::uint64_t>() == aId) {
        keys.push_back(key);
      }
    }
    for (const auto& key : keys) {
      mRecord.Line("store: lease " + std::to_string(aId) + " has ended, " +
                   key + " is removed");
      RemoveLocked(key);
    }
  }

  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    const auto mark = aTarget.find('?');
    std::istringstream query(
      mark == std::string::npos ? "" : aTarget.substr(mark + 1));
    std::string part;
    while (std::getline(query, part, '&')) {
      const auto equals = part.find('=');
      if (part.substr(0, equals) == aName && equals != std::string::npos) {
        return part.substr(equals + 1);
      }
    }
    return "";
  }

  void Run(connection& aServed, const std::string& aCaller)
  {
    while (auto read = aServed.Read(3600)) {
      SleepSeconds(0.004);
      std::istringstream first(read->mFirstLine);
      std::string method;
      std::string target;
      first >> method >> target;
      const auto call = method + ' ' + target.substr(0, target.find('?'));
      const auto body =
        read->mBody.empty() ? json() : json::parse(read->mBody, nullptr, false);
      auto fate = call_fate::Answered;
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        fate = mIsTurnedAway[aCaller] ? call_fate::Refused
               : mFate                ? mFate(call, body)
                                      : fate;
      }
      if (fate == call_fate::Refused) {
        aServed.Send(Answer(503, ""));
        continue;
      }
      if (fate == call_fate::Late) {
        // A connection on which an answer is lost returns nothing further.
        std::thread([this, call, target, body] {
          SleepSeconds(mLateBy);
          const auto done = Call(call, target, body);
          mRecord.Line("store: " + call + " " + body.dump().substr(0, 120) +
                       " is carried out late: " + std::to_string(done.first));
        }).detach();
        while (aServed.Read(3600)) {
        }
        return;
      }
      const auto [status, answer] = Call(call, target, body);
      if (!aServed.Send(
            Answer(status, answer, "Content-Type: application/json\r\n"))) {
        return;
      }
    }
  }

  std::pair<int, std::string> Call(const std::string& aCall,
                                   const std::string& aTarget,
                                   const json& aBody)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    if (aCall == "GET /-/kv-range") {
      return Range(aTarget);
    }
    if (aCall == "GET /-/kv-watch") {
      return Watch(aTarget, lock);
    }
    if (aCall == "POST /-/kv-txn") {
      return Transact(aBody);
    }
    if (aCall == "POST /-/kv-lease") {
      const double ttl = aBody["ttl-s_time"].get<double>();
      const auto id = ++mLastLease;
      mLeases[id] = { ttl, Now() + ttl };
      return { 200, json{ { "lease", id }, { "ttl-s_time", ttl } }.dump() };
    }
    const auto slash = aCall.rfind('/');
    const auto id = std::strtoull(aCall.c_str() + slash + 1, nullptr, 10);
    const auto known = mLeases.find(id);
    if (known == mLeases.end()) {
      return { 404, "" };
    }
    if (aCall.compare(0, 16, "POST /-/kv-keep/") == 0) {
      known->second.mEnd = Now() + known->second.mTtl;
      return { 200, json{ { "ttl-s_time", known->second.mTtl } }.dump() };
    }
    mLeases.erase(known);
    EndLeaseLocked(id);
    return { 200, "{}" };
  }

  std::pair<int, std::string> Range(const std::string& aTarget)
  {
    constexpr std::size_t kPageBytes = 1'000'000;
    constexpr std::size_t kPageItems = 500;
    const auto prefix = Query(aTarget, "path-prefix");
    const auto after = Query(aTarget, "after");
    auto items = json::array();
    std::size_t bytes = 0;
    bool isTruncated = false;
    for (const auto& [key, item] : mItems) {
      if (key.compare(0, prefix.size(), prefix) != 0 ||
          (!after.empty() && key <= after)) {
        continue;
      }
      if (!items.empty() &&
          (items.size() == kPageItems || bytes > kPageBytes)) {
        isTruncated = true;
        break;
      }
      items.push_back(item);
      bytes += item["value"].get_ref<const std::string&>().size();
    }
    return { 200,
             json{ { "items", items },
                   { "truncated", isTruncated },
                   { "as-of", mRevision } }
               .dump() };
  }

  std::pair<int, std::string> Watch(const std::string& aTarget,
                                    std::unique_lock<std::mutex>& aLock)
  {
    const auto after =
      std::strtoull(Query(aTarget, "after").c_str(), nullptr, 10);
    const auto wait =
      std::strtoull(Query(aTarget, "wait-ms").c_str(), nullptr, 10);
    const auto deadline = steady::now() + std::chrono::milliseconds(wait);
    if (after < mOldest) {
      return { 410, "" };
    }
    while (mRevision <= after) {
      if (mChanged.wait_until(aLock, deadline) == std::cv_status::timeout) {
        break;
      }
    }
    auto events = json::array();
    for (const auto& entry : mHistory) {
      if (entry.mEvent["revision"].get<std::uint64_t>() > after) {
        events.push_back(entry.mEvent);
      }
    }
    return { 200, json{ { "events", events }, { "as-of", mRevision } }.dump() };
  }

  std::pair<int, std::string> Transact(const json& aBody)
  {
    for (const auto& row : aBody["expected-rev"]) {
      const auto known = mItems.find(row["key"].get<std::string>());
      const auto revision = known == mItems.end()
                              ? 0
                              : known->second["revision"].get<std::uint64_t>();
      if (revision != row["revision"].get<std::uint64_t>()) {
        return { 412, R"({"items":[]})" };
      }
    }
    for (const auto& put : aBody["puts"]) {
      const auto id = put.value("lease", std::uint64_t{ 0 });
      if (id != 0 && mLeases.count(id) == 0) {
        return { 404, "" };
      }
    }
    for (const auto& put : aBody["puts"]) {
      PutLocked(put["key"].get<std::string>(),
                put["value"].get<std::string>(),
                put.value("lease", std::uint64_t{ 0 }));
    }
    for (const auto& key : aBody["remove"]) {
      RemoveLocked(key.get<std::string>());
    }
    return { 200, json{ { "revision", mRevision } }.dump() };
  }

  record& mRecord;
  int mPort = 0;
  std::atomic<double> mLateBy{ 3 };
  std::mutex mMutex;
  std::condition_variable mChanged;
  fate_function mFate;
  std::map<std::string, bool> mIsTurnedAway;
  std::uint64_t mRevision = 1;
  std::uint64_t mOldest = 0;
  std::uint64_t mLastLease = 77'000;
  std::map<std::string, json> mItems;
  std::map<std::uint64_t, lease> mLeases;
  std::deque<change> mHistory;
};

/// A request that a target ran.
struct run
{
  double mAt;
  std::string mId;
  std::string mPath;
  std::string mTenant;
};

/// A sound target: registers itself, runs what is meant for it, signs.
class target
{
public:
  struct settings
  {
    std::string mId;
    std::string mService;
    double mWork = 0.02;
    std::size_t mAnswerBytes = 1500;
  };

  target(store& aStore, settings aSettings)
    : mStore(aStore)
    , mSettings(std::move(aSettings))
  {
    mPort = Serve([this](connection& aServed) { Run(aServed); });
    mBorn = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
    Beat();
    std::thread([this] {
      constexpr double kHeartbeat = 1.5;
      while (true) {
        SleepSeconds(kHeartbeat);
        Beat();
      }
    }).detach();
  }

  std::vector<run> Runs()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mRuns;
  }

private:
  void Beat()
  {
    mStore.Put("servers/" + mSettings.mId,
               { { "service", mSettings.mService },
                 { "address", "127.0.0.1:" + std::to_string(mPort) },
                 { "zone", "zone-a" },
                 { "version", "v1" },
                 { "slots", 6 },
                 { "state", "ready" },
                 { "cold-remaining-s", 0 },
                 { "seq", ++mSequence },
                 { "born", mBorn } });
  }

  void Run(connection& aServed)
  {
    while (const auto read = aServed.Read(15)) {
      if (!read->mIsWhole) {
        return;
      }
      const auto id = read->Header("attempt-id");
      const auto expected = read->Header("expect-instance");
      if (!expected.empty() && expected != mSettings.mId) {
        aServed.Send(Answer(421, "", "Instance-Id: " + mSettings.mId + "\r\n"));
        continue;
      }
      if (id.empty()) {
        aServed.Send(Answer(400, "", "Not-Executed: 1\r\n"));
        continue;
      }
      const auto space = read->mFirstLine.find(' ');
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mRuns.push_back({ Now(),
                          id,
                          read->mFirstLine.substr(
                            space + 1, read->mFirstLine.rfind(' ') - space - 1),
                          read->Header("tenant") });
      }
      SleepSeconds(mSettings.mWork);
      if (!aServed.Send(Answer(200,
                               std::string(mSettings.mAnswerBytes, 'x'),
                               "Attempt-Id: " + id +
                                 "\r\nResponse-Seal: 3e1b." + id + "\r\n"))) {
        return;
      }
    }
  }

  store& mStore;
  settings mSettings;
  int mPort = 0;
  std::int64_t mBorn = 0;
  std::uint64_t mSequence = 0;
  std::mutex mMutex;
  std::vector<run> mRuns;
};

/// Processes that this program has started and that still run.
inline std::vector<pid_t>&
Started()
{
  static std::vector<pid_t> started;
  return started;
}

/// The project's daemon as a process, with the settings that the platform
/// fills into its template.
class edge
{
public:
  static constexpr int kFront = 8782;
  static constexpr int kReadiness = 8789;

  edge(const std::string& aFolder,
       const std::string& aName,
       const std::string& aIp,
       int aStorePort,
       const std::map<std::string, std::string>& aFields = {})
    : mIp(aIp)
    , mPath(aFolder + '/' + aName + ".toml")
    , mLog(aFolder + '/' + aName + ".log")
  {
    std::map<std::string, std::string> fields = {
      { "node-name", aName },
      { "zone", "zone-a" },
      { "ip", aIp },
      { "listen.front", aIp + ':' + std::to_string(kFront) },
      { "listen.readiness", aIp + ':' + std::to_string(kReadiness) },
      { "internal-ports.0", "7340" },
      { "platform.address", "127.0.0.1:" + std::to_string(aStorePort) },
      { "limits.memory-mb", "260" },
      { "bounds.grace-s", "6" },
      { "bounds.revoke-s", "5" },
      { "bounds.floor-share", "0.7" },
      { "bounds.retry-budget-ratio", "0.2" },
      { "bounds.budget-extra", "60" },
      { "bounds.budget-window-s", "10" },
      { "bounds.quota-window-s", "5" },
      { "bounds.quota-overshoot", "0.1" },
      { "bounds.quota-slack", "20" },
      { "bounds.config-apply-s", "2" }
    };
    for (const auto& [name, value] : aFields) {
      fields[name] = value;
    }
    std::ifstream file("deploy/settings.toml.template");
    std::string text((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
    // Sections of fields that this deployment does not have.
    std::size_t at = 0;
    while ((at = text.find("{{#")) != std::string::npos) {
      const auto name = text.substr(at + 3, text.find("}}", at) - at - 3);
      const auto end = "{{/" + name + "}}";
      text.erase(at, text.find(end, at) + end.size() - at);
    }
    while ((at = text.find("{{")) != std::string::npos) {
      const auto end = text.find("}}", at);
      text.replace(at, end + 2 - at, fields[text.substr(at + 2, end - at - 2)]);
    }
    std::ofstream(mPath) << text;
  }
  ~edge() { Kill(); }
  edge(const edge&) = delete;
  edge& operator=(const edge&) = delete;

  void Start()
  {
    // Prepared before the fork: other threads may hold the allocator's lock.
    const auto setting = "COWSLIPLINE_CONFIG=" + mPath;
    const char* path = std::getenv("PATH");
    const auto search = std::string("PATH=") + (path == nullptr ? "" : path);
    std::string program = "target/apps/cowslipline-edge";
    std::array<char*, 2> arguments = { program.data(), nullptr };
    std::array<char*, 3> variables = { const_cast<char*>(setting.c_str()),
                                       const_cast<char*>(search.c_str()),
                                       nullptr };
    mPid = ::fork();
    if (mPid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log =
        ::open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      ::dup2(log, STDOUT_FILENO);
      ::dup2(log, STDERR_FILENO);
      ::execve(program.c_str(), arguments.data(), variables.data());
      std::_Exit(127);
    }
    Started().push_back(mPid);
  }

  void Signal(int aSignal) const
  {
    if (mPid > 0) {
      ::kill(mPid, aSignal);
    }
  }

  void Kill()
  {
    if (mPid > 0) {
      ::kill(mPid, SIGKILL);
      Wait();
    }
  }

  void Wait()
  {
    int status = 0;
    ::waitpid(mPid, &status, 0);
    auto& started = Started();
    started.erase(std::remove(started.begin(), started.end(), mPid),
                  started.end());
    mPid = 0;
  }

  bool IsReady() const
  {
    const auto opened = connection::Open(mIp, kReadiness);
    if (!opened || !opened->Send("GET /-/readyz HTTP/1.1\r\nHost: "
                                 "x\r\nConnection: close\r\n\r\n")) {
      return false;
    }
    const auto answer = opened->Read(1);
    return answer && answer->Status() == 200;
  }

  bool AwaitReady(double aTimeout) const
  {
    const double end = Now() + aTimeout;
    while (Now() < end) {
      if (IsReady()) {
        return true;
      }
      SleepSeconds(0.02);
    }
    return false;
  }

  const std::string& Ip() const { return mIp; }
  pid_t Pid() const { return mPid; }

private:
  std::string mIp;
  std::string mPath;
  std::string mLog;
  std::atomic<pid_t> mPid{ 0 };
};

/// Loopback addresses of this run, apart from those of others.
inline std::string
LoopbackIp(int aHost)
{
  const int run = static_cast<int>(::getpid());
  return "127." + std::to_string(64 + run / 250 % 128) + '.' +
         std::to_string(1 + run % 250) + '.' + std::to_string(aHost);
}

struct caller_request
{
  std::string mMethod = "GET";
  std::string mHost;
  std::string mPath;
  std::string mKey;
  std::string mId;
  int mDeadlineMs = 6000;
  std::string mBody{};

  std::string Text() const
  {
    std::string text = mMethod + ' ' + mPath + " HTTP/1.1\r\nHost: " + mHost +
                       "\r\nAttempt-Id: " + mId +
                       "\r\nDeadline-Ms: " + std::to_string(mDeadlineMs) +
                       "\r\n";
    if (!mKey.empty()) {
      text += "Api-Key: " + mKey + "\r\n";
    }
    if (mMethod != "GET") {
      text += "Content-Length: " + std::to_string(mBody.size()) + "\r\n";
    }
    return text + "\r\n" + mBody;
  }
};

/// Folder of the case and whether the disruption is to be made.
struct case_options
{
  std::string mFolder;    ///< For record.txt.
  std::string mTemporary; ///< For settings and logs.
  bool mIsTrouble = true;
};

inline case_options
OptionsOf(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::cerr << "usage: " << aArguments[0] << " CASE-FOLDER TEMPORARY\n";
    std::_Exit(2);
  }
  const char* trouble = std::getenv("TROUBLE");
  ::signal(SIGPIPE, SIG_IGN);
  return { aArguments[1],
           aArguments[2],
           trouble == nullptr || std::string(trouble) != "0" };
}

/// Writes the result and ends the program; threads are not joined.
[[noreturn]] inline void
Finish(record& aRecord, int aCode, const std::string& aText)
{
  aRecord.Line("result " + std::to_string(aCode) + ": " + aText);
  std::cout << aText << std::endl;
  for (const auto pid : Started()) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  std::_Exit(aCode);
}

} // namespace review
