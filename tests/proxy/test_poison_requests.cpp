#include "tests/proxy/edge_fixture.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

// Longer than a target takes to be back.
constexpr duration kReturnTime = 700ms;

constexpr int kRepeats = 10;

} // namespace

TEST_GROUP(poison_requests){};

// Guards against a request that crashes the targets of a small service for
// ever: they come back under their ids, and it is sent to them each time.
TEST(poison_requests, AreBlockedAlthoughTargetsComeBackUnderTheirIds)
{
  edge_fixture fixture;
  std::vector<scripted_target*> targets;
  int crashes = 0;
  for (const auto* id : { "t1", "t2" }) {
    const auto index = targets.size();
    targets.push_back(&fixture.AddTarget(
      id,
      "catalogue",
      [&targets, &crashes, index](const http_request& aRequest,
                                  tcp_stream& aStream,
                                  yield_context aYield) {
        if (aRequest.mHead.mTarget != "/specs/poison") {
          return SendText(aStream, GoodAnswer(aRequest, "tank"), aYield);
        }
        ++crashes;
        targets[index]->StopAccepting();
        return false;
      }));
  }
  fixture.Run([&](yield_context aYield) {
    int last = 0;
    for (int i = 0; i < kRepeats; ++i) {
      const auto response = fixture.Call("GET", "/specs/poison", aYield);
      last = response ? response->mHead.mStatus : 0;
      for (auto* target : targets) {
        target->StopAccepting();
        target->AcceptAgain();
      }
      fixture.Sleep(kReturnTime, aYield);
    }
    SECTION("it reaches targets until it has crashed three")
    {
      CHECK(crashes >= 3);
      CHECK(crashes <= 4);
      LONGS_EQUAL(502, last);
    }
    SECTION("other requests are served")
    {
      const auto response = fixture.Call("GET", "/specs/1", aYield);
      LONGS_EQUAL(200, response ? response->mHead.mStatus : 0);
    }
  });
}
