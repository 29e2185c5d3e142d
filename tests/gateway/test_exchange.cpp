#include "core/random.h"
#include "tests/gateway/gateway_fixture.h"
#include "tests/story.h"

#include <sys/socket.h>

using namespace cowslipline;
using namespace cowslipline::testing;

TEST_GROUP(exchange){};

TEST(exchange, PassesRequestsAndAnswers)
{
  scripted_upstream upstream;
  gateway_fixture fixture({ upstream.Port() });

  SECTION("a request without a body")
  {
    const auto answer = fixture.Call("GET", "/echo/a?b=%2F&c=+d");
    LONGS_EQUAL(200, answer.Status());
    STRCMP_EQUAL("GET /echo/a?b=%2F&c=+d HTTP/1.1",
                 upstream.Seen()[0].mHead.substr(0, 31).c_str());
  }
  SECTION("a request with a body")
  {
    const auto answer = fixture.Call("POST", "/echo", "hello");
    LONGS_EQUAL(200, answer.Status());
    STRCMP_EQUAL("hello", answer.mBody.c_str());
  }
  SECTION("a request that must not run twice")
  {
    const auto answer =
      fixture.Call("POST", "/order", "glass", "Idempotency-Key: k1\r\n");
    LONGS_EQUAL(200, answer.Status());
    LONGS_EQUAL(1, fixture.mDecisions.mFinished);
    const auto replay =
      fixture.Call("POST", "/order", "glass", "Idempotency-Key: k1\r\n");
    STRCMP_EQUAL("glass", replay.mBody.c_str());
    STRCMP_EQUAL("true", replay.Header("Cowslipline-Replayed").c_str());
    LONGS_EQUAL(3, upstream.Seen().size());
  }
}

namespace {

constexpr std::string_view kIdempotencyKey = "Idempotency-Key: order-1\r\n";

std::size_t
CountOrders(const scripted_upstream& aUpstream)
{
  std::size_t count = 0;
  for (const auto& request : aUpstream.Seen()) {
    count += request.mHead.substr(0, 11) == "POST /order" ? 1 : 0;
  }
  return count;
}

struct failure_point
{
  std::string mName;
  scripted_upstream::script mScript;
  std::string mReason; ///< Of the refusal when nothing is left to try.
  std::string mRan;
};

bool
Hang(const http_message&, test_socket& aSocket)
{
  aSocket.IsClosedByPeer();
  return false;
}

scripted_upstream::script
Raw(std::string aBytes)
{
  return [bytes = std::move(aBytes)](const auto&, test_socket& aSocket) {
    aSocket.Send(bytes);
    return false;
  };
}

std::vector<failure_point>
FailurePoints()
{
  const auto answer = scripted_upstream::Answer;
  return {
    { "closes without an answer", Raw(""), "upstream_incomplete", "unknown" },
    { "resets",
      [](const auto&, test_socket& aSocket) {
        aSocket.Reset();
        return false;
      },
      "upstream_incomplete",
      "unknown" },
    { "cuts the head",
      Raw("HTTP/1.1 200 O"),
      "upstream_incomplete",
      "unknown" },
    { "cuts the body",
      Raw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
      "upstream_incomplete",
      "unknown" },
    { "cuts a chunked body",
      Raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
      "upstream_incomplete",
      "unknown" },
    { "ends the body with the connection",
      Raw("HTTP/1.1 200 OK\r\n\r\nmaybe whole"),
      "upstream_incomplete",
      "unknown" },
    { "answers with two lengths",
      Raw(
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
      "upstream_wrong_answer",
      "unknown" },
    { "answers another request",
      Raw(answer("x", "X-Request-Id: somebody-else\r\n", "200 OK")),
      "upstream_wrong_answer",
      "unknown" },
    { "is not HTTP", Raw("hello\r\n\r\n"), "upstream_wrong_answer", "unknown" },
    { "answers with status 000",
      Raw(answer("x", "", "000 OK")),
      "upstream_wrong_answer",
      "unknown" },
    { "sends a blank in a field name",
      Raw(answer("x", "Fil ler: 1\r\n", "200 OK")),
      "upstream_wrong_answer",
      "unknown" },
    { "sends a blank behind the name of the length",
      Raw("HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nxy"),
      "upstream_wrong_answer",
      "unknown" },
    { "sends a control byte in a field name",
      Raw(answer("x", "Fil\x01ler: 1\r\n", "200 OK")),
      "upstream_wrong_answer",
      "unknown" },
    { "fails",
      Raw(answer("x", "", "500 Internal Server Error")),
      "upstream_failed",
      "unknown" },
    { "is busy without saying that it did not run",
      Raw(answer("x", "", "503 Service Unavailable")),
      "upstream_failed",
      "unknown" },
    { "sheds",
      Raw(answer("x", "Cowslipline-Shed: not-run\r\n", "503 Busy")),
      "overloaded",
      "not_run" },
    { "stays silent", Hang, "upstream_timeout", "unknown" },
  };
}

} // namespace

TEST_GROUP(failures){};

// Guards against a request that runs twice (P8) and against refusals that say
// "not run" although the request may have run (P7).
TEST(failures, NeverSendOrdersTwice)
{
  for (const auto& point : FailurePoints()) {
    SECTION(point.mName)
    {
      scripted_upstream failing(point.mScript);
      scripted_upstream healthy;
      gateway_fixture fixture(
        { failing.Port(), healthy.Port() }, {}, std::chrono::milliseconds(300));
      const auto answer =
        fixture.Call("POST", "/order", "glass", kIdempotencyKey);
      LONGS_EQUAL(1, CountOrders(failing));
      if (point.mRan == "not_run") {
        // Certainly not run: sent to the other target.
        LONGS_EQUAL(200, answer.Status());
        LONGS_EQUAL(1, CountOrders(healthy));
        LONGS_EQUAL(1, fixture.mDecisions.mFinished);
      } else {
        STRCMP_EQUAL(point.mReason.c_str(),
                     answer.Header("Cowslipline-Reason").c_str());
        STRCMP_EQUAL("unknown", answer.Header("Cowslipline-Ran").c_str());
        LONGS_EQUAL(0, CountOrders(healthy));
        LONGS_EQUAL(0, fixture.mDecisions.mReleased);
        // A resend is not run either.
        const auto resend =
          fixture.Call("POST", "/order", "glass", kIdempotencyKey);
        STRCMP_EQUAL("outcome_unknown",
                     resend.Header("Cowslipline-Reason").c_str());
        LONGS_EQUAL(1, CountOrders(failing) + CountOrders(healthy));
      }
      LONGS_EQUAL(0, fixture.mDecisions.mSlotsTaken);
    }
  }
}

TEST(failures, AreToldTruthfullyAndLeaveQueriesARetry)
{
  for (const auto& point : FailurePoints()) {
    SECTION(point.mName)
    {
      scripted_upstream failing(point.mScript);
      scripted_upstream healthy;
      gateway_fixture fixture(
        { failing.Port(), healthy.Port() }, {}, std::chrono::milliseconds(300));
      STRCMP_EQUAL("again",
                   fixture.Call("POST", "/echo", "again").mBody.c_str());
      LONGS_EQUAL(1, failing.Seen().size());

      fixture.mDecisions.mRetriesLeft = 0;
      const auto refused = fixture.Call("POST", "/echo", "once");
      STRCMP_EQUAL(point.mReason.c_str(),
                   refused.Header("Cowslipline-Reason").c_str());
      STRCMP_EQUAL(point.mRan.c_str(),
                   refused.Header("Cowslipline-Ran").c_str());
      LONGS_EQUAL(1, healthy.Seen().size());
    }
  }
}

// Guards against "not run" from a later attempt that hides an earlier one
// which may have run.
TEST(failures, RememberEarlierAttempts)
{
  scripted_upstream failing(Raw("HTTP/1.1 200 O"));
  gateway_fixture fixture({ failing.Port(), ClosedPort() });
  const auto answer = fixture.Call("GET", "/echo");
  STRCMP_EQUAL("upstream_unreachable",
               answer.Header("Cowslipline-Reason").c_str());
  STRCMP_EQUAL("unknown", answer.Header("Cowslipline-Ran").c_str());
  CHECK(answer.mBody.find("did not run") == std::string::npos);
}

TEST(failures, OfConnectingCertainlyDidNotRun)
{
  scripted_upstream healthy;
  SECTION("an order goes to another target")
  {
    gateway_fixture fixture({ ClosedPort(), healthy.Port() });
    LONGS_EQUAL(
      200, fixture.Call("POST", "/order", "glass", kIdempotencyKey).Status());
    CHECK(
      fixture.mDecisions.Reports() ==
      (std::vector{ attempt_class::ConnectFailure, attempt_class::Success }));
  }
  SECTION("an order without another target may be sent again")
  {
    gateway_fixture fixture({ ClosedPort() });
    const auto answer =
      fixture.Call("POST", "/order", "glass", kIdempotencyKey);
    STRCMP_EQUAL("upstream_unreachable",
                 answer.Header("Cowslipline-Reason").c_str());
    STRCMP_EQUAL("not_run", answer.Header("Cowslipline-Ran").c_str());
    LONGS_EQUAL(1, fixture.mDecisions.mReleased);
  }
}

TEST_GROUP(connections){};

// Guards against answers that reach the wrong caller (P6).
TEST(connections, CarryOneExchangeAtATime)
{
  scripted_upstream upstream;
  gateway_fixture fixture({ upstream.Port() });

  SECTION("callers at once on kept-alive connections get their own answers")
  {
    std::atomic<int> wrong{ 0 };
    std::vector<std::thread> callers;
    callers.reserve(4);
    for (int caller = 0; caller < 4; ++caller) {
      callers.emplace_back([&, caller] {
        auto socket = fixture.Connect();
        for (int i = 0; i < 50; ++i) {
          const auto body = std::to_string(caller) + "/" + std::to_string(i);
          socket.Send(gateway_fixture::Request("POST", "/echo", body));
          wrong += socket.Receive().mBody == body ? 0 : 1;
        }
      });
    }
    for (auto& caller : callers) {
      caller.join();
    }
    LONGS_EQUAL(0, wrong);
    CHECK(upstream.Connections() <= 4);
  }
  SECTION("bytes that follow an answer are not the next answer")
  {
    upstream.SetScript([](const http_message& aRequest, test_socket& aSocket) {
      aSocket.Send(scripted_upstream::Answer(aRequest.mBody) +
                   scripted_upstream::Answer("late"));
      return true;
    });
    STRCMP_EQUAL("a", fixture.Call("POST", "/echo", "a").mBody.c_str());
    STRCMP_EQUAL("b", fixture.Call("POST", "/echo", "b").mBody.c_str());
  }
  SECTION("a late answer is not the answer to the next request")
  {
    std::atomic<bool> isLate{ false };
    upstream.SetScript([&](const http_message& aRequest, test_socket& aSocket) {
      if (aRequest.mBody == "slow") {
        WaitUntil([&] { return isLate.load(); });
      }
      return scripted_upstream::Echo(aRequest, aSocket);
    });
    gateway_fixture hurried(
      { upstream.Port() }, {}, std::chrono::milliseconds(100));
    LONGS_EQUAL(504, hurried.Call("POST", "/echo", "slow").Status());
    isLate = true;
    STRCMP_EQUAL("next", hurried.Call("POST", "/echo", "next").mBody.c_str());
  }
}

TEST(connections, AreNotReusedAfterTheUpstreamClosedThem)
{
  scripted_upstream upstream([](const http_message& aRequest, auto& aSocket) {
    scripted_upstream::Echo(aRequest, aSocket);
    return false;
  });
  gateway_fixture fixture({ upstream.Port() });
  int calls = 0;
  for (const std::string body : { "a", "b", "c" }) {
    STRCMP_EQUAL(body.c_str(),
                 fixture.Call("POST", "/echo", body).mBody.c_str());
    ++calls;
    // Before that, the gateway cannot know.
    CHECK(WaitUntil([&] { return upstream.Closed() == calls; }));
  }
  LONGS_EQUAL(3, upstream.Connections());
}

// Guards against a re-send on the same target when the upstream closes a
// kept-alive connection while the next request is on its way: the request may
// have run.
TEST(connections, ThatCloseUnderARequestLeaveItsRunUnknown)
{
  scripted_upstream closing([](const http_message& aRequest, auto& aSocket) {
    return aRequest.mBody != "second" &&
           scripted_upstream::Echo(aRequest, aSocket);
  });
  scripted_upstream healthy;
  gateway_fixture fixture({ closing.Port(), healthy.Port() });
  fixture.Call("POST", "/echo", "first");
  STRCMP_EQUAL("second", fixture.Call("POST", "/echo", "second").mBody.c_str());
  LONGS_EQUAL(1, closing.Connections());
  LONGS_EQUAL(2, closing.Seen().size());
  LONGS_EQUAL(1, healthy.Seen().size());

  fixture.mDecisions.mRetriesLeft = 0;
  fixture.Call("POST", "/echo", "first");
  const auto refused = fixture.Call("POST", "/echo", "second");
  STRCMP_EQUAL("upstream_incomplete",
               refused.Header("Cowslipline-Reason").c_str());
  STRCMP_EQUAL("unknown", refused.Header("Cowslipline-Ran").c_str());
  LONGS_EQUAL(2, closing.Connections());
  LONGS_EQUAL(2, fixture.mDecisions.mResets);
}

// Guards against connections that went silent for good while new ones work.
TEST(connections, AsOldAsASilentOneAreNotReused)
{
  std::atomic<int> turn{ 0 };
  scripted_upstream upstream([&](const http_message& aRequest, auto& aSocket) {
    if (aRequest.mBody == "silent") {
      return Hang(aRequest, aSocket);
    }
    WaitUntil([&] { return turn >= std::stoi(aRequest.mBody); });
    return scripted_upstream::Echo(aRequest, aSocket);
  });
  gateway_fixture fixture({ upstream.Port() }, {}, std::chrono::seconds(1));
  fixture.mDecisions.mRetriesLeft = 0;
  // Three connections, opened and given back in their order: the next request
  // takes the newest one.
  std::vector<std::thread> callers;
  for (int i = 1; i <= 3; ++i) {
    callers.emplace_back(
      [&, i] { fixture.Call("POST", "/echo", std::to_string(i)); });
    CHECK(WaitUntil([&] { return upstream.Connections() == i; }));
  }
  for (auto& caller : callers) {
    ++turn;
    caller.join();
  }
  LONGS_EQUAL(504, fixture.Call("POST", "/echo", "silent").Status());
  LONGS_EQUAL(3, upstream.Connections());
  LONGS_EQUAL(200, fixture.Call("POST", "/echo", "0").Status());
  LONGS_EQUAL(4, upstream.Connections());
}

// Guards against waiting for the deadline when an upstream refuses a large
// request without reading it.
TEST(connections, CarryAnswersThatComeBeforeTheWholeRequest)
{
  std::atomic<bool> isDone{ false };
  scripted_upstream shedding(
    [&](const http_message&, test_socket& aSocket) {
      aSocket.Send(scripted_upstream::Answer(
        "", "Cowslipline-Shed: not-run\r\n", "503 Busy"));
      WaitUntil([&] { return isDone.load(); });
      return false;
    },
    false);
  scripted_upstream healthy;
  gateway_fixture fixture(
    { shedding.Port(), healthy.Port() }, {}, std::chrono::seconds(30));
  const std::string body(std::size_t(24) << 20, 'a');
  const auto answer = fixture.Call("POST", "/order", body, kIdempotencyKey);
  CHECK(answer.mBody == body);
  CHECK(fixture.mDecisions.Reports() ==
        (std::vector{ attempt_class::Shed, attempt_class::Success }));
  isDone = true;
}

// Guards against a part of an answer without a length that is taken for the
// whole when its connection fails while the request is being written.
TEST(connections, CarryNoPartOfAnAnswerDuringAnUpload)
{
  scripted_upstream upstream(
    [&](const http_message&, test_socket& aSocket) {
      aSocket.Send("HTTP/1.1 200 OK\r\n\r\na part");
      aSocket.Reset();
      return false;
    },
    false);
  gateway_fixture fixture({ upstream.Port() }, {}, std::chrono::seconds(30));
  const std::string body(std::size_t(24) << 20, 'a');
  const auto answer = fixture.Call("POST", "/order", body, kIdempotencyKey);
  LONGS_EQUAL(502, answer.Status());
  CHECK(fixture.mDecisions.Reports() ==
        (std::vector{ attempt_class::Incomplete }));
}

// Guards against bytes without end that fill the memory of the instance.
TEST(connections, CutAnswersWithoutEnd)
{
  constexpr std::size_t kFloodBytes = std::size_t(64) << 20;
  // What the buffers of a connection and the largest head hold.
  constexpr std::size_t kMostTaken = std::size_t(16) << 20;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string header = "Filler: " + std::string(4000, 'x') + "\r\n";
  const std::string block(4096, 'x');
  struct endless
  {
    const char* mName;
    std::string mHead;
    std::string mBlock;
  };
  const std::vector<endless> cases = {
    { "a head", ok, header },
    { "a line of a head", ok, block },
    { "bytes that are no answer", "", std::string(4096, '%') },
    { "interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n" },
    { "a body without a length", ok + "\r\n", block },
    { "a body with a length",
      ok + "Content-Length: 9000000000\r\n\r\n",
      block },
    { "chunks", chunked, "1\r\nx\r\n" },
    { "a chunk that is too long", chunked + "ffffffffff\r\n", block },
    { "the line of a chunk", chunked + "5;", block },
    { "trailers", chunked + "0\r\n", header },
  };
  for (const auto& endless : cases) {
    std::atomic<std::size_t> sent{ 0 };
    scripted_upstream upstream([&](const http_message&, test_socket& aSocket) {
      aSocket.Send(endless.mHead);
      while (sent < kFloodBytes) {
        const auto count = ::send(aSocket.Descriptor(),
                                  endless.mBlock.data(),
                                  endless.mBlock.size(),
                                  MSG_NOSIGNAL);
        if (count <= 0) {
          break;
        }
        sent += static_cast<std::size_t>(count);
      }
      return false;
    });
    gateway_fixture fixture({ upstream.Port() });
    SECTION(endless.mName)
    {
      const auto answer = fixture.Call("POST", "/small", "x");
      LONGS_EQUAL(502, answer.Status());
      CHECK(WaitUntil([&] { return upstream.Closed() == 1; }));
      CHECK(sent < kMostTaken);
      LONGS_EQUAL(0, fixture.mGateway->BodyBudget().Taken());
    }
  }
}

// Guards against an order on a connection that its upstream is closing, which
// leaves the outcome unknown.
TEST(connections, AreNewForOrders)
{
  scripted_upstream upstream;
  gateway_fixture fixture({ upstream.Port() });
  fixture.Call("POST", "/echo", "a");
  fixture.Call("POST", "/order", "glass", kIdempotencyKey);
  LONGS_EQUAL(2, upstream.Connections());
}

TEST(connections, CarrySixteenMebibytesBothWays)
{
  scripted_upstream upstream;
  gateway_fixture fixture({ upstream.Port() });
  std::string body(std::size_t(16) << 20, '\0');
  random_source random(20261204);
  for (std::size_t i = 0; i + 8 <= body.size(); i += 8) {
    const auto value = random.Next();
    std::memcpy(body.data() + i, &value, sizeof(value));
  }
  const auto answer = fixture.Call("POST", "/echo", body);
  CHECK(answer.mBody == body);
  CHECK(upstream.Seen()[0].mBody == body);
  CHECK(WaitUntil([&] { return fixture.mGateway->BodyBudget().Taken() == 0; }));
}

// Guards against work for callers that have left, and against cutting it where
// the route forbids that.
TEST(connections, EndWithTheirCallerWhereTheRouteAllowsIt)
{
  std::atomic<int> canceled{ 0 };
  std::atomic<bool> mayAnswer{ false };
  scripted_upstream upstream([&](const http_message& aRequest, auto& aSocket) {
    if (aRequest.mHead.substr(0, 9) == "GET /hold") {
      WaitUntil([&] { return mayAnswer.load(); });
      return scripted_upstream::Echo(aRequest, aSocket);
    }
    canceled += aSocket.IsClosedByPeer() ? 1 : 0;
    return false;
  });
  gateway_fixture fixture({ upstream.Port() });
  SECTION("a query is canceled")
  {
    auto caller = fixture.Connect();
    caller.Send(gateway_fixture::Request("GET", "/echo"));
    CHECK(WaitUntil([&] { return upstream.Seen().size() == 1; }));
    caller.Close();
    CHECK(WaitUntil([&] { return canceled == 1; }));
    CHECK(WaitUntil([&] { return fixture.mDecisions.Reports().size() == 1; }));
    CHECK(fixture.mDecisions.Reports()[0] == attempt_class::Canceled);
    // It counts as no refusal.
    CHECK(WaitUntil([&] {
      return fixture.mMetrics.Counter("cowslipline_callers_left_total")
               .Value() == 1;
    }));
    LONGS_EQUAL(0, fixture.Refusals(refusal_reason::UpstreamIncomplete));
  }
  SECTION("a request that goes on is finished")
  {
    auto caller = fixture.Connect();
    caller.Send(gateway_fixture::Request("GET", "/hold"));
    CHECK(WaitUntil([&] { return upstream.Seen().size() == 2; }));
    caller.Close();
    mayAnswer = true;
    CHECK(WaitUntil([&] { return fixture.mDecisions.Reports().size() == 2; }));
    CHECK(fixture.mDecisions.Reports()[1] == attempt_class::Success);
  }
}
