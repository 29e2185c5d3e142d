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
  /// aOwners: the configuration of the first owner, if it differs from that of
  /// the others, which is version 4.
  explicit divided_fleet(
    edge_fixture& aFixture,
    const std::optional<fleet_configuration>& aOwners = std::nullopt)
    : mFixture(aFixture)
  {
    auto settings = aFixture.mSettings;
    settings.mBounds.mOwners.mQuotas.mWindow = kWindow;
    const auto configuration = Limited(aFixture, 4, kRate);
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
      mFeeds[i]->Publish(i == 0 && aOwners ? *aOwners : configuration);
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

  /// A version in which the organisation has this rate and the usual burst.
  static fleet_configuration Limited(const edge_fixture& aFixture,
                                     std::uint64_t aVersion,
                                     double aRate)
  {
    auto configuration = aFixture.Configuration(aVersion);
    configuration.mOrganisations[0].mRate = aRate;
    configuration.mOrganisations[0].mBurst = kBurst;
    return configuration;
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

namespace {

/// The most requests served in a window while instances 1 and 2, which know
/// the limit by version 4, ask an owner with this configuration.
std::size_t
MostServedWithOwnerAt(edge_fixture& aFixture, const fleet_configuration& aOwner)
{
  divided_fleet fleet(aFixture, aOwner);
  fleet.StartCallers(1);
  fleet.StartCallers(2);
  fleet.Pause(2500ms);
  fleet.StopCallers();
  return fleet.MostServedInWindow();
}

} // namespace

// Guards against a quota that is admitted without a limit because its owner
// does not know the organisation, or decides by an older version than the
// instances that ask it.
TEST(quota_owners, DecideByTheNewestVersionThatTheyAndTheirAskersKnow)
{
  const auto lacking = [](std::uint64_t aVersion) {
    return [aVersion](const edge_fixture& aFixture) {
      auto configuration = aFixture.Configuration(aVersion);
      configuration.mOrganisations[0].mName = "jardins";
      return configuration;
    };
  };
  const auto limited = [](double aRate) {
    return [aRate](const edge_fixture& aFixture) {
      return divided_fleet::Limited(aFixture, 3, aRate);
    };
  };
  const std::vector<
    std::pair<const char*,
              std::function<fleet_configuration(const edge_fixture&)>>>
    owners = {
      { "behind, without the organisation", lacking(3) },
      { "behind, without any organisation",
        [](const edge_fixture& aFixture) {
          auto configuration = aFixture.Configuration(3);
          configuration.mOrganisations.clear();
          return configuration;
        } },
      { "behind, without a limit", limited(0) },
      { "behind, with a higher limit", limited(10 * kRate) },
      { "behind, with a lower limit", limited(1) },
      { "ahead, where the organisation is gone", lacking(5) },
    };
  for (const auto& [name, configure] : owners) {
    SECTION(name)
    {
      edge_fixture fixture;
      const auto most = MostServedWithOwnerAt(fixture, configure(fixture));
      CHECK(most <= kAllowed);
      CHECK(most >= kRate);
    }
  }
  SECTION("an owner ahead by whose version the limit is lower")
  {
    edge_fixture fixture;
    const auto most =
      MostServedWithOwnerAt(fixture, divided_fleet::Limited(fixture, 5, 5));
    // (5 x 2 + 50) x 1.1 + 20.
    CHECK(most <= 86);
  }
  SECTION("an owner behind whose own callers send, too")
  {
    edge_fixture fixture;
    divided_fleet fleet(fixture,
                        divided_fleet::Limited(fixture, 3, 10 * kRate));
    fleet.StartCallers(0);
    fleet.StartCallers(1);
    fleet.Pause(4s);
    fleet.StopCallers();
    // Until the first question its own callers have what version 3 gives them.
    CHECK(fleet.MostServedInWindow() <= kAllowed);
  }
}

// Guards against an owner that admits what an instance of an earlier version
// asks for without the limit, about an organisation that the owner lacks.
TEST(quota_owners, RefuseWhatNeitherSideStatesALimitFor)
{
  edge_fixture fixture;
  fixture.mFeed.Publish(divided_fleet::Limited(fixture, 5, kRate));
  fixture.Pause(200ms);
  auto opened = peer_link::Open(
    fixture.mContext, "earlier", { asio::ip::make_address("127.0.0.1"), 0 });
  CHECK(opened.has_value());
  std::optional<owner_reply> reply;
  (*opened)->SetHandler([&](const peer_message& aMessage, const udp_endpoint&) {
    if (const auto* received = std::get_if<owner_reply>(&aMessage.mPayload)) {
      reply = *received;
    }
  });
  const auto ask = [&](quota_request aQuestion) {
    reply.reset();
    aQuestion.mId = 7;
    (*opened)->Send(aQuestion, fixture.mInstance->PeersAddress());
    fixture.Pause(200ms);
    CHECK(reply.has_value());
    return reply.value_or(owner_reply());
  };

  SECTION("an organisation that the owner does not know is refused")
  {
    const auto refused = ask({ 0, "jardins", std::nullopt });
    CHECK_FALSE(refused.mIsAdmitted);
    CHECK(refused.mRetryAfterMs > 0);
    LONGS_EQUAL(0, refused.mVersion);
  }
  SECTION("one that it knows is decided by its own version")
  {
    const auto admitted = ask({ 0, "lagos", std::nullopt });
    CHECK(admitted.mIsAdmitted);
    LONGS_EQUAL(5, admitted.mVersion);
  }
  SECTION("with the limit it is decided by the version that states it")
  {
    const auto admitted = ask({ 0, "jardins", stated_limit{ 6, { 20, 20 } } });
    CHECK(admitted.mIsAdmitted);
    LONGS_EQUAL(6, admitted.mVersion);
  }
  (*opened)->Close();
}
