#include "tests/proxy/edge_fixture.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

constexpr char kSaysSo[] = "Draining: 1\r\n";

/// An answer of the target with this start line and these header lines.
std::string
AnswerWith(const http_request& aRequest,
           const std::string& aStatus,
           const std::string& aLines)
{
  auto answer = GoodAnswer(aRequest, "tank");
  answer.replace(
    0, answer.find("\r\n") + 2, "HTTP/1.1 " + aStatus + "\r\n" + aLines);
  return answer;
}

scripted_target::script
Answering(const std::string& aStatus, const std::string& aLines)
{
  return [aStatus, aLines](const http_request& aRequest,
                           tcp_stream& aStream,
                           yield_context aYield) {
    return SendText(aStream, AnswerWith(aRequest, aStatus, aLines), aYield);
  };
}

/// Two targets that are registered as ready, while the store does not answer.
struct store_away
{
  store_away() { mFixture.mFeed.SetDown(true); }

  std::map<int, int> Call(int aCount)
  {
    return mFixture.CountStatuses(aCount, "/open/1", "");
  }

  /// Requests that reach the first target among this many.
  std::size_t ReachingFirst(int aCount)
  {
    const auto before = mFirst.Requests().size();
    Call(aCount);
    return mFirst.Requests().size() - before;
  }

  /// True if requests reach the first target within some seconds.
  bool IsFirstReachedAgain()
  {
    std::size_t reached = 0;
    for (int i = 0; i < 40 && reached == 0; ++i) {
      mFixture.Pause(100ms);
      reached = ReachingFirst(4);
    }
    return reached > 0;
  }

  /// Lets the first target say that it drains, and waits until it has.
  void LetFirstSay(const scripted_target::script& aScript)
  {
    mFirst.mScript = aScript;
    const auto before = mFirst.Requests().size();
    for (int i = 0; i < 40 && mFirst.Requests().size() == before; ++i) {
      Call(1);
    }
    CHECK(mFirst.Requests().size() > before);
  }

  edge_fixture mFixture;
  scripted_target& mFirst =
    mFixture.AddTarget("t1", "catalogue", Answering("200 OK", ""));
  scripted_target& mSecond =
    mFixture.AddTarget("t2", "catalogue", Answering("200 OK", ""));
};

} // namespace

TEST_GROUP(draining_targets){};

// Guards against requests that go on to a target which says in its answers that
// it drains, because the store has not told this instance.
TEST(draining_targets, GetNoSendsAfterAnAnswerThatSaysSo)
{
  const std::vector<std::pair<const char*, std::string>> answers = {
    { "200 OK", kSaysSo },
    { "500 Failed", kSaysSo },
    { "404 Not Found", kSaysSo },
    { "503 Full", std::string("Not-Run: 1\r\n") + kSaysSo },
    { "200 OK", std::string("Connection: close\r\n") + kSaysSo },
  };
  for (const auto& [status, lines] : answers) {
    SECTION(lines + status)
    {
      store_away away;
      CHECK(away.ReachingFirst(20) > 0);
      away.LetFirstSay(Answering(status, lines));
      LONGS_EQUAL(0, away.ReachingFirst(30));
      LONGS_EQUAL(10, away.Call(10)[200]);
    }
  }
}

// Guards against a repeated send to a draining target when the other one fails,
// and against requests that are cut off when their target says that it drains.
TEST(draining_targets, GetNoRepeatsAndFinishWhatRuns)
{
  store_away away;
  int running = 0;
  away.mFirst.mScript = [&](const http_request& aRequest,
                            tcp_stream& aStream,
                            yield_context aYield) {
    // The second answer is whole before that of the first request.
    const bool isFirst = ++running == 1;
    if (isFirst) {
      away.mFixture.Sleep(400ms, aYield);
    }
    return SendText(aStream, AnswerWith(aRequest, "200 OK", kSaysSo), aYield);
  };
  int served = 0;
  for (int i = 0; i < 8; ++i) {
    away.mFixture.mScheduler.Spawn([&](yield_context aYield) {
      const auto answer = away.mFixture.Call("GET", "/open/1", aYield, "");
      served += answer && answer->mHead.mStatus == 200 ? 1 : 0;
    });
  }
  for (int i = 0; i < 400 && served < 8; ++i) {
    away.mFixture.Pause(20ms);
  }
  CHECK(running > 1);
  LONGS_EQUAL(8, served);

  away.mSecond.mScript = [](const http_request&, tcp_stream&, yield_context) {
    return false;
  };
  LONGS_EQUAL(0, away.ReachingFirst(10));
}

// Guards against a target that gets requests again because the store, back
// after an outage or restored from a copy, still has it as ready.
TEST(draining_targets, StayWithoutSendsWhateverTheStoreSays)
{
  store_away away;
  away.mFixture.mFeed.TakeCopy();
  away.LetFirstSay(Answering("200 OK", kSaysSo));
  const auto entry = away.mFirst.Entry("catalogue", "a");

  SECTION("the store answers again")
  {
    away.mFixture.mFeed.SetDown(false);
    away.mFixture.Pause(700ms);
    LONGS_EQUAL(0, away.ReachingFirst(20));
  }
  SECTION("the entry is written again, also later in the same run")
  {
    auto later = entry;
    ++later.mSequence;
    away.mFixture.mFeed.PutTarget(later);
    away.mFixture.Pause(250ms);
    LONGS_EQUAL(0, away.ReachingFirst(20));
  }
  SECTION("it lapses and is registered again")
  {
    away.mFixture.mFeed.RemoveTarget("t1");
    away.mFixture.Pause(250ms);
    away.mFixture.mFeed.PutTarget(entry);
    away.mFixture.Pause(250ms);
    LONGS_EQUAL(0, away.ReachingFirst(20));
  }
  SECTION("the store comes back from a copy")
  {
    away.mFixture.mFeed.RestoreCopy();
    away.mFixture.Pause(1s);
    LONGS_EQUAL(0, away.ReachingFirst(20));
  }
  SECTION("another run under its id gets requests")
  {
    away.mFirst.mScript = Answering("200 OK", "");
    auto next = entry;
    next.mStartedAtMs = 9000;
    away.mFixture.mFeed.PutTarget(next);
    CHECK(away.IsFirstReachedAgain());
  }
}

// Guards against requests that wait when all targets of a service drain, and
// against an answer that does not tell the caller when to come back.
TEST(draining_targets, RefuseAtOnceWhenAllDrain)
{
  store_away away;
  away.mFirst.mScript = Answering("200 OK", kSaysSo);
  away.mSecond.mScript = Answering("200 OK", kSaysSo);
  away.Call(2);
  const auto before =
    away.mFirst.Requests().size() + away.mSecond.Requests().size();
  away.mFixture.Run([&](yield_context aYield) {
    const auto answer = away.mFixture.Call("GET", "/open/1", aYield, "");
    CHECK(answer.has_value());
    LONGS_EQUAL(503, answer->mHead.mStatus);
    CHECK(answer->mHead.mHeaders.Find("Retry-After").has_value());
  });
  LONGS_EQUAL(before,
              away.mFirst.Requests().size() + away.mSecond.Requests().size());
}

// Guards against a sound target that is left out for a header of another
// meaning, or for what a target of another service says at its address.
TEST(draining_targets, OtherAnswersLeaveATargetInUse)
{
  for (const std::string value :
       { "", "0", "no", "11", "1.0", "-1", "1, 0", "true" }) {
    SECTION("value '" + value + "'")
    {
      store_away away;
      away.LetFirstSay(Answering("200 OK", "Draining: " + value + "\r\n"));
      CHECK(away.ReachingFirst(30) > 0);
    }
  }
  SECTION("two values that differ")
  {
    store_away away;
    away.LetFirstSay(
      Answering("200 OK", std::string(kSaysSo) + "Draining: 0\r\n"));
    CHECK(away.ReachingFirst(30) > 0);
  }
  SECTION("the same value twice says the same")
  {
    store_away away;
    away.LetFirstSay(Answering("200 OK", std::string(kSaysSo) + kSaysSo));
    LONGS_EQUAL(0, away.ReachingFirst(30));
  }
  SECTION("a target that is not the one that was meant")
  {
    store_away away;
    away.LetFirstSay(Answering("421 Misdirected", kSaysSo));
    away.mFirst.mScript = Answering("200 OK", "");
    // Evidence keeps it out for a while, the header does not.
    CHECK(away.IsFirstReachedAgain());
  }
}
