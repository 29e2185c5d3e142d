#include "tests/proxy/edge_fixture.h"
#include "tests/story.h"

#include <map>

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kIdPlace = "(id)";
constexpr int kRuns = 4;
constexpr int kMostRequests = 60;
constexpr duration kPause = 100ms;

std::string
Refusal(int aStatus, const std::string& aHeaders)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Refused\r\nContent-Length: 0\r\n" + aHeaders + "\r\n";
}

const std::string kFull = Refusal(503, "Not-Run: 1\r\nRequest: (id)\r\n");

/// Refuses the first request of each connection. It runs the later ones, and
/// writes a refusal that is not theirs in front of their answers.
class repeating_target
{
public:
  repeating_target(edge_fixture& aFixture,
                   const std::string& aId,
                   std::string aRepeated,
                   int& aRuns)
    : mRepeated(std::move(aRepeated))
  {
    aFixture.AddTarget(
      aId,
      "workshop",
      [this, &aRuns](const http_request& aRequest,
                     tcp_stream& aStream,
                     yield_context aYield) {
        const auto caller = aStream.Socket().remote_endpoint().port();
        const auto known = mFirstIds.find(caller);
        if (known == mFirstIds.end()) {
          const auto id = aRequest.mHead.mHeaders.Find("Request");
          mFirstIds[caller] = id.value_or("");
          return SendText(aStream, WithId(kFull, mFirstIds[caller]), aYield);
        }
        ++aRuns;
        return SendText(aStream,
                        WithId(mRepeated, known->second) +
                          GoodAnswer(aRequest, "cut"),
                        aYield);
      });
  }

private:
  static std::string WithId(std::string aText, const std::string& aId)
  {
    const auto place = aText.find(kIdPlace);
    return place == aText.npos ? aText
                               : aText.replace(place, kIdPlace.size(), aId);
  }

  std::string mRepeated;
  /// Id of the refused request, by the port of the connection's other end.
  std::map<std::uint16_t, std::string> mFirstIds;
};

} // namespace

TEST_GROUP(repeated_refusals){};

// Guards against a refusal of an earlier request that is taken for one of the
// next request on its connection: that runs a second time elsewhere, or its
// caller is told that it did not run.
TEST(repeated_refusals, AreNotTakenForTheNextRequest)
{
  const std::vector<std::pair<const char*, std::string>> refusals = {
    { "full, with the id of the refused request", kFull },
    { "full, without an id", Refusal(503, "Not-Run: 1\r\n") },
    { "a request without an id", Refusal(400, "Not-Run: 1\r\n") },
    { "another target, without an id", Refusal(421, "") },
    { "limited, without an id", Refusal(429, "Not-Run: 1\r\n") },
  };
  for (const auto& repeated : refusals) {
    const auto* name = repeated.first;
    const auto& refusal = repeated.second;
    edge_fixture fixture;
    int runs = 0;
    const repeating_target first(fixture, "w1", refusal, runs);
    const repeating_target second(fixture, "w2", refusal, runs);
    fixture.Run([&](yield_context aYield) {
      SECTION(name)
      {
        // Targets that refused are left alone for a while.
        for (int i = 0; i < kMostRequests && runs < kRuns; ++i) {
          const int before = runs;
          const auto response =
            fixture.Call("POST", "/cuts/1", aYield, "Key: key-1\r\n", "x");
          const int status = response ? response->mHead.mStatus : 0;
          CHECK(runs - before <= 1);
          CHECK(runs == before || status == 200 || status == 502);
          fixture.Sleep(kPause, aYield);
        }
        CHECK(runs >= kRuns);
      }
    });
  }
}
