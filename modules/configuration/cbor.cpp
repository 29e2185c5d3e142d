#include "modules/configuration/cbor.h"

#include <algorithm>

namespace cowslipline {

namespace {

// The deepest message of this module is head or chunk, entries, entry, list of
// routes, route, list of checks, check, list of statuses.
constexpr std::size_t kDeepestNesting = 12;

const std::vector<nlohmann::json> kNoItems;

/// Walks over the items without building them.
class cbor_scanner
{
public:
  explicit cbor_scanner(std::string_view aBytes)
    : mBytes(aBytes)
  {
  }

  bool IsBounded()
  {
    mOpen.push_back(1);
    while (!mOpen.empty()) {
      if (mOpen.back() == 0) {
        mOpen.pop_back();
        continue;
      }
      --mOpen.back();
      if (!SkipHead()) {
        return false;
      }
    }
    return mPosition == mBytes.size();
  }

private:
  static constexpr unsigned kInfoMask = 31;
  static constexpr unsigned kOneByteInfo = 24;
  static constexpr unsigned kEightByteInfo = 27;
  static constexpr unsigned kMajorShift = 5;

  enum major : unsigned
  {
    Bytes = 2,
    Text = 3,
    Array = 4,
    Map = 5,
    Tag = 6,
  };

  std::size_t Left() const { return mBytes.size() - mPosition; }

  bool ReadArgument(unsigned aInfo, std::uint64_t& aArgument)
  {
    if (aInfo < kOneByteInfo) {
      aArgument = aInfo;
      return true;
    }
    if (aInfo > kEightByteInfo) {
      return false;
    }
    const std::size_t count = std::size_t{ 1 } << (aInfo - kOneByteInfo);
    if (Left() < count) {
      return false;
    }
    aArgument = 0;
    for (std::size_t i = 0; i < count; ++i) {
      aArgument =
        aArgument << 8U | static_cast<std::uint8_t>(mBytes[mPosition++]);
    }
    return true;
  }

  bool SkipHead()
  {
    if (Left() == 0) {
      return false;
    }
    const auto first = static_cast<std::uint8_t>(mBytes[mPosition++]);
    std::uint64_t argument = 0;
    if (!ReadArgument(first & kInfoMask, argument)) {
      return false;
    }
    switch (first >> kMajorShift) {
      case Bytes:
      case Text:
        return SkipBytes(argument);
      case Array:
        return Open(argument, 1);
      case Map:
        return Open(argument, 2);
      case Tag:
        return false;
      default:
        return true;
    }
  }

  bool SkipBytes(std::uint64_t aCount)
  {
    if (aCount > Left()) {
      return false;
    }
    mPosition += aCount;
    return true;
  }

  bool Open(std::uint64_t aCount, std::uint64_t aItemsEach)
  {
    // Each item takes at least one byte.
    if (aCount > Left() || mOpen.size() >= kDeepestNesting) {
      return false;
    }
    mOpen.push_back(aCount * aItemsEach);
    return true;
  }

  std::string_view mBytes;
  std::size_t mPosition = 0;
  /// Items still to come in each open array or map.
  std::vector<std::uint64_t> mOpen;
};

} // namespace

result<nlohmann::json>
DecodeBoundedCbor(std::string_view aBytes)
{
  if (!cbor_scanner(aBytes).IsBounded()) {
    return Fail(errc::MessageMalformed);
  }
  auto value = nlohmann::json::from_cbor(aBytes, true, false);
  if (value.is_discarded()) {
    return Fail(errc::MessageMalformed);
  }
  return value;
}

std::string
EncodeBoundedCbor(const nlohmann::json& aValue)
{
  std::string bytes;
  nlohmann::json::to_cbor(aValue, bytes);
  return bytes;
}

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
