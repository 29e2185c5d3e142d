#include "review/standins/platform_store.h"

#include <algorithm>
#include <cstdlib>

namespace review {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::size_t kPageItems = 500;

std::string
EncodeBase64(const std::string& aBytes)
{
  static constexpr char kLetters[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    const auto byte = [&](std::size_t aIndex) -> unsigned {
      return aIndex < aBytes.size() ? static_cast<unsigned char>(aBytes[aIndex])
                                    : 0U;
    };
    const unsigned group = byte(i) << 16U | byte(i + 1) << 8U | byte(i + 2);
    text += kLetters[group >> 18U & 63U];
    text += kLetters[group >> 12U & 63U];
    text += i + 1 < aBytes.size() ? kLetters[group >> 6U & 63U] : '=';
    text += i + 2 < aBytes.size() ? kLetters[group & 63U] : '=';
  }
  return text;
}

/// Value of a field of the query; empty when it is missing.
std::string
QueryField(const std::string& aTarget, const std::string& aName)
{
  const auto mark = aTarget.find('?');
  auto start = mark;
  while (start != std::string::npos) {
    const auto end = aTarget.find('&', start + 1);
    const auto part = aTarget.substr(start + 1, end - start - 1);
    if (part.compare(0, aName.size() + 1, aName + "=") == 0) {
      return part.substr(aName.size() + 1);
    }
    start = end;
  }
  return "";
}

bool
HasPrefix(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

std::uint64_t
NumberOf(const std::string& aText)
{
  return std::strtoull(aText.c_str(), nullptr, 10);
}

} // namespace

platform_store::platform_store(record& aRecord)
  : mRecord(aRecord)
  , mListener(mIp, 0)
{
  mThreads.emplace_back([this] {
    while (!mIsStopped) {
      if (auto accepted = mListener.Accept()) {
        ++mConnections;
        std::thread([this,
                     socket = std::make_shared<http_socket>(
                       std::move(*accepted))]() mutable {
          Serve(std::move(*socket));
          --mConnections;
        }).detach();
      }
    }
  });
  mThreads.emplace_back([this] {
    while (!mIsStopped) {
      std::this_thread::sleep_for(20ms);
      if (!mIsSilent) {
        ExpireLeases();
      }
    }
  });
}

platform_store::~platform_store()
{
  mIsStopped = true;
  mChanged.notify_all();
  for (auto& thread : mThreads) {
    thread.join();
  }
  while (mConnections > 0) {
    std::this_thread::sleep_for(10ms);
  }
}

void
platform_store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mRevision;
  WriteItem(aKey, EncodeBase64(aValue), 0);
  mChanged.notify_all();
}

void
platform_store::SetSilent(bool aIsSilent)
{
  mRecord.Add(aIsSilent ? "store silent" : "store answers again");
  mIsSilent = aIsSilent;
}

void
platform_store::SetLateRule(late_rule aRule)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mLateRule = std::move(aRule);
}

std::vector<std::string>
platform_store::Keys(const std::string& aPrefix)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<std::string> keys;
  for (const auto& [key, value] : mItems) {
    if (HasPrefix(key, aPrefix)) {
      keys.push_back(key);
    }
  }
  return keys;
}

void
platform_store::Serve(http_socket aSocket)
{
  while (!mIsStopped) {
    if (!aSocket.WaitReadable(100ms)) {
      continue;
    }
    const auto call = aSocket.Receive(clock_type::now() + 5s);
    if (!call) {
      return;
    }
    const auto handled = mIsSilent ? std::nullopt : Handle(*call);
    if (!handled || mIsSilent) {
      // A connection on which an answer is lost returns nothing further.
      while (!mIsStopped && !aSocket.HasEnded()) {
        std::this_thread::sleep_for(20ms);
      }
      return;
    }
    const auto body = handled->mBody.dump();
    const bool isSent =
      aSocket.Send("HTTP/1.1 " + std::to_string(handled->mStatus) +
                   " -\r\nContent-Type: application/json\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
    if (!isSent) {
      return;
    }
  }
}

std::optional<platform_store::reply>
platform_store::Handle(const http_message& aCall)
{
  const auto method = aCall.Word(0);
  const auto target = aCall.Word(1);
  const auto path = target.substr(0, target.find('?'));
  const auto body = json::parse(aCall.mBody, nullptr, false);
  if (path == "/-/kv-range") {
    return Range(QueryField(target, "path-prefix"),
                 QueryField(target, "after"));
  }
  if (path == "/-/kv-watch") {
    return Watch(
      QueryField(target, "path-prefix"),
      NumberOf(QueryField(target, "after")),
      std::chrono::milliseconds(NumberOf(QueryField(target, "wait-ms"))));
  }
  if (path == "/-/kv-lease" && method == "POST") {
    return GrantLease(body);
  }
  if (HasPrefix(path, "/-/kv-keep/")) {
    return KeepLease(NumberOf(path.substr(path.rfind('/') + 1)));
  }
  if (HasPrefix(path, "/-/kv-lease-end/")) {
    return EndLease(NumberOf(path.substr(path.rfind('/') + 1)));
  }
  if (path != "/-/kv-txn") {
    return reply{ 404, json::object() };
  }
  late_rule rule;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    rule = mLateRule;
  }
  const auto late = rule ? rule(body) : std::nullopt;
  if (!late) {
    return Transaction(body);
  }
  mRecord.Add("store: answer lost, done " + std::to_string(late->count()) +
              " ms later: " + body.dump());
  ++mConnections;
  std::thread([this, body, wait = *late] {
    std::this_thread::sleep_for(wait);
    const auto done = Transaction(body);
    mRecord.Add("store: late write done with status " +
                std::to_string(done.mStatus) + ": " + body.dump());
    --mConnections;
  }).detach();
  return std::nullopt;
}

json
platform_store::Describe(const std::string& aKey, const item& aItem) const
{
  return { { "key", aKey },
           { "value", aItem.mValue },
           { "revision", aItem.mRevision },
           { "created", aItem.mCreated },
           { "lease", aItem.mLease } };
}

platform_store::reply
platform_store::Range(const std::string& aPrefix, const std::string& aAfter)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  auto items = json::array();
  bool isTruncated = false;
  for (auto entry = mItems.upper_bound(aAfter); entry != mItems.end();
       ++entry) {
    if (!HasPrefix(entry->first, aPrefix)) {
      continue;
    }
    if (items.size() == kPageItems) {
      isTruncated = true;
      break;
    }
    items.push_back(Describe(entry->first, entry->second));
  }
  return {
    200,
    { { "items", items }, { "truncated", isTruncated }, { "as-of", mRevision } }
  };
}

platform_store::reply
platform_store::Watch(const std::string& aPrefix,
                      std::uint64_t aAfter,
                      std::chrono::milliseconds aWait)
{
  std::unique_lock<std::mutex> lock(mMutex);
  auto events = json::array();
  const auto collect = [&] {
    for (const auto& [revision, event] : mHistory) {
      if (revision > aAfter &&
          HasPrefix(event["key"].get<std::string>(), aPrefix)) {
        events.push_back(event);
      }
    }
    return !events.empty() || mIsStopped;
  };
  mChanged.wait_for(lock, aWait, collect);
  return { 200, { { "events", events }, { "as-of", mRevision } } };
}

void
platform_store::WriteItem(const std::string& aKey,
                          const std::string& aValue,
                          std::uint64_t aLease)
{
  auto& written = mItems[aKey];
  written.mValue = aValue;
  written.mLease = aLease;
  written.mRevision = mRevision;
  if (written.mCreated == 0) {
    written.mCreated = mRevision;
  }
  mHistory.emplace_back(mRevision, Describe(aKey, written));
}

void
platform_store::RemoveItem(const std::string& aKey)
{
  if (mItems.erase(aKey) > 0) {
    mHistory.emplace_back(mRevision,
                          json{ { "key", aKey },
                                { "revision", mRevision },
                                { "tombstone", true } });
    if (!HasPrefix(aKey, "servers/")) {
      mRecord.Add("store: removed " + aKey);
    }
  }
}

platform_store::reply
platform_store::Transaction(const json& aBody)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& row : aBody.value("expected-rev", json::array())) {
    const auto found = mItems.find(row["key"].get<std::string>());
    const auto present = found == mItems.end() ? 0 : found->second.mRevision;
    if (present != row["revision"].get<std::uint64_t>()) {
      return { 412, { { "items", json::array() }, { "as-of", mRevision } } };
    }
  }
  const auto puts = aBody.value("puts", json::array());
  for (const auto& put : puts) {
    const auto lease = put.value("lease", std::uint64_t{ 0 });
    if (lease != 0 && mLeases.count(lease) == 0) {
      return { 404, json::object() };
    }
  }
  ++mRevision;
  for (const auto& put : puts) {
    WriteItem(put["key"].get<std::string>(),
              put["value"].get<std::string>(),
              put.value("lease", std::uint64_t{ 0 }));
    mRecord.Add("store: wrote " + put.dump());
  }
  for (const auto& key : aBody.value("remove", json::array())) {
    RemoveItem(key.get<std::string>());
  }
  mChanged.notify_all();
  return { 200, { { "revision", mRevision } } };
}

platform_store::reply
platform_store::GrantLease(const json& aBody)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto seconds = std::max(1.0, aBody.value("ttl-s_time", 1.0));
  const auto timeToLive =
    std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
  const auto id = ++mNextLease;
  mLeases[id] = { timeToLive, clock_type::now() + timeToLive };
  return { 200, { { "lease", id }, { "ttl-s_time", seconds } } };
}

platform_store::reply
platform_store::KeepLease(std::uint64_t aId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mLeases.find(aId);
  if (found == mLeases.end()) {
    return { 404, json::object() };
  }
  found->second.mEnd = clock_type::now() + found->second.mTimeToLive;
  return { 200,
           { { "lease", aId },
             { "ttl-s_time",
               static_cast<double>(found->second.mTimeToLive.count()) /
                 1000 } } };
}

platform_store::reply
platform_store::EndLease(std::uint64_t aId)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto found = mLeases.find(aId);
    if (found == mLeases.end()) {
      return { 404, json::object() };
    }
    found->second.mEnd = clock_type::now();
  }
  ExpireLeases();
  return {};
}

void
platform_store::ExpireLeases()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto now = clock_type::now();
  for (auto entry = mLeases.begin(); entry != mLeases.end();) {
    if (now < entry->second.mEnd) {
      ++entry;
      continue;
    }
    const auto id = entry->first;
    entry = mLeases.erase(entry);
    std::vector<std::string> keys;
    for (const auto& [key, present] : mItems) {
      if (present.mLease == id) {
        keys.push_back(key);
      }
    }
    mRecord.Add("store: lease " + std::to_string(id) + " ended with " +
                std::to_string(keys.size()) + " keys");
    if (!keys.empty()) {
      ++mRevision;
    }
    for (const auto& key : keys) {
      RemoveItem(key);
    }
    mChanged.notify_all();
  }
}

} // namespace review
