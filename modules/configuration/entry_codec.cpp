#include "modules/configuration/entry_codec.h"

#include "core/cbor.h"
#include "modules/configuration/field_reader.h"

#include <cmath>

namespace cowslipline {

namespace {

using nlohmann::json;

constexpr std::uint64_t kLargestStatus = 599;
constexpr std::uint64_t kLargestDeadline = 3'600'000;
constexpr double kSmallestBurst = 2;

enum class check_kind : std::uint8_t
{
  Status,
  Digest,
  Field,
};

struct check_encoder
{
  json operator()(const status_check& aCheck) const
  {
    return json::array({ check_kind::Status, aCheck.mAllowed });
  }
  json operator()(const digest_check& aCheck) const
  {
    return json::array({ check_kind::Digest, aCheck.mHeader });
  }
  json operator()(const field_check& aCheck) const
  {
    return json::array({ check_kind::Field, aCheck.mField });
  }
};

json
EncodeChecks(const std::vector<answer_check>& aChecks)
{
  auto encoded = json::array();
  for (const auto& check : aChecks) {
    encoded.push_back(std::visit(check_encoder{}, check));
  }
  return encoded;
}

json
EncodeTarget(const target& aTarget)
{
  return json::array({ aTarget.mId,
                       aTarget.mHost,
                       aTarget.mPort,
                       aTarget.mAvailabilityZone,
                       aTarget.mIsDraining });
}

json
EncodeRoute(const route_definition& aDefinition)
{
  const auto& value = aDefinition.mRoute;
  return json::array({ value.mId,
                       value.mMethod,
                       value.mPathPrefix,
                       value.mIsOpen,
                       aDefinition.mOrganisationNames,
                       value.mIsIdempotent,
                       static_cast<std::uint64_t>(value.mDeadline.count()),
                       static_cast<std::uint64_t>(value.mRequestBytesLimit),
                       static_cast<std::uint64_t>(value.mAnswerBytesLimit),
                       value.mCancelOnDisconnect,
                       EncodeChecks(value.mAnswerChecks) });
}

/// False when the entry is not a check.
bool
DecodeCheck(const json& aEntry, std::vector<answer_check>& aChecks)
{
  field_reader reader(aEntry);
  const auto kind = reader.Unsigned(static_cast<unsigned>(check_kind::Field));
  switch (static_cast<check_kind>(kind)) {
    case check_kind::Status: {
      status_check check;
      for (const auto& status : reader.Items()) {
        if (!status.is_number_unsigned() ||
            status.get<std::uint64_t>() > kLargestStatus) {
          return false;
        }
        check.mAllowed.push_back(status.get<int>());
      }
      aChecks.emplace_back(std::move(check));
      break;
    }
    case check_kind::Digest:
      aChecks.emplace_back(digest_check{ reader.Text() });
      break;
    case check_kind::Field:
      aChecks.emplace_back(field_check{ reader.Text() });
      break;
  }
  return reader.IsComplete();
}

bool
DecodeTarget(const json& aEntry, std::vector<target>& aTargets)
{
  field_reader reader(aEntry);
  target value;
  value.mId = reader.Text();
  value.mHost = reader.Text();
  value.mPort = static_cast<std::uint16_t>(reader.Unsigned(UINT16_MAX));
  value.mAvailabilityZone = reader.Text();
  value.mIsDraining = reader.Boolean();
  aTargets.push_back(std::move(value));
  return reader.IsComplete();
}

bool
DecodeRoute(const json& aEntry, std::vector<route_definition>& aRoutes)
{
  field_reader reader(aEntry);
  route_definition definition;
  auto& value = definition.mRoute;
  value.mId = reader.Text();
  value.mMethod = reader.Text();
  value.mPathPrefix = reader.Text();
  value.mIsOpen = reader.Boolean();
  for (const auto& name : reader.Items()) {
    if (!name.is_string()) {
      return false;
    }
    definition.mOrganisationNames.push_back(name.get<std::string>());
  }
  value.mIsIdempotent = reader.Boolean();
  value.mDeadline =
    std::chrono::milliseconds(reader.Unsigned(kLargestDeadline));
  value.mRequestBytesLimit = reader.Unsigned(UINT32_MAX);
  value.mAnswerBytesLimit = reader.Unsigned(UINT32_MAX);
  value.mCancelOnDisconnect = reader.Boolean();
  for (const auto& check : reader.Items()) {
    if (!DecodeCheck(check, value.mAnswerChecks)) {
      return false;
    }
  }
  aRoutes.push_back(std::move(definition));
  return reader.IsComplete();
}

template<typename T>
bool
DecodeAll(const std::vector<json>& aEntries,
          std::vector<T>& aValues,
          bool (*aDecode)(const json&, std::vector<T>&))
{
  aValues.reserve(aEntries.size());
  for (const auto& entry : aEntries) {
    if (!aDecode(entry, aValues)) {
      return false;
    }
  }
  return true;
}

} // namespace

json
EncodeOrganisation(const organisation& aValue)
{
  return json::array({ aValue.mName, aValue.mRate, aValue.mBurst });
}

json
EncodeService(const service_definition& aValue)
{
  const auto& value = aValue.mService;
  auto targets = json::array();
  for (const auto& entry : value.mTargets) {
    targets.push_back(EncodeTarget(entry));
  }
  auto routes = json::array();
  for (const auto& entry : aValue.mRoutes) {
    routes.push_back(EncodeRoute(entry));
  }
  return json::array({ value.mName,
                       value.mFloor,
                       value.mSlotsPerTarget,
                       value.mConnectionsPerTarget,
                       std::move(targets),
                       std::move(routes) });
}

json
EncodeKey(const key_definition& aValue)
{
  return json::array(
    { aValue.mId,
      aValue.mOrganisationName,
      json::binary({ aValue.mDigest.begin(), aValue.mDigest.end() }),
      aValue.mIsWithdrawn });
}

std::optional<organisation>
DecodeOrganisation(const json& aEntry)
{
  field_reader reader(aEntry);
  organisation value;
  value.mName = reader.Text();
  value.mRate = reader.Number();
  value.mBurst = reader.Number();
  if (!reader.IsComplete() || !std::isfinite(value.mRate) ||
      !std::isfinite(value.mBurst) || value.mRate <= 0 ||
      value.mBurst < kSmallestBurst) {
    return std::nullopt;
  }
  return value;
}

std::optional<service_definition>
DecodeService(const json& aEntry)
{
  field_reader reader(aEntry);
  service_definition definition;
  auto& value = definition.mService;
  value.mName = reader.Text();
  value.mFloor = static_cast<std::uint32_t>(reader.Unsigned(UINT32_MAX));
  value.mSlotsPerTarget =
    static_cast<std::uint32_t>(reader.Unsigned(UINT32_MAX));
  value.mConnectionsPerTarget =
    static_cast<std::uint32_t>(reader.Unsigned(UINT32_MAX));
  const bool isDecoded =
    DecodeAll(reader.Items(), value.mTargets, DecodeTarget) &&
    DecodeAll(reader.Items(), definition.mRoutes, DecodeRoute);
  if (!isDecoded || !reader.IsComplete() ||
      value.mFloor > value.mTargets.size() || value.mSlotsPerTarget == 0 ||
      value.mConnectionsPerTarget == 0) {
    return std::nullopt;
  }
  return definition;
}

std::optional<key_definition>
DecodeKey(const json& aEntry)
{
  field_reader reader(aEntry);
  key_definition value;
  value.mId = reader.Text();
  value.mOrganisationName = reader.Text();
  value.mDigest = reader.Digest();
  value.mIsWithdrawn = reader.Boolean();
  if (!reader.IsComplete()) {
    return std::nullopt;
  }
  return value;
}

} // namespace cowslipline
