#include "modules/configuration/table_reader.h"

#include "core/check.h"

#include <algorithm>
#include <cstdlib>

namespace cowslipline {

namespace {

constexpr std::int64_t kLeastStatus = 100;
constexpr std::int64_t kMostStatus = 599;

bool
IsWithin(double aValue, const key_schema& aKey)
{
  return aValue >= aKey.mLeast && aValue <= aKey.mMost;
}

std::string
Quote(std::string_view aText)
{
  // A pasted file must not fill the terminal.
  constexpr std::size_t kLongest = 60;
  const bool isLong = aText.size() > kLongest;
  return "\"" + std::string(aText.substr(0, kLongest)) + (isLong ? "..." : "") +
         "\"";
}

std::string
FindTextProblem(const key_schema& aKey, const std::string& aText)
{
  // The text of a secret must not appear in a message.
  const auto shown =
    aKey.mForm == text_form::Secret ? "the value" : Quote(aText);
  if (!IsWithin(static_cast<double>(aText.size()), aKey)) {
    return shown + " has " + std::to_string(aText.size()) + " characters";
  }
  if (!HasForm(aText, aKey.mForm)) {
    return shown + " is not valid";
  }
  return {};
}

std::string
WrongKind(const key_schema& aKey)
{
  return "the value is not " +
         std::string(aKey.mKind == value_kind::Integer ? "an " : "a ") +
         std::string(NameOf(aKey.mKind));
}

std::string
FindNumberProblem(const key_schema& aKey, const toml::node& aNode)
{
  const bool isIntegerNeeded = aKey.mKind == value_kind::Integer;
  if (!(isIntegerNeeded ? aNode.is_integer() : aNode.is_number())) {
    return WrongKind(aKey);
  }
  const auto value = aNode.value<double>().value_or(0);
  if (!IsWithin(value, aKey)) {
    return aNode.is_integer()
             ? std::to_string(aNode.value<std::int64_t>().value_or(0)) +
                 " is out of range"
             : std::to_string(value) + " is out of range";
  }
  return {};
}

std::string
FindEntryProblem(const key_schema& aKey, const toml::node& aEntry)
{
  if (aKey.mKind == value_kind::TextList) {
    const auto text = aEntry.value_exact<std::string>();
    if (!text) {
      return "an entry is not a text";
    }
    return HasForm(*text, aKey.mForm) ? "" : Quote(*text) + " is not valid";
  }
  const auto number = aEntry.value_exact<std::int64_t>();
  if (!number) {
    return "an entry is not an integer";
  }
  const bool isStatus = *number >= kLeastStatus && *number <= kMostStatus;
  return isStatus ? "" : std::to_string(*number) + " is out of range";
}

std::string
FindListProblem(const key_schema& aKey, const toml::node& aNode)
{
  const auto* list = aNode.as_array();
  if (list == nullptr) {
    return WrongKind(aKey);
  }
  if (!IsWithin(static_cast<double>(list->size()), aKey)) {
    return "the list has " + std::to_string(list->size()) + " entries";
  }
  for (const auto& entry : *list) {
    auto problem = FindEntryProblem(aKey, entry);
    if (!problem.empty()) {
      return problem;
    }
  }
  return {};
}

} // namespace

std::optional<toml::table>
ParseToml(const text_file& aFile, diagnostics& aDiagnostics)
{
  auto table = ParseTomlText(aFile.mText, aFile.mName);
  if (!table) {
    aDiagnostics.push_back({ aFile.mName,
                             table.error().mLine,
                             "",
                             table.error().mMessage,
                             "the file must be valid TOML" });
    return std::nullopt;
  }
  return std::move(*table);
}

table_reader::table_reader(const toml::table& aTable,
                           std::string_view aTableName,
                           const file_schema& aSchema,
                           std::string_view aFile,
                           diagnostics& aDiagnostics)
  : mTable(aTable)
  , mTableName(aTableName)
  , mSchema(aSchema)
  , mFile(aFile)
  , mDiagnostics(aDiagnostics)
{
  CheckUnknown();
  for (const auto& key : mSchema) {
    if (key.mTable == mTableName) {
      CheckKey(key);
    }
  }
}

void
table_reader::CheckUnknown()
{
  for (const auto& [key, node] : mTable) {
    const auto name = key.str();
    const auto isTable = [&](const key_schema& aEntry) {
      return mTableName.empty() && aEntry.mTable == name;
    };
    if (FindKey(mSchema, mTableName, name) != nullptr ||
        std::any_of(mSchema.begin(), mSchema.end(), isTable)) {
      continue;
    }
    mDiagnostics.push_back(
      { std::string(mFile),
        key.source().begin.line,
        (mTableName.empty() ? "" : std::string(mTableName) + ".") +
          std::string(name),
        "unknown key",
        "allowed: " + AllowedKeys() });
  }
}

void
table_reader::CheckKey(const key_schema& aKey)
{
  const auto* node = mTable.get(aKey.mKey);
  if (node == nullptr) {
    if (aKey.IsRequired()) {
      Report(aKey.mKey, "missing", "allowed: " + DescribeAllowed(aKey));
    }
    return;
  }
  auto problem = FindProblem(aKey, *node);
  if (!problem.empty()) {
    Report(aKey.mKey, std::move(problem), "allowed: " + DescribeAllowed(aKey));
    mInvalid.push_back(aKey.mKey);
  }
}

std::string
table_reader::FindProblem(const key_schema& aKey, const toml::node& aNode) const
{
  switch (aKey.mKind) {
    case value_kind::Text: {
      const auto text = aNode.value_exact<std::string>();
      return text ? FindTextProblem(aKey, *text) : WrongKind(aKey);
    }
    case value_kind::Integer:
    case value_kind::Number:
      return FindNumberProblem(aKey, aNode);
    case value_kind::Boolean:
      return aNode.is_boolean() ? "" : WrongKind(aKey);
    case value_kind::TextList:
    case value_kind::IntegerList:
      return FindListProblem(aKey, aNode);
  }
  return {};
}

std::string
table_reader::AllowedKeys() const
{
  std::string text;
  for (const auto& key : mSchema) {
    if (key.mTable == mTableName) {
      text += (text.empty() ? "" : ", ") + std::string(key.mKey);
    }
  }
  return text;
}

const key_schema&
table_reader::SchemaOf(std::string_view aKey) const
{
  const auto* key = FindKey(mSchema, mTableName, aKey);
  COWSLIPLINE_INVARIANT(key != nullptr, "key without a schema");
  return *key;
}

bool
table_reader::Has(std::string_view aKey) const
{
  return mTable.contains(aKey) &&
         std::find(mInvalid.begin(), mInvalid.end(), aKey) == mInvalid.end();
}

std::string
table_reader::Text(std::string_view aKey) const
{
  const auto& schema = SchemaOf(aKey);
  if (Has(aKey)) {
    return mTable.get(aKey)->value<std::string>().value_or("");
  }
  return schema.IsRequired() ? "" : std::string(schema.mDefault);
}

std::int64_t
table_reader::Integer(std::string_view aKey) const
{
  if (Has(aKey)) {
    return mTable.get(aKey)->value<std::int64_t>().value_or(0);
  }
  return std::strtoll(
    std::string(SchemaOf(aKey).mDefault).c_str(), nullptr, 10);
}

double
table_reader::Number(std::string_view aKey) const
{
  if (Has(aKey)) {
    return mTable.get(aKey)->value<double>().value_or(0);
  }
  return std::strtod(std::string(SchemaOf(aKey).mDefault).c_str(), nullptr);
}

bool
table_reader::Boolean(std::string_view aKey, bool aFallback) const
{
  return Has(aKey) ? mTable.get(aKey)->value<bool>().value_or(aFallback)
                   : aFallback;
}

std::vector<std::string>
table_reader::TextList(std::string_view aKey) const
{
  std::vector<std::string> texts;
  if (Has(aKey)) {
    for (const auto& entry : *mTable.get(aKey)->as_array()) {
      texts.push_back(entry.value<std::string>().value_or(""));
    }
  }
  return texts;
}

std::vector<std::int64_t>
table_reader::IntegerList(std::string_view aKey) const
{
  std::vector<std::int64_t> numbers;
  if (Has(aKey)) {
    for (const auto& entry : *mTable.get(aKey)->as_array()) {
      numbers.push_back(entry.value<std::int64_t>().value_or(0));
    }
  }
  return numbers;
}

std::size_t
table_reader::LineOf(std::string_view aKey) const
{
  const auto* node = mTable.get(aKey);
  const auto line =
    node == nullptr ? mTable.source().begin.line : node->source().begin.line;
  return line == 0 ? 1 : line;
}

void
table_reader::Report(std::string_view aKey,
                     std::string aProblem,
                     std::string aHint)
{
  const auto prefix =
    mTableName.empty() ? std::string() : std::string(mTableName) + ".";
  mDiagnostics.push_back({ std::string(mFile),
                           LineOf(aKey),
                           prefix + std::string(aKey),
                           std::move(aProblem),
                           std::move(aHint) });
}

} // namespace cowslipline
