#include "store.h"

#include <algorithm>

namespace review {

namespace {

using nlohmann::json;

// "at most about 500 items or 1 MB".
constexpr std::size_t kItemsOfPage = 500;
constexpr std::size_t kBytesOfPage = 1'000'000;

// "20 s of history".
constexpr double kHistory = 20;

// "4 ms an answer".
constexpr double kAnswerTime = 0.004;

std::string
DecodePercent(const std::string& aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      decoded += static_cast<char>(
        std::strtol(aText.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      decoded += aText[i];
    }
  }
  return decoded;
}

headers
QueryOf(const std::string& aTarget)
{
  headers query;
  auto begin = aTarget.find('?');
  while (begin != std::string::npos) {
    const auto end = aTarget.find('&', begin + 1);
    const auto part = aTarget.substr(
      begin + 1, end == std::string::npos ? end : end - begin - 1);
    const auto equals = part.find('=');
    if (equals != std::string::npos) {
      query[part.substr(0, equals)] = DecodePercent(part.substr(equals + 1));
    }
    begin = end;
  }
  return query;
}

std::uint64_t
NumberOf(const headers& aQuery, const std::string& aName)
{
  const auto found = aQuery.find(aName);
  return found == aQuery.end()
           ? 0
           : std::strtoull(found->second.c_str(), nullptr, 10);
}

std::string
TextOf(const headers& aQuery, const std::string& aName)
{
  const auto found = aQuery.find(aName);
  return found == aQuery.end() ? std::string() : found->second;
}

bool
HasPrefix(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

} // namespace

std::string
EncodeBase64(const std::string& aBytes)
{
  constexpr std::string_view kLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    unsigned bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits = bits << 8U |
             (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > aBytes.size()
                ? '='
                : kLetters[bits >> (18U - 6U * static_cast<unsigned>(j)) & 63U];
    }
  }
  return text;
}

void
store::SetReadAges(double aFirstPage, double aOtherPages)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mFirstPageAge = aFirstPage;
  mOtherPagesAge = aOtherPages;
}

void
store::Open(std::uint16_t aPort)
{
  mServers.push_back(std::make_unique<server>(
    "127.0.0.1", aPort, [this, aPort](connection& aConnection) {
      Serve(aConnection, aPort);
    }));
}

void
store::SetSilent(std::uint16_t aPort, bool aIsSilent)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aIsSilent) {
    mSilentPorts.insert(aPort);
  } else {
    mSilentPorts.erase(aPort);
  }
}

bool
store::IsSilent(std::uint16_t aPort)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mSilentPorts.count(aPort) > 0;
}

void
store::Put(const std::string& aKey, const std::string& aValue)
{
  SleepFor(kAnswerTime);
  const std::lock_guard<std::mutex> lock(mMutex);
  Append(aKey, EncodeBase64(aValue), 0);
}

void
store::Remove(const std::string& aKey)
{
  SleepFor(kAnswerTime);
  const std::lock_guard<std::mutex> lock(mMutex);
  Append(aKey, std::nullopt, 0);
}

void
store::Append(const std::string& aKey,
              std::optional<std::string> aValue,
              std::uint64_t aLease)
{
  mEvents.push_back({ Now(), ++mRevision, aKey, std::move(aValue), aLease });
  mChanged.notify_all();
}

void
store::EndLeases()
{
  std::set<std::uint64_t> ended;
  for (const auto& [id, known] : mLeases) {
    if (known.mEnd <= Now()) {
      ended.insert(id);
    }
  }
  if (ended.empty()) {
    return;
  }
  std::uint64_t revision = 0;
  for (const auto& [key, known] : StateAt(Now(), revision)) {
    if (ended.count(known.mLease) > 0) {
      Append(key, std::nullopt, 0);
    }
  }
  for (const auto id : ended) {
    mLeases.erase(id);
  }
}

store::items
store::StateAt(double aTime, std::uint64_t& aRevision) const
{
  items state;
  aRevision = 100;
  for (const auto& change : mEvents) {
    if (change.mAt > aTime) {
      break;
    }
    aRevision = change.mRevision;
    if (!change.mValue) {
      state.erase(change.mKey);
      continue;
    }
    auto& known = state[change.mKey];
    known.mCreated = known.mCreated == 0 ? change.mRevision : known.mCreated;
    known.mValue = *change.mValue;
    known.mRevision = change.mRevision;
    known.mLease = change.mLease;
  }
  return state;
}

json
store::Range(const headers& aQuery)
{
  const auto prefix = TextOf(aQuery, "path-prefix");
  const auto after = TextOf(aQuery, "after");
  const std::lock_guard<std::mutex> lock(mMutex);
  EndLeases();
  const double age = NumberOf(aQuery, "serializable") != 1 ? 0
                     : after.empty()                       ? mFirstPageAge
                                                           : mOtherPagesAge;
  std::uint64_t revision = 0;
  const auto state = StateAt(Now() - age, revision);
  auto listed = json::array();
  bool isTruncated = false;
  std::size_t bytes = 0;
  for (auto entry = state.upper_bound(after); entry != state.end(); ++entry) {
    if (!HasPrefix(entry->first, prefix)) {
      continue;
    }
    bytes += entry->first.size() + entry->second.mValue.size();
    isTruncated = !listed.empty() &&
                  (listed.size() == kItemsOfPage || bytes > kBytesOfPage);
    if (isTruncated) {
      break;
    }
    listed.push_back({ { "key", entry->first },
                       { "value", entry->second.mValue },
                       { "revision", entry->second.mRevision },
                       { "created", entry->second.mCreated },
                       { "lease", entry->second.mLease } });
  }
  return { { "items", listed },
           { "truncated", isTruncated },
           { "as-of", revision } };
}

std::pair<int, json>
store::Watch(const headers& aQuery, std::uint16_t aPort)
{
  const auto prefix = TextOf(aQuery, "path-prefix");
  const auto after = NumberOf(aQuery, "after");
  const double until =
    Now() + static_cast<double>(NumberOf(aQuery, "wait-ms")) / 1000;
  std::unique_lock<std::mutex> lock(mMutex);
  while (true) {
    EndLeases();
    auto events = json::array();
    for (const auto& change : mEvents) {
      if (change.mRevision > after && change.mAt < Now() - kHistory) {
        return { 410, json::object() };
      }
      if (change.mRevision <= after || !HasPrefix(change.mKey, prefix)) {
        continue;
      }
      if (change.mValue) {
        events.push_back({ { "key", change.mKey },
                           { "value", *change.mValue },
                           { "revision", change.mRevision },
                           { "created", change.mRevision },
                           { "lease", change.mLease } });
      } else {
        events.push_back({ { "key", change.mKey },
                           { "revision", change.mRevision },
                           { "tombstone", true } });
      }
    }
    if (!events.empty() || Now() >= until || mSilentPorts.count(aPort) > 0) {
      return { 200, { { "events", events }, { "as-of", mRevision } } };
    }
    constexpr auto kPoll = std::chrono::milliseconds(20);
    mChanged.wait_for(lock, kPoll);
  }
}

std::pair<int, json>
store::Apply(const json& aBody)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  EndLeases();
  std::uint64_t revision = 0;
  const auto state = StateAt(Now(), revision);
  for (const auto& row : aBody.value("expected-rev", json::array())) {
    const auto found = state.find(row.value("key", ""));
    const auto known = found == state.end() ? 0 : found->second.mRevision;
    if (known != row.value("revision", std::uint64_t{ 0 })) {
      return { 412, { { "items", json::array() } } };
    }
  }
  for (const auto& put : aBody.value("puts", json::array())) {
    const auto bound = put.value("lease", std::uint64_t{ 0 });
    if (bound != 0 && mLeases.count(bound) == 0) {
      return { 404, json::object() };
    }
  }
  for (const auto& put : aBody.value("puts", json::array())) {
    Append(put.value("key", ""),
           put.value("value", ""),
           put.value("lease", std::uint64_t{ 0 }));
  }
  for (const auto& key : aBody.value("remove", json::array())) {
    if (state.count(key.get<std::string>()) > 0) {
      Append(key.get<std::string>(), std::nullopt, 0);
    }
  }
  return { 200, { { "revision", mRevision } } };
}

std::pair<int, json>
store::Handle(const message& aCall, std::uint16_t aPort)
{
  const auto space = aCall.mFirstLine.find(' ');
  const auto target =
    aCall.mFirstLine.substr(space + 1, aCall.mFirstLine.rfind(' ') - space - 1);
  const auto path = target.substr(0, target.find('?'));
  const auto query = QueryOf(target);
  const auto body = json::parse(aCall.mBody, nullptr, false);
  if (path == "/-/kv-range") {
    return { 200, Range(query) };
  }
  if (path == "/-/kv-watch") {
    return Watch(query, aPort);
  }
  if (path == "/-/kv-txn") {
    return Apply(body);
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  EndLeases();
  if (path == "/-/kv-lease") {
    const double length = body.value("ttl-s_time", 1.0);
    const auto id = ++mNextLease;
    mLeases[id] = { length, Now() + length };
    return { 200, { { "lease", id }, { "ttl-s_time", length } } };
  }
  constexpr std::string_view kKeep = "/-/kv-keep/";
  if (HasPrefix(path, std::string(kKeep))) {
    const auto found = mLeases.find(
      std::strtoull(path.substr(kKeep.size()).c_str(), nullptr, 10));
    if (found == mLeases.end()) {
      return { 404, json::object() };
    }
    found->second.mEnd = Now() + found->second.mLength;
    return { 200, { { "ttl-s_time", found->second.mLength } } };
  }
  return { 404, json::object() };
}

void
store::Serve(connection& aConnection, std::uint16_t aPort)
{
  while (auto call = aConnection.Read(0)) {
    while (IsSilent(aPort)) {
      // It was not read by the store: nothing is done and nothing answered.
      SleepFor(0.02);
      if (!IsSilent(aPort)) {
        return;
      }
    }
    SleepFor(kAnswerTime);
    const auto answer = Handle(*call, aPort);
    if (IsSilent(aPort)) {
      // "A connection on which a response is lost returns nothing further."
      while (aConnection.Read(0)) {
      }
      return;
    }
    const auto text = answer.second.dump();
    const auto head =
      RenderHead("HTTP/1.1 " + std::to_string(answer.first) + " -",
                 { { "Content-Type", "application/json" },
                   { "Content-Length", std::to_string(text.size()) } });
    if (!aConnection.Write(head + text)) {
      return;
    }
  }
}

} // namespace review
