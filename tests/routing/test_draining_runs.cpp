#include "modules/routing/routing.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace std::chrono_literals;

namespace {

target_entry
MakeEntry(const std::string& aId, std::int64_t aStartedAtMs)
{
  target_entry entry;
  entry.mId = aId;
  entry.mService = "catalogue";
  entry.mStartedAtMs = aStartedAtMs;
  return entry;
}

} // namespace

TEST_GROUP(draining_runs){};

// Guards against a run of a target that counts as ready again after it has said
// that it drains, and against a later run that is left out for that.
TEST(draining_runs, AreNotReadyAgain)
{
  const steady_time start(1h);
  target_directory directory;
  directory.Put(MakeEntry("t1", 5));
  directory.Put(MakeEntry("t2", 5));
  LONGS_EQUAL(2, directory.Ready("catalogue").size());
  CHECK(directory.MarkDraining(MakeEntry("t1", 5), start));
  CHECK_FALSE(directory.MarkDraining(MakeEntry("t1", 5), start + 1s));
  LONGS_EQUAL(1, directory.Ready("catalogue").size());

  SECTION("its entry is put again")
  {
    directory.Put(MakeEntry("t1", 5));
    LONGS_EQUAL(1, directory.Ready("catalogue").size());
  }
  SECTION("another run is listed, and the first one again")
  {
    directory.Put(MakeEntry("t1", 9));
    LONGS_EQUAL(2, directory.Ready("catalogue").size());
    directory.Put(MakeEntry("t1", 5));
    LONGS_EQUAL(1, directory.Ready("catalogue").size());
  }
  SECTION("an answer of the first run says nothing of the one that is listed")
  {
    directory.Put(MakeEntry("t2", 9));
    CHECK(directory.MarkDraining(MakeEntry("t2", 5), start));
    CHECK(directory.Find("t2")->mPhase == target_phase::Ready);
  }
}

// Guards against a list of runs that grows without end, and against a run that
// is forgotten while it may still be listed.
TEST(draining_runs, AreForgottenWhenNoLongerListed)
{
  const steady_time start(1h);
  target_directory directory;
  directory.Put(MakeEntry("t1", 5));
  CHECK(directory.MarkDraining(MakeEntry("t1", 5), start));
  directory.Prune(start + 1h);
  CHECK_FALSE(directory.MarkDraining(MakeEntry("t1", 5), start + 1h));

  SECTION("it comes back within a minute")
  {
    directory.Remove("t1");
    directory.Prune(start + 1h + 59s);
    directory.Put(MakeEntry("t1", 5));
    CHECK(directory.Ready("catalogue").empty());
    directory.Prune(start + 1h + 59s);
  }
  SECTION("nothing is listed for longer")
  {
    directory.Remove("t1");
    directory.Prune(start + 1h + 120s);
    CHECK(directory.MarkDraining(MakeEntry("t1", 5), start + 2h));
  }
}
