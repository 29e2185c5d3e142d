#include "core/buffer_budget.h"
#include "tests/story.h"

using namespace cowslipline;

TEST_GROUP(buffer_budget){};

// Guards against bodies without end that leave nothing for a small one.
TEST(buffer_budget, GreedyBodiesLeaveRoom)
{
  buffer_budget budget(1000);
  SECTION("one body may take half")
  {
    body_lease greedy(5000, budget);
    while (greedy.Grow(1)) {
    }
    LONGS_EQUAL(500, greedy.Bytes());
    CHECK(greedy.IsOverBudget());
    SECTION("and a small one beside it is taken")
    {
      body_lease small(5000, budget);
      CHECK(small.Grow(100));
      LONGS_EQUAL(600, budget.Used());
    }
    LONGS_EQUAL(500, budget.Used());
  }
  SECTION("what it held is free again")
  {
    LONGS_EQUAL(0, budget.Used());
    LONGS_EQUAL(1000, budget.Free());
  }
  SECTION("nine that grow side by side leave a tenth")
  {
    std::vector<body_lease> greedy;
    greedy.reserve(9);
    for (int i = 0; i < 9; ++i) {
      greedy.emplace_back(5000, budget);
    }
    for (int round = 0; round < 1000; ++round) {
      for (auto& lease : greedy) {
        lease.Grow(1);
      }
    }
    CHECK(budget.Free() >= 100);
  }
  LONGS_EQUAL(0, budget.Used());
}

// Guards against leases that are counted twice or never given back.
TEST(buffer_budget, LeasesMoveAndEnd)
{
  buffer_budget budget(1000);
  body_lease kept(0);
  {
    body_lease lease(200, budget);
    CHECK(lease.Grow(150));
    SECTION("the limit of one body is no want of memory")
    {
      CHECK_FALSE(lease.Grow(51));
      CHECK_FALSE(lease.IsOverBudget());
    }
    kept = std::move(lease);
  }
  LONGS_EQUAL(150, budget.Used());
  kept = body_lease(0);
  LONGS_EQUAL(0, budget.Used());
  SECTION("a lowered limit stops what is held from growing")
  {
    body_lease lease(1000, budget);
    CHECK(lease.Grow(400));
    budget.SetLimit(300);
    CHECK_FALSE(lease.Grow(1));
    LONGS_EQUAL(0, budget.Free());
  }
}
