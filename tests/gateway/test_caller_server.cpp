#include "tests/gateway/gateway_fixture.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;

namespace {

std::string
WithHeaders(std::string_view aHeaders)
{
  return gateway_fixture::Request("POST", "/echo", {}, aHeaders);
}

/// Sends raw bytes; true when they are refused with the status and the
/// connection is closed.
bool
IsRefusedAndClosed(const gateway_fixture& aFixture,
                   std::string_view aBytes,
                   int aStatus)
{
  auto socket = aFixture.Connect();
  socket.Send(aBytes);
  const auto answer = socket.Receive();
  return answer.Status() == aStatus &&
         answer.Header("Cowslipline-Ran") == "not_run" &&
         answer.Header("Connection") == "close" && socket.IsClosedByPeer();
}

} // namespace

TEST_GROUP(caller_server){};

// Guards against request smuggling: two parsers that disagree about where a
// request ends, and header injection through lenient parsing.
TEST(caller_server, RefusesAmbiguousRequests)
{
  scripted_upstream upstream;
  gateway_fixture fixture({ upstream.Port() });
  const std::vector<std::string> ambiguous{
    WithHeaders("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
    WithHeaders("Content-Length: 3\r\nContent-Length: 3\r\n"),
    WithHeaders("Content-Length: +3\r\n"),
    WithHeaders("Content-Length: 3, 3\r\n"),
    WithHeaders("Content-Length: 99999999999999999999\r\n"),
    WithHeaders("Content-Length:\r\n"),
    WithHeaders("Transfer-Encoding: gzip, chunked\r\n"),
    WithHeaders("Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n"),
    WithHeaders("X-A: a\r\n folded\r\n"),
    WithHeaders("X-A: a\x01\r\n"),
    WithHeaders("X-A: a\rb\r\n"),
    WithHeaders("X-A: a\nX-B: b\r\n"),
    WithHeaders("X-A : a\r\n"),
    WithHeaders(": a\r\n"),
    WithHeaders("no colon\r\n"),
    WithHeaders("Host: second\r\n"),
    "GET /echo HTTP/1.1\r\n\r\n",
    "GET /echo HTTP/2.0\r\nHost: a\r\n\r\n",
    "GET  /echo HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET http://a/echo HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET /echo\x7f HTTP/1.1\r\nHost: a\r\n\r\n",
    "\r\nGET /echo HTTP/1.1\r\nHost: a\r\n\r\n",
    WithHeaders("Transfer-Encoding: chunked\r\n") + "3;x\r\nabcd\r\n0\r\n\r\n",
    WithHeaders("Transfer-Encoding: chunked\r\n") + "-3\r\nabc\r\n0\r\n\r\n",
    WithHeaders("Transfer-Encoding: chunked\r\n") + "0x3\r\nabc\r\n0\r\n\r\n",
  };
  for (const auto& bytes : ambiguous) {
    SECTION(bytes)
    {
      CHECK(IsRefusedAndClosed(fixture, bytes, 400));
    }
  }
  LONGS_EQUAL(0, upstream.Seen().size());
  LONGS_EQUAL(ambiguous.size(),
              fixture.Refusals(refusal_reason::RequestMalformed));
}

// Guards against a body of GET that is taken for the next request.
TEST(caller_server, KeepsBodiesAndRequestsApart)
{
  scripted_upstream upstream;
  gateway_fixture fixture({ upstream.Port() });
  auto socket = fixture.Connect();
  const std::string inner = gateway_fixture::Request("GET", "/echo/inner");
  socket.Send(gateway_fixture::Request("GET", "/echo", inner) +
              WithHeaders("Transfer-Encoding: chunked\r\n") +
              "3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n" +
              gateway_fixture::Request("POST", "/echo", "third"));
  // Pipelined requests are answered in their order.
  STRCMP_EQUAL(inner.c_str(), socket.Receive().mBody.c_str());
  STRCMP_EQUAL("abcde", socket.Receive().mBody.c_str());
  STRCMP_EQUAL("third", socket.Receive().mBody.c_str());
  LONGS_EQUAL(3, upstream.Seen().size());
}

// Guards against the limits of the library (forms of 8 KiB, multipart parsing)
// and its changes of answers by Range and Accept-Encoding.
TEST(caller_server, PassesBodiesByteForByte)
{
  scripted_upstream upstream([](const http_message& aRequest, auto& aSocket) {
    aSocket.Send(
      scripted_upstream::Answer(aRequest.mBody,
                                "Content-Type: text/plain\r\n"
                                "X-Value: a%0d%0aX-Injected: 1\r\n"));
    return true;
  });
  gateway_fixture fixture({ upstream.Port() });
  std::string body(20'000, '%');
  body += std::string("\0\r\n\xff", 4);
  for (const std::string_view headers :
       { "Content-Type: application/x-www-form-urlencoded\r\n",
         "Content-Type: multipart/form-data; boundary=b\r\n",
         "Range: bytes=0-3\r\nAccept-Encoding: gzip, br\r\n",
         "Content-Encoding: gzip\r\nExpect: 100-continue\r\n" }) {
    SECTION(std::string(headers))
    {
      const auto answer = fixture.Call("POST", "/echo", body, headers);
      LONGS_EQUAL(200, answer.Status());
      CHECK(answer.mBody == body);
      // Percent signs must not become line ends in headers either.
      STRCMP_EQUAL("a%0d%0aX-Injected: 1", answer.Header("X-Value").c_str());
    }
  }
}

TEST(caller_server, BoundsSizes)
{
  scripted_upstream upstream;
  gateway_fixture fixture({ upstream.Port() });

  SECTION("many header lines")
  {
    std::string lines;
    for (int i = 0; i < 101; ++i) {
      lines += "X-A: a\r\n";
    }
    CHECK(IsRefusedAndClosed(fixture, WithHeaders(lines), 431));
  }
  SECTION("a head that does not end")
  {
    CHECK(IsRefusedAndClosed(
      fixture, "GET /echo HTTP/1.1\r\nX-A: " + std::string(16'384, 'a'), 431));
  }
  SECTION("a declared body over the limit of the route")
  {
    CHECK(IsRefusedAndClosed(
      fixture, gateway_fixture::Request("POST", "/small", "12345678901"), 413));
  }
  SECTION("a chunked body over the limit of the route")
  {
    CHECK(IsRefusedAndClosed(
      fixture,
      gateway_fixture::Request(
        "POST", "/small", {}, "Transfer-Encoding: chunked\r\n") +
        "8\r\n12345678\r\n8\r\n12345678\r\n0\r\n\r\n",
      413));
  }
  LONGS_EQUAL(0, upstream.Seen().size());
  LONGS_EQUAL(0, fixture.mGateway->BodyBudget().Taken());
}

// Guards against callers that fill the memory of the instance.
TEST(caller_server, BoundsBufferedBodiesOfTheInstance)
{
  scripted_upstream upstream;
  gateway_options options;
  options.mBodyBudget = 100'000;
  gateway_fixture fixture({ upstream.Port() }, options);
  LONGS_EQUAL(200, fixture.Call("POST", "/echo", "small").Status());
  const auto answer = fixture.Call("POST", "/echo", std::string(100'001, 'a'));
  LONGS_EQUAL(503, answer.Status());
  STRCMP_EQUAL("overloaded", answer.Header("Cowslipline-Reason").c_str());
  STRCMP_EQUAL("not_run", answer.Header("Cowslipline-Ran").c_str());
  CHECK(WaitUntil([&] { return fixture.mGateway->BodyBudget().Taken() == 0; }));
}

// Guards against senders that hold a thread by single bytes, each of which
// would restart a timeout for single reads.
TEST(caller_server, BoundsSlowSenders)
{
  scripted_upstream upstream;
  gateway_options options;
  options.mCallers.mTimeouts.mHead = std::chrono::milliseconds(150);
  options.mCallers.mTimeouts.mBody = std::chrono::milliseconds(150);
  gateway_fixture fixture({ upstream.Port() }, options);
  const auto trickle = [&](std::string_view aStart) {
    auto socket = fixture.Connect();
    socket.Send(aStart);
    std::atomic<bool> isDone{ false };
    std::thread sender([&] {
      while (!isDone) {
        socket.Send("a");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
    });
    const auto answer = socket.Receive();
    isDone = true;
    sender.join();
    return answer.Status();
  };
  SECTION("the head")
  {
    LONGS_EQUAL(400, trickle("GET /echo HTTP/1.1\r\nX: "));
  }
  SECTION("the body")
  {
    LONGS_EQUAL(400, trickle(WithHeaders("Content-Length: 50000\r\n")));
  }
  LONGS_EQUAL(0, upstream.Seen().size());
}

// Guards against a queue without a bound and against connections that hold a
// thread while others wait for one.
TEST(caller_server, BoundsConnections)
{
  std::atomic<bool> isHeld{ true };
  scripted_upstream upstream([&](const http_message& aRequest, auto& aSocket) {
    if (aRequest.mBody == "hold") {
      WaitUntil([&] { return !isHeld; });
    }
    return scripted_upstream::Echo(aRequest, aSocket);
  });
  gateway_options options;
  options.mCallers.mThreads = 2;
  options.mCallers.mQueueBound = 1;
  gateway_fixture fixture({ upstream.Port() }, options);
  const auto hold = gateway_fixture::Request("POST", "/echo", "hold");
  const auto next = gateway_fixture::Request("POST", "/echo", "next");

  auto first = fixture.Connect();
  first.Send(hold);
  CHECK(WaitUntil([&] { return upstream.Seen().size() == 1; }));
  SECTION("an idle connection makes room")
  {
    auto idle = fixture.Connect();
    idle.Send(next);
    LONGS_EQUAL(200, idle.Receive().Status());
    auto other = fixture.Connect();
    other.Send(next);
    LONGS_EQUAL(200, other.Receive().Status());
    CHECK(idle.IsClosedByPeer());
  }
  auto second = fixture.Connect();
  second.Send(hold);
  CHECK(WaitUntil([&] { return upstream.Seen().size() == 4; }));
  auto queued = fixture.Connect();
  queued.Send(next);
  SECTION("one over the bound is refused, not run")
  {
    CHECK(IsRefusedAndClosed(fixture, next, 503));
    LONGS_EQUAL(1, fixture.Refusals(refusal_reason::Overloaded));
    LONGS_EQUAL(4, upstream.Seen().size());
  }
  isHeld = false;
  SECTION("the others are served")
  {
    STRCMP_EQUAL("hold", first.Receive().mBody.c_str());
    STRCMP_EQUAL("hold", second.Receive().mBody.c_str());
    STRCMP_EQUAL("next", queued.Receive().mBody.c_str());
  }
}

// Guards against a shutdown that cuts requests (P10).
TEST(caller_server, StopsGracefully)
{
  std::atomic<bool> isHeld{ true };
  scripted_upstream upstream([&](const http_message& aRequest, auto& aSocket) {
    WaitUntil([&] { return !isHeld; });
    return scripted_upstream::Echo(aRequest, aSocket);
  });
  gateway_fixture fixture({ upstream.Port() });
  auto idle = fixture.Connect();
  idle.Send(gateway_fixture::Request("GET", "/nowhere"));
  LONGS_EQUAL(404, idle.Receive().Status());
  auto busy = fixture.Connect();
  busy.Send(gateway_fixture::Request("POST", "/echo", "in flight"));
  CHECK(WaitUntil([&] { return upstream.Seen().size() == 1; }));
  auto sending = fixture.Connect();
  const auto late = gateway_fixture::Request("POST", "/echo", "half sent");
  sending.Send(late.substr(0, 40));
  CHECK(WaitUntil([&] { return fixture.mGateway->OpenConnections() == 3; }));

  std::atomic<bool> isWhole{ false };
  std::thread stopping([&] {
    isWhole = fixture.mGateway->StopGracefully(std::chrono::seconds(10));
  });
  CHECK(idle.IsClosedByPeer());
  sending.Send(late.substr(40));
  CHECK(WaitUntil([&] { return upstream.Seen().size() == 2; }));
  isHeld = false;
  for (auto* socket : { &busy, &sending }) {
    const auto answer = socket->Receive();
    LONGS_EQUAL(200, answer.Status());
    STRCMP_EQUAL("close", answer.Header("Connection").c_str());
    CHECK(socket->IsClosedByPeer());
    socket->Close();
  }
  stopping.join();
  CHECK(isWhole);
}

// Guards against a stop that never ends because an upstream or a caller hangs.
TEST(caller_server, BreaksWhatIsLeftAfterTheGrace)
{
  std::atomic<bool> isHeld{ true };
  scripted_upstream upstream([&](const http_message&, test_socket&) {
    WaitUntil([&] { return !isHeld; });
    return false;
  });
  gateway_options options;
  options.mCallers.mThreads = 1;
  gateway_fixture fixture({ upstream.Port() }, options);
  auto busy = fixture.Connect();
  busy.Send(gateway_fixture::Request("GET", "/echo"));
  CHECK(WaitUntil([&] { return upstream.Seen().size() == 1; }));
  auto queued = fixture.Connect();
  queued.Send("GET /echo HTTP/1.1\r\n");
  CHECK(!fixture.mGateway->StopGracefully(std::chrono::milliseconds(50)));
  isHeld = false;
}

// Guards against a request that a planned stop ends without an answer while its
// upstream is at work.
TEST(caller_server, AnswersWhatIsLeftAfterTheGrace)
{
  std::atomic<bool> isHeld{ true };
  scripted_upstream upstream([&](const http_message&, test_socket&) {
    WaitUntil([&] { return !isHeld; });
    return false;
  });
  gateway_fixture fixture({ upstream.Port() });
  auto busy = fixture.Connect();
  busy.Send(
    gateway_fixture::Request("POST", "/order", "x", "Idempotency-Key: k1\r\n"));
  CHECK(WaitUntil([&] { return upstream.Seen().size() == 1; }));
  CHECK(!fixture.mGateway->StopGracefully(std::chrono::milliseconds(50)));
  LONGS_EQUAL(502, busy.Receive().Status());
  isHeld = false;
}

// Guards against a hidden path to a guarded route: the gateway and an upstream
// must read a path alike (P2).
TEST(caller_server, RefusesDoubtfulPaths)
{
  scripted_upstream upstream;
  gateway_fixture fixture({ upstream.Port() });
  for (const std::string_view path : { "/open/../echo",
                                       "/open/%2e%2e/echo",
                                       "/open/..;x/echo",
                                       "/open//echo",
                                       "/open%2f..%2fecho",
                                       "/open\\..\\echo",
                                       "/open/%5c..",
                                       "/open/%zz",
                                       "/open/%0a" }) {
    SECTION(std::string(path))
    {
      LONGS_EQUAL(400, fixture.Call("GET", path).Status());
    }
  }
  LONGS_EQUAL(404, fixture.Call("GET", "/opening").Status());
  LONGS_EQUAL(405, fixture.Call("DELETE", "/open").Status());
  LONGS_EQUAL(200, fixture.Call("GET", "/%6fpen/x").Status());
  LONGS_EQUAL(1, upstream.Seen().size());
}
