#pragma once

#include <map>
#include <string>

namespace cowslipline::testing {

/// A valid service file of 19 lines. Tests replace lines of it.
class service_file_text
{
public:
  /// The file with one line replaced; the replacement may have several lines.
  static std::string With(std::size_t aLine, const std::string& aReplacement)
  {
    std::string text;
    std::size_t number = 0;
    for (const auto* line : kLines) {
      text += (++number == aLine ? aReplacement : std::string(line)) + "\n";
    }
    return text;
  }

  static std::string Valid() { return With(0, ""); }

private:
  static constexpr const char* kLines[] = {
    "[service]",
    "name = \"quotes\"",
    "floor = 1",
    "[[target]]",
    "address = \"127.0.0.1:8080\"",
    "zone = \"a\"",
    "[[route]]",
    "id = \"quotes.read\"",
    "method = \"GET\"",
    "path = \"/quotes\"",
    "organisations = [\"acme\"]",
    "[[organisation]]",
    "name = \"acme\"",
    "rate = 10",
    "burst = 5",
    "[[key]]",
    "id = \"k1\"",
    "organisation = \"acme\"",
    // 64 hexadecimal digits.
    R"(digest = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff")",
  };
};

} // namespace cowslipline::testing
