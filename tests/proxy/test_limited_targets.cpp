#include "tests/proxy/edge_fixture.h"
#include "tests/story.h"

#include <algorithm>

#include <asio/write.hpp>

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

/// A target that names the limit in its answers and notes when requests came.
class limited_target
{
public:
  limited_target(edge_fixture& aFixture,
                 const std::string& aId,
                 std::string aLimit)
    : mLimit(std::move(aLimit))
  {
    aFixture.AddTarget(
      aId,
      "catalogue",
      [this](const http_request& aRequest, tcp_stream& aStream, yield_context) {
        mArrivals.push_back(ReadBootClock());
        auto answer = GoodAnswer(aRequest, "tank");
        if (!mLimit.empty()) {
          answer.insert(answer.find("Request:"),
                        "Rate-Limit: " + mLimit + "\r\n");
        }
        asio::error_code error;
        asio::write(aStream.Socket(), asio::buffer(answer), error);
        return !error;
      });
  }

  /// The most requests within 4 s.
  std::size_t MostInWindow() const
  {
    std::size_t most = 0;
    for (auto first = mArrivals.begin(); first != mArrivals.end(); ++first) {
      const auto last =
        std::find_if(first, mArrivals.end(), [&](steady_time aAt) {
          return aAt - *first >= 4s;
        });
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }

  std::string mLimit;
  std::vector<steady_time> mArrivals;
};

/// Targets that the instance knows to be limited.
int
LimitedTargets(proxy_instance& aInstance)
{
  constexpr std::string_view kName = "\ncowslipline_targets_limited ";
  const auto text = aInstance.RenderPage("/metrics").mBody;
  const auto found = text.find(kName);
  return found == text.npos ? -1 : std::stoi(text.substr(found + kName.size()));
}

} // namespace

TEST_GROUP(limited_targets){};

// Guards against a target that gets more from all instances together than the
// rate that it names.
TEST(limited_targets, TheFleetKeepsTheRateThatATargetNames)
{
  edge_fixture fixture;
  const std::vector<proxy_instance*> fleet = { fixture.mInstance.get(),
                                               &fixture.AddInstance("i2"),
                                               &fixture.AddInstance("i3") };
  limited_target limited(fixture, "t1", "2");
  const limited_target other(fixture, "t2", "");
  int served = 0;
  fixture.Run([&](yield_context aYield) {
    for (int i = 0; i < 120; ++i) {
      const auto response = fixture.CallAt(
        *fleet[static_cast<std::size_t>(i) % 3], "GET", "/specs/1", aYield);
      served += response && response->mHead.mStatus == 200 ? 1 : 0;
      fixture.Sleep(25ms, aYield);
    }
  });
  SECTION("at most one and a half times the rate and 5 requests in 4 s")
  {
    CHECK(limited.MostInWindow() <= 17);
    CHECK(limited.MostInWindow() >= 2);
  }
  SECTION("the other target takes the rest")
  {
    LONGS_EQUAL(120, served);
    CHECK(other.mArrivals.size() >= 90);
  }
}

// Guards against requests that are held, or passed on all the same, when every
// target of their service limits its rate.
TEST(limited_targets, RequestsBeyondAllLimitsAreRefusedAtOnce)
{
  edge_fixture fixture;
  limited_target limited(fixture, "t1", "0.5");
  int refused = 0;
  fixture.Run([&](yield_context aYield) {
    for (int i = 0; i < 20; ++i) {
      const auto response = fixture.Call("GET", "/specs/1", aYield);
      CHECK(response.has_value());
      if (response->mHead.mStatus != 503) {
        LONGS_EQUAL(200, response->mHead.mStatus);
        continue;
      }
      ++refused;
      STRCMP_EQUAL("targets_limited\n", response->mBody.c_str());
      const auto delay = response->mHead.mHeaders.Find("Retry-After");
      CHECK(delay.has_value());
      CHECK(std::stod(std::string(*delay)) >= 0.25);
    }
  });
  CHECK(refused >= 14);
  LONGS_EQUAL(20 - refused, limited.mArrivals.size());
}

// Guards against a limit that an answer with an unreadable or empty value ends.
TEST(limited_targets, AnEmptyValueDoesNotEndALimit)
{
  edge_fixture fixture;
  limited_target limited(fixture, "t1", "20");
  fixture.Run([&](yield_context aYield) {
    fixture.Call("GET", "/specs/1", aYield);
    limited.mLimit = " ";
    while (limited.mArrivals.size() < 5) {
      fixture.Sleep(50ms, aYield);
      fixture.Call("GET", "/specs/1", aYield);
    }
  });
  LONGS_EQUAL(1, LimitedTargets(*fixture.mInstance));
}

// Guards against a limit of the target that has got the address of another one.
TEST(limited_targets, AMisdirectedAnswerLimitsNothing)
{
  edge_fixture fixture;
  fixture.AddTarget(
    "t1",
    "catalogue",
    [](
      const http_request& aRequest, tcp_stream& aStream, yield_context aYield) {
      auto answer = GoodAnswer(aRequest, "");
      answer.replace(0, answer.find("\r\n"), "HTTP/1.1 421 Misdirected");
      answer.insert(answer.find("Request:"), "Rate-Limit: 1\r\n");
      return SendText(aStream, answer, aYield);
    });
  fixture.Run(
    [&](yield_context aYield) { fixture.Call("GET", "/specs/1", aYield); });
  LONGS_EQUAL(0, LimitedTargets(*fixture.mInstance));
}

// Guards against a limit that lasts when the target names it no more, and
// against an instance that starts without knowing the limits.
TEST(limited_targets, InstancesLearnALimitAndItsEndFromOthers)
{
  edge_fixture fixture;
  auto& second = fixture.AddInstance("i2");
  limited_target limited(fixture, "t1", "0.5");
  const auto isLimitedAt = [](proxy_instance& aInstance) {
    return LimitedTargets(aInstance) == 1;
  };
  fixture.Run([&](yield_context aYield) {
    SECTION("from one answer the other instance knows it too")
    {
      fixture.Call("GET", "/specs/1", aYield);
      fixture.Sleep(50ms, aYield);
      CHECK(isLimitedAt(*fixture.mInstance));
      CHECK(isLimitedAt(second));
    }
  });
  SECTION("an instance that starts asks for the limits")
  {
    CHECK(isLimitedAt(fixture.AddInstance("i3")));
  }
  fixture.Run([&](yield_context aYield) {
    SECTION("answers without it end it everywhere")
    {
      limited.mLimit.clear();
      for (int i = 0; i < 200 && isLimitedAt(second); ++i) {
        fixture.Call("GET", "/specs/1", aYield);
        fixture.Sleep(50ms, aYield);
      }
      CHECK_FALSE(isLimitedAt(*fixture.mInstance));
      CHECK_FALSE(isLimitedAt(second));
    }
  });
}
