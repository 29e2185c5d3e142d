#include "tests/proxy/edge_fixture.h"
#include "tests/story.h"

#include <algorithm>

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

constexpr int kHostileCallers = 40;

/// A request that a second reader of the bytes could find inside another one.
const std::string kSmuggled = "GET /open/smuggled HTTP/1.1\r\n"
                              "Host: shop.example\r\nRequest: smuggled\r\n\r\n";

/// A POST whose end two readers could see in different places. aFraming: its
/// header lines, each with its line end.
std::string
Ambiguous(const std::string& aFraming, const std::string& aBody)
{
  return "POST /cuts/1 HTTP/1.1\r\nHost: shop.example\r\nKey: key-1\r\n"
         "Request: outer\r\n" +
         aFraming + "\r\n" + aBody + kSmuggled;
}

std::unique_ptr<tcp_stream>
Connect(edge_fixture& aFixture, yield_context aYield, int aReceiveBytes = 0)
{
  auto stream = std::make_unique<tcp_stream>(aFixture.mContext);
  if (aReceiveBytes > 0) {
    stream->Socket().open(asio::ip::tcp::v4());
    stream->Socket().set_option(
      asio::socket_base::receive_buffer_size(aReceiveBytes));
  }
  CHECK(stream
          ->Connect(
            aFixture.mInstance->CallersAddress(), ReadBootClock() + 5s, aYield)
          .has_value());
  return stream;
}

bool
IsServed(edge_fixture& aFixture, yield_context aYield)
{
  const auto response = aFixture.Call("GET", "/specs/1", aYield);
  return response && response->mHead.mStatus == 200;
}

} // namespace

TEST_GROUP(hostile_callers){};

// Guards against a request that a caller hides inside another one.
TEST(hostile_callers, NothingSmuggledReachesATarget)
{
  edge_fixture fixture;
  const auto serve = [](const http_request& aRequest,
                        tcp_stream& aStream,
                        yield_context aYield) {
    return SendText(aStream, GoodAnswer(aRequest, "whole"), aYield);
  };
  const auto& catalogue = fixture.AddTarget("t1", "catalogue", serve);
  const auto& workshop = fixture.AddTarget("t2", "workshop", serve);
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::pair<std::string, std::string> cases[] = {
    { "Content-Length: 5\r\n" + chunked, "0\r\n\r\n" },
    { chunked + chunked, "0\r\n\r\n" },
    { "Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n" },
    { "Transfer-Encoding: xchunked\r\n", "0\r\n\r\n" },
    { "Transfer-Encoding : chunked\r\n", "0\r\n\r\n" },
    { "Transfer-Encoding:\x0b chunked\r\n", "0\r\n\r\n" },
    { "Content-Length: 0\r\nContent-Length: 5\r\n", "" },
    { "Content-Length: 0\r\nContent-Length: 0\r\n", "" },
    { "Content-Length: +0\r\n", "" },
    { "Content-Length: 0x0\r\n", "" },
    { "Content-Length: 0,0\r\n", "" },
    { "Content-Length: -1\r\n", "" },
    { "Content-Length:\r\n", "" },
    { "Content-Length: 99999999999999999999\r\n", "" },
    { " Content-Length: 0\r\n", "" },
    { "X: a\nContent-Length: 0\r\n", "" },
    { "X: a\rContent-Length: 0\r\n", "" },
    { std::string("X: \0", 4) + "\r\n", "" },
    { chunked, "+0\r\n\r\n" },
    { chunked, "0x0\r\n\r\n" },
    { chunked, "fffffffffffffffff\r\n" },
    { chunked, "1\r\nab\r\n0\r\n\r\n" },
    { chunked, "1\na\n0\n\n" },
  };
  fixture.Run([&](yield_context aYield) {
    for (const auto& [framing, body] : cases) {
      const auto stream = Connect(fixture, aYield);
      SendText(*stream, Ambiguous(framing, body), aYield);
      const auto response = ReadResponse(
        *stream, false, body_lease(1'000'000), ReadBootClock() + 5s, aYield);
      SECTION("the answer is a refusal, and the connection ends")
      {
        CHECK(response.has_value());
        LONGS_EQUAL(400, response ? response->mHead.mStatus : 0);
        CHECK(response &&
              response->mHead.mHeaders.HasToken("Connection", "close"));
      }
    }
  });
  SECTION("no target got any of it")
  {
    LONGS_EQUAL(0, catalogue.Requests().size());
    LONGS_EQUAL(0, workshop.Requests().size());
  }
}

// Guards against callers that hold up others by sending slowly.
TEST(hostile_callers, SlowSendersHoldUpNobody)
{
  edge_fixture fixture;
  auto configuration = fixture.Configuration(5);
  configuration.mLimits.mHeadTimeout = 1s;
  fixture.mFeed.Publish(configuration);
  const auto& target = fixture.AddTarget(
    "t1",
    "catalogue",
    [](
      const http_request& aRequest, tcp_stream& aStream, yield_context aYield) {
      return SendText(aStream, GoodAnswer(aRequest, "whole"), aYield);
    });
  int served = 0;
  int ended = 0;
  fixture.Run([&](yield_context aYield) {
    std::vector<std::unique_ptr<tcp_stream>> slow;
    for (int i = 0; i < kHostileCallers; ++i) {
      slow.push_back(Connect(fixture, aYield));
      SendText(*slow.back(), "GET /open/slow HTTP/1.1\r\nX: ", aYield);
    }
    for (int i = 0; i < 30; ++i) {
      served += IsServed(fixture, aYield) ? 1 : 0;
      for (const auto& stream : slow) {
        asio::error_code ignored;
        stream->Socket().send(asio::buffer("a", 1), 0, ignored);
      }
      fixture.Sleep(50ms, aYield);
    }
    for (const auto& stream : slow) {
      const auto response = ReadResponse(
        *stream, false, body_lease(100'000), ReadBootClock() + 2s, aYield);
      ended += !response || response->mHead.mStatus == 408 ? 1 : 0;
    }
  });
  SECTION("all other callers are served")
  {
    LONGS_EQUAL(30, served);
  }
  SECTION("the head has to arrive within its time, and nothing is passed on")
  {
    LONGS_EQUAL(kHostileCallers, ended);
    LONGS_EQUAL(30, target.Requests().size());
  }
}

// Guards against callers that hold up others by not reading their answers.
TEST(hostile_callers, SlowReadersHoldUpNobody)
{
  edge_fixture fixture;
  const std::string large(512UL * 1024, 'x');
  fixture.AddTarget(
    "t1",
    "catalogue",
    [&](
      const http_request& aRequest, tcp_stream& aStream, yield_context aYield) {
      const bool isSmall = aRequest.mHead.mTarget == "/specs/1";
      return SendText(
        aStream, GoodAnswer(aRequest, isSmall ? "whole" : large), aYield);
    });
  int served = 0;
  std::size_t whole = 0;
  fixture.Run([&](yield_context aYield) {
    std::vector<std::unique_ptr<tcp_stream>> slow;
    for (int i = 0; i < kHostileCallers; ++i) {
      slow.push_back(Connect(fixture, aYield, 2048));
      SendText(*slow.back(),
               "GET /open/large HTTP/1.1\r\nHost: shop.example\r\nRequest: l" +
                 std::to_string(i) + "\r\nLeft-Ms: 15000\r\n\r\n",
               aYield);
    }
    for (int i = 0; i < 30; ++i) {
      served += IsServed(fixture, aYield) ? 1 : 0;
      fixture.Sleep(20ms, aYield);
    }
    const auto response = ReadResponse(*slow.front(),
                                       false,
                                       body_lease(1'000'000),
                                       ReadBootClock() + 5s,
                                       aYield);
    whole = response ? response->mBody.size() : 0;
  });
  SECTION("all other callers are served")
  {
    LONGS_EQUAL(30, served);
  }
  SECTION("one that reads after all gets the whole answer")
  {
    LONGS_EQUAL(large.size(), whole);
  }
}
