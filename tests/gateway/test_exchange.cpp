#include "tests/gateway/gateway_fixture.h"
#include "tests/story.h"

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
