#include "modules/health/request_quarantine.h"

#include "core/cbor.h"
#include "core/log.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

using nlohmann::json;

/// Time for which crashes count, and length of a quarantine.
constexpr duration kQuarantineTime = std::chrono::minutes(10);
constexpr std::size_t kCrashedTargetsToQuarantine = 2;
constexpr std::size_t kMaxEntries = 4096;
constexpr std::string_view kCrashService = "health.crash";
constexpr std::string_view kQuarantineService = "health.quarantine";

json
ToJson(const digest16& aFingerprint)
{
  return json::binary(
    std::vector<std::uint8_t>(aFingerprint.begin(), aFingerprint.end()));
}

result<digest16>
ReadFingerprint(const json& aValue)
{
  digest16 fingerprint{};
  if (!aValue.is_binary() || aValue.get_binary().size() != fingerprint.size()) {
    return Fail(errc::MessageMalformed);
  }
  const auto& bytes = aValue.get_binary();
  std::copy(bytes.begin(), bytes.end(), fingerprint.begin());
  return fingerprint;
}

std::string
Encode(const json& aValue)
{
  std::string payload;
  json::to_cbor(aValue, payload);
  return payload;
}

} // namespace

request_quarantine::request_quarantine(std::shared_ptr<scheduler> aScheduler,
                                       std::shared_ptr<peer_channel> aChannel,
                                       std::shared_ptr<membership> aMembership,
                                       std::shared_ptr<metrics> aMetrics)
  : mScheduler(std::move(aScheduler))
  , mChannel(std::move(aChannel))
  , mMembership(std::move(aMembership))
  , mMetrics(std::move(aMetrics))
{
}

void
request_quarantine::Start()
{
  mChannel->Handle(std::string(kCrashService),
                   [this](const instance_name&,
                          std::string_view aPayload,
                          yield_context) -> result<std::string> {
                     HandleCrash(aPayload);
                     return std::string();
                   });
  mChannel->Handle(std::string(kQuarantineService),
                   [this](const instance_name&,
                          std::string_view aPayload,
                          yield_context) -> result<std::string> {
                     HandleQuarantine(aPayload);
                     return std::string();
                   });
}

bool
request_quarantine::IsQuarantined(const digest16& aFingerprint) const
{
  const auto found = mEntries.find(aFingerprint);
  return found != mEntries.end() &&
         mScheduler->Now() < found->second.mQuarantinedUntil;
}

void
request_quarantine::RecordCrash(const digest16& aFingerprint,
                                std::string_view aService,
                                std::string_view aTarget)
{
  mMetrics->Counter("cowslipline_health_request_crashes_total").Add();
  const auto hash =
    static_cast<std::uint32_t>(Hash64(aTarget, NameHash(aService)));
  // Also counted at this instance, so that quarantine works without an owner.
  Add(aFingerprint, hash);
  const auto owner = mMembership->OwnerOf(ShardOf(AsView(aFingerprint)));
  if (owner.empty() || owner == mMembership->Self().mName) {
    return;
  }
  mChannel->Send(
    owner, kCrashService, Encode(json::array({ ToJson(aFingerprint), hash })));
}

void
request_quarantine::HandleCrash(std::string_view aPayload)
{
  const auto value = DecodeCbor(aPayload).value_or(json());
  if (!value.is_array() || value.size() != 2 ||
      !value[1].is_number_unsigned()) {
    return;
  }
  if (const auto fingerprint = ReadFingerprint(value[0])) {
    Add(*fingerprint, value[1].get<std::uint32_t>());
  }
}

void
request_quarantine::Add(const digest16& aFingerprint, std::uint32_t aTarget)
{
  if (mEntries.size() >= kMaxEntries && mEntries.count(aFingerprint) == 0) {
    RemoveOldest();
  }
  const auto now = mScheduler->Now();
  auto& one = mEntries[aFingerprint];
  one.mChanged = now;
  one.mCrashes[aTarget] = now;
  for (auto crash = one.mCrashes.begin(); crash != one.mCrashes.end();) {
    crash = now - crash->second > kQuarantineTime ? one.mCrashes.erase(crash)
                                                  : std::next(crash);
  }
  if (one.mCrashes.size() >= kCrashedTargetsToQuarantine) {
    Quarantine(aFingerprint);
  }
}

void
request_quarantine::Quarantine(const digest16& aFingerprint)
{
  auto& one = mEntries[aFingerprint];
  one.mQuarantinedUntil = mScheduler->Now() + kQuarantineTime;
  Log(log_level::Warn,
      "request_quarantined",
      { { "fingerprint", ToHex(AsView(aFingerprint)) } });
  mMetrics->Counter("cowslipline_health_quarantines_total").Add();
  const auto payload = Encode(json::array({ ToJson(aFingerprint) }));
  for (const auto& peer : mMembership->LiveMembers()) {
    if (peer.mName != mMembership->Self().mName) {
      mChannel->Send(peer.mName, kQuarantineService, payload);
    }
  }
}

void
request_quarantine::HandleQuarantine(std::string_view aPayload)
{
  const auto value = DecodeCbor(aPayload).value_or(json());
  if (!value.is_array() || value.empty()) {
    return;
  }
  const auto fingerprint = ReadFingerprint(value[0]);
  if (!fingerprint) {
    return;
  }
  if (mEntries.size() >= kMaxEntries && mEntries.count(*fingerprint) == 0) {
    RemoveOldest();
  }
  auto& one = mEntries[*fingerprint];
  one.mChanged = mScheduler->Now();
  one.mQuarantinedUntil = one.mChanged + kQuarantineTime;
}

void
request_quarantine::RemoveOldest()
{
  const auto oldest =
    std::min_element(mEntries.begin(),
                     mEntries.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.mChanged < aRight.second.mChanged;
                     });
  mEntries.erase(oldest);
}

} // namespace cowslipline
