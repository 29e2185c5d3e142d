#include "core/cbor.h"
#include "core/random.h"
#include "modules/sharing/sharing.h"
#include "tests/story.h"

#include <algorithm>
#include <utility>

using namespace cowslipline;
using namespace std::chrono_literals;

namespace {

const steady_time kStart(1h);

std::size_t
MostInWindow(const std::vector<steady_time>& aTimes, duration aWindow)
{
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < aTimes.size(); ++last) {
    while (aTimes[last] - aTimes[first] >= aWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

} // namespace

TEST_GROUP(quota_windows){};

// Guards against an organisation that gets more than its rate and burst, and
// against one that is refused within them (P5).
TEST(quota_windows, AdmitsExactlyTheQuotaOfAnyWindow)
{
  const quota_limit limit{ 30, 30 };
  quota_windows windows(5s, kStart);
  windows.Admit("other", limit, 1, kStart);
  random_source random(5);

  SECTION("eight times the usual load gets the quota")
  {
    std::vector<steady_time> admitted;
    auto now = kStart + 6s;
    while (now < kStart + 36s) {
      now += duration(static_cast<duration::rep>(random.Unit() * 13'000));
      if (windows.Admit("lagos", limit, 1, now).mIsAdmitted) {
        admitted.push_back(now);
      }
    }
    const auto most = MostInWindow(admitted, 5s);
    CHECK(most <= 180);
    CHECK(admitted.size() >= 1000);
  }
  SECTION("the ordinary load is not refused")
  {
    auto now = kStart + 40s;
    int refused = 0;
    for (int i = 0; i < 600; ++i) {
      now += duration(static_cast<duration::rep>(random.Unit() * 106'000));
      refused +=
        windows.Admit("jardins", limit, 1, now).mIsAdmitted ? 0 : 1;
    }
    LONGS_EQUAL(0, refused);
  }
  SECTION("a refused caller is told when there is room")
  {
    auto now = kStart + 120s;
    quota_decision decision{ true, duration(0) };
    while (decision.mIsAdmitted) {
      decision = windows.Admit("fiti", { 10, 10 }, 1, now);
    }
    CHECK(decision.mRetryAfter > 0ms);
    CHECK(decision.mRetryAfter <= 3s);
  }
}

// Guards against a quota that is given twice because its owner changed: the new
// owner does not know what the former one has admitted, but those who ask do.
TEST(quota_windows, AChangeOfOwnerGrantsNoSecondQuota)
{
  const quota_limit limit{ 50, 50 };
  constexpr int kAskers = 40;
  for (const auto changeAfter : { 1500ms, 2500ms, 4000ms }) {
    quota_windows former(5s, kStart);
    quota_windows next(5s, kStart);
    former.Admit("other", limit, 1, kStart);
    next.Admit("other", limit, 1, kStart);
    std::vector<std::vector<steady_time>> granted(kAskers);
    std::vector<steady_time> admitted;
    random_source random(9);
    auto now = kStart + 10s;
    for (int i = 0; i < 1600; ++i) {
      now += 5ms;
      const auto asker = random.Below(kAskers);
      const bool isFormer = now < kStart + 10s + changeAfter;
      if (!isFormer) {
        admitted_history history{};
        for (const auto at : std::exchange(granted[asker], {})) {
          if (now - at < 5s) {
            ++history[static_cast<std::size_t>((now - at) / 1s)];
          }
        }
        next.AddPast("lagos", history, now);
      }
      auto& owner = isFormer ? former : next;
      if (owner.Admit("lagos", limit, isFormer ? 1 : 2, now).mIsAdmitted) {
        if (isFormer) {
          granted[asker].push_back(now);
        }
        admitted.push_back(now);
      }
    }
    // The operators' tolerance: a tenth more and 20 requests.
    CHECK(MostInWindow(admitted, 5s) <= 350);
  }
}

TEST_GROUP(member_table){};

namespace {

fleet_member
Member(std::string aName, std::string aZone)
{
  return { std::move(aName),
           std::move(aZone),
           { asio::ip::make_address("127.0.0.1"), 9 } };
}

} // namespace

// Guards against a fleet that forgets itself while the store is away, and
// against questions to members that do not reply.
TEST(member_table, KeepsMembersThatAreHeard)
{
  member_table table(Member("i1", "a"));
  table.Put(Member("i2", "a"));
  table.Put(Member("i3", "b"));
  LONGS_EQUAL(3, table.Count(kStart));

  SECTION("a lapsed registration counts as gone unless the member is heard")
  {
    table.OnHeard("i2", kStart);
    table.Remove("i2", kStart + 1s);
    LONGS_EQUAL(3, table.Count(kStart + 1s));
    LONGS_EQUAL(2, table.Count(kStart + 5s));
  }
  SECTION("a member that does not reply is passed over for a while")
  {
    table.OnNoReply("i3", kStart + 10s);
    LONGS_EQUAL(0, table.Relays(1, kStart + 10s).size());
    LONGS_EQUAL(1, table.Relays(1, kStart + 12s).size());
  }
  SECTION("all instances name the same owners")
  {
    member_table other(Member("i3", "b"));
    other.Put(Member("i1", "a"));
    other.Put(Member("i2", "a"));
    table.Put(Member("i2", "a"));
    for (const auto* item : { "x", "y", "z", "w" }) {
      STRCMP_EQUAL(
        table.OwnersOf(item, 1, kStart + 20s)[0]->mName.c_str(),
        other.OwnersOf(item, 1, kStart + 20s)[0]->mName.c_str());
    }
  }
}

TEST_GROUP(peer_message){};

// Guards against a datagram of another program, or of a newer version, that
// changes what this instance believes.
TEST(peer_message, RoundTripsAndRefusesWhatItDoesNotKnow)
{
  SECTION("every kind comes back as it was")
  {
    const std::vector<peer_payload> payloads = {
      target_report{ "t1", 2, true },
      crash_report{ 77, "t2", false },
      load_report{ { { "t1", 3 }, { "t2", 0 } } },
      quota_question{ 5, "lagos", { 1, 0, 2, 0, 0 } },
      retry_question{ 6, "ledger", 9 },
      owner_answer{ 5, true, 250 },
    };
    for (const auto& payload : payloads) {
      const auto bytes = EncodePeerMessage({ "i1", payload });
      const auto decoded = DecodePeerMessage(bytes);
      CHECK(decoded.has_value());
      LONGS_EQUAL(payload.index(), decoded->mPayload.index());
      STRCMP_EQUAL("i1", decoded->mSender.c_str());
    }
  }
  SECTION("cut, foreign and mistyped bytes are refused")
  {
    const auto bytes = EncodePeerMessage({ "i1", quota_question{ 5, "lagos", { 1, 0, 2, 0, 0 } } });
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      CHECK_FALSE(DecodePeerMessage(bytes.substr(0, length)).has_value());
    }
    CHECK_FALSE(DecodePeerMessage("GET / HTTP/1.1\r\n\r\n").has_value());
    CHECK_FALSE(DecodePeerMessage(EncodeCbor({ 2, 4, "i1", 5, "lagos", nlohmann::json::array() })));
    CHECK_FALSE(DecodePeerMessage(EncodeCbor({ 1, 4, "i1", "5", "lagos", nlohmann::json::array() })));
    CHECK_FALSE(DecodePeerMessage(EncodeCbor({ 1, 99, "i1", 5, "lagos", nlohmann::json::array() })));
  }
}
