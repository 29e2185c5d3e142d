#include "tests/proxy/edge_fixture.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

TEST_GROUP(broken_heads){};

// Guards against an answer whose head was cut short and that reaches the caller
// as a whole success without a body, or with a part of it.
TEST(broken_heads, AreNoSuccessWhereverTheyEnd)
{
  const std::string whole =
    "HTTP/1.1 200 OK\r\nSignature: s\r\nRequest: r1\r\nContent-Length: 4\r\n"
    "Keep-Alive: timeout=4\r\n\r\nbody";
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nSignature: s\r\nRequest: r1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
  for (const auto& answer : { whole, chunked }) {
    edge_fixture fixture;
    std::string text;
    const auto cut = [&](const http_request& aRequest,
                         tcp_stream& aStream,
                         yield_context aYield) {
      auto own = text;
      const auto id =
        std::string(aRequest.mHead.mHeaders.Find("Request").value_or(""));
      const auto place = own.find("r1");
      if (place != own.npos) {
        own.replace(place, 2, id);
      }
      SendText(aStream, own, aYield);
      return false;
    };
    fixture.AddTarget("w1", "workshop", cut);
    fixture.Run([&](yield_context aYield) {
      for (std::size_t length = 0; length < answer.size(); ++length) {
        text = answer.substr(0, length);
        const auto response =
          fixture.Call("POST", "/cuts/1", aYield, "Key: key-1\r\n", "x");
        CHECK(response.has_value());
        CHECK_FALSE(response->mHead.mStatus < 500);
      }
      SECTION("the whole answer is a success")
      {
        text = answer;
        const auto response =
          fixture.Call("POST", "/cuts/1", aYield, "Key: key-1\r\n", "x");
        LONGS_EQUAL(200, response ? response->mHead.mStatus : 0);
        STRCMP_EQUAL("body", response ? response->mBody.c_str() : "");
      }
    });
  }
}

// Guards against an answer that is no answer in the protocol and reaches a
// caller: with a status that does not exist, or with a field name that another
// reader understands in another way.
TEST(broken_heads, OutsideTheProtocolAreNoAnswers)
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string rest = "Signature: s\r\nRequest: ID\r\n";
  const std::string body = "Content-Length: 4\r\n\r\nbody";
  const std::vector<std::pair<const char*, std::string>> heads = {
    { "status 000", "HTTP/1.1 000 OK\r\n" + rest + body },
    { "status 000 without a phrase", "HTTP/1.1 000\r\n" + rest + body },
    { "status 099", "HTTP/1.1 099 Low\r\n" + rest + body },
    { "status 600", "HTTP/1.1 600 High\r\n" + rest + body },
    { "a status of four digits", "HTTP/1.1 2000 OK\r\n" + rest + body },
    { "a status with a sign", "HTTP/1.1 +20 OK\r\n" + rest + body },
    { "a blank in a name", ok + rest + "Fil ler: 1\r\n" + body },
    { "a blank behind a name", ok + rest + "Filler : 1\r\n" + body },
    { "a blank in front of a name", ok + rest + " Filler: 1\r\n" + body },
    { "a blank in the name of the length",
      ok + rest + "Content-Length : 4\r\n\r\nbody and more" },
    { "a blank in the name of the coding",
      ok + rest + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" },
    { "a tab in a name", ok + rest + "Fil\tler: 1\r\n" + body },
    { "a control byte in a name", ok + rest + "Fil\x01ler: 1\r\n" + body },
    { "a zero byte in a name",
      ok + rest + std::string("Fil\0ler: 1\r\n", 12) + body },
    { "a delete byte in a name", ok + rest + "Fil\x7fler: 1\r\n" + body },
    { "a bare carriage return in a name",
      ok + rest + "Fil\rler: 1\r\n" + body },
    { "a bare line feed in a name", ok + rest + "Fil\nler: 1\r\n" + body },
    { "no name", ok + rest + ": 1\r\n" + body },
    { "a control byte in a value", ok + rest + "Filler: \x01\r\n" + body },
  };
  std::string text;
  edge_fixture fixture;
  auto& target = fixture.AddTarget(
    "w1",
    "workshop",
    [&](
      const http_request& aRequest, tcp_stream& aStream, yield_context aYield) {
      auto own = text;
      own.replace(own.find("ID"),
                  2,
                  aRequest.mHead.mHeaders.Find("Request").value_or(""));
      SendText(aStream, own, aYield);
      return false;
    });
  fixture.Run([&](yield_context aYield) {
    for (const auto& head : heads) {
      SECTION(head.first)
      {
        text = head.second;
        const auto before = target.Requests().size();
        const auto response =
          fixture.Call("POST", "/cuts/1", aYield, "Key: key-1\r\n", "x");
        LONGS_EQUAL(502, response ? response->mHead.mStatus : 0);
        LONGS_EQUAL(before + 1, target.Requests().size());
      }
    }
    SECTION("the same answer with a sound head is delivered")
    {
      text = ok + rest + body;
      const auto response =
        fixture.Call("POST", "/cuts/1", aYield, "Key: key-1\r\n", "x");
      LONGS_EQUAL(200, response ? response->mHead.mStatus : 0);
      STRCMP_EQUAL("body", response ? response->mBody.c_str() : "");
    }
  });
}
