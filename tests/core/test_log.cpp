#include "core/log.h"
#include "tests/story.h"

#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

using namespace cowslipline;

TEST_GROUP(log){};

namespace {

/// What the lines that aWrite logs put on standard output, a pipe that nobody
/// reads meanwhile.
template<typename Write>
std::string
OutputOf(Write aWrite)
{
  int ends[2] = { -1, -1 };
  LONGS_EQUAL(0, ::pipe(ends));
  const int saved = ::dup(STDOUT_FILENO);
  ::dup2(ends[1], STDOUT_FILENO);
  ConfigureLog(log_level::Info, "i1", log_stream::Output);
  aWrite();
  ::dup2(saved, STDOUT_FILENO);
  ::close(saved);
  ::close(ends[1]);
  std::string read;
  char part[4096];
  for (auto count = ::read(ends[0], part, sizeof(part)); count > 0;
       count = ::read(ends[0], part, sizeof(part))) {
    read.append(part, static_cast<std::size_t>(count));
  }
  ::close(ends[0]);
  // Nothing is logged to the output of the tests that follow.
  ConfigureLog(log_level::Error, "tests");
  return read;
}

std::size_t
Count(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

// Guards against a process that stands still because nobody reads its log.
TEST(log, AFullStandardOutputDropsLines)
{
  const auto read = OutputOf([] {
    const std::string text(1000, 'x');
    for (int i = 0; i < 75; ++i) {
      Log(log_level::Info, "filling", { { "text", text } });
      Log(log_level::Info, "filling_more", { { "text", text } });
    }
  });

  SECTION("what fits is whole, what does not is missing")
  {
    // A pipe holds 64 KiB.
    CHECK(read.size() > 32'000);
    CHECK(read.size() <= 65'536);
    CHECK_EQUAL(read.back(), '\n');
  }
}

// Guards against lines that no reader can parse, and against line breaks that a
// caller puts into them.
TEST(log, EachLineIsOneObject)
{
  const std::string text = "a \"quote\", a \\ and\na break, \xff";
  const auto read = OutputOf([&] {
    Log(log_level::Info, "odd", { { "text", text }, { "empty", "" } });
  });
  LONGS_EQUAL(1, Count(read, "\n"));
  const auto line = nlohmann::json::parse(read, nullptr, false);
  CHECK(line.is_object());
  STRCMP_EQUAL("odd", line["event"].get<std::string>().c_str());
  STRCMP_EQUAL("i1", line["instance"].get<std::string>().c_str());
  CHECK(line["time_ms"].is_number_integer());
  CHECK(line["text"].get<std::string>().find("and\na break") !=
        std::string::npos);
  CHECK_FALSE(line.contains("empty"));
}

// Guards against a flood of requests that displaces the lines which explain it.
TEST(log, AFloodOfOneEventLeavesRoomForOthers)
{
  const auto read = OutputOf([] {
    for (int i = 0; i < 400; ++i) {
      Log(log_level::Info, "flood", {});
    }
    Log(log_level::Warn, "explanation", {});
  });
  // A second may end during the flood.
  CHECK(Count(read, "\"event\":\"flood\"") <= 200);
  LONGS_EQUAL(1, Count(read, "\"event\":\"explanation\""));
  CHECK(Count(read, "\"dropped\"") >= 1);
}
