#include "modules/explain/log_line.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace cowslipline {

std::string_view
log_line::Field(std::string_view aName) const
{
  const auto found = mFields.find(aName);
  return found == mFields.end() ? std::string_view()
                                : std::string_view(found->second);
}

std::int64_t
log_line::Number(std::string_view aName) const
{
  const auto text = Field(aName);
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::optional<log_line>
ParseLogLine(std::string_view aText)
{
  const auto begin = std::find(aText.begin(), aText.end(), '{');
  const auto object = nlohmann::json::parse(begin, aText.end(), nullptr, false);
  if (!object.is_object() || !object.contains("time_ms") ||
      !object["time_ms"].is_number_integer() || !object.contains("event") ||
      !object["event"].is_string()) {
    return std::nullopt;
  }
  log_line line;
  line.mTimeMs = object["time_ms"].get<std::int64_t>();
  line.mEvent = object["event"].get<std::string>();
  for (const auto& [name, value] : object.items()) {
    if (name == "time_ms" || name == "event") {
      continue;
    }
    auto text = value.is_string() ? value.get<std::string>() : value.dump();
    if (name == "instance") {
      line.mInstance = std::move(text);
    } else {
      line.mFields.emplace(name, std::move(text));
    }
  }
  return line;
}

std::vector<logged_send>
ParseSends(std::string_view aAttempts)
{
  // Format: target=outcome(reason), separated by spaces; a reason may contain
  // spaces.
  std::vector<logged_send> sends;
  while (!aAttempts.empty()) {
    const auto equals = aAttempts.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    logged_send send;
    send.mTarget = aAttempts.substr(0, equals);
    aAttempts.remove_prefix(equals + 1);
    const auto end = std::min(aAttempts.find_first_of(" ("), aAttempts.size());
    send.mOutcome = aAttempts.substr(0, end);
    aAttempts.remove_prefix(end);
    if (!aAttempts.empty() && aAttempts.front() == '(') {
      // The reason ends at ") " before the next send, or at the end of the
      // text.
      const auto close = std::min(aAttempts.find(") "), aAttempts.size() - 1);
      send.mReason = aAttempts.substr(1, close - 1);
      aAttempts.remove_prefix(close + 1);
    }
    if (!aAttempts.empty() && aAttempts.front() == ' ') {
      aAttempts.remove_prefix(1);
    }
    sends.push_back(std::move(send));
  }
  return sends;
}

} // namespace cowslipline
