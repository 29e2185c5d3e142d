#pragma once

#include "core/hash.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace cowslipline {

/// Reads the fields of a CBOR array in order. After the first field that is
/// missing or has another type, all further fields read as empty.
class field_reader
{
public:
  explicit field_reader(const nlohmann::json& aArray);

  std::string Text();
  std::uint64_t Unsigned(std::uint64_t aMost);
  double Number();
  bool Boolean();
  digest32 Digest();
  std::string Bytes();
  /// The items of a nested array.
  const std::vector<nlohmann::json>& Items();

  /// True when every field had its type and none is left.
  bool IsComplete() const { return mIsValid && mNext == mFields->size(); }

private:
  /// The next field. Null when there is none or a previous one was invalid.
  const nlohmann::json* Next();
  const nlohmann::json* Check(const nlohmann::json* aField, bool aIsValid);

  const std::vector<nlohmann::json>* mFields;
  std::size_t mNext = 0;
  bool mIsValid = true;
};

} // namespace cowslipline
