#include "core/cbor.h"

#include <vector>

namespace cowslipline {

namespace {

// Deeper than any message of the project; the library recurses for each level,
// and a task's stack has 256 KiB.
constexpr std::size_t kDeepestNesting = 16;

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
DecodeCbor(std::string_view aBytes)
{
  if (!cbor_scanner(aBytes).IsBounded()) {
    return Fail(errc::MessageMalformed);
  }
  try {
    auto document = nlohmann::json::from_cbor(aBytes, true, false);
    if (document.is_discarded()) {
      return Fail(errc::MessageMalformed);
    }
    return document;
  } catch (const nlohmann::json::exception&) {
    return Fail(errc::MessageMalformed);
  }
}

std::string
EncodeCbor(const nlohmann::json& aDocument)
{
  std::string bytes;
  nlohmann::json::to_cbor(aDocument, bytes);
  return bytes;
}

} // namespace cowslipline
