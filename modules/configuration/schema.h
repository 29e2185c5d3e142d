#pragma once

#include "modules/configuration/text_form.h"

#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

enum class value_kind
{
  Text,
  Integer,
  Number,
  Boolean,
  TextList,
  IntegerList,
};

/// What one key of a file admits. docs/configuration.md repeats these tables
/// and a test compares them.
struct key_schema
{
  std::string_view mTable; ///< Empty for keys outside of any table.
  std::string_view mKey;
  value_kind mKind = value_kind::Text;
  std::string_view mUnit; ///< "-" when there is none.
  /// The value when the key is absent, or "required", or a description in
  /// words when it depends on other keys.
  std::string_view mDefault;
  /// Smallest and largest value of numbers, length of texts in characters,
  /// number of entries of lists.
  double mLeast = 0;
  double mMost = 0;
  text_form mForm = text_form::Identifier;

  bool IsRequired() const { return mDefault == "required"; }
};

using file_schema = std::vector<key_schema>;

/// Keys of service files.
const file_schema&
ServiceFileSchema();

/// Keys of the daemon's settings file.
const file_schema&
SettingsSchema();

std::string_view
NameOf(value_kind aKind);

/// What the key admits, in words, such as "1 to 1000".
std::string
DescribeAllowed(const key_schema& aKey);

/// The entry of a key. Null when the table has no such key.
const key_schema*
FindKey(const file_schema& aSchema,
        std::string_view aTable,
        std::string_view aKey);

} // namespace cowslipline
