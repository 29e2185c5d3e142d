#include "modules/placement/placement.h"
#include "tests/story.h"

#include <algorithm>

using namespace cowslipline;
using namespace std::chrono_literals;

namespace {
const steady_time kStart(1h);
}

TEST_GROUP(target_records){};

// Guards against a gray target that keeps taking requests until each instance
// has lost some of its own.
TEST(target_records, OneBreakAvoidsTheTargetForSeconds)
{
  target_records evidence;
  CHECK(evidence.Observe("t1", exchange_outcome::Broken, kStart));

  SECTION("it is avoided at once")
  {
    CHECK(evidence.UseOf("t1", kStart + 1ms) == target_use::Avoided);
    CHECK_FALSE(evidence.IsConfirmed("t1"));
  }
  SECTION("requests that were on their way confirm it and are not news")
  {
    CHECK_FALSE(
      evidence.Observe("t1", exchange_outcome::Broken, kStart + 50ms));
    CHECK(evidence.IsConfirmed("t1"));
  }
  SECTION("an answer that was on its way does not end the avoidance")
  {
    evidence.Observe("t1", exchange_outcome::Served, kStart + 100ms);
    CHECK(evidence.UseOf("t1", kStart + 110ms) == target_use::Avoided);
  }
  SECTION("repeatable requests try it first, then all do")
  {
    CHECK(evidence.UseOf("t1", kStart + 1500ms) == target_use::EarlyTrial);
    CHECK(evidence.UseOf("t1", kStart + 3s) == target_use::Trial);
  }
  SECTION("one lucky answer is not enough, two end the trial")
  {
    evidence.Observe("t1", exchange_outcome::Served, kStart + 3s);
    CHECK(evidence.UseOf("t1", kStart + 3s) == target_use::Trial);
    evidence.Observe("t1", exchange_outcome::Served, kStart + 3100ms);
    CHECK(evidence.UseOf("t1", kStart + 3100ms) == target_use::InUse);
  }
}

// Guards against trials that cost a request each second during a long fault.
TEST(target_records, EachFailedTrialDoublesTheAvoidance)
{
  target_records evidence;
  auto now = kStart;
  std::vector<duration> lengths;
  for (int i = 0; i < 4; ++i) {
    evidence.Observe("t1", exchange_outcome::Broken, now);
    const auto from = now;
    while (evidence.UseOf("t1", now) != target_use::Trial) {
      now += 10ms;
    }
    lengths.push_back(now - from);
  }
  CHECK(lengths[1] > lengths[0]);
  CHECK(lengths[2] > lengths[1]);
  CHECK(lengths[3] <= 8100ms);
}

// Guards against the ejection of sound targets: one request in a hundred fails
// at each.
TEST(target_records, SingleFailuresOfASoundTargetAreForgiven)
{
  target_records evidence;
  auto now = kStart;
  for (int i = 0; i < 400; ++i) {
    now += 100ms;
    evidence.Observe("t1",
                     i % 80 == 79 ? exchange_outcome::Failed
                                  : exchange_outcome::Served,
                     now);
    CHECK(evidence.UseOf("t1", now) == target_use::InUse);
  }
  SECTION("a run of failures is not")
  {
    for (int i = 0; i < 12; ++i) {
      now += 100ms;
      evidence.Observe("t1", exchange_outcome::Failed, now);
    }
    CHECK(evidence.UseOf("t1", now) == target_use::Avoided);
  }
}

TEST_GROUP(target_chooser){};

namespace {

std::vector<placement_candidate>
Candidates()
{
  return { { "a1", "a", 6, false }, { "a2", "a", 6, false },
           { "b1", "b", 6, false }, { "b2", "b", 6, false },
           { "c1", "c", 6, false }, { "c2", "c", 6, false } };
}

} // namespace

// Guards against a request that is sent to the same target twice, and against
// traffic between zones that nobody needs.
TEST(target_chooser, PrefersUntriedTargetsOfTheOwnZone)
{
  target_chooser chooser("a", 0.7, 1);
  const target_records evidence;
  const auto candidates = Candidates();
  placement_request request;
  for (int i = 0; i < 50; ++i) {
    const auto chosen = chooser.Choose(candidates, request, evidence, kStart);
    CHECK_EQUAL(std::string_view("a") == candidates[*chosen].mAvailabilityZone,
                true);
  }
  SECTION("tried ones are left out, other zones follow")
  {
    request.mTried = { "a1", "a2" };
    const auto chosen = chooser.Choose(candidates, request, evidence, kStart);
    CHECK(candidates[*chosen].mAvailabilityZone != "a");
  }
  SECTION("nothing is chosen when all were tried")
  {
    request.mTried = { "a1", "a2", "b1", "b2", "c1", "c2" };
    CHECK_FALSE(
      chooser.Choose(candidates, request, evidence, kStart).has_value());
  }
}

// Guards against evidence that takes sound capacity away: a fault between this
// instance and many targets looks like a fault of all of them (P1).
TEST(target_chooser, SingleFailuresNeverEmptyAServiceBelowItsFloor)
{
  target_chooser chooser("a", 0.7, 1);
  target_records evidence;
  const auto candidates = Candidates();
  for (const auto& candidate : candidates) {
    evidence.Observe(candidate.mId, exchange_outcome::Broken, kStart);
  }
  std::vector<bool> isUsed(candidates.size(), false);
  for (int i = 0; i < 200; ++i) {
    target_chooser fresh(std::string(candidates[i % 6].mAvailabilityZone),
                         0.7,
                         static_cast<std::uint64_t>(i));
    isUsed[*fresh.Choose(candidates, {}, evidence, kStart + 10ms)] = true;
  }
  const auto used = std::count(isUsed.begin(), isUsed.end(), true);
  CHECK(used >= 4);
}

// Guards against the loss of requests that must not be repeated while a third
// of a service's targets fail most of what they get. Plays the load of 16
// instances that each see few requests, with pooled and with own evidence.
TEST(target_chooser, PooledEvidenceLosesFewerRequestsThanOwnEvidence)
{
  const auto lostWith = [](bool aIsPooled) {
    constexpr int kInstances = 16;
    random_source random(7);
    std::vector<target_records> evidence(kInstances);
    std::vector<target_chooser> choosers;
    choosers.reserve(kInstances);
    for (int i = 0; i < kInstances; ++i) {
      choosers.emplace_back("a", 0.7, random.Next());
    }
    std::vector<placement_candidate> candidates;
    const std::vector<std::string> names = {
      "t0", "t1", "t2", "t3", "t4", "t5"
    };
    candidates.reserve(names.size());
    for (const auto& name : names) {
      candidates.push_back({ name, "a", 6, false });
    }
    int lost = 0;
    auto now = kStart;
    for (int i = 0; i < 1200; ++i) {
      now += 25ms;
      // Two other targets fail every 8 s.
      const auto episode = static_cast<std::size_t>(i / 320);
      const auto instance = random.Below(kInstances);
      const auto chosen =
        *choosers[instance].Choose(candidates, {}, evidence[instance], now);
      const bool isBad =
        chosen == (2 * episode) % 6 || chosen == (2 * episode + 1) % 6;
      const auto outcome = isBad && random.Unit() < 0.85
                             ? exchange_outcome::Broken
                             : exchange_outcome::Served;
      lost += outcome == exchange_outcome::Broken ? 1 : 0;
      const bool isNews =
        evidence[instance].Observe(names[chosen], outcome, now);
      if (isNews && aIsPooled) {
        for (int other = 0; other < kInstances; ++other) {
          if (other != static_cast<int>(instance)) {
            evidence[other].Observe(names[chosen], outcome, now);
          }
        }
      }
    }
    return lost;
  };
  const int pooled = lostWith(true);
  const int own = lostWith(false);
  // Without any evidence, 28% of 1200 requests are lost. The target is a tenth
  // of that.
  CHECK(pooled <= 34);
  CHECK(pooled * 2 < own);
}

TEST_GROUP(retry_accounts){};

// Guards against a storm of repeats: whatever is asked for, no window holds
// more than the ratio of its requests and the extra.
TEST(retry_accounts, NoWindowHoldsMoreThanTheBound)
{
  const retry_limit limit{ 0.2, 60, 10s };
  retry_accounts budget(limit, kStart);
  random_source random(3);
  std::vector<steady_time> granted;
  std::vector<steady_time> requests;
  auto now = kStart;
  for (int i = 0; i < 6000; ++i) {
    now += 10ms;
    const auto count = static_cast<std::uint32_t>(random.Below(2));
    requests.insert(requests.end(), count, now);
    if (budget.Take("ledger", count, 1, now)) {
      granted.push_back(now);
    }
  }
  for (std::size_t first = 0; first < granted.size(); ++first) {
    const auto end = granted[first] + limit.mWindow;
    const auto inWindow = [&](const std::vector<steady_time>& aTimes) {
      return std::count_if(
        aTimes.begin(), aTimes.end(), [&](steady_time aTime) {
          return aTime >= granted[first] && aTime < end;
        });
    };
    const double most =
      limit.mRatio * static_cast<double>(inWindow(requests)) + limit.mExtra;
    CHECK(static_cast<double>(inWindow(granted)) <= most);
  }
  SECTION("and it is not refused for nothing")
  {
    CHECK(granted.size() > 300);
  }
}

// Guards against requests of a long calm time that pay for a storm of repeats:
// the instances have not asked for any meanwhile.
TEST(retry_accounts, RequestsOfACalmTimeDoNotPayForAStorm)
{
  const retry_limit limit{ 0.2, 60, 10s };
  constexpr int kInstances = 40;
  retry_accounts budget(limit, kStart);
  std::vector<recent_requests> instances(kInstances, recent_requests(limit));
  random_source random(4);
  std::vector<steady_time> granted;
  auto now = kStart;
  const auto storm = kStart + 30s;
  while (now < storm + 10s) {
    now += 20ms;
    auto& instance = instances[random.Below(kInstances)];
    instance.Add("catalogue", now);
    if (now >= storm) {
      for (int i = 0; i < 2; ++i) {
        auto& asking = instances[random.Below(kInstances)];
        if (budget.Take("catalogue", asking.Take("catalogue", now), 1, now)) {
          granted.push_back(now);
        }
      }
    }
  }
  // 500 requests in the window of the storm.
  CHECK(granted.size() <= 160);
}

TEST_GROUP(crash_guard){};

// Guards against one request that takes a service down target by target.
TEST(crash_guard, BlocksARequestThatTookThreeTargetsDown)
{
  crash_guard guard;
  guard.OnCrash(42, "t1", kStart);
  guard.OnCrash(42, "t1", kStart + 1s);
  guard.OnCrash(42, "t2", kStart + 2s);
  CHECK_FALSE(guard.IsBlocked(42, kStart + 2s));
  guard.OnCrash(42, "t3", kStart + 3s);
  CHECK(guard.IsBlocked(42, kStart + 3s));

  SECTION("other requests are not blocked")
  {
    CHECK_FALSE(guard.IsBlocked(43, kStart + 3s));
  }
  SECTION("the block ends when nobody sends it any more")
  {
    CHECK(guard.IsBlocked(42, kStart + 60s));
    CHECK_FALSE(guard.IsBlocked(42, kStart + 64s));
  }
  SECTION("an answer clears the suspicion")
  {
    guard.OnAnswer(42);
    CHECK_FALSE(guard.IsBlocked(42, kStart + 3s));
  }
}
