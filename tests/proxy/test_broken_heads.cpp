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
