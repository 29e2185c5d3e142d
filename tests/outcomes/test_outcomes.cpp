#include "tests/outcomes/outcome_fleet.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

template<typename T>
bool
Is(const result<claim_answer>& aAnswer)
{
  return aAnswer && std::holds_alternative<T>(*aAnswer);
}

bool
IsError(const result<claim_answer>& aAnswer, errc aError)
{
  return !aAnswer && aAnswer.error() == aError;
}

std::string
BodyOf(const result<claim_answer>& aAnswer)
{
  if (!Is<finished>(aAnswer)) {
    return "not finished";
  }
  return std::get<finished>(*aAnswer).mOutcome.mBody.value_or("no body");
}

} // namespace

TEST_GROUP(outcomes){};

// Guards against a second run of a request that its caller resends through
// another instance, at each stage of the first attempt.
TEST(outcomes, AResendNeverGetsASecondGrant)
{
  outcome_fleet fleet(4, 1);
  const auto first = fleet.Claim(0, "order");
  CHECK(Is<granted>(first));

  SECTION("while the first attempt runs")
  {
    CHECK(Is<in_progress>(fleet.Claim(1, "order")));
  }
  SECTION("with another request under the same key")
  {
    CHECK(Is<key_reused>(fleet.Claim(1, "order", 2s, 2)));
  }
  SECTION("after the first attempt's instance died without an outcome")
  {
    fleet.mClock.Advance(3s);
    CHECK(Is<outcome_unknown>(fleet.Claim(1, "order")));
  }
  SECTION("after the outcome was recorded, before and after the commit")
  {
    fleet.Finish(0, *first, 201, "done");
    fleet.mClock.Advance(5ms);
    STRCMP_EQUAL("done", BodyOf(fleet.Claim(1, "order")).c_str());
    fleet.mClock.Advance(1s);
    LONGS_EQUAL(0, fleet.At(0).mRecords->CountUndelivered());
    const auto replay = fleet.Claim(2, "order");
    STRCMP_EQUAL("done", BodyOf(replay).c_str());
    LONGS_EQUAL(201, std::get<finished>(*replay).mOutcome.mStatus);
  }
}

// Guards against a request that runs although its claim could not be recorded,
// and against one that can't run once the store is back.
TEST(outcomes, ClaimsAreRefusedWhileTheStoreIsAway)
{
  outcome_fleet fleet(3, 2);
  fleet.mContent->mFaults.mIsAway = true;
  CHECK(IsError(fleet.Claim(0, "order"), errc::StoreUnavailable));
  fleet.mContent->mFaults.mIsAway = false;
  fleet.mClock.Advance(5s);
  CHECK(Is<granted>(fleet.Claim(1, "order")));
  CHECK(Is<in_progress>(fleet.Claim(2, "order")));
}
