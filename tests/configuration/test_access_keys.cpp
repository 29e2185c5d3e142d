#include "tests/configuration/publication_fixture.h"

#include <algorithm>

using namespace cowslipline;
using namespace cowslipline::testing;

namespace {

constexpr std::string_view kSecret = "fleet secret of the tests";

key_answer
Verify(const snapshot_pointer& aSnapshot, const std::string& aKeyText)
{
  return VerifyKey(*aSnapshot, kSecret, "Bearer " + aKeyText);
}

/// The key as a service file holds it.
configuration_content
WithKey(const key_definition& aKey)
{
  auto content = ContentWithRate(1);
  content.mKeys = { aKey };
  return content;
}

} // namespace

TEST_GROUP(access_keys){};

// Guards against requests that run for another organisation, and against
// refusals with the wrong reason.
TEST(access_keys, EachHeaderHasItsAnswer)
{
  publication_fixture fixture;
  fixture.Publish(ContentWithRate(1));
  const auto issued = IssueKey(kSecret, "organisation-2", "k2");
  fixture.Add(issued.mDefinition);
  const auto snapshot = fixture.Snapshot();
  const auto verify = [&](const std::string& aHeader) {
    return VerifyKey(*snapshot, kSecret, aHeader);
  };

  SECTION("a key in force")
  {
    const auto answer = verify("Bearer " + issued.mText);
    const auto* verified = std::get_if<key_verified>(&answer);
    CHECK(verified != nullptr);
    STRCMP_EQUAL("k2", verified->mKeyId.c_str());
    STRCMP_EQUAL(
      "organisation-2",
      snapshot->mOrganisations[verified->mOrganisation].mName.c_str());
    CHECK(
      std::holds_alternative<key_verified>(verify("bearer " + issued.mText)));
  }
  SECTION("missing and malformed")
  {
    CHECK(std::holds_alternative<key_missing>(verify("")));
    for (const auto& header : { std::string("Bearer"),
                                std::string("Bearer "),
                                issued.mText,
                                "Basic " + issued.mText,
                                "Bearer  " + issued.mText,
                                "Bearer " + issued.mText + " x",
                                std::string("Bearer a\x01"),
                                "Bearer " + std::string(257, 'a') }) {
      CHECK(std::holds_alternative<key_malformed>(verify(header)));
    }
  }
  SECTION("unknown: one character or the secret differs")
  {
    auto text = issued.mText;
    text.back() = text.back() == '0' ? '1' : '0';
    CHECK(std::holds_alternative<key_unknown>(verify("Bearer " + text)));
    CHECK(std::holds_alternative<key_unknown>(
      VerifyKey(*snapshot, "another secret", "Bearer " + issued.mText)));
  }
}

// Guards against keys that can be read from the store or guessed.
TEST(access_keys, OnlyTheDigestIsStored)
{
  publication_fixture fixture;
  fixture.Publish(ContentWithRate(1));
  const auto issued = IssueKey(kSecret, "organisation-1", "k1");
  LONGS_EQUAL(std::string("cw_k1_").size() + 64, issued.mText.size());
  CHECK(issued.mText != IssueKey(kSecret, "organisation-1", "k1").mText);
  fixture.Add(issued.mDefinition);
  for (const auto& [key, value] : fixture.mContent->mValues) {
    CHECK(value.mValue.find(issued.mText.substr(6)) == std::string::npos);
  }
}

// Guards against a withdrawn key that works again after any later change.
TEST(access_keys, AWithdrawnKeyNeverComesBack)
{
  publication_fixture fixture;
  const auto issued = IssueKey(kSecret, "organisation-1", "k1");
  fixture.Publish(WithKey(issued.mDefinition));
  CHECK(std::holds_alternative<key_verified>(
    Verify(fixture.Snapshot(), issued.mText)));
  LONGS_EQUAL(2, AcceptedVersion(fixture.Withdraw("k1")));
  const auto checkWithdrawn = [&] {
    CHECK(std::holds_alternative<key_withdrawn>(
      Verify(fixture.Snapshot(), issued.mText)));
  };
  checkWithdrawn();

  SECTION("the files, which still list it, are published again")
  {
    auto content = WithKey(issued.mDefinition);
    content.mOrganisations[0].mRate = 5;
    LONGS_EQUAL(3, AcceptedVersion(fixture.Publish(content)));
    checkWithdrawn();
  }
  SECTION("rollback to a version in which it worked")
  {
    LONGS_EQUAL(4, AcceptedVersion(fixture.Rollback(1)));
    checkWithdrawn();
  }
  SECTION("its organisation is removed and comes back")
  {
    auto content = ContentWithRate(1);
    content.mOrganisations.erase(content.mOrganisations.begin() + 1);
    LONGS_EQUAL(5, AcceptedVersion(fixture.Publish(content)));
    checkWithdrawn();
    LONGS_EQUAL(6,
                AcceptedVersion(fixture.Publish(WithKey(issued.mDefinition))));
    checkWithdrawn();
  }
  SECTION("issued again under the same id")
  {
    CHECK(IsOutcome<publication_refused>(
      fixture.Add(IssueKey(kSecret, "organisation-1", "k1").mDefinition)));
    checkWithdrawn();
  }
  SECTION("its digest under another id in the files")
  {
    auto renamed = issued.mDefinition;
    renamed.mId = "k9";
    CHECK(IsOutcome<publication_refused>(fixture.Publish(WithKey(renamed))));
    checkWithdrawn();
  }
}

// Guards against keys that get lost with a publication of files that do not
// list them.
TEST(access_keys, IssuedKeysOutliveAPublicationOfFiles)
{
  publication_fixture fixture;
  fixture.Publish(ContentWithRate(1));
  const auto issued = IssueKey(kSecret, "organisation-1", MakeKeyId());
  LONGS_EQUAL(2, AcceptedVersion(fixture.Add(issued.mDefinition)));
  LONGS_EQUAL(3, AcceptedVersion(fixture.Publish(ContentWithRate(2))));
  CHECK(std::holds_alternative<key_verified>(
    Verify(fixture.Snapshot(), issued.mText)));

  SECTION("a key whose organisation is removed admits nobody until it is back")
  {
    auto content = ContentWithRate(2);
    content.mOrganisations.erase(content.mOrganisations.begin() + 1);
    LONGS_EQUAL(4, AcceptedVersion(fixture.Publish(content)));
    CHECK(std::holds_alternative<key_unknown>(
      Verify(fixture.Snapshot(), issued.mText)));
    LONGS_EQUAL(5, AcceptedVersion(fixture.Publish(ContentWithRate(2))));
    CHECK(std::holds_alternative<key_verified>(
      Verify(fixture.Snapshot(), issued.mText)));
  }
  SECTION("a key for an unknown organisation is refused")
  {
    CHECK(IsOutcome<publication_refused>(
      fixture.Add(IssueKey(kSecret, "nobody", "k5").mDefinition)));
    CHECK(IsOutcome<publication_refused>(fixture.Withdraw("k5")));
  }
}

// Guards against a withdrawal that gives up because others publish, or whose
// lost answer leaves the key in force.
TEST(access_keys, WithdrawalPrevailsOverRacesAndLostAnswers)
{
  publication_fixture fixture;
  fixture.Publish(ContentWithRate(1));
  const auto second = fixture.NewOperator(2);
  for (int i = 0; i < 20; ++i) {
    const auto issued =
      IssueKey(kSecret, "organisation-1", "k" + std::to_string(i));
    fixture.Add(issued.mDefinition);
    fixture.mContent->mFaults.mAnswerLoss = 0.2;
    fixture.mClock.Spawn([&, i](yield_context aYield) {
      for (int j = 0; j < 10; ++j) {
        second->mPublisher.Publish(
          ContentWithRate(100 * i + j + 2), { "bruno", {} }, aYield);
      }
    });
    const auto outcome = fixture.Withdraw(issued.mDefinition.mId);
    fixture.mClock.Advance(std::chrono::minutes(1));
    fixture.mContent->mFaults.mAnswerLoss = 0;
    CHECK(AcceptedVersion(outcome) > 0);
    CHECK(std::holds_alternative<key_withdrawn>(
      Verify(fixture.Snapshot(), issued.mText)));
  }
}
