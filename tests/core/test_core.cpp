#include "core/hash.h"
#include "core/kernel.h"
#include "core/metrics.h"
#include "tests/story.h"

using namespace cowslipline;

TEST_GROUP(kernel){};

// Guards against a service that silently replaces another of the same name.
TEST(kernel, FindsServicesByNameAndType)
{
  kernel registry;
  CHECK(registry.Register("number", std::make_shared<int>(3)).has_value());

  SECTION("a registered service is found")
  {
    LONGS_EQUAL(3, **registry.Find<int>("number"));
  }
  SECTION("another type or name is an error")
  {
    CHECK(registry.Find<long>("number").error() == errc::ServiceMissing);
    CHECK(registry.Find<int>("letter").error() == errc::ServiceMissing);
  }
  SECTION("a name is taken once")
  {
    CHECK(registry.Register("number", std::make_shared<int>(4)).error() ==
          errc::Duplicate);
  }
}

TEST_GROUP(metrics){};

// Guards against label sets that grow without bound, such as one series for
// each of 100,000 organisations.
TEST(metrics, BoundsTheNumberOfSeries)
{
  metrics registry;
  for (int i = 0; i < 5000; ++i) {
    registry
      .Counter("requests_total{organisation=\"" + std::to_string(i) + "\"}")
      .Add();
  }
  CHECK(registry.Counter("cowslipline_series_dropped").Value() > 0);
  CHECK(registry.RenderText().size() < 200'000);
}

TEST(metrics, QuantilesFollowTheObservations)
{
  metrics registry;
  for (int i = 0; i < 99; ++i) {
    registry.ObserveSeconds("latency_seconds", 0.010);
  }
  registry.ObserveSeconds("latency_seconds", 1.0);
  CHECK(registry.Quantile("latency_seconds", 0.5) < 0.02);
  CHECK(registry.Quantile("latency_seconds", 0.995) > 0.5);
}

TEST_GROUP(hash){};

// Guards against digests that do not depend on the secret: a leaked store
// value could then be searched for keys offline.
TEST(hash, DigestsDependOnSecretAndData)
{
  CHECK(KeyedDigest32("secret", "key") == KeyedDigest32("secret", "key"));
  CHECK(KeyedDigest32("secret", "key") != KeyedDigest32("other", "key"));
  CHECK(KeyedDigest32("secret", "key") != KeyedDigest32("secret", "kez"));
  CHECK(!AreDigestsEqual(KeyedDigest32("a", "b"), KeyedDigest32("a", "c")));
}
