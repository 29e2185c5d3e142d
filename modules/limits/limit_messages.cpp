#include "modules/limits/limit_messages.h"

#include "core/cbor.h"
#include <algorithm>

#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

using nlohmann::json;

constexpr int kMessageVersion = 1;

std::string
ToCbor(const json& aValue)
{
  std::string bytes;
  json::to_cbor(aValue, bytes);
  return bytes;
}

/// Runs a decoder on a message of the supported version. The library reports
/// missing fields and wrong types by exceptions.
template<typename T, typename F>
result<T>
Decode(std::string_view aPayload, F aDecoder)
{
  const auto value = DecodeCbor(aPayload).value_or(json());
  if (!value.is_object() || value.value("v", json()) != kMessageVersion) {
    return Fail(errc::MessageMalformed);
  }
  try {
    return aDecoder(value);
  } catch (const json::exception&) {
    return Fail(errc::MessageMalformed);
  }
}

json
ToJson(const std::vector<usage_report>& aReports)
{
  auto list = json::array();
  for (const auto& report : aReports) {
    list.push_back(report.mGrant);
    list.push_back(report.mUsed);
  }
  return list;
}

std::vector<usage_report>
ReportsFrom(const json& aList)
{
  std::vector<usage_report> reports;
  for (std::size_t i = 0; i + 1 < aList.size(); i += 2) {
    reports.push_back(
      { aList[i].get<grant_id>(), aList[i + 1].get<std::uint32_t>() });
  }
  return reports;
}

} // namespace

std::string
Encode(const delegation_message& aMessage)
{
  return ToCbor({ { "v", kMessageVersion },
                  { "k", static_cast<int>(aMessage.mKind) },
                  { "b", aMessage.mBoot },
                  { "q", aMessage.mSequence },
                  { "s", aMessage.mShards },
                  { "u", aMessage.mInUse } });
}

std::string
Encode(const delegation_reply& aReply)
{
  // Usually all shards have the same units and are encoded as one number.
  json value{ { "v", kMessageVersion }, { "n", aReply.mUnits.size() } };
  const auto& units = aReply.mUnits;
  if (std::adjacent_find(units.begin(), units.end(), std::not_equal_to<>()) ==
      units.end()) {
    value["u"] = units.empty() ? 0 : units.front();
  } else {
    value["u"] = units;
  }
  return ToCbor(value);
}

std::string
Encode(const token_request& aRequest)
{
  auto items = json::array();
  for (const auto& item : aRequest.mItems) {
    json entry{ item.mOrganisation, item.mWanted };
    if (!item.mReports.empty()) {
      entry.push_back(ToJson(item.mReports));
    }
    items.push_back(std::move(entry));
  }
  return ToCbor({ { "v", kMessageVersion },
                  { "b", aRequest.mOwnerBoot },
                  { "o", std::move(items) } });
}

std::string
Encode(const token_reply& aReply)
{
  auto items = json::array();
  for (const auto& item : aReply.mItems) {
    if (item.mTokens > 0) {
      items.push_back({ item.mTokens, item.mGrant, item.mBurst });
    } else {
      items.push_back(item.mRetryMilliseconds);
    }
  }
  return ToCbor({ { "v", kMessageVersion },
                  { "b", aReply.mOwnerBoot },
                  { "o", std::move(items) } });
}

result<delegation_message>
DecodeDelegationMessage(std::string_view aPayload)
{
  return Decode<delegation_message>(
    aPayload, [](const json& aValue) -> result<delegation_message> {
      const auto kind = aValue.at("k").get<unsigned>();
      if (kind > static_cast<unsigned>(delegation_kind::Notice)) {
        return Fail(errc::MessageMalformed);
      }
      return delegation_message{ static_cast<delegation_kind>(kind),
                                 aValue.at("b").get<std::uint64_t>(),
                                 aValue.at("q").get<std::uint64_t>(),
                                 aValue.at("s").get<shard_mask>(),
                                 aValue.at("u").get<shard_mask>() };
    });
}

result<delegation_reply>
DecodeDelegationReply(std::string_view aPayload)
{
  return Decode<delegation_reply>(
    aPayload, [](const json& aValue) -> result<delegation_reply> {
      const auto count = aValue.at("n").get<std::size_t>();
      const auto& units = aValue.at("u");
      delegation_reply reply;
      if (units.is_number_unsigned() && count <= 8 * sizeof(shard_mask)) {
        reply.mUnits.assign(count, units.get<unsigned>());
      } else {
        reply.mUnits = units.get<std::vector<unsigned>>();
      }
      return reply;
    });
}

result<token_request>
DecodeTokenRequest(std::string_view aPayload)
{
  return Decode<token_request>(
    aPayload, [](const json& aValue) -> result<token_request> {
      token_request request;
      request.mOwnerBoot = aValue.at("b").get<std::uint64_t>();
      for (const auto& entry : aValue.at("o")) {
        token_request_item item;
        item.mOrganisation = entry.at(0).get<std::string>();
        item.mWanted = entry.at(1).get<std::uint32_t>();
        if (entry.size() > 2) {
          item.mReports = ReportsFrom(entry.at(2));
        }
        request.mItems.push_back(std::move(item));
      }
      return request;
    });
}

result<token_reply>
DecodeTokenReply(std::string_view aPayload)
{
  return Decode<token_reply>(
    aPayload, [](const json& aValue) -> result<token_reply> {
      token_reply reply;
      reply.mOwnerBoot = aValue.at("b").get<std::uint64_t>();
      for (const auto& entry : aValue.at("o")) {
        token_reply_item item;
        if (entry.is_array()) {
          item.mTokens = entry.at(0).get<std::uint32_t>();
          item.mGrant = entry.at(1).get<grant_id>();
          item.mBurst = entry.at(2).get<double>();
        } else {
          item.mRetryMilliseconds = entry.get<std::uint32_t>();
        }
        reply.mItems.push_back(item);
      }
      return reply;
    });
}

} // namespace cowslipline
