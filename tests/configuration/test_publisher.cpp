#include "tests/configuration/publication_fixture.h"

#include <algorithm>
#include <functional>
#include <utility>

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

double
RateInForce(publication_fixture& aFixture)
{
  const auto inForce = aFixture.InForce();
  for (const auto& entry : inForce.mContent.mOrganisations) {
    if (entry.mName == "organisation-0") {
      return entry.mRate;
    }
  }
  return 0;
}

/// Starts a publication as a task of its own.
void
Start(publication_fixture& aFixture,
      const std::shared_ptr<publication_fixture::operator_desk>& aOperator,
      double aRate,
      std::optional<result<publication_outcome>>& aOutcome)
{
  aFixture.mClock.Spawn([aOperator, aRate, &aOutcome](yield_context aYield) {
    aOutcome = aOperator->mPublisher.Publish(
      ContentWithRate(aRate), { "rate " + std::to_string(aRate), {} }, aYield);
  });
}

/// Applies the first swap of the head, lets another operator publish, and
/// then loses the answer.
class interrupted_store final : public key_value_store
{
public:
  interrupted_store(key_value_store& aStore,
                    std::function<void(yield_context)> aInterruption)
    : mStore(aStore)
    , mInterruption(std::move(aInterruption))
  {
  }

  result<std::optional<versioned_value>> Read(std::string_view aKey,
                                              yield_context aYield) override
  {
    return mStore.Read(aKey, aYield);
  }
  result<std::uint64_t> CompareAndSwap(std::string_view aKey,
                                       std::uint64_t aExpected,
                                       std::string_view aValue,
                                       yield_context aYield) override
  {
    const auto swapped = mStore.CompareAndSwap(aKey, aExpected, aValue, aYield);
    if (aKey != kHeadKey || !mInterruption) {
      return swapped;
    }
    std::exchange(mInterruption, nullptr)(aYield);
    return Fail(errc::StoreAnswerLost);
  }
  result<std::optional<versioned_value>> Watch(std::string_view aKey,
                                               std::uint64_t aAfter,
                                               duration aWait,
                                               yield_context aYield) override
  {
    return mStore.Watch(aKey, aAfter, aWait, aYield);
  }
  result<void> Remove(std::string_view aKey,
                      std::uint64_t aExpected,
                      yield_context aYield) override
  {
    return mStore.Remove(aKey, aExpected, aYield);
  }

private:
  key_value_store& mStore;
  std::function<void(yield_context)> mInterruption;
};

} // namespace

TEST_GROUP(publisher){};

// Guards against versions that skip or repeat, and against publications that
// move chunks which are in the store already.
TEST(publisher, VersionsGrowByOneAndOnlyChangesAreWritten)
{
  publication_fixture fixture;
  LONGS_EQUAL(0, fixture.InForce().mHead.mVersion);
  LONGS_EQUAL(1, AcceptedVersion(fixture.Publish(ContentWithRate(10))));
  const auto second = fixture.Publish(ContentWithRate(11));
  LONGS_EQUAL(2, AcceptedVersion(second));
  LONGS_EQUAL(1, std::get<publication_accepted>(*second).mChunksWritten);
  CHECK(IsOutcome<publication_unchanged>(fixture.Publish(ContentWithRate(11))));
  LONGS_EQUAL(2, fixture.Snapshot()->mVersion);
}

// Guards against two operators of whom the slower one silently overwrites the
// other.
TEST(publisher, OfTwoAtTheSameMomentOneIsAcceptedAndTheOtherTold)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    publication_fixture fixture;
    fixture.Publish(ContentWithRate(1));
    const auto second = fixture.NewOperator(seed);
    std::optional<result<publication_outcome>> outcomes[2];
    Start(fixture, fixture.mFirst, 2, outcomes[0]);
    fixture.mClock.Advance(duration(random_source(seed).Below(20'000)));
    Start(fixture, second, 3, outcomes[1]);
    fixture.mClock.Advance(1min);

    SECTION("start times of seed " + std::to_string(seed))
    {
      const auto accepted = std::count_if(
        std::begin(outcomes), std::end(outcomes), [](const auto& aOutcome) {
          return IsOutcome<publication_accepted>(*aOutcome);
        });
      const auto head = fixture.InForce().mHead;
      LONGS_EQUAL(1 + accepted, head.mVersion);
      for (int i = 0; i < 2; ++i) {
        if (const auto* conflict =
              std::get_if<publication_conflict>(&**outcomes[i])) {
          LONGS_EQUAL(2, conflict->mVersionInForce);
          STRCMP_EQUAL(head.mAuthor.c_str(), conflict->mAuthorInForce.c_str());
        }
      }
      CHECK(accepted >= 1);
      // Both started before either was done: exactly one may win.
      if (seed == 1) {
        LONGS_EQUAL(1, accepted);
      }
    }
  }
}

// Guards against a lost answer that is taken for a lost race, or for success.
TEST(publisher, ALostAnswerIsResolvedByThePublicationId)
{
  publication_fixture fixture;
  fixture.Publish(ContentWithRate(1));

  SECTION("answers are lost at random: the verdict agrees with the store")
  {
    fixture.mContent->mFaults.mAnswerLoss = 0.5;
    for (int i = 0; i < 40; ++i) {
      const auto version = fixture.InForce().mHead.mVersion;
      const auto outcome = fixture.Publish(ContentWithRate(100 + i));
      const auto head = fixture.InForce().mHead;
      if (AcceptedVersion(outcome) > 0) {
        LONGS_EQUAL(version + 1, AcceptedVersion(outcome));
        LONGS_EQUAL(version + 1, head.mVersion);
        DOUBLES_EQUAL(100 + i, RateInForce(fixture), 0);
      } else {
        CHECK_FALSE(outcome.has_value());
      }
    }
    fixture.mContent->mFaults.mAnswerLoss = 0;
  }
  SECTION("answers are always lost: reading decides")
  {
    const auto version = fixture.InForce().mHead.mVersion;
    fixture.mContent->mFaults.mAnswerLoss = 1;
    LONGS_EQUAL(version + 1,
                AcceptedVersion(fixture.Publish(ContentWithRate(7))));
    fixture.mContent->mFaults.mAnswerLoss = 0;
    DOUBLES_EQUAL(7, RateInForce(fixture), 0);
  }
}

// Guards against verdicts that contradict the store when races and lost
// answers come together.
TEST(publisher, VerdictsOfTwoWithLostAnswersAgreeWithTheStore)
{
  publication_fixture fixture;
  fixture.Publish(ContentWithRate(1));
  const auto second = fixture.NewOperator(2);
  int accepted = 0;
  for (int i = 0; i < 60; ++i) {
    const auto version = fixture.InForce().mHead.mVersion;
    std::optional<result<publication_outcome>> outcomes[2];
    fixture.mContent->mFaults.mAnswerLoss = 0.4;
    Start(fixture, fixture.mFirst, 1000 + i, outcomes[0]);
    fixture.mClock.Advance(duration(1000 * i));
    Start(fixture, second, 2000 + i, outcomes[1]);
    fixture.mClock.Advance(1min);
    fixture.mContent->mFaults.mAnswerLoss = 0;
    int acceptedNow = 0;
    int unknown = 0;
    for (const auto& outcome : outcomes) {
      acceptedNow += IsOutcome<publication_accepted>(*outcome) ? 1 : 0;
      unknown += outcome->has_value() ? 0 : 1;
    }
    const auto grown = fixture.InForce().mHead.mVersion - version;
    CHECK(grown >= static_cast<std::uint64_t>(acceptedNow));
    CHECK(grown <= static_cast<std::uint64_t>(acceptedNow + unknown));
    accepted += acceptedNow;
  }
  CHECK(accepted > 60);
}

// Guards against an accepted publication that is reported as a conflict
// because another one replaced it before its lost answer was resolved.
TEST(publisher, ALostAnswerThatWasReplacedIsFoundInTheHistory)
{
  publication_fixture fixture;
  fixture.Publish(ContentWithRate(1));
  const auto second = fixture.NewOperator(2);
  std::uint64_t secondVersion = 0;
  interrupted_store store(fixture.mFirst->mStore, [&](yield_context aYield) {
    secondVersion = AcceptedVersion(
      second->mPublisher.Publish(ContentWithRate(3), { "bruno", {} }, aYield));
  });
  publisher first(fixture.mClock, store);
  const auto outcome =
    fixture.Run<result<publication_outcome>>([&first](yield_context aYield) {
      return first.Publish(ContentWithRate(2), { "ana", {} }, aYield);
    });
  LONGS_EQUAL(2, AcceptedVersion(outcome));
  LONGS_EQUAL(3, secondVersion);
  DOUBLES_EQUAL(3, RateInForce(fixture), 0);
}

// Guards against a half publication while the store is away.
TEST(publisher, AnUnavailableStoreChangesNothing)
{
  publication_fixture fixture;
  fixture.Publish(ContentWithRate(1));
  fixture.mContent->mFaults.mIsAway = true;
  CHECK(fixture.Publish(ContentWithRate(2)).error() == errc::StoreUnavailable);
  fixture.mContent->mFaults.mIsAway = false;
  LONGS_EQUAL(1, fixture.InForce().mHead.mVersion);
}

// Guards against an operator who replaces a version that they never saw.
TEST(publisher, AnExpectedVersionIsChecked)
{
  publication_fixture fixture;
  fixture.Publish(ContentWithRate(1));
  fixture.Publish(ContentWithRate(2));
  const auto outcome =
    fixture.Run<result<publication_outcome>>([&fixture](yield_context aYield) {
      return fixture.mFirst->mPublisher.Publish(
        ContentWithRate(3), { "ana", 1 }, aYield);
    });
  CHECK(IsOutcome<publication_conflict>(outcome));
  DOUBLES_EQUAL(2, RateInForce(fixture), 0);
}

// Guards against a history with gaps or without end, and against a rollback
// that lowers the version.
TEST(publisher, HistoryAndRollback)
{
  publication_fixture fixture;
  for (int i = 1; i <= 25; ++i) {
    LONGS_EQUAL(i, AcceptedVersion(fixture.Publish(ContentWithRate(i))));
  }
  const auto history = fixture.Run<result<std::vector<configuration_head>>>(
    [&fixture](yield_context aYield) {
      return fixture.mFirst->mPublisher.ReadHistory(aYield);
    });
  LONGS_EQUAL(kHistoryLength, history->size());
  LONGS_EQUAL(25, history->front().mVersion);
  LONGS_EQUAL(6, history->back().mVersion);
  LONGS_EQUAL(0, fixture.mContent->mValues.count("config/history/5"));

  SECTION("a version of the history comes back under a new number")
  {
    const auto outcome = fixture.Rollback(10);
    LONGS_EQUAL(26, AcceptedVersion(outcome));
    LONGS_EQUAL(0, std::get<publication_accepted>(*outcome).mChunksWritten);
    DOUBLES_EQUAL(10, RateInForce(fixture), 0);
    LONGS_EQUAL(26, fixture.Snapshot()->mVersion);
  }
  SECTION("a version outside of the history is refused")
  {
    CHECK(IsOutcome<publication_refused>(fixture.Rollback(2)));
    CHECK(IsOutcome<publication_refused>(fixture.Rollback(99)));
  }
}

// Guards against damaged content in the store that is taken for an empty one
// and overwritten.
TEST(publisher, DamagedContentIsAnError)
{
  publication_fixture fixture;
  fixture.Publish(ContentWithRate(1));
  const auto head = fixture.InForce().mHead;
  fixture.mContent->mValues.erase(ChunkKey(head.mChunks[0]));
  CHECK(fixture.Publish(ContentWithRate(2)).error() == errc::NotFound);
  fixture.mContent->mValues.at("config/head").mValue = "x";
  CHECK(fixture.Publish(ContentWithRate(2)).error() == errc::MessageMalformed);
}
