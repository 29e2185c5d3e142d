#include "core/log.h"

#include <algorithm>
#include <chrono>
#include <climits>
#include <map>
#include <mutex>
#include <optional>

#include <poll.h>
#include <unistd.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

// Lines of one event in a second. An instance of the target size serves 61
// requests/s with two lines each; lines of other events keep their room.
constexpr int kLinesPerSecondOfEvent = 100;

/// Each event has a budget of its own, so that a flood of requests does not
/// displace the lines that explain it.
struct event_budget
{
  std::chrono::steady_clock::time_point mWindowStart;
  int mLinesInWindow = 0;
};

struct log_state
{
  log4cplus::Initializer mInitializer;
  std::optional<log4cplus::Logger> mLogger;
  std::string mInstance;
  std::mutex mMutex;
  std::map<std::string, event_budget, std::less<>> mBudgets;
  std::uint64_t mDropped = 0;
};

log_state&
State()
{
  static log_state state;
  return state;
}

log4cplus::LogLevel
ToLibraryLevel(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case log_level::Warn:
      return log4cplus::WARN_LOG_LEVEL;
    case log_level::Error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

const char*
LevelName(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Debug:
      return "debug";
    case log_level::Info:
      return "info";
    case log_level::Warn:
      return "warn";
    case log_level::Error:
      return "error";
  }
  return "error";
}

/// Writes to standard output and never waits for its reader: a line that finds
/// no room is dropped and counted.
class output_appender final : public log4cplus::Appender
{
public:
  explicit output_appender(std::uint64_t& aDropped)
    : mDropped(aDropped)
  {
  }
  ~output_appender() override { destructorImpl(); }

  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    // The message is the whole line; a layout would copy it twice.
    const auto line = aEvent.getMessage() + '\n';
    // A pipe that can be written takes PIPE_BUF bytes without waiting.
    pollfd writable{ STDOUT_FILENO, POLLOUT, 0 };
    const bool hasRoom = line.size() <= PIPE_BUF &&
                         ::poll(&writable, 1, 0) == 1 &&
                         (writable.revents & POLLOUT) != 0;
    const bool isWritten =
      hasRoom && ::write(STDOUT_FILENO, line.data(), line.size()) ==
                   static_cast<ssize_t>(line.size());
    if (!isWritten) {
      ++mDropped;
    }
  }

private:
  std::uint64_t& mDropped;
};

/// True when the line may be written; counts it as dropped otherwise.
bool
TakeLine(log_state& aState, std::string_view aEvent)
{
  const auto found = aState.mBudgets.find(aEvent);
  auto& budget = found != aState.mBudgets.end()
                   ? found->second
                   : aState.mBudgets[std::string(aEvent)];
  const auto now = std::chrono::steady_clock::now();
  if (now - budget.mWindowStart >= std::chrono::seconds(1)) {
    budget.mWindowStart = now;
    budget.mLinesInWindow = 0;
  }
  if (budget.mLinesInWindow >= kLinesPerSecondOfEvent) {
    ++aState.mDropped;
    return false;
  }
  ++budget.mLinesInWindow;
  return true;
}

/// Appends a field to an object. Most values need no escapes: a JSON object of
/// the library costs several times as much processor time.
void
AppendField(std::string& aLine, std::string_view aName, std::string_view aValue)
{
  aLine.append(",\"").append(aName).append("\":");
  const bool isPlain =
    std::all_of(aValue.begin(), aValue.end(), [](char aCharacter) {
      return aCharacter >= ' ' && aCharacter <= '~' && aCharacter != '"' &&
             aCharacter != '\\';
    });
  if (isPlain) {
    aLine.append("\"").append(aValue).append("\"");
    return;
  }
  aLine += nlohmann::json(aValue).dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void
ConfigureLog(log_level aLevel, std::string_view aInstance, log_stream aStream)
{
  auto& state = State();
  const std::lock_guard<std::mutex> lock(state.mMutex);
  log4cplus::SharedAppenderPtr appender;
  if (aStream == log_stream::Output) {
    appender = new output_appender(state.mDropped);
  } else {
    appender = new log4cplus::ConsoleAppender(true, true);
  }
  appender->setLayout(
    std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
  auto logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("cowslipline"));
  logger.removeAllAppenders();
  logger.addAppender(appender);
  logger.setLogLevel(ToLibraryLevel(aLevel));
  state.mLogger = logger;
  state.mInstance = std::string(aInstance);
}

void
Log(log_level aLevel,
    std::string_view aEvent,
    std::initializer_list<log_field> aFields)
{
  auto& state = State();
  const std::lock_guard<std::mutex> lock(state.mMutex);
  if (!state.mLogger || !state.mLogger->isEnabledFor(ToLibraryLevel(aLevel))) {
    return;
  }
  if (!TakeLine(state, aEvent)) {
    return;
  }
  const auto dropped = state.mDropped;
  state.mDropped = 0;
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  std::string line = "{\"time_ms\":" + std::to_string(now.count());
  AppendField(line, "level", LevelName(aLevel));
  AppendField(line, "event", aEvent);
  AppendField(line, "instance", state.mInstance);
  for (const auto& [name, value] : aFields) {
    if (!value.empty()) {
      AppendField(line, name, value);
    }
  }
  if (dropped > 0) {
    line += ",\"dropped\":" + std::to_string(dropped);
  }
  line += '}';
  state.mLogger->forcedLog(ToLibraryLevel(aLevel), line);
}

} // namespace cowslipline
