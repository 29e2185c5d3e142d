#include "core/cbor.h"

namespace cowslipline {

namespace {

constexpr int kLargestDepth = 32;

/// Stops at the first level that is too deep, keeps nothing.
class depth_checker final : public nlohmann::json_sax<nlohmann::json>
{
public:
  // The names come from the library's interface.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() override { return true; }
  bool boolean(bool /*aValue*/) override { return true; }
  bool number_integer(number_integer_t /*aValue*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*aValue*/) override { return true; }
  bool number_float(number_float_t /*aValue*/,
                    const string_t& /*aText*/) override
  {
    return true;
  }
  bool string(string_t& /*aValue*/) override { return true; }
  bool binary(binary_t& /*aValue*/) override { return true; }
  bool key(string_t& /*aValue*/) override { return true; }
  bool start_object(std::size_t /*aElements*/) override { return Enter(); }
  bool start_array(std::size_t /*aElements*/) override { return Enter(); }
  bool end_object() override { return Exit(); }
  bool end_array() override { return Exit(); }
  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aToken*/,
                   const nlohmann::json::exception& /*aError*/) override
  {
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

private:
  bool Enter() { return ++mDepth <= kLargestDepth; }
  bool Exit()
  {
    --mDepth;
    return true;
  }

  int mDepth = 0;
};

} // namespace

result<nlohmann::json>
DecodeCbor(std::string_view aBytes)
{
  try {
    depth_checker checker;
    const bool isShallow = nlohmann::json::sax_parse(
      aBytes, &checker, nlohmann::json::input_format_t::cbor);
    if (!isShallow) {
      return Fail(errc::MessageMalformed);
    }
    auto document = nlohmann::json::from_cbor(aBytes, true, false);
    if (document.is_discarded()) {
      return Fail(errc::MessageMalformed);
    }
    return document;
  } catch (const nlohmann::json::exception&) {
    return Fail(errc::MessageMalformed);
  } catch (const std::bad_alloc&) {
    return Fail(errc::MessageMalformed);
  } catch (const std::length_error&) {
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
