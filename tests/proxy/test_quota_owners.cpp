#include "tests/proxy/edge_fixture.h"
#include "tests/story.h"

#include <algorithm>
#include <array>

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

constexpr duration kWindow = 2s;
constexpr double kRate = 50;
constexpr double kBurst = 50;

// (rate x window + burst) x 1.1 + 20: the tolerance of quota_tolerance.
constexpr std::size_t kAllowed = 185;

// Callers of each instance, each with one request at a time: together they send
// several times the quota.
constexpr int kCallers = 4;

/// Instances that learn of registrations at different times: each has a store
/// and a zone of its own, so that it reads what the test wrote for it.
class divided_fleet
{
public:
  explicit divided_fleet(edge_fixture& aFixture)
    : mFixture(aFixture)
  {
    auto settings = aFixture.mSettings;
    settings.mBounds.mOwners.mQuotas.mWindow = kWindow;
    auto configuration = aFixture.Configuration(4);
    configuration.mOrganisations[0].mRate = kRate;
    configuration.mOrganisations[0].mBurst = kBurst;
    auto& target = aFixture.AddTarget(
      "t1",
      "catalogue",
      [](const http_request& aRequest,
         tcp_stream& aStream,
         yield_context aYield) {
        return SendText(aStream, GoodAnswer(aRequest, "tank"), aYield);
      });
    for (std::size_t i = 0; i < mFeeds.size(); ++i) {
      mFeeds[i] = std::make_unique<memory_platform_feed>(aFixture.mScheduler);
      mFeeds[i]->Publish(configuration);
      mFeeds[i]->PutTarget(target.Entry("catalogue", "a"));
      settings.mInstance = OwnerNames()[i];
      settings.mAvailabilityZone = ZoneOf(i);
      auto created = proxy_instance::Create(
        aFixture.mScheduler, settings, TestHeaders(), *mFeeds[i], i + 1);
      CHECK(created.has_value());
      mInstances[i] = std::move(*created);
      mInstances[i]->Start();
    }
    for (std::size_t viewer = 0; viewer < mFeeds.size(); ++viewer) {
      for (std::size_t member = 0; member < mFeeds.size(); ++member) {
        if (viewer != member) {
          TellOf(viewer, member);
        }
      }
    }
    Pause(200ms);
  }

  /// Names by their place among the owners of the organisation's quota.
  static const std::vector<std::string>& OwnerNames()
  {
    static const std::vector<std::string> names = [] {
      member_table table({ "x", "a", {} });
      std::vector<std::string> ordered;
      for (const auto* name : { "x", "y", "z" }) {
        table.Put({ name, "a", {} });
      }
      for (const auto* owner : table.OwnersOf("lagos", 3, steady_time())) {
        ordered.push_back(owner->mName);
      }
      return ordered;
    }();
    return names;
  }

  void TellOf(std::size_t aViewer, std::size_t aMember)
  {
    const fleet_member member{ OwnerNames()[aMember],
                               ZoneOf(aMember),
                               mInstances[aMember]->PeersAddress(),
                               aMember + 1 };
    mFixture.Run([&](yield_context aYield) {
      CHECK(mFeeds[aViewer]->Register(member, { 1, 1 }, aYield).has_value());
    });
  }
  void TellOfEnd(std::size_t aViewer, std::size_t aMember)
  {
    mFeeds[aViewer]->RemoveMember(OwnerNames()[aMember]);
  }

  /// Starts the callers of the instance; they stop with the fixture.
  void StartCallers(std::size_t aInstance)
  {
    for (int i = 0; i < kCallers; ++i) {
      mFixture.mScheduler.Spawn([this, aInstance](yield_context aYield) {
        while (!mIsStopped) {
          const auto sentAt = ReadBootClock();
          const auto response =
            mFixture.CallAt(*mInstances[aInstance], "GET", "/specs/1", aYield);
          if (response && response->mHead.mStatus == 200) {
            mServed.push_back(sentAt);
          }
          mFixture.Sleep(2ms, aYield);
        }
        --mRunning;
      });
      ++mRunning;
    }
  }
  void StopCallers()
  {
    mIsStopped = true;
    while (mRunning > 0) {
      Pause(20ms);
    }
  }

  void Pause(duration aTime)
  {
    mFixture.Run([&](yield_context aYield) { mFixture.Sleep(aTime, aYield); });
  }

  std::size_t MostServedInWindow()
  {
    std::sort(mServed.begin(), mServed.end());
    std::size_t most = 0;
    auto first = mServed.begin();
    for (auto last = mServed.begin(); last != mServed.end(); ++last) {
      while (*last - *first >= kWindow) {
        ++first;
      }
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
  }

private:
  static std::string ZoneOf(std::size_t aInstance)
  {
    return "zone-" + OwnerNames()[aInstance];
  }

  edge_fixture& mFixture;
  std::array<std::unique_ptr<memory_platform_feed>, 3> mFeeds;
  std::array<std::unique_ptr<proxy_instance>, 3> mInstances;
  std::vector<steady_time> mServed;
  bool mIsStopped = false;
  int mRunning = 0;
};

} // namespace

TEST_GROUP(quota_owners){};

// Guards against a quota that is admitted twice while instances disagree on who
// owns it: some have heard that a registration ended or began, others have not,
// and each group asks an owner of its own.
TEST(quota_owners, TogetherAdmitAQuotaOnceWhileInstancesDisagree)
{
  SECTION("an owner whose registration ended is still asked by some")
  {
    edge_fixture fixture;
    divided_fleet fleet(fixture);
    fleet.StartCallers(1);
    fleet.StartCallers(2);
    fleet.Pause(1s);
    fleet.TellOfEnd(1, 0);
    fleet.Pause(4s);
    fleet.StopCallers();
    CHECK(fleet.MostServedInWindow() <= kAllowed);
    CHECK(fleet.MostServedInWindow() >= kRate);
  }
  SECTION("an owner that is back is not asked by all yet")
  {
    edge_fixture fixture;
    divided_fleet fleet(fixture);
    fleet.TellOfEnd(1, 0);
    fleet.TellOfEnd(2, 0);
    fleet.Pause(200ms);
    fleet.StartCallers(1);
    fleet.StartCallers(2);
    fleet.Pause(2s);
    fleet.TellOf(2, 0);
    fleet.Pause(4s);
    fleet.StopCallers();
    CHECK(fleet.MostServedInWindow() <= kAllowed);
    CHECK(fleet.MostServedInWindow() >= kRate);
  }
}
