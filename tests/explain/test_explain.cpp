#include "modules/explain/explain.h"
#include "modules/proxy/refusal_cause.h"
#include "tests/story.h"

#include <algorithm>

using namespace cowslipline;
using namespace std::chrono_literals;

namespace {

class memory_log final : public log_source
{
public:
  explicit memory_log(std::vector<std::string> aLines)
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

/// A log line at a second of the day with the given fields.
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
HasFinding(const story& aStory, const std::string& aPart)
{
  return std::any_of(
    aStory.mFindings.begin(), aStory.mFindings.end(), [&](const auto& aText) {
      return aText.find(aPart) != std::string::npos;
    });
}

bool
HasEvent(const story& aStory, const std::string& aEvent)
{
  return std::any_of(aStory.mEvents.begin(),
                     aStory.mEvents.end(),
                     [&](const auto& aLine) { return aLine.mEvent == aEvent; });
}

} // namespace

TEST_GROUP(log_line){};

// Guards against sends that are misread because a reason holds spaces.
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

// Guards against text of collectors and cut lines that end the reading.
TEST(log_line, SkipsWhatIsNoLogLine)
{
  CHECK(ParseLogLine(Line(1, "e1", "started", "")).has_value());
  CHECK_FALSE(ParseLogLine("").has_value());
  CHECK_FALSE(ParseLogLine("started").has_value());
  CHECK_FALSE(ParseLogLine(R"({"time_ms":1,"event":"reque)").has_value());
  CHECK_FALSE(ParseLogLine(R"({"time_ms":"1","event":"request"})"));
}

TEST_GROUP(explain){};

// Guards against a refusal that an engineer cannot look up.
TEST(explain, EveryCauseHasAMeaning)
{
  for (int i = 0; i <= static_cast<int>(refusal_cause::CallerGone); ++i) {
    const std::string name = CauseName(static_cast<refusal_cause>(i));
    CHECK_TEXT(!DescribeCause(name).mMeaning.empty(), name.c_str());
  }
}

// Guards against the loss of the two facts that explain a refusal by quota: how
// much was admitted, and whether two instances decided at once.
TEST(explain, ARefusalByQuota)
{
  const std::string admitted =
    R"("request":"a","organisation":"lagos","cause":"none","quota_by":"e2")";
  const std::string refused =
    R"("request":"b","status":"429","organisation":"lagos",)"
    R"("cause":"over_quota","quota_by":"e2","took_ms":"1")";
  const std::string other =
    R"("request":"c","organisation":"lagos","cause":"none","quota_by":"e3")";
  memory_log logs({ Line(12, "e1", "request", refused),
                    Line(10, "e1", "request", admitted),
                    Line(11, "e4", "request", other),
                    Line(2, "e4", "request", other),
                    Line(11.5, "e3", "owner_no_reply", R"("item":"lagos")"),
                    "no log line" });
  const auto told = Explain(logs, request_subject{ "b" }, 5s);
  CHECK(told.has_value());
  CHECK(HasFinding(*told, "quota over the whole fleet was used"));
  CHECK(HasFinding(*told, "2 admitted, 1 refused"));
  CHECK(HasFinding(*told, "2 e2, 1 e3"));
  CHECK(HasEvent(*told, "owner_no_reply"));
  LONGS_EQUAL(1, told->mUnreadable);
}

// Guards against a story that hides that others saw the same target fail, or
// that it was known before.
TEST(explain, ARequestThatAGrayTargetFailed)
{
  const auto request = [](const std::string& aId, const std::string& aSend) {
    return R"("request":")" + aId +
           R"(","status":"502","cause":"outcome_unknown","took_ms":"4",)" +
           R"("attempts":"i-7=)" + aSend + "\"";
  };
  memory_log logs(
    { Line(100, "e1", "request", request("x", "broken(reset by peer)")),
      Line(98, "e2", "request", request("y", "broken")),
      Line(99, "e3", "request", request("z", "served")),
      Line(50, "e1", "target_avoided", R"("target":"i-7","outcome":"broken")"),
      Line(60, "e1", "target_in_use", R"("target":"i-7","outcome":"served")"),
      Line(99, "e1", "target_avoided", R"("target":"i-8","outcome":"broken")"),
      Line(100.2, "e4", "target_avoided", R"("target":"i-7")") });
  const auto told = Explain(logs, request_subject{ "x" }, 5s);
  CHECK(told.has_value());
  CHECK(HasFinding(*told, "Sends to i-7 within 5000 ms: 2 broken, 1 served."));

  SECTION("the last state before the window and the events in it, in order")
  {
    LONGS_EQUAL(3, told->mEvents.size());
    STRCMP_EQUAL("target_in_use", told->mEvents[0].mEvent.c_str());
    STRCMP_EQUAL("request", told->mEvents[1].mEvent.c_str());
    STRCMP_EQUAL("e4", told->mEvents[2].mInstance.c_str());
  }
}

// Guards against a refusal in an outage that is told without the outage.
TEST(explain, ARefusalWhileTheStoreIsAway)
{
  const std::string stale =
    R"("request":"s","status":"503","cause":"configuration_stale",)"
    R"("configuration_age_ms":"4554")";
  memory_log logs({ Line(80, "e1", "store_lost", R"("call":"watch")"),
                    Line(81, "e2", "store_lost", R"("call":"watch")"),
                    Line(100, "e1", "request", stale) });
  const auto told = Explain(logs, request_subject{ "s" }, 5s);
  CHECK(told.has_value());
  CHECK(HasFinding(*told, "4554 ms old"));
  CHECK(HasEvent(*told, "store_lost"));
  LONGS_EQUAL(2, told->mEvents.size());
}

// Guards against a request that nobody can explain because its instance died
// before the answer.
TEST(explain, ARequestWhoseInstanceDied)
{
  memory_log logs(
    { Line(28, "e9", "sent", R"("request":"p","target":"i-3")"),
      Line(28.5, "e9", "request", R"("request":"q","cause":"none")"),
      Line(40, "e9", "started", ""),
      Line(40, "e8", "started", "") });
  const auto told = Explain(logs, request_subject{ "p" }, 5s);
  CHECK(told.has_value());
  CHECK(told->mHeadline.find("no end") != std::string::npos);
  CHECK(HasFinding(*told, "later line started"));
  LONGS_EQUAL(2, told->mEvents.size());
  STRCMP_EQUAL("started", told->mEvents[1].mEvent.c_str());
}

// Guards against stories that are hidden in one line for each instance.
TEST(explain, JoinsWhatManyInstancesReport)
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
  memory_log logs(lines);
  const auto told = Explain(logs, target_subject{ "i-7" }, 5s);
  CHECK(told.has_value());
  LONGS_EQUAL(2, told->mEvents.size());
  STRCMP_EQUAL("40", told->mEvents[0].mFields.at("instances").c_str());
}

// Guards against stories of targets and organisations that leave out seconds.
TEST(explain, TargetsAndOrganisationsBySecond)
{
  const std::string first =
    R"("request":"a","organisation":"lagos","cause":"none","quota_by":"e2",)"
    R"("attempts":"i-7=served","dropped":"3")";
  const std::string second =
    R"("request":"b","organisation":"lagos","cause":"over_quota",)"
    R"("quota_by":"e3","attempts":"")";
  memory_log logs(
    { Line(10.1, "e1", "request", first),
      Line(10.9, "e1", "request", second),
      Line(
        11, "e1", "target_removed", R"("target":"i-7","cause":"removed")") });

  SECTION("a target")
  {
    const auto told = Explain(logs, target_subject{ "i-7" }, 5s);
    CHECK(told.has_value());
    CHECK(HasEvent(*told, "target_removed"));
    STRCMP_EQUAL("1 served", told->mEvents[0].mFields.at("sends").c_str());
    LONGS_EQUAL(3, told->mDropped);
  }
  SECTION("an organisation")
  {
    const auto told = Explain(logs, organisation_subject{ "lagos" }, 5s);
    CHECK(told.has_value());
    CHECK(HasFinding(*told, "more than one decider: 1"));
  }
  SECTION("nobody that the logs know")
  {
    CHECK(Explain(logs, target_subject{ "i-9" }, 5s).error() == errc::NotFound);
    CHECK(Explain(logs, request_subject{ "q" }, 5s).error() == errc::NotFound);
  }
}
