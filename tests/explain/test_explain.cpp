#include "modules/explain/explain.h"
#include "modules/proxy/refusal_cause.h"
#include "tests/story.h"

#include <algorithm>

using namespace cowslipline;
using namespace std::chrono_literals;

namespace {

class in_memory_log_source final : public log_source
{
public:
  explicit in_memory_log_source(std::vector<std::string> aLines)
    : mLines(std::move(aLines))
  {
  }

  result<void> ForEachLine(
    const std::function<void(std::string_view)>& aVisitor) override
  {
    for (const auto& line : mLines) {
      aVisitor(line);
    }
    return {};
  }

private:
  std::vector<std::string> mLines;
};

/// A log line as a collector writes it, with the host in front. aSecond is Unix
/// time in s.
std::string
Line(double aSecond,
     const std::string& aInstance,
     const std::string& aEvent,
     const std::string& aFields)
{
  const auto time = static_cast<std::int64_t>(aSecond * 1000);
  return "host7 {\"time_ms\":" + std::to_string(time) +
         R"(,"level":"info","event":")" + aEvent + R"(","instance":")" +
         aInstance + "\"" + (aFields.empty() ? "" : "," + aFields) + "}";
}

bool
HasFinding(const diagnosis& aDiagnosis, const std::string& aPart)
{
  return std::any_of(
    aDiagnosis.mFindings.begin(),
    aDiagnosis.mFindings.end(),
    [&](const auto& aText) { return aText.find(aPart) != std::string::npos; });
}

bool
HasEvent(const diagnosis& aDiagnosis, const std::string& aEvent)
{
  return std::any_of(aDiagnosis.mEvents.begin(),
                     aDiagnosis.mEvents.end(),
                     [&](const auto& aLine) { return aLine.mEvent == aEvent; });
}

} // namespace

TEST_GROUP(log_line){};

// Guards against sends that are misread because a reason contains spaces.
TEST(log_line, ReadsEachSend)
{
  const auto sends = ParseSends("i-1=broken(Connection reset by peer) "
                                "i-2=open i-3=shed(shed_503)");
  LONGS_EQUAL(3, sends.size());
  STRCMP_EQUAL("i-1", sends[0].mTarget.c_str());
  STRCMP_EQUAL("broken", sends[0].mOutcome.c_str());
  STRCMP_EQUAL("Connection reset by peer", sends[0].mReason.c_str());
  STRCMP_EQUAL("open", sends[1].mOutcome.c_str());
  STRCMP_EQUAL("shed_503", sends[2].mReason.c_str());
  LONGS_EQUAL(0, ParseSends("").size());
}

// Guards against parse errors on a collector's text or on truncated lines.
TEST(log_line, RejectsTextThatIsNotALogLine)
{
  CHECK(ParseLogLine(Line(1, "e1", "started", "")).has_value());
  CHECK_FALSE(ParseLogLine("").has_value());
  CHECK_FALSE(ParseLogLine("started").has_value());
  CHECK_FALSE(ParseLogLine(R"({"time_ms":1,"event":"reque)").has_value());
  CHECK_FALSE(ParseLogLine(R"({"time_ms":"1","event":"request"})"));
}

TEST_GROUP(explain){};

// Guards against a refusal cause that was added without a description.
TEST(explain, EveryCauseHasADescription)
{
  for (int i = 0; i <= static_cast<int>(refusal_cause::CallerGone); ++i) {
    const std::string name = CauseName(static_cast<refusal_cause>(i));
    CHECK_TEXT(!DescribeCause(name).mMeaning.empty(), name.c_str());
  }
}

// Guards against the loss of the two facts that explain a refusal by quota: how
// many requests were admitted, and whether two instances decided at once.
TEST(explain, QuotaRefusalShowsAdmittedRequestsAndDeciders)
{
  const std::string admitted =
    R"("request":"a","organisation":"lagos","cause":"none","quota_by":"e2")";
  const std::string refused =
    R"("request":"b","status":"429","organisation":"lagos",)"
    R"("cause":"over_quota","quota_by":"e2","took_ms":"1")";
  const std::string other =
    R"("request":"c","organisation":"lagos","cause":"none","quota_by":"e3")";
  in_memory_log_source logs(
    { Line(12, "e1", "request", refused),
      Line(10, "e1", "request", admitted),
      Line(11, "e4", "request", other),
      Line(2, "e4", "request", other),
      Line(11.5, "e3", "owner_no_reply", R"("item":"lagos")"),
      "no log line" });
  const auto diagnosed = Explain(logs, request_subject{ "b" }, 5s);
  CHECK(diagnosed.has_value());
  CHECK(HasFinding(*diagnosed, "fleet-wide quota was used up"));
  CHECK(HasFinding(*diagnosed, "2 admitted, 1 refused"));
  CHECK(HasFinding(*diagnosed, "2 e2, 1 e3"));
  CHECK(HasEvent(*diagnosed, "owner_no_reply"));
  LONGS_EQUAL(1, diagnosed->mUnreadableLines);
}

// Guards against a diagnosis that omits that other instances saw the same
// target fail, or that its last state before the window was known.
TEST(explain, FailedSendShowsOtherSendsToTheSameTarget)
{
  const auto request = [](const std::string& aId, const std::string& aSend) {
    return R"("request":")" + aId +
           R"(","status":"502","cause":"outcome_unknown","took_ms":"4",)" +
           R"("attempts":"i-7=)" + aSend + "\"";
  };
  in_memory_log_source logs(
    { Line(100, "e1", "request", request("x", "broken(reset by peer)")),
      Line(98, "e2", "request", request("y", "broken")),
      Line(99, "e3", "request", request("z", "served")),
      Line(50, "e1", "target_avoided", R"("target":"i-7","outcome":"broken")"),
      Line(60, "e1", "target_in_use", R"("target":"i-7","outcome":"served")"),
      Line(99, "e1", "target_avoided", R"("target":"i-8","outcome":"broken")"),
      Line(100.2, "e4", "target_avoided", R"("target":"i-7")") });
  const auto diagnosed = Explain(logs, request_subject{ "x" }, 5s);
  CHECK(diagnosed.has_value());
  CHECK(
    HasFinding(*diagnosed, "Sends to i-7 within 5000 ms: 2 broken, 1 served."));

  SECTION("lists the last state before the window, then its events by time")
  {
    LONGS_EQUAL(3, diagnosed->mEvents.size());
    STRCMP_EQUAL("target_in_use", diagnosed->mEvents[0].mEvent.c_str());
    STRCMP_EQUAL("request", diagnosed->mEvents[1].mEvent.c_str());
    STRCMP_EQUAL("e4", diagnosed->mEvents[2].mInstance.c_str());
  }
}

// Guards against a diagnosis that omits the store outage behind a refusal. The
// outage began before the window.
TEST(explain, StaleConfigurationRefusalShowsTheStoreOutage)
{
  const std::string stale =
    R"("request":"s","status":"503","cause":"configuration_stale",)"
    R"("configuration_age_ms":"4554")";
  in_memory_log_source logs({ Line(80, "e1", "store_lost", R"("call":"watch")"),
                              Line(81, "e2", "store_lost", R"("call":"watch")"),
                              Line(100, "e1", "request", stale) });
  const auto diagnosed = Explain(logs, request_subject{ "s" }, 5s);
  CHECK(diagnosed.has_value());
  CHECK(HasFinding(*diagnosed, "4554 ms old"));
  CHECK(HasEvent(*diagnosed, "store_lost"));
  LONGS_EQUAL(2, diagnosed->mEvents.size());
}

// Guards against a request without a diagnosis because its instance died before
// the answer and wrote only the `sent` line.
TEST(explain, RequestWithoutFinalLineShowsTheRestart)
{
  in_memory_log_source logs(
    { Line(28, "e9", "sent", R"("request":"p","target":"i-3")"),
      Line(28.5, "e9", "request", R"("request":"q","cause":"none")"),
      Line(40, "e9", "started", ""),
      Line(40, "e8", "started", "") });
  const auto diagnosed = Explain(logs, request_subject{ "p" }, 5s);
  CHECK(diagnosed.has_value());
  CHECK(diagnosed->mHeadline.find("no final log line") != std::string::npos);
  CHECK(HasFinding(*diagnosed, "later started event"));
  LONGS_EQUAL(2, diagnosed->mEvents.size());
  STRCMP_EQUAL("started", diagnosed->mEvents[1].mEvent.c_str());
}

// Guards against a diagnosis that is hard to read because every instance
// reports the same event in a line of its own.
TEST(explain, MergesTheSameEventOfManyInstances)
{
  std::vector<std::string> lines;
  lines.reserve(41);
  for (int i = 0; i < 40; ++i) {
    lines.push_back(Line(10 + i * 0.001,
                         "e" + std::to_string(i),
                         "target_avoided",
                         R"("target":"i-7","outcome":"broken")"));
  }
  lines.push_back(
    Line(14, "e1", "target_avoided", R"("target":"i-7","outcome":"broken")"));
  in_memory_log_source logs(lines);
  const auto diagnosed = Explain(logs, target_subject{ "i-7" }, 5s);
  CHECK(diagnosed.has_value());
  LONGS_EQUAL(2, diagnosed->mEvents.size());
  STRCMP_EQUAL("40", diagnosed->mEvents[0].mFields.at("instances").c_str());
}

// Guards against diagnoses of targets and organisations without the counts of a
// second.
TEST(explain, CountsOfTargetsAndOrganisationsBySecond)
{
  const std::string first =
    R"("request":"a","organisation":"lagos","cause":"none","quota_by":"e2",)"
    R"("attempts":"i-7=served","dropped":"3")";
  const std::string second =
    R"("request":"b","organisation":"lagos","cause":"over_quota",)"
    R"("quota_by":"e3","attempts":"")";
  in_memory_log_source logs(
    { Line(10.1, "e1", "request", first),
      Line(10.9, "e1", "request", second),
      Line(
        11, "e1", "target_removed", R"("target":"i-7","cause":"removed")") });

  SECTION("sends to a target, and lines dropped")
  {
    const auto diagnosed = Explain(logs, target_subject{ "i-7" }, 5s);
    CHECK(diagnosed.has_value());
    CHECK(HasEvent(*diagnosed, "target_removed"));
    STRCMP_EQUAL("1 served", diagnosed->mEvents[0].mFields.at("sends").c_str());
    LONGS_EQUAL(3, diagnosed->mDroppedLines);
  }
  SECTION("seconds with several quota deciders of an organisation")
  {
    const auto diagnosed = Explain(logs, organisation_subject{ "lagos" }, 5s);
    CHECK(diagnosed.has_value());
    CHECK(HasFinding(*diagnosed, "more than one quota decider: 1"));
  }
  SECTION("fails with NotFound for a subject that no line mentions")
  {
    CHECK(Explain(logs, target_subject{ "i-9" }, 5s).error() == errc::NotFound);
    CHECK(Explain(logs, request_subject{ "q" }, 5s).error() == errc::NotFound);
  }
}
