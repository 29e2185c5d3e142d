#pragma once

#include "core/toml.h"
#include "modules/configuration/diagnostic.h"
#include "modules/configuration/schema.h"

#include <optional>

namespace cowslipline {

/// Parses TOML text. A syntax error becomes one diagnostic, because the
/// parser stops at the first.
std::optional<toml::table>
ParseToml(const text_file& aFile, diagnostics& aDiagnostics);

/// Reads one table of a file by its schema. The constructor reports every
/// unknown, missing and invalid key; the getters return the default in place
/// of an invalid value.
class table_reader
{
public:
  /// The table, file name and diagnostics must outlive the reader.
  table_reader(const toml::table& aTable,
               std::string_view aTableName,
               const file_schema& aSchema,
               std::string_view aFile,
               diagnostics& aDiagnostics);

  /// True when the key is present and valid.
  bool Has(std::string_view aKey) const;
  std::string Text(std::string_view aKey) const;
  std::int64_t Integer(std::string_view aKey) const;
  double Number(std::string_view aKey) const;
  /// The fallback replaces a default that depends on other keys.
  bool Boolean(std::string_view aKey, bool aFallback) const;
  std::vector<std::string> TextList(std::string_view aKey) const;
  std::vector<std::int64_t> IntegerList(std::string_view aKey) const;

  /// Line of the key, or of the table when the key is absent.
  std::size_t LineOf(std::string_view aKey) const;

  void Report(std::string_view aKey, std::string aProblem, std::string aHint);

private:
  void CheckUnknown();
  void CheckKey(const key_schema& aKey);
  /// The problem with a value, or empty.
  std::string FindProblem(const key_schema& aKey,
                          const toml::node& aNode) const;
  std::string AllowedKeys() const;
  const key_schema& SchemaOf(std::string_view aKey) const;

  const toml::table& mTable;
  std::string_view mTableName;
  const file_schema& mSchema;
  std::string_view mFile;
  diagnostics& mDiagnostics;
  std::vector<std::string_view> mInvalid;
};

} // namespace cowslipline
