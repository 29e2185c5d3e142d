#include "modules/configuration/field_reader.h"

#include <algorithm>

namespace cowslipline {

namespace {

const std::vector<nlohmann::json> kNoItems;

} // namespace

field_reader::field_reader(const nlohmann::json& aArray)
  : mFields(&kNoItems)
  , mIsValid(aArray.is_array())
{
  if (mIsValid) {
    mFields = &aArray.get_ref<const std::vector<nlohmann::json>&>();
  }
}

const nlohmann::json*
field_reader::Next()
{
  if (!mIsValid || mNext == mFields->size()) {
    mIsValid = false;
    return nullptr;
  }
  return &(*mFields)[mNext++];
}

const nlohmann::json*
field_reader::Check(const nlohmann::json* aField, bool aIsValid)
{
  mIsValid = mIsValid && aIsValid;
  return mIsValid ? aField : nullptr;
}

std::string
field_reader::Text()
{
  const auto* field = Next();
  field = Check(field, field != nullptr && field->is_string());
  return field == nullptr ? std::string() : field->get<std::string>();
}

std::uint64_t
field_reader::Unsigned(std::uint64_t aMost)
{
  const auto* field = Next();
  field = Check(field,
                field != nullptr && field->is_number_unsigned() &&
                  field->get<std::uint64_t>() <= aMost);
  return field == nullptr ? 0 : field->get<std::uint64_t>();
}

double
field_reader::Number()
{
  const auto* field = Next();
  field = Check(field, field != nullptr && field->is_number());
  return field == nullptr ? 0 : field->get<double>();
}

bool
field_reader::Boolean()
{
  const auto* field = Next();
  field = Check(field, field != nullptr && field->is_boolean());
  return field != nullptr && field->get<bool>();
}

std::string
field_reader::Bytes()
{
  const auto* field = Next();
  field = Check(field, field != nullptr && field->is_binary());
  if (field == nullptr) {
    return {};
  }
  const auto& binary = field->get_binary();
  return { binary.begin(), binary.end() };
}

digest32
field_reader::Digest()
{
  const auto bytes = Bytes();
  digest32 digest{};
  if (bytes.size() != digest.size()) {
    mIsValid = false;
    return digest;
  }
  std::copy(bytes.begin(), bytes.end(), digest.begin());
  return digest;
}

const std::vector<nlohmann::json>&
field_reader::Items()
{
  const auto* field = Next();
  field = Check(field, field != nullptr && field->is_array());
  return field == nullptr
           ? kNoItems
           : field->get_ref<const std::vector<nlohmann::json>&>();
}

} // namespace cowslipline
