#include "core/random.h"
#include "modules/limits/limit_constants.h"
#include "modules/limits/unit_table.h"
#include "tests/story.h"

#include <algorithm>

using namespace cowslipline;

namespace {

std::vector<instance_name>
Names(std::size_t aCount)
{
  std::vector<instance_name> names;
  for (std::size_t i = 0; i < aCount; ++i) {
    names.push_back("instance-" + std::to_string(i));
  }
  return names;
}

/// Lets random instances write their targets, 8 times each on average.
void
Settle(unit_table& aTable,
       const std::vector<instance_name>& aLive,
       random_source& aRandom)
{
  for (std::size_t i = 0; i < aLive.size() * 8; ++i) {
    const auto& name = aLive[aRandom.Below(aLive.size())];
    aTable.Set(name, { 1, aTable.TargetFor(name, aLive), i, false });
  }
}

} // namespace

TEST_GROUP(unit_table){};

// Guards against units that stay unused, pile up at one instance or move back
// and forth for ever when instances join and leave.
TEST(unit_table, SettlesOnEvenSharesAfterJoinsAndLeaves)
{
  random_source random(5);
  unit_table table;
  for (const std::size_t count : { 1, 2, 7, 40, 41, 39, 160, 300, 3 }) {
    SECTION(std::to_string(count) + " instances")
    {
      const auto live = Names(count);
      const auto before = table.Entries();
      for (const auto& [name, entry] : before) {
        if (std::find(live.begin(), live.end(), name) == live.end()) {
          table.Set(name, {});
        }
      }
      Settle(table, live, random);
      LONGS_EQUAL(0, table.Free());
      for (const auto& name : live) {
        const auto held = table.Held(name);
        CHECK(held >= kAllotmentUnits / count);
        CHECK(held <= (kAllotmentUnits + count - 1) / count);
        LONGS_EQUAL(held, table.TargetFor(name, live));
      }
    }
  }
}

// Guards against using a table whose units exceed the whole, written by another
// version or a faulty process.
TEST(unit_table, RefusesContentThatExceedsOne)
{
  unit_table table;
  table.Set("a", { 3, 200, 9, true });
  const auto copy = unit_table::Parse(table.Serialise());
  CHECK(copy && copy->Held("a") == 200 && copy->Find("a")->mIsMarked);
  CHECK(!unit_table::Parse("not a table"));
  // {"h": {"a": [1, 241, 0, false]}, "v": 1}
  const std::string tooMany("\xa2\x61h\xa1\x61"
                            "a\x84\x01\x18\xf1\x00\xf4\x61v\x01",
                            15);
  CHECK(!unit_table::Parse(tooMany));
}
