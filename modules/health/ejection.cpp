#include "modules/health/ejection.h"

#include "core/cbor.h"
#include "core/check.h"
#include <algorithm>

#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

using nlohmann::json;

constexpr double kSeverityUnit = 1000;
constexpr double kScoreUnit = 100;

json
ToJson(const ejection& aEjection)
{
  const auto& evidence = aEjection.mEvidence;
  return json::array(
    { aEjection.mService,
      aEjection.mTarget,
      aEjection.mSequence,
      static_cast<int>(aEjection.mReason),
      aEjection.mScope.mZones,
      aEjection.mScope.mInstance,
      evidence.mRequests,
      evidence.mFailures,
      evidence.mInstances,
      static_cast<std::int64_t>(evidence.mScore * kScoreUnit),
      static_cast<std::int64_t>(aEjection.mSeverity * kSeverityUnit),
      aEjection.mTimeLeft.count() });
}

ejection
FromJson(const json& aValue)
{
  ejection read;
  read.mService = aValue.at(0).get<std::uint32_t>();
  read.mTarget = aValue.at(1).get<std::uint32_t>();
  read.mSequence = aValue.at(2).get<std::uint64_t>();
  read.mReason = static_cast<ejection_reason>(std::clamp(
    aValue.at(3).get<int>(), 0, static_cast<int>(ejection_reason::Slow)));
  read.mScope.mZones = aValue.at(4).get<std::vector<std::string>>();
  read.mScope.mInstance = aValue.at(5).get<std::string>();
  read.mEvidence.mRequests = aValue.at(6).get<std::uint64_t>();
  read.mEvidence.mFailures = aValue.at(7).get<std::uint64_t>();
  read.mEvidence.mInstances = aValue.at(8).get<std::uint32_t>();
  read.mEvidence.mScore =
    static_cast<double>(aValue.at(9).get<std::int64_t>()) / kScoreUnit;
  read.mSeverity =
    static_cast<double>(aValue.at(10).get<std::int64_t>()) / kSeverityUnit;
  read.mTimeLeft = std::chrono::milliseconds(aValue.at(11).get<std::int64_t>());
  return read;
}

} // namespace

std::string_view
NameOf(ejection_reason aReason)
{
  switch (aReason) {
    case ejection_reason::Errors:
      return "errors";
    case ejection_reason::ConnectFailures:
      return "connect_failures";
    case ejection_reason::Slow:
      return "slow";
  }
  return "unknown";
}

bool
ejection_scope::Includes(const instance_name& aInstance,
                         std::string_view aZone) const
{
  if (!mInstance.empty()) {
    return mInstance == aInstance;
  }
  return mZones.empty() ||
         std::find(mZones.begin(), mZones.end(), aZone) != mZones.end();
}

std::string
ejection_scope::Text() const
{
  if (!mInstance.empty()) {
    return "instance " + mInstance;
  }
  if (mZones.empty()) {
    return "fleet";
  }
  std::string text = "zones";
  for (const auto& zone : mZones) {
    text += " " + zone;
  }
  return text;
}

std::uint32_t
DigestOf(const std::vector<ejection>& aEjections)
{
  std::uint32_t digest = 0;
  for (const auto& one : aEjections) {
    digest ^= NameHash(std::to_string(one.mTarget) + "/" +
                       std::to_string(one.mSequence));
  }
  return digest;
}

std::string
EncodeEjections(const std::vector<ejection>& aEjections)
{
  json values = json::array();
  for (const auto& one : aEjections) {
    values.push_back(ToJson(one));
  }
  std::string payload;
  json::to_cbor(values, payload);
  return payload;
}

result<std::vector<ejection>>
DecodeEjections(std::string_view aPayload)
{
  try {
    std::vector<ejection> ejections;
    const auto values = DecodeCbor(aPayload);
    COWSLIPLINE_PROPAGATE(values);
    for (const auto& value : *values) {
      ejections.push_back(FromJson(value));
    }
    return ejections;
  } catch (const std::exception&) {
    return Fail(errc::MessageMalformed);
  }
}

} // namespace cowslipline
