#include "core/manual_scheduler.h"
#include "tests/story.h"

#include <future>
#include <string>
#include <thread>

using namespace cowslipline;
using namespace std::chrono_literals;

TEST_GROUP(manual_scheduler){};

// Guards against tasks that wake in another order than their deadlines, which
// would make seeded runs differ.
TEST(manual_scheduler, WakesTasksInTheOrderOfTheirDeadlines)
{
  manual_scheduler clock;
  std::string order;
  clock.Spawn([&](yield_context aYield) {
    clock.SleepFor(20ms, aYield);
    order += "b";
  });
  clock.Spawn([&](yield_context aYield) {
    clock.SleepFor(10ms, aYield);
    order += "a";
    clock.SleepFor(30ms, aYield);
    order += "c";
  });

  SECTION("nothing runs before its deadline")
  {
    clock.Advance(9ms);
    STRCMP_EQUAL("", order.c_str());
  }
  SECTION("each task continues at its own deadline")
  {
    clock.Advance(11ms);
    STRCMP_EQUAL("ab", order.c_str());
    clock.Advance(20ms);
    STRCMP_EQUAL("abc", order.c_str());
  }
  clock.Advance(1s);
}

// Guards against a blocked caller that never hears from the control thread.
TEST(manual_scheduler, BlockingCallReturnsTheResultOfTheTask)
{
  asio::io_context context;
  system_scheduler control(context);
  auto work = asio::make_work_guard(context);
  std::thread thread([&] { context.run(); });

  SECTION("a result in time is returned")
  {
    const auto answer =
      BlockingCall(control, 5s, [](yield_context) -> result<int> { return 7; });
    CHECK(answer.has_value());
    LONGS_EQUAL(7, *answer);
  }
  SECTION("a task that outlives the timeout yields errc::Timeout")
  {
    const auto answer =
      BlockingCall(control, 1ms, [&](yield_context aYield) -> result<int> {
        control.SleepFor(200ms, aYield);
        return 7;
      });
    CHECK(!answer.has_value());
    CHECK(answer.error() == errc::Timeout);
  }
  SECTION("a result that comes too late is given back once")
  {
    std::promise<int> unclaimed;
    const auto answer = BlockingCall(
      control,
      1ms,
      [&](yield_context aYield) -> result<int> {
        control.SleepFor(100ms, aYield);
        return 9;
      },
      [&](const result<int>& aLate) { unclaimed.set_value(*aLate); });
    CHECK(!answer.has_value());
    LONGS_EQUAL(9, unclaimed.get_future().get());
  }
  work.reset();
  thread.join();
}
