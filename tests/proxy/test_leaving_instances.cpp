#include "tests/proxy/edge_fixture.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

constexpr char kRequest[] =
  "GET /specs/1 HTTP/1.1\r\nHost: shop.example\r\nRequest: q\r\n"
  "Key: key-1\r\n\r\n";

/// Takes requests and never answers.
scripted_target::script
Silent()
{
  return [](const http_request&, tcp_stream& aStream, yield_context aYield) {
    aStream.WaitReadable(ReadBootClock() + 18s, aYield);
    return false;
  };
}

/// A request on a connection of its own, in a task of its own.
struct pending_call
{
  bool mIsAnswered = false;
  int mStatus = 0; ///< 0: the connection ended without an answer.
  bool mHasReturnTime = false;
};

std::shared_ptr<pending_call>
StartCall(edge_fixture& aFixture, std::string aMethod, std::string aPath)
{
  auto call = std::make_shared<pending_call>();
  asio::spawn(
    aFixture.mContext,
    [&aFixture, call, method = std::move(aMethod), path = std::move(aPath)](
      yield_context aYield) {
      const auto answer = aFixture.Call(method, path, aYield);
      call->mIsAnswered = answer.has_value();
      call->mStatus = answer ? answer->mHead.mStatus : 0;
      call->mHasReturnTime =
        answer && answer->mHead.mHeaders.Find("Retry-After").has_value();
    },
    boost::coroutines::attributes(128UL * 1024));
  return call;
}

void
SetGrace(edge_fixture& aFixture, duration aGrace)
{
  auto settings = aFixture.mSettings;
  settings.mGrace = aGrace;
  aFixture.mInstance->Apply(settings);
}

duration
PartOf(duration aGrace, double aPart)
{
  return std::chrono::duration_cast<duration>(aGrace * aPart);
}

} // namespace

TEST_GROUP(leaving_instances){};

// Guards against requests that are cut at a planned stop: an instance that
// waits for a silent store before it closes idle connections takes requests
// that it has no time left to finish.
TEST(leaving_instances, CloseIdleConnectionsWhileTheStoreIsSilent)
{
  edge_fixture fixture;
  fixture.AddTarget(
    "t1",
    "catalogue",
    [](
      const http_request& aRequest, tcp_stream& aStream, yield_context aYield) {
      return SendText(aStream, GoodAnswer(aRequest, "tank"), aYield);
    });
  fixture.Run([&](yield_context aYield) {
    tcp_stream caller(fixture.mContext);
    const auto connected = caller.Connect(
      fixture.mInstance->CallersAddress(), ReadBootClock() + 5s, aYield);
    CHECK(connected.has_value());
    SendText(caller, kRequest, aYield);
    const auto first = ReadResponse(
      caller, false, body_lease(1'000), ReadBootClock() + 5s, aYield);
    LONGS_EQUAL(200, first ? first->mHead.mStatus : 0);
    CHECK(first && first->mIsConnectionReusable);

    bool hasLeft = false;
    bool isWhole = false;
    fixture.mFeed.SetSilent(true);
    fixture.mScheduler.Spawn([&](yield_context aOwnYield) {
      isWhole = fixture.mInstance->Leave(aOwnYield);
      hasLeft = true;
    });
    SECTION("the caller's idle connection ends before the store's reply is due")
    {
      CHECK(caller.WaitReadable(ReadBootClock() + 10s, aYield).has_value());
      CHECK(caller.HasEnded());
      CHECK_FALSE(hasLeft);
      // The call that removes the registration starts at the same moment.
      for (int i = 0; i < 20 && fixture.mFeed.WaitingCalls() == 0; ++i) {
        fixture.Sleep(5ms, aYield);
      }
      CHECK(fixture.mFeed.WaitingCalls() > 0);
    }
    while (!hasLeft) {
      fixture.Sleep(20ms, aYield);
    }
    SECTION("the instance has left without cutting a request")
    {
      CHECK(isWhole);
      LONGS_EQUAL(0, fixture.mFeed.WaitingCalls());
    }
  });
}

// Guards against requests that end without an answer at the end of a planned
// stop, and against one that comes too late to be finished and is passed on.
TEST(leaving_instances, AnswerEveryRequestBeforeTheGraceEnds)
{
  for (const duration grace : { duration(6s), duration(2s) }) {
    edge_fixture fixture;
    SetGrace(fixture, grace);
    auto& workshop = fixture.AddTarget("w1", "workshop", Silent());
    auto& catalogue = fixture.AddTarget("t1", "catalogue", Silent());
    fixture.Run([&](yield_context aYield) {
      const auto order = StartCall(fixture, "POST", "/cuts/1");
      const auto query = StartCall(fixture, "GET", "/specs/1");
      tcp_stream late(fixture.mContext);
      const auto connected = late.Connect(
        fixture.mInstance->CallersAddress(), ReadBootClock() + 5s, aYield);
      CHECK(connected.has_value());
      SendText(late,
               "POST /cuts/2 HTTP/1.1\r\nHost: shop.example\r\n"
               "Request: late\r\nKey: key-1\r\nContent-Length: 4\r\n\r\nha",
               aYield);
      while (workshop.Requests().empty() || catalogue.Requests().empty()) {
        fixture.Sleep(5ms, aYield);
      }
      bool hasLeft = false;
      bool isWhole = true;
      fixture.mScheduler.Spawn([&](yield_context aOwnYield) {
        isWhole = fixture.mInstance->Leave(aOwnYield);
        hasLeft = true;
      });
      SECTION("a request that is whole late is refused and does not run")
      {
        fixture.Sleep(PartOf(grace, 0.52), aYield);
        SendText(late, "lf", aYield);
        const auto refused = ReadResponse(
          late, false, body_lease(1'000), ReadBootClock() + 5s, aYield);
        LONGS_EQUAL(503, refused ? refused->mHead.mStatus : 0);
        CHECK(refused && refused->mHead.mHeaders.Find("Retry-After"));
        LONGS_EQUAL(1, workshop.Requests().size());
      }
      while (!hasLeft) {
        fixture.Sleep(5ms, aYield);
      }
      SECTION("requests at work have an answer that promises nothing")
      {
        CHECK_FALSE(isWhole);
        LONGS_EQUAL(502, order->mStatus);
        LONGS_EQUAL(502, query->mStatus);
        LONGS_EQUAL(1, workshop.Requests().size());
        LONGS_EQUAL(1, catalogue.Requests().size());
      }
    });
  }
}

// Guards against a request that must run once and is passed on again so late
// that the instance ends before its target: nobody would know whether it ran.
TEST(leaving_instances, RefuseWhatTheyCannotPassOnInTime)
{
  constexpr duration kGrace = 2s;
  edge_fixture fixture;
  SetGrace(fixture, kGrace);
  auto configuration = fixture.Configuration(5);
  for (auto& route : configuration.mRoutes) {
    route.mLatencyObjective = 1s;
  }
  fixture.mFeed.Publish(configuration);
  bool mayShed = false;
  auto& full = fixture.AddTarget(
    "w1",
    "workshop",
    [&](
      const http_request& aRequest, tcp_stream& aStream, yield_context aYield) {
      while (!mayShed) {
        fixture.Sleep(5ms, aYield);
      }
      return SendText(
        aStream,
        "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest: " +
          std::string(aRequest.mHead.mHeaders.Find("Request").value_or("")) +
          "\r\nContent-Length: 0\r\n\r\n",
        aYield);
    });
  const auto order = StartCall(fixture, "POST", "/cuts/1");
  fixture.Run([&](yield_context aYield) {
    while (full.Requests().empty()) {
      fixture.Sleep(5ms, aYield);
    }
  });
  auto& other = fixture.AddTarget("w2", "workshop", Silent());
  fixture.Run([&](yield_context aYield) {
    bool hasLeft = false;
    fixture.mScheduler.Spawn([&](yield_context aOwnYield) {
      fixture.mInstance->Leave(aOwnYield);
      hasLeft = true;
    });
    fixture.Sleep(PartOf(kGrace, 0.7), aYield);
    mayShed = true;
    while (!hasLeft) {
      fixture.Sleep(5ms, aYield);
    }
    LONGS_EQUAL(503, order->mStatus);
    CHECK(order->mHasReturnTime);
    LONGS_EQUAL(0, other.Requests().size());
  });
}
