#include "core/bounded_json.h"

namespace cowslipline {

namespace {

constexpr int kMaxDepth = 64;

bool
IsTooDeep(std::string_view aText)
{
  int depth = 0;
  bool isInString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char character = aText[i];
    if (isInString) {
      // The character behind a backslash does not end the string.
      i += character == '\\' ? 1 : 0;
      isInString = character != '"';
    } else if (character == '"') {
      isInString = true;
    } else if (character == '[' || character == '{') {
      if (++depth > kMaxDepth) {
        return true;
      }
    } else if (character == ']' || character == '}') {
      --depth;
    }
  }
  return false;
}

} // namespace

nlohmann::json
ParseBoundedJson(std::string_view aText)
{
  return IsTooDeep(aText) ? nlohmann::json(nlohmann::json::value_t::discarded)
                          : nlohmann::json::parse(aText, nullptr, false);
}

} // namespace cowslipline
