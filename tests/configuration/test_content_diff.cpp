#include "modules/configuration/configuration.h"
#include "tests/configuration/generated_content.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;

namespace {

std::string
Changes(const configuration_content& aBefore,
        const configuration_content& aAfter)
{
  std::string text;
  for (const auto& change : DescribeChanges(aBefore, aAfter)) {
    text += change + "\n";
  }
  return text;
}

} // namespace

TEST_GROUP(content_diff){};

// Guards against a change that an operator publishes without having seen it.
TEST(content_diff, EveryChangeIsNamed)
{
  const auto before = MakeContent({ 2, 4, 4, 2, 2 });
  auto after = before;
  STRCMP_EQUAL("", Changes(before, after).c_str());

  SECTION("values")
  {
    after.mServices[0].mService.mFloor = 2;
    after.mServices[0].mService.mTargets[0].mIsDraining = true;
    auto& route = after.mServices[1].mRoutes[0];
    route.mRoute.mDeadline = std::chrono::milliseconds(900);
    route.mRoute.mAnswerChecks.pop_back();
    route.mOrganisationNames = { "organisation-1", "organisation-0" };
    after.mOrganisations[0].mRate = 12.5;
    after.mKeys[1].mIsWithdrawn = true;
    STRCMP_EQUAL(
      "key key-1: withdrawn false -> true\n"
      "organisation organisation-0: rate 10 -> 12.5\n"
      "route service-1.route-0: answer_json_field price -> none\n"
      "route service-1.route-0: deadline_ms 2000 -> 900\n"
      "route service-1.route-0: organisations all -> organisation-0, "
      "organisation-1\n"
      "service service-0: floor 1 -> 2\n"
      "target service-0/target-0: draining false -> true\n",
      Changes(before, after).c_str());
  }
  SECTION("entries")
  {
    after = before;
    after.mOrganisations.erase(after.mOrganisations.begin());
    after.mServices[0].mService.mTargets.push_back(
      { "t9", "fd00::1", 80, "zone-1", false });
    STRCMP_EQUAL(
      "organisation organisation-0: keys that stop working until it is back: "
      "1\n"
      "organisation organisation-0: removed\n"
      "target service-0/t9: added (address [fd00::1]:80, draining false, zone "
      "zone-1)\n",
      Changes(before, after).c_str());
  }
}
