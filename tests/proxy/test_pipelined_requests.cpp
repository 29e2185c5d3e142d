#include "modules/proxy/read_ahead.h"
#include "tests/proxy/edge_fixture.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

std::string
Request(const std::string& aMethod,
        const std::string& aPath,
        const std::string& aId,
        const std::string& aHeaders = {},
        const std::string& aBody = {})
{
  return aMethod + ' ' + aPath + " HTTP/1.1\r\nHost: shop.example\r\n" +
         "Key: key-1\r\nRequest: " + aId + "\r\n" + aHeaders + "\r\n" + aBody;
}

/// A caller that sends several requests on one connection.
class pipelining_caller
{
public:
  /// aReceiveBytes: receive buffer, 0 for the system's own choice.
  pipelining_caller(edge_fixture& aFixture,
                    yield_context aYield,
                    int aReceiveBytes = 0)
    : mStream(aFixture.mContext)
    , mYield(aYield)
  {
    auto& socket = mStream.Socket();
    socket.open(asio::ip::tcp::v4());
    if (aReceiveBytes > 0) {
      socket.set_option(asio::socket_base::receive_buffer_size(aReceiveBytes));
    }
    CHECK(mStream
            .Connect(aFixture.mInstance->CallersAddress(),
                     ReadBootClock() + 5s,
                     aYield)
            .has_value());
  }

  void Send(const std::string& aText)
  {
    CHECK(SendText(mStream, aText, mYield));
  }

  /// "STATUS BODY" of the next answer, with " close" where it announces the
  /// end; "end" when there is none.
  std::string Next()
  {
    auto answer = ReadResponse(
      mStream, false, body_lease(8'000'000), ReadBootClock() + 8s, mYield);
    if (!answer) {
      return "end";
    }
    const bool isLast = answer->mHead.mHeaders.HasToken("Connection", "close");
    return std::to_string(answer->mHead.mStatus) + ' ' + answer->mBody +
           (isLast ? " close" : "");
  }

  void Close() { mStream.Close(); }

private:
  tcp_stream mStream;
  yield_context mYield;
};

/// Answers with the request's id after the time that its path names last.
scripted_target::script
AnsweringAfterPath(edge_fixture& aFixture)
{
  return [&aFixture](const http_request& aRequest,
                     tcp_stream& aStream,
                     yield_context aYield) {
    const auto& path = aRequest.mHead.mTarget;
    const auto wait = std::stoi(path.substr(path.rfind('/') + 1));
    aFixture.Sleep(std::chrono::milliseconds(wait), aYield);
    return SendText(
      aStream,
      GoodAnswer(aRequest,
                 aRequest.mHead.mHeaders.Find("Request").value_or("")),
      aYield);
  };
}

} // namespace

TEST_GROUP(read_ahead){};

// Guards against a request that runs although its caller takes it for unread.
TEST(read_ahead, OnlyRepeatableRequestsStartEarly)
{
  route_spec repeatable;
  repeatable.mRepeat = repeat_rule::Idempotent;
  route_spec once;
  once.mRepeat = repeat_rule::AtMostOnce;
  read_ahead_state state;
  state.mUnanswered = 1;
  request_head head;
  SECTION("a repeatable one does")
  {
    CHECK(MayStartEarly(head, &repeatable, state));
  }
  SECTION("one that must run once, or has no route, waits for its turn")
  {
    CHECK_FALSE(MayStartEarly(head, &once, state));
    CHECK_FALSE(MayStartEarly(head, nullptr, state));
  }
  SECTION("so does one whose length is not known, or that awaits a go-ahead")
  {
    head.mFraming.mIsChunked = true;
    CHECK_FALSE(MayStartEarly(head, &repeatable, state));
    head.mFraming.mIsChunked = false;
    head.mHeaders.Add("Expect", "100-continue");
    CHECK_FALSE(MayStartEarly(head, &repeatable, state));
  }
  head = request_head();
  SECTION("none behind the last request of a connection")
  {
    state.mIsClosing = true;
    CHECK_FALSE(MayStartEarly(head, &repeatable, state));
    state.mIsClosing = false;
  }
  SECTION("none at an instance that leaves, and only so many at once")
  {
    state.mIsServing = false;
    CHECK_FALSE(MayStartEarly(head, &repeatable, state));
    state.mIsServing = true;
    state.mUnanswered = 8;
    CHECK_FALSE(MayStartEarly(head, &repeatable, state));
  }
}

TEST_GROUP(pipelined_requests){};

// Guards against answers in another order than their requests, and against a
// slow answer that uses up the time of those behind it.
TEST(pipelined_requests, RunAtOnceAndAreAnsweredInOrder)
{
  edge_fixture fixture;
  fixture.AddTarget("t1", "catalogue", AnsweringAfterPath(fixture));
  fixture.AddTarget("w1", "workshop", AnsweringAfterPath(fixture));
  fixture.Run([&](yield_context aYield) {
    SECTION("the slowest decides, not the sum")
    {
      pipelining_caller caller(fixture, aYield);
      const auto begin = ReadBootClock();
      caller.Send(Request("GET", "/specs/600", "a") +
                  Request("GET", "/specs/500", "b") +
                  Request("GET", "/specs/400", "c"));
      CHECK_EQUAL(std::string("200 a"), caller.Next());
      CHECK_EQUAL(std::string("200 b"), caller.Next());
      CHECK_EQUAL(std::string("200 c"), caller.Next());
      // Served in turn they take 1,500 ms.
      CHECK(ReadBootClock() - begin < 1200ms);
    }
    SECTION("one that must run once waits until those in front are answered")
    {
      pipelining_caller caller(fixture, aYield);
      caller.Send(
        Request("GET", "/specs/300", "d") +
        Request("POST", "/cuts/0", "e", "Content-Length: 1\r\n", "x") +
        Request("GET", "/specs/0", "f"));
      fixture.Sleep(150ms, aYield);
      LONGS_EQUAL(0, fixture.mTargets[1]->Requests().size());
      CHECK_EQUAL(std::string("200 d"), caller.Next());
      CHECK_EQUAL(std::string("200 e"), caller.Next());
      CHECK_EQUAL(std::string("200 f"), caller.Next());
      LONGS_EQUAL(1, fixture.mTargets[1]->Requests().size());
    }
    SECTION("a body that comes late")
    {
      pipelining_caller caller(fixture, aYield);
      caller.Send(Request("GET", "/specs/100", "g") +
                  Request("PUT", "/specs/0", "h", "Content-Length: 4\r\n"));
      fixture.Sleep(30ms, aYield);
      caller.Send("ab");
      CHECK_EQUAL(std::string("200 g"), caller.Next());
      caller.Send("cd" + Request("GET", "/specs/0", "i"));
      CHECK_EQUAL(std::string("200 h"), caller.Next());
      CHECK_EQUAL(std::string("200 i"), caller.Next());
      for (const auto& seen : fixture.mTargets[0]->Requests()) {
        if (seen.mHead.mMethod == "PUT") {
          STRCMP_EQUAL("abcd", seen.mBody.c_str());
        }
      }
    }
    SECTION("more than may start at once are all answered")
    {
      pipelining_caller caller(fixture, aYield);
      std::string all;
      for (int i = 0; i < 30; ++i) {
        all += Request("GET", "/specs/5", "n" + std::to_string(i));
      }
      caller.Send(all);
      for (int i = 0; i < 30; ++i) {
        CHECK_EQUAL("200 n" + std::to_string(i), caller.Next());
      }
    }
  });
}

// Guards against requests that are held past their route's timeout because
// one in front of them is.
TEST(pipelined_requests, EachKeepsTheTimeoutOfItsRoute)
{
  edge_fixture fixture;
  fixture.AddTarget("t1", "catalogue", AnsweringAfterPath(fixture));
  fixture.Run([&](yield_context aYield) {
    pipelining_caller caller(fixture, aYield);
    const auto begin = ReadBootClock();
    // The timeout of the route is 300 ms.
    caller.Send(Request("GET", "/short/2000", "a") +
                Request("GET", "/short/2000", "b") +
                Request("GET", "/short/2000", "c"));
    for (int i = 0; i < 3; ++i) {
      CHECK_EQUAL(std::string("504"), caller.Next().substr(0, 3));
    }
    CHECK(ReadBootClock() - begin < 700ms);
  });
}

// Guards against a request that runs behind the end of its connection, and
// against an end that loses the answer in front of it.
TEST(pipelined_requests, WhatStandsBehindTheEndIsNotPassedOn)
{
  edge_fixture fixture;
  auto& target =
    fixture.AddTarget("t1", "catalogue", AnsweringAfterPath(fixture));
  fixture.Run([&](yield_context aYield) {
    SECTION("behind a request that asks for the close")
    {
      pipelining_caller caller(fixture, aYield);
      caller.Send(Request("GET", "/specs/100", "a", "Connection: close\r\n") +
                  Request("GET", "/specs/0", "b"));
      CHECK_EQUAL(std::string("200 a close"), caller.Next());
      CHECK_EQUAL(std::string("end"), caller.Next());
      LONGS_EQUAL(1, target.Requests().size());
    }
    SECTION("behind a malformed head, the third of four")
    {
      pipelining_caller caller(fixture, aYield);
      caller.Send(Request("GET", "/specs/50", "c") +
                  Request("GET", "/specs/0", "d") +
                  "GET /specs/0 HTTP/1.1\r\nHost : shop.example\r\n\r\n" +
                  Request("GET", "/specs/0", "e"));
      CHECK_EQUAL(std::string("200 c"), caller.Next());
      CHECK_EQUAL(std::string("200 d"), caller.Next());
      CHECK_EQUAL(std::string("400"), caller.Next().substr(0, 3));
      CHECK_EQUAL(std::string("end"), caller.Next());
      LONGS_EQUAL(3, target.Requests().size());
    }
    SECTION("of a caller that leaves, nothing goes on")
    {
      const auto before = target.Requests().size();
      pipelining_caller caller(fixture, aYield);
      caller.Send(Request("GET", "/specs/3000", "f") +
                  Request("GET", "/specs/3000", "g"));
      while (target.Requests().size() < before + 2) {
        fixture.Sleep(5ms, aYield);
      }
      caller.Send(Request("POST", "/cuts/0", "h", "Content-Length: 0\r\n"));
      caller.Close();
      fixture.Sleep(200ms, aYield);
      LONGS_EQUAL(before + 2, target.Requests().size());
      STRCMP_CONTAINS("cowslipline_requests_in_flight 0",
                      fixture.mInstance->RenderPage("/metrics").mBody.c_str());
    }
  });
}

// Guards against a close that resets the connection because of bytes that
// nobody reads, and takes the rest of the last answer with it.
TEST(pipelined_requests, TheLastAnswerArrivesWhole)
{
  edge_fixture fixture;
  const std::string body(300'000, 'x');
  fixture.AddTarget(
    "t1",
    "catalogue",
    [&](
      const http_request& aRequest, tcp_stream& aStream, yield_context aYield) {
      return SendText(aStream, GoodAnswer(aRequest, body), aYield);
    });
  fixture.Run([&](yield_context aYield) {
    pipelining_caller caller(fixture, aYield, 4096);
    caller.Send(Request("GET", "/specs/0", "a", "Connection: close\r\n"));
    fixture.Sleep(100ms, aYield);
    // Arrives when the answer is on its way.
    caller.Send(Request("GET", "/specs/0", "b"));
    fixture.Sleep(300ms, aYield);
    CHECK(caller.Next() == "200 " + body + " close");
    CHECK_EQUAL(std::string("end"), caller.Next());
  });
}

// Guards against a shutdown that cuts what it has started, and against one
// that starts what it will not finish (P10).
TEST(pipelined_requests, ALeavingInstanceAnswersWhatItHasStarted)
{
  edge_fixture fixture;
  fixture.AddTarget("t1", "catalogue", AnsweringAfterPath(fixture));
  auto& workshop =
    fixture.AddTarget("w1", "workshop", AnsweringAfterPath(fixture));
  bool isWhole = false;
  asio::spawn(
    fixture.mContext,
    [&](yield_context aYield) {
      fixture.Sleep(100ms, aYield);
      isWhole = fixture.mInstance->Leave(aYield);
    },
    boost::coroutines::attributes(128UL * 1024));
  fixture.Run([&](yield_context aYield) {
    pipelining_caller caller(fixture, aYield);
    caller.Send(Request("GET", "/specs/500", "a") +
                Request("GET", "/specs/400", "b") +
                Request("GET", "/specs/300", "c") +
                Request("POST", "/cuts/0", "d", "Content-Length: 0\r\n"));
    CHECK_EQUAL(std::string("200 a"), caller.Next());
    CHECK_EQUAL(std::string("200 b"), caller.Next());
    CHECK_EQUAL(std::string("200 c close"), caller.Next());
    CHECK_EQUAL(std::string("end"), caller.Next());
    LONGS_EQUAL(0, workshop.Requests().size());
    while (!isWhole) {
      fixture.Sleep(50ms, aYield);
    }
  });
  CHECK(isWhole);
}
