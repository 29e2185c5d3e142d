#include "modules/configuration/schema.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr double kNameLength = 64;
// The page sets the largest body to 64 MiB; larger ones would exhaust an
// instance's budget of 256 MiB with a handful of requests.
constexpr double kLargestBody = 64.0 * 1024 * 1024;
constexpr double kLargestRate = 1'000'000;

constexpr auto kText = value_kind::Text;
constexpr auto kInteger = value_kind::Integer;
constexpr auto kNumber = value_kind::Number;
constexpr auto kBoolean = value_kind::Boolean;
constexpr auto kTextList = value_kind::TextList;
constexpr auto kIntegerList = value_kind::IntegerList;

file_schema
MakeServiceFileSchema()
{
  using form = text_form;
  return {
    { "service", "name", kText, "-", "required", 1, kNameLength, form::Name },
    { "service", "floor", kInteger, "targets", "1", 1, 1000 },
    { "service", "slots", kInteger, "requests", "6", 1, 10'000 },
    { "service", "connections", kInteger, "connections", "350", 1, 65'535 },

    { "target",
      "address",
      kText,
      "-",
      "required",
      3,
      kNameLength,
      form::Endpoint },
    { "target",
      "id",
      kText,
      "-",
      "the address",
      1,
      kNameLength,
      form::Identifier },
    { "target",
      "zone",
      kText,
      "-",
      "unknown",
      1,
      kNameLength,
      form::Identifier },
    { "target", "draining", kBoolean, "-", "false" },

    { "route", "id", kText, "-", "required", 1, kNameLength, form::Identifier },
    { "route", "method", kText, "-", "GET", 3, 6, form::Method },
    { "route", "path", kText, "-", "required", 1, 256, form::Path },
    { "route", "open", kBoolean, "-", "false" },
    { "route",
      "organisations",
      kTextList,
      "-",
      "all organisations",
      1,
      1000,
      form::Name },
    { "route",
      "idempotent",
      kBoolean,
      "-",
      "true for GET and HEAD, otherwise false" },
    { "route", "deadline_ms", kInteger, "milliseconds", "2000", 10, 60'000 },
    { "route", "request_bytes", kInteger, "bytes", "1048576", 0, kLargestBody },
    { "route", "answer_bytes", kInteger, "bytes", "1048576", 1, kLargestBody },
    { "route",
      "cancel_on_disconnect",
      kBoolean,
      "-",
      "the value of idempotent" },
    { "route",
      "answer_status",
      kIntegerList,
      "HTTP status",
      "no check",
      1,
      20 },
    { "route",
      "answer_digest_header",
      kText,
      "-",
      "no check",
      1,
      kNameLength,
      form::HeaderName },
    { "route",
      "answer_json_field",
      kText,
      "-",
      "no check",
      1,
      kNameLength,
      form::FieldName },

    { "organisation",
      "name",
      kText,
      "-",
      "required",
      1,
      kNameLength,
      form::Name },
    { "organisation",
      "rate",
      kNumber,
      "requests/s",
      "required",
      0.001,
      kLargestRate },
    { "organisation", "burst", kNumber, "requests", "2", 2, kLargestRate },

    { "key", "id", kText, "-", "required", 1, 40, form::Name },
    { "key",
      "organisation",
      kText,
      "-",
      "required",
      1,
      kNameLength,
      form::Name },
    { "key", "digest", kText, "-", "required", 64, 64, form::Digest },
    { "key", "withdrawn", kBoolean, "-", "false" },
  };
}

file_schema
MakeSettingsSchema()
{
  using form = text_form;
  return {
    { "", "instance", kText, "-", "required", 1, kNameLength, form::Name },
    { "",
      "availability_zone",
      kText,
      "-",
      "required",
      1,
      kNameLength,
      form::Identifier },
    { "", "region", kText, "-", "required", 1, kNameLength, form::Identifier },
    { "", "fleet_secret", kText, "-", "required", 16, 256, form::Secret },
    { "", "log_level", kText, "-", "info", 4, 5, form::LogLevel },
    { "", "drain_seconds", kInteger, "seconds", "30", 1, 30 },

    { "callers",
      "address",
      kText,
      "-",
      "0.0.0.0",
      2,
      kNameLength,
      form::Address },
    { "callers", "port", kInteger, "-", "8080", 0, 65'535 },

    { "peers",
      "address",
      kText,
      "-",
      "required",
      2,
      kNameLength,
      form::PeerAddress },
    { "peers", "port", kInteger, "-", "8081", 0, 65'535 },

    { "admin",
      "address",
      kText,
      "-",
      "127.0.0.1",
      2,
      kNameLength,
      form::Address },
    { "admin", "port", kInteger, "-", "8082", 0, 65'535 },

    { "store", "host", kText, "-", "required", 1, 253, form::Host },
    { "store", "port", kInteger, "-", "required", 1, 65'535 },

    { "bounds", "threads", kInteger, "threads", "128", 1, 1024 },
    { "bounds",
      "accepted_connections",
      kInteger,
      "connections",
      "64",
      1,
      4096 },
    { "bounds", "waiting_requests", kInteger, "requests", "64", 1, 4096 },
    { "bounds",
      "buffered_bytes",
      kInteger,
      "bytes",
      "268435456",
      1'048'576,
      4'294'967'296 },
  };
}

std::string
FormatNumber(double aValue)
{
  auto text = std::to_string(aValue);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text;
}

std::string
Range(const key_schema& aKey)
{
  if (aKey.mLeast == aKey.mMost) {
    return FormatNumber(aKey.mLeast);
  }
  return FormatNumber(aKey.mLeast) + " to " + FormatNumber(aKey.mMost);
}

} // namespace

const file_schema&
ServiceFileSchema()
{
  static const auto schema = MakeServiceFileSchema();
  return schema;
}

const file_schema&
SettingsSchema()
{
  static const auto schema = MakeSettingsSchema();
  return schema;
}

std::string_view
NameOf(value_kind aKind)
{
  switch (aKind) {
    case value_kind::Text:
      return "text";
    case value_kind::Integer:
      return "integer";
    case value_kind::Number:
      return "number";
    case value_kind::Boolean:
      return "boolean";
    case value_kind::TextList:
      return "list of texts";
    case value_kind::IntegerList:
      return "list of integers";
  }
  return "";
}

std::string
DescribeAllowed(const key_schema& aKey)
{
  switch (aKey.mKind) {
    case value_kind::Text:
      if (aKey.mForm == text_form::Method ||
          aKey.mForm == text_form::LogLevel ||
          aKey.mForm == text_form::Digest) {
        return std::string(DescribeForm(aKey.mForm));
      }
      return Range(aKey) +
             " characters: " + std::string(DescribeForm(aKey.mForm));
    case value_kind::Boolean:
      return "true or false";
    case value_kind::Integer:
    case value_kind::Number:
      return Range(aKey);
    case value_kind::TextList:
      return Range(aKey) + " entries: " + std::string(DescribeForm(aKey.mForm));
    case value_kind::IntegerList:
      return Range(aKey) + " entries from 100 to 599";
  }
  return "";
}

const key_schema*
FindKey(const file_schema& aSchema,
        std::string_view aTable,
        std::string_view aKey)
{
  const auto found =
    std::find_if(aSchema.begin(), aSchema.end(), [&](const auto& aEntry) {
      return aEntry.mTable == aTable && aEntry.mKey == aKey;
    });
  return found == aSchema.end() ? nullptr : &*found;
}

} // namespace cowslipline
