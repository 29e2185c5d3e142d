#include "modules/gateway/header_hygiene.h"
#include "tests/gateway/gateway_fixture.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;

namespace {

std::string
ReasonOf(const http_message& aAnswer)
{
  return aAnswer.Header("Cowslipline-Reason");
}

http_message
CallWith(const gateway_fixture& aFixture, std::string_view aText)
{
  auto socket = aFixture.Connect();
  socket.Send(aText);
  return socket.Receive();
}

} // namespace

TEST_GROUP(pipeline){};

// Guards against requests that run for another organisation than that of their
// key, or without one (P2, P4).
TEST(pipeline, ChecksKeysAndRights)
{
  scripted_upstream upstream;
  gateway_fixture fixture({ upstream.Port() });
  const auto withKey = [&](std::string_view aAuthorization) {
    std::string text = "GET /echo HTTP/1.1\r\nHost: a\r\n";
    return ReasonOf(
      CallWith(fixture, text.append(aAuthorization).append("\r\n")));
  };
  const std::string good =
    "Authorization: Bearer " + std::string(gateway_fixture::kKey) + "\r\n";
  STRCMP_EQUAL("key_missing", withKey("").c_str());
  STRCMP_EQUAL("key_malformed", withKey("Authorization: x\r\n").c_str());
  STRCMP_EQUAL("key_malformed", withKey(good + good).c_str());
  STRCMP_EQUAL("key_unknown", withKey("Authorization: Bearer x\r\n").c_str());
  STRCMP_EQUAL("organisation_not_allowed",
               ReasonOf(fixture.Call("GET", "/other")).c_str());
  SECTION("a withdrawn key stops working on an open connection")
  {
    auto socket = fixture.Connect();
    socket.Send(gateway_fixture::Request("GET", "/echo"));
    LONGS_EQUAL(200, socket.Receive().Status());
    fixture.mDecisions.mIsRevoked = true;
    socket.Send(gateway_fixture::Request("GET", "/echo"));
    STRCMP_EQUAL("key_withdrawn", ReasonOf(socket.Receive()).c_str());
    fixture.mDecisions.mIsRevoked = false;
  }
  SECTION("a key that is withdrawn while the body arrives is not accepted")
  {
    auto socket = fixture.Connect();
    const auto text = gateway_fixture::Request(
      "POST", "/echo", "body", "Expect: 100-continue\r\n");
    socket.Send(text.substr(0, text.size() - 4));
    LONGS_EQUAL(100, socket.Receive().Status());
    fixture.mDecisions.mIsRevoked = true;
    fixture.mSnapshots.Set(fixture.MakeSnapshot());
    socket.Send("body");
    STRCMP_EQUAL("key_withdrawn", ReasonOf(socket.Receive()).c_str());
  }
  LONGS_EQUAL(1, upstream.Seen().size());
}

// Guards against keys that reach an upstream (P3), and against callers that
// pretend to be another organisation.
TEST(pipeline, KeepsKeysAndForgedHeadersBack)
{
  scripted_upstream upstream;
  gateway_fixture fixture({ upstream.Port() });
  const std::string key(gateway_fixture::kKey);
  fixture.Call("GET",
               "/echo?a=1&key=" + key + "&API%5Fkey=x&b=%26&monkey=2",
               {},
               "X-Api-Key: " + key + "\r\nCookie: k=" + key +
                 "\r\nProxy-Authorization: x\r\nX-Organisation: ponds\r\n"
                 "X_Organisation: ponds\r\n"
                 "X-Deadline-Ms: 99999999\r\nX-Request-Id: bad id\r\n"
                 "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n"
                 "Upgrade: x\r\nX-Kept: a%0d%0ab\r\n");
  const auto seen = upstream.Seen()[0];
  CHECK(seen.mHead.find(key) == std::string::npos);
  CHECK(seen.mHead.find("/echo?a=1&b=%26&monkey=2 ") != std::string::npos);
  STRCMP_EQUAL("aquaria", seen.Header("X-Organisation").c_str());
  CHECK(std::stoi(seen.Header("X-Deadline-Ms")) <= 5000);
  LONGS_EQUAL(32, seen.Header("X-Request-Id").size());
  STRCMP_EQUAL("a%0d%0ab", seen.Header("X-Kept").c_str());
  for (const std::string_view name : { "Authorization",
                                       "X-Api-Key",
                                       "Cookie",
                                       "Proxy-Authorization",
                                       "X-Hop",
                                       "TE",
                                       "X_Organisation",
                                       "Upgrade" }) {
    CHECK(!seen.HasHeader(name));
  }
  const auto host = "127.0.0.1:" + std::to_string(upstream.Port());
  STRCMP_EQUAL(host.c_str(), seen.Header("Host").c_str());
  STRCMP_EQUAL("request_malformed",
               ReasonOf(fixture.Call("GET", "/echo/" + key)).c_str());
}

TEST(pipeline, CleansAnswers)
{
  scripted_upstream upstream([](const http_message&, test_socket& aSocket) {
    aSocket.Send(scripted_upstream::Answer(
      "x",
      "Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=1\r\n"
      "Cowslipline-Ran: not_run\r\nX-Kept: 1\r\nAccept-Ranges: "
      "bytes\r\nSet-Cookie: a\r\n"
      "Set-Cookie: b\r\n"));
    return true;
  });
  gateway_fixture fixture({ upstream.Port() });
  const auto answer =
    fixture.Call("GET", "/echo", {}, "X-Request-Id: my-id.1\r\n");
  for (const std::string_view name :
       { "X-Hop", "Keep-Alive", "Cowslipline-Ran", "Content-Type" }) {
    CHECK(!answer.HasHeader(name));
  }
  CHECK(answer.mHead.find("Set-Cookie: a\r\nSet-Cookie: b") !=
        std::string::npos);
  STRCMP_EQUAL("1", answer.Header("X-Kept").c_str());
  STRCMP_EQUAL("my-id.1", answer.Header("X-Request-Id").c_str());
  SECTION("HEAD has the length and no body")
  {
    const auto head = fixture.Call("HEAD", "/echo");
    LONGS_EQUAL(200, head.Status());
    STRCMP_EQUAL("1", head.Header("Content-Length").c_str());
    STRCMP_EQUAL("bytes", head.Header("Accept-Ranges").c_str());
  }
}

// Guards against "not run" about a deposit of which an earlier attempt ran:
// before its record is read nobody knows (P7).
TEST(pipeline, RefusalsBeforeTheRecordSpeakOfThisAttemptOnly)
{
  scripted_upstream upstream;
  gateway_fixture fixture({ upstream.Port() });
  constexpr std::string_view kKey = "Idempotency-Key: a\r\n";
  const auto speaksOfEarlier = [&](std::string_view aPath,
                                   std::string_view aHeaders) {
    const auto answer = fixture.Call("POST", aPath, "glass", aHeaders);
    STRCMP_EQUAL("not_run", answer.Header("Cowslipline-Ran").c_str());
    return answer.mBody.find("\"earlier_attempt\":\"unknown\"") !=
           std::string::npos;
  };
  SECTION("an order whose record cannot be read")
  {
    fixture.mDecisions.mIsStoreAway = true;
    CHECK(speaksOfEarlier("/order", kKey));
    fixture.mDecisions.mIsStoreAway = false;
  }
  SECTION("an order that is refused before its record")
  {
    fixture.mDecisions.mAdmits = false;
    CHECK(speaksOfEarlier("/order", kKey));
    CHECK(!speaksOfEarlier("/order", ""));
  }
}

TEST(pipeline, RefusesBeforeItRuns)
{
  scripted_upstream upstream;
  gateway_fixture fixture({ upstream.Port() });
  auto& decisions = fixture.mDecisions;
  const auto order = [&](std::string_view aHeaders) {
    const auto answer = fixture.Call("POST", "/order", "glass", aHeaders);
    STRCMP_EQUAL("not_run", answer.Header("Cowslipline-Ran").c_str());
    return ReasonOf(answer);
  };
  STRCMP_EQUAL("idempotency_key_missing", order("").c_str());
  STRCMP_EQUAL("idempotency_key_malformed",
               order("Idempotency-Key: a b\r\n").c_str());
  STRCMP_EQUAL(
    "idempotency_key_malformed",
    order("Idempotency-Key: " + std::string(129, 'a') + "\r\n").c_str());
  constexpr std::string_view kGood = "Idempotency-Key: a\r\n";
  decisions.mIsStoreAway = true;
  STRCMP_EQUAL("store_unavailable", order(kGood).c_str());
  decisions.mIsStoreAway = false;
  decisions.mAdmits = false;
  STRCMP_EQUAL("rate_limited", order(kGood).c_str());
  decisions.mAdmits = true;
  decisions.mReadiness = instance_not_ready{ "no configuration" };
  STRCMP_EQUAL("not_ready", order(kGood).c_str());
  decisions.mReadiness = instance_draining{ true };
  STRCMP_EQUAL("draining", order(kGood).c_str());
  decisions.mReadiness = instance_isolated{};
  STRCMP_EQUAL("isolated", order(kGood).c_str());
  LONGS_EQUAL(200, fixture.Call("GET", "/open").Status());
  decisions.mReadiness = instance_draining{ false };
  const auto last = fixture.Call("GET", "/open");
  LONGS_EQUAL(200, last.Status());
  STRCMP_EQUAL("close", last.Header("Connection").c_str());
  decisions.mQuarantine = quarantine_verdict::Quarantined;
  STRCMP_EQUAL("quarantined", order(kGood).c_str());
  // The claim of the quarantined order was given back.
  LONGS_EQUAL(1, decisions.mReleased);
  decisions.mQuarantine = quarantine_verdict::QuarantinedAfterRun;
  STRCMP_EQUAL("unknown",
               fixture.Call("GET", "/echo").Header("Cowslipline-Ran").c_str());
  LONGS_EQUAL(2, upstream.Seen().size());
}

TEST(pipeline, ChecksAnswers)
{
  constexpr std::string_view kDigest =
    "X-Body-Sha256: "
    "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824\r\n";
  std::string body = "hello";
  scripted_upstream upstream([&](const http_message&, test_socket& aSocket) {
    aSocket.Send(scripted_upstream::Answer(body, kDigest));
    return true;
  });
  gateway_fixture fixture({ upstream.Port() });
  LONGS_EQUAL(200, fixture.Call("GET", "/checked").Status());
  STRCMP_EQUAL("upstream_wrong_answer",
               ReasonOf(fixture.Call("GET", "/field")).c_str());
  body = "hallo";
  STRCMP_EQUAL("upstream_wrong_answer",
               ReasonOf(fixture.Call("GET", "/checked")).c_str());
  body = R"({"price": 3})";
  LONGS_EQUAL(200, fixture.Call("GET", "/field").Status());
  body = std::string(11, 'a');
  STRCMP_EQUAL("upstream_wrong_answer",
               ReasonOf(fixture.Call("POST", "/small", "a")).c_str());
}

TEST(pipeline, RetriesWithinItsRules)
{
  scripted_upstream shedding([](const http_message&, test_socket& aSocket) {
    aSocket.Send(scripted_upstream::Answer(
      "", "Cowslipline-Shed: not-run\r\n", "503 Busy"));
    return true;
  });
  const auto port = shedding.Port();
  SECTION("at most three attempts, each at another target")
  {
    gateway_fixture fixture({ port, port, port, port });
    STRCMP_EQUAL("overloaded", ReasonOf(fixture.Call("GET", "/echo")).c_str());
    LONGS_EQUAL(3, shedding.Seen().size());
    LONGS_EQUAL(1, fixture.mDecisions.mFirstAttempts);
    LONGS_EQUAL(8, fixture.mDecisions.mRetriesLeft);
    LONGS_EQUAL(
      2,
      fixture.mMetrics.Counter("cowslipline_retries_total{reason=\"shed\"}")
        .Value());
  }
  SECTION("not at the same target")
  {
    gateway_fixture fixture({ port });
    STRCMP_EQUAL("overloaded", ReasonOf(fixture.Call("GET", "/echo")).c_str());
    LONGS_EQUAL(4, shedding.Seen().size());
    // A retry that cannot be made takes nothing from the budget.
    LONGS_EQUAL(10, fixture.mDecisions.mRetriesLeft);
  }
  SECTION("not without budget")
  {
    gateway_fixture fixture({ port, port });
    fixture.mDecisions.mRetriesLeft = 0;
    STRCMP_EQUAL("overloaded", ReasonOf(fixture.Call("GET", "/echo")).c_str());
    LONGS_EQUAL(5, shedding.Seen().size());
  }
}

TEST_GROUP(admin){};

TEST(admin, AnswersOperators)
{
  fake_decisions decisions;
  metrics registry;
  registry.Counter("cowslipline_requests_total").Add(3);
  admin_callbacks callbacks;
  callbacks.mStatus = [] { return std::string("{\"version\":7}"); };
  callbacks.mExplainTarget = [](std::string_view aService,
                                std::string_view) -> result<std::string> {
    if (aService != "echo") {
      return Fail(errc::NotFound);
    }
    return std::string("{\"state\":\"in use\"}");
  };
  admin_server server({}, decisions, registry, callbacks);
  CHECK(server.Start().has_value());
  const auto get = [&](std::string_view aPath) {
    auto socket = test_socket::Connect(server.Port());
    std::string text = "GET ";
    socket.Send(text.append(aPath).append(" HTTP/1.1\r\nHost: a\r\n\r\n"));
    return socket.Receive();
  };
  LONGS_EQUAL(200, get("/healthz").Status());
  LONGS_EQUAL(200, get("/readyz").Status());
  decisions.mReadiness = instance_draining{};
  LONGS_EQUAL(503, get("/readyz").Status());
  CHECK(get("/metrics").mBody.find("cowslipline_requests_total 3") !=
        std::string::npos);
  STRCMP_EQUAL("{\"version\":7}", get("/status").mBody.c_str());
  LONGS_EQUAL(200, get("/explain/target?service=echo&target=t0").Status());
  LONGS_EQUAL(404, get("/explain/target?service=x&target=t0").Status());
}
