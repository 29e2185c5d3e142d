#include "tests/limits/limiter_fleet.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

TEST_GROUP(rate_limiter){};

// Guards against a limiter that admits nothing, or more than the burst, in the
// simplest case: a fleet without faults.
TEST(rate_limiter, AdmitsTheBurstOfAnIdleOrganisationAnywhere)
{
  limiter_fleet fleet(1);
  fleet.mSnapshots->Set({ { "small", 2, 4 } });
  fleet.StartMany(8);
  fleet.Advance(30s);
  int admitted = 0;
  for (const auto& [name, process] : fleet.mProcesses) {
    fleet.mClock.RunUntilDone(
      [&, limiter = process->mLimiter](yield_context aYield) {
        admitted += limiter->Admit("small", 0ms, aYield) ? 1 : 0;
        admitted += limiter->Admit("small", 10ms, aYield) ? 1 : 0;
      },
      1s);
  }
  LONGS_EQUAL(4, admitted);
}
