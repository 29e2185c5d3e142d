#include "core/log.h"
#include "tests/story.h"

#include <fcntl.h>
#include <unistd.h>

using namespace cowslipline;

TEST_GROUP(log){};

// Guards against a process that stands still because nobody reads its log.
TEST(log, AFullStandardOutputDropsLines)
{
  int ends[2] = { -1, -1 };
  LONGS_EQUAL(0, ::pipe(ends));
  const int saved = ::dup(STDOUT_FILENO);
  ::dup2(ends[1], STDOUT_FILENO);
  ConfigureLog(log_level::Info, "i1", log_stream::Output);
  const std::string text(1000, 'x');
  for (int i = 0; i < 150; ++i) {
    Log(log_level::Info, "filling", { { "text", text } });
  }
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

  SECTION("what fits is whole, what does not is missing")
  {
    // A pipe holds 64 KiB.
    CHECK(read.size() > 32'000);
    CHECK(read.size() <= 65'536);
    CHECK_EQUAL(read.back(), '\n');
  }
}
