#include "tests/proxy/edge_fixture.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

/// Sends the head and then the block again and again until the caller closes.
scripted_target::script
SendingWithoutEnd(edge_fixture& aFixture,
                  std::string aHead,
                  std::string aBlock,
                  duration aPause = duration(0))
{
  return
    [&aFixture, head = std::move(aHead), block = std::move(aBlock), aPause](
      const http_request& aRequest, tcp_stream& aStream, yield_context aYield) {
      auto text = head;
      const auto id = text.find("ID");
      if (id != text.npos) {
        text.replace(
          id, 2, aRequest.mHead.mHeaders.Find("Request").value_or(""));
      }
      bool isOpen = SendText(aStream, text, aYield);
      while (isOpen) {
        isOpen = SendText(aStream, block, aYield);
        if (aPause > duration(0)) {
          aFixture.Sleep(aPause, aYield);
        }
      }
      return false;
    };
}

scripted_target::script
AnsweringWhole()
{
  return [](const http_request& aRequest,
            tcp_stream& aStream,
            yield_context aYield) {
    return SendText(aStream, GoodAnswer(aRequest, "whole"), aYield);
  };
}

constexpr char kSignedHead[] = "HTTP/1.1 200 OK\r\nSignature: s\r\n"
                               "Request: ID\r\n";

double
Gauge(edge_fixture& aFixture, const std::string& aName)
{
  const auto text = aFixture.mInstance->RenderPage("/metrics").mBody;
  const auto place = text.find('\n' + aName + ' ');
  return place == text.npos ? -1.0
                            : std::stod(text.substr(place + aName.size() + 2));
}

} // namespace

TEST_GROUP(endless_answers){};

// Guards against bytes without end that fill the memory or hold a request
// until its caller gives up.
TEST(endless_answers, AreCutAndTheRequestGoesElsewhere)
{
  const std::string header = "Filler: " + std::string(4000, 'x') + "\r\n";
  const std::string chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
  struct endless
  {
    const char* mName;
    std::string mHead;
    std::string mBlock;
  };
  const std::vector<endless> cases = {
    { "a head", kSignedHead, header },
    { "a line of a head", kSignedHead, std::string(4096, 'x') },
    { "bytes that are no answer", "", std::string(4096, '%') },
    { "interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n" },
    { "a body without a length",
      std::string(kSignedHead) + "\r\n",
      std::string(65'536, 'x') },
    { "chunks",
      std::string(kSignedHead) + "Transfer-Encoding: chunked\r\n\r\n",
      chunk },
    { "a body with a length",
      std::string(kSignedHead) + "Content-Length: 9000000000\r\n\r\n",
      std::string(65'536, 'x') },
    { "the line of a chunk",
      std::string(kSignedHead) + "Transfer-Encoding: chunked\r\n\r\n5;",
      std::string(4096, 'x') },
    { "trailers",
      std::string(kSignedHead) + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
      header },
    { "answers to other requests",
      "",
      "HTTP/1.1 200 OK\r\nSignature: s\r\nRequest: other\r\n"
      "Content-Length: 2\r\n\r\nok" },
  };
  for (const auto& endless : cases) {
    edge_fixture fixture;
    auto& broken = fixture.AddTarget(
      "t1",
      "catalogue",
      SendingWithoutEnd(fixture, endless.mHead, endless.mBlock));
    SECTION(endless.mName)
    {
      fixture.AddTarget("t2", "catalogue", AnsweringWhole());
      fixture.Run([&](yield_context aYield) {
        // A new owner's retry budget fills.
        fixture.Sleep(1s, aYield);
        for (int i = 0; i < 4; ++i) {
          const auto begin = ReadBootClock();
          const auto answer = fixture.Call("GET", "/specs/1", aYield);
          LONGS_EQUAL(200, answer ? answer->mHead.mStatus : 0);
          STRCMP_EQUAL("whole", answer ? answer->mBody.c_str() : "none");
          CHECK(ReadBootClock() - begin < 5s);
        }
        // Counted as broken: it is not tried again and again.
        CHECK(broken.Requests().size() <= 2);
        LONGS_EQUAL(0, Gauge(fixture, "cowslipline_buffered_body_bytes"));
      });
    }
  }
}

// Guards against endless bodies that together take the memory of a process
// whose single answers keep their limit.
TEST(endless_answers, ManyAtOnceLeaveMemoryForOthers)
{
  edge_fixture fixture;
  constexpr int kCallers = 100;
  constexpr double kLimit = 40.0 * 1024 * 1024; // A quarter of 160 MB.
  proxy_settings settings = fixture.mSettings;
  settings.mBufferedBytes = static_cast<std::size_t>(kLimit);
  fixture.mInstance->Apply(settings);
  fixture.AddTarget("w1",
                    "workshop",
                    SendingWithoutEnd(fixture,
                                      std::string(kSignedHead) + "\r\n",
                                      std::string(65'536, 'x')));
  fixture.AddTarget("t1", "catalogue", AnsweringWhole());
  int finished = 0;
  int refused = 0;
  for (int i = 0; i < kCallers; ++i) {
    asio::spawn(
      fixture.mContext,
      [&](yield_context aYield) {
        const auto answer = fixture.Call(
          "POST", "/cuts/1", aYield, "Key: key-1\r\nLeft-Ms: 4000\r\n", "x");
        refused += answer && answer->mHead.mStatus >= 500 ? 1 : 0;
        ++finished;
      },
      boost::coroutines::attributes(128UL * 1024));
  }
  fixture.Run([&](yield_context aYield) {
    double most = 0;
    int served = 0;
    int asked = 0;
    while (finished < kCallers) {
      const auto answer = fixture.Call("GET", "/specs/1", aYield);
      ++asked;
      served += answer && answer->mHead.mStatus == 200 ? 1 : 0;
      most = std::max(most, Gauge(fixture, "cowslipline_buffered_body_bytes"));
      fixture.Sleep(10ms, aYield);
    }
    LONGS_EQUAL(kCallers, refused);
    LONGS_EQUAL(asked, served);
    CHECK(most <= kLimit);
  });
}

// Guards against the same bytes where the tests above leave them out: while the
// request is still being written, behind a whole answer, and slowly.
TEST(endless_answers, AreCutAtAnyTime)
{
  edge_fixture fixture;
  SECTION("while the request is being written")
  {
    auto configuration = fixture.Configuration(5);
    configuration.mLimits.mBodyBytes = 24UL * 1024 * 1024;
    fixture.mFeed.Publish(configuration);
    auto& target = fixture.AddTarget(
      "w1",
      "workshop",
      SendingWithoutEnd(
        fixture, std::string(kSignedHead) + "\r\n", std::string(65'536, 'x')));
    fixture.Run([&](yield_context aYield) {
      const auto answer = fixture.Call("POST",
                                       "/cuts/1",
                                       aYield,
                                       "Key: key-1\r\nAnswer-Early: 1\r\n",
                                       std::string(12UL * 1024 * 1024, 'x'));
      LONGS_EQUAL(502, answer ? answer->mHead.mStatus : 0);
      LONGS_EQUAL(1, target.Requests().size());
      LONGS_EQUAL(0, Gauge(fixture, "cowslipline_buffered_body_bytes"));
    });
    target.StopAccepting();
    fixture.mFeed.RemoveTarget("w1");
  }
  SECTION("behind a whole answer")
  {
    int ended = 0;
    fixture.AddTarget(
      "t1",
      "catalogue",
      [&](const http_request& aRequest,
          tcp_stream& aStream,
          yield_context aYield) {
        SendText(aStream, GoodAnswer(aRequest, "whole"), aYield);
        while (SendText(aStream, std::string(65'536, 'x'), aYield)) {
        }
        ++ended;
        return false;
      });
    fixture.Run([&](yield_context aYield) {
      for (int i = 1; i <= 3; ++i) {
        const auto answer = fixture.Call("GET", "/specs/1", aYield);
        LONGS_EQUAL(200, answer ? answer->mHead.mStatus : 0);
        STRCMP_EQUAL("whole", answer ? answer->mBody.c_str() : "none");
        while (ended < i) {
          fixture.Sleep(5ms, aYield);
        }
      }
    });
    fixture.mFeed.RemoveTarget("t1");
  }
  SECTION("slowly, up to the caller's deadline")
  {
    auto& slow = fixture.AddTarget(
      "w2",
      "workshop",
      SendingWithoutEnd(fixture, std::string(kSignedHead) + "\r\n", "x", 20ms));
    fixture.Run([&](yield_context aYield) {
      const auto answer = fixture.Call(
        "POST", "/cuts/1", aYield, "Key: key-1\r\nLeft-Ms: 600\r\n", "x");
      LONGS_EQUAL(504, answer ? answer->mHead.mStatus : 0);
      LONGS_EQUAL(1, slow.Requests().size());
      while (Gauge(fixture, "cowslipline_requests_in_flight") > 0) {
        fixture.Sleep(5ms, aYield);
      }
      LONGS_EQUAL(0, Gauge(fixture, "cowslipline_buffered_body_bytes"));
    });
  }
}
