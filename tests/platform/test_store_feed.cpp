#include "core/tcp_listener.h"
#include "platform/entry_codec.h"
#include "platform/store_feed.h"
#include "tests/fakes/kept_context.h"
#include "tests/fakes/run_task.h"
#include "tests/story.h"

#include <functional>

using namespace cowslipline;
using namespace std::chrono_literals;

namespace {

/// Fake HTTP server of the store. The test's handler returns the reply to each
/// call; an empty reply is not sent, so that the call times out.
class fake_store_server
{
public:
  using reply_handler = std::function<std::string(const std::string& aCall)>;

  explicit fake_store_server(asio::io_context& aContext)
    : mListener(aContext, [this, &aContext](asio::ip::tcp::socket aSocket) {
      Serve(aContext, std::move(aSocket));
    })
  {
    CHECK(
      mListener.Open({ asio::ip::make_address("127.0.0.1"), 0 }).has_value());
  }

  tcp_endpoint Address() const { return mListener.LocalAddress(); }

  reply_handler mHandler;
  std::vector<std::string> mCalls; ///< Method, target and body.
  int mConnections = 0;

private:
  void Serve(asio::io_context& aContext, asio::ip::tcp::socket aSocket)
  {
    ++mConnections;
    const auto stream = std::make_shared<tcp_stream>(std::move(aSocket));
    asio::spawn(
      aContext,
      [this, stream](yield_context aYield) {
        while (true) {
          const auto deadline = ReadBootClock() + 20s;
          const auto bytes = ReadHeadBytes(*stream, 9000, deadline, aYield);
          const auto head = bytes ? ParseRequestHead(*bytes, head_limits())
                                  : tl::unexpected(head_error::Malformed);
          if (!head) {
            return;
          }
          body_lease lease(100'000);
          const auto body =
            ReadBody(*stream, head->mFraming, lease, deadline, aYield);
          mCalls.push_back(head->mMethod + ' ' + head->mTarget + ' ' +
                           body.value_or(""));
          const auto reply = mHandler(mCalls.back());
          if (!reply.empty()) {
            stream->Write({ asio::buffer(reply) }, deadline, aYield);
          }
        }
      },
      boost::coroutines::attributes(128UL * 1024));
  }

  tcp_listener mListener;
};

std::string
HttpReply(int aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Status\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

/// A reply of the store in a generation.
std::string
ReplyOf(int aGeneration, int aStatus, const std::string& aBody)
{
  auto reply = HttpReply(aStatus, aBody);
  reply.insert(reply.find("Content-Length"),
               "Store-Era: " + std::to_string(aGeneration) + "\r\n");
  return reply;
}

std::string
StoreItem(const std::string& aKey, const std::string& aValue)
{
  return R"({"key":")" + aKey + R"(","value":")" + EncodeBase64(aValue) +
         R"(","revision":5,"created":5,"lease":0})";
}

const std::string kTargetJson =
  R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":6,)"
  R"("state":"ready","cold-remaining-s":0,"seq":4})";

std::vector<std::string>
TargetsIn(const platform_changes& aChanges)
{
  std::vector<std::string> ids;
  for (const auto& event : aChanges.mEvents) {
    if (const auto* changed = std::get_if<target_changed>(&event)) {
      ids.push_back(changed->mEntry.mId);
    }
  }
  return ids;
}

const fleet_member kMember{ "i1",
                            "a",
                            { asio::ip::make_address("10.0.0.7"), 9 } };

struct feed_fixture
{
  void Run(const std::function<void(yield_context)>& aTask)
  {
    cowslipline::testing::RunTask(mContext, aTask);
  }

  asio::io_context& mContext = cowslipline::testing::KeptContext();
  fake_store_server mStore{ mContext };
  store_feed mFeed{ mContext, mStore.Address() };
};

} // namespace

TEST_GROUP(store_feed){};

// Guards against missing the targets on later pages, and against losing changes
// that are made while the pages are read: the watch must start at the revision
// of the first page.
TEST(store_feed, ReadsAllPagesAndReturnsRevisionOfTheFirst)
{
  feed_fixture fixture;
  fixture.mStore.mHandler = [](const std::string& aCall) {
    const bool isSecond = aCall.find("after=servers/i-1") != aCall.npos;
    return isSecond ? HttpReply(200,
                                R"({"items":[)" +
                                  StoreItem("servers/i-2", kTargetJson) +
                                  R"(],"truncated":false,"as-of":99})")
                    : HttpReply(200,
                                R"({"items":[)" + StoreItem("op/config", "{}") +
                                  ',' + StoreItem("servers/i-1", kTargetJson) +
                                  R"(],"truncated":true,"as-of":90})");
  };
  fixture.Run([&](yield_context aYield) {
    const auto all = fixture.mFeed.ReadAll(read_state::Latest, aYield);
    CHECK(all.has_value());
    LONGS_EQUAL(90, all->mPosition.mRevision);
    LONGS_EQUAL(3, all->mEvents.size());
    CHECK(std::holds_alternative<entry_unreadable>(all->mEvents[0]));
    CHECK(std::holds_alternative<target_changed>(all->mEvents[2]));
    LONGS_EQUAL(1, fixture.mStore.mConnections);
    for (const auto& call : fixture.mStore.mCalls) {
      CHECK(call.find("serializable") == call.npos);
    }
  });

  SECTION("a state that may be old is asked for on each page")
  {
    fixture.mStore.mCalls.clear();
    fixture.Run([&](yield_context aYield) {
      CHECK(fixture.mFeed.ReadAll(read_state::MayBeOld, aYield).has_value());
    });
    LONGS_EQUAL(2, fixture.mStore.mCalls.size());
    for (const auto& call : fixture.mStore.mCalls) {
      CHECK(call.find("serializable=1") != call.npos);
    }
  }
}

// Guards against changes that no watch reports: a read that may be old can have
// a later page that is older than the first one.
TEST(store_feed, TheWatchStartsAtTheOldestPage)
{
  std::vector<int> revisions;
  feed_fixture fixture;
  fixture.mStore.mHandler = [&](const std::string&) {
    const auto page = fixture.mStore.mCalls.size();
    return HttpReply(
      200,
      R"({"items":[)" +
        StoreItem("servers/i-" + std::to_string(page), kTargetJson) +
        R"(],"truncated":)" + (page < revisions.size() ? "true" : "false") +
        R"(,"as-of":)" + std::to_string(revisions[page - 1]) + '}');
  };
  const std::vector<std::vector<int>> reads = {
    { 99, 60 }, { 99, 60, 80 }, { 80, 99, 60 }, { 60, 99, 80 }, { 60 }
  };
  for (const auto state : { read_state::MayBeOld, read_state::Latest }) {
    for (const auto& read : reads) {
      revisions = read;
      fixture.mStore.mCalls.clear();
      fixture.Run([&](yield_context aYield) {
        const auto all = fixture.mFeed.ReadAll(state, aYield);
        CHECK(all.has_value());
        LONGS_EQUAL(60, all->mPosition.mRevision);
        LONGS_EQUAL(read.size(), all->mEvents.size());
      });
    }
  }
}

// Guards against an evacuation that is not read because of its value, that is
// not passed on to followers, or a key that names no zone and evacuates one.
TEST(store_feed, ReadsEvacuationsByTheirKeys)
{
  feed_fixture fixture;
  fixture.mStore.mHandler = [](const std::string&) {
    return HttpReply(
      200,
      R"({"events":[{"key":"op/evacuate/z-1"},{"key":"op/evacuate/z-2",)"
      R"("value":5},{"key":"op/evacuate/","value":""},)"
      R"({"key":"op/evacuated/z-3"},{"key":"op/evacuate/z-1",)"
      R"("revision":8,"tombstone":true}],"as-of":9})");
  };
  fixture.Run([&](yield_context aYield) {
    const auto watched = fixture.mFeed.Watch({ 0, 4 }, 1ms, aYield);
    CHECK(watched.has_value());
    const auto forwarded = fixture.mFeed.Decode(watched->mText);
    CHECK(forwarded.has_value());
    for (const auto& events : { watched->mEvents, *forwarded }) {
      LONGS_EQUAL(4, events.size());
      CHECK_EQUAL("z-1", std::get<zone_evacuated>(events[0]).mZone);
      CHECK_EQUAL("z-2", std::get<zone_evacuated>(events[1]).mZone);
      CHECK(std::holds_alternative<entry_unreadable>(events[2]));
      CHECK_EQUAL("z-1", std::get<zone_restored>(events[3]).mZone);
    }
  });
}

// Guards against an instance that no longer follows the targets because a page
// ends with a key of another writer that breaks the next call.
TEST(store_feed, ReadsOnBehindAnyKey)
{
  feed_fixture fixture;
  fixture.mStore.mHandler = [](const std::string& aCall) {
    const bool isSecond =
      aCall.find("after=servers/odd%20one%0D%26 ") != aCall.npos;
    return isSecond ? HttpReply(200,
                                R"({"items":[)" +
                                  StoreItem("servers/z-2", kTargetJson) +
                                  R"(],"truncated":false,"as-of":99})")
                    : HttpReply(200,
                                R"({"items":[)" +
                                  StoreItem("servers/odd one\\r&", "x") +
                                  R"(],"truncated":true,"as-of":90})");
  };
  fixture.Run([&](yield_context aYield) {
    const auto all = fixture.mFeed.ReadAll(read_state::Latest, aYield);
    CHECK(all.has_value());
    CHECK(TargetsIn(*all) == std::vector<std::string>{ "z-2" });
  });
}

// Guards against a store whose pages repeat: an instance would read on without
// end and keep all of them.
TEST(store_feed, GivesUpPagesThatRepeat)
{
  constexpr int kMostCalls = 1000;
  feed_fixture fixture;
  fixture.mStore.mHandler = [&](const std::string&) {
    const bool isTruncated = fixture.mStore.mCalls.size() < kMostCalls;
    return HttpReply(200,
                     R"({"items":[)" + StoreItem("servers/z-1", kTargetJson) +
                       R"(],"truncated":)" + (isTruncated ? "true" : "false") +
                       R"(,"as-of":90})");
  };
  fixture.Run([&](yield_context aYield) {
    const auto all = fixture.mFeed.ReadAll(read_state::Latest, aYield);
    CHECK(!all && all.error() == errc::StoreUnavailable);
    LONGS_EQUAL(2, fixture.mStore.mCalls.size());
  });
}

// Guards against a process that ends because a document is nested so deeply
// that copying it overflows the stack of its task.
TEST(store_feed, RefusesRepliesThatAreNestedTooDeeply)
{
  const std::string nested =
    std::string(100'000, '[') + std::string(100'000, ']');
  feed_fixture fixture;
  fixture.mStore.mHandler = [&](const std::string&) {
    return HttpReply(200,
                     R"({"events":[{"key":"servers/i-5","value":)" + nested +
                       R"(,"revision":5}],"as-of":100})");
  };
  fixture.Run([&](yield_context aYield) {
    CHECK_FALSE(fixture.mFeed.Watch({ 0, 7 }, 1ms, aYield).has_value());
  });
}

// Guards against an odd entry of another writer that keeps an instance from
// following the targets beside it, or that is used as a target.
TEST(store_feed, FollowsTheTargetsBesideOddEntries)
{
  const std::string nested =
    std::string(100'000, '[') + std::string(100'000, ']');
  auto tooLarge = kTargetJson;
  tooLarge.replace(tooLarge.find("\"slots\":6"), 9, "\"slots\":1e300");
  auto badPort = kTargetJson;
  badPort.replace(badPort.find(":80"), 3, ":70000");
  feed_fixture fixture;
  fixture.mStore.mHandler = [&](const std::string&) {
    return HttpReply(200,
                     R"({"items":[)" + StoreItem("servers/i-0", nested) + ',' +
                       StoreItem("servers/i-1", kTargetJson) + ',' +
                       StoreItem("servers/i-2", tooLarge) + ',' +
                       StoreItem("servers/i-3", badPort) +
                       R"(],"truncated":false,"as-of":99})");
  };
  fixture.Run([&](yield_context aYield) {
    const auto all = fixture.mFeed.ReadAll(read_state::Latest, aYield);
    CHECK(all.has_value());
    CHECK(TargetsIn(*all) == std::vector<std::string>{ "i-1" });
  });
}

// Guards against confusing the store's error replies, and against reporting a
// write as not done although the store may have executed it before the reply
// was lost.
TEST(store_feed, DistinguishesRefusedCallsFromUnknownOutcomes)
{
  feed_fixture fixture;
  std::string reply;
  fixture.mStore.mHandler = [&](const std::string&) { return reply; };
  fixture.Run([&](yield_context aYield) {
    auto& feed = fixture.mFeed;
    SECTION("status 410 means that the history is lost")
    {
      reply = HttpReply(410, "");
      CHECK(feed.Watch({ 0, 7 }, 1ms, aYield).error() == errc::HistoryLost);
    }
    SECTION("status 429 and 503 mean that nothing was done")
    {
      for (const int status : { 429, 503 }) {
        reply = HttpReply(status, "");
        CHECK(feed.Watch({ 0, 7 }, 1ms, aYield).error() ==
              errc::StoreUnavailable);
        CHECK(feed.RenewLease({ 3, 0 }, aYield).error() ==
              errc::StoreUnavailable);
      }
    }
    SECTION("renewing a lease that has already ended fails")
    {
      reply = HttpReply(404, "");
      CHECK(feed.RenewLease({ 3, 0 }, aYield).error() == errc::NotFound);
    }
    SECTION("leaving removes the own key and no lease")
    {
      reply = HttpReply(200, R"({"revision":9})");
      CHECK(feed.Unregister(kMember, aYield).has_value());
      const auto& call = fixture.mStore.mCalls.back();
      CHECK(call.find(R"("remove":["cowslipline/instances/i1"])") != call.npos);
      CHECK(call.find("lease") == call.npos);
    }
    SECTION("invalid reply bodies are errors")
    {
      for (const auto* body : { "", "[]", "{", R"({"as-of":"7"})" }) {
        reply = HttpReply(200, body);
        CHECK_FALSE(feed.Watch({ 0, 7 }, 1ms, aYield).has_value());
        CHECK_FALSE(feed.GrantLease(2s, aYield).has_value());
      }
    }
    SECTION(
      "without a reply the outcome is unknown and the connection is replaced")
    {
      reply = HttpReply(200, "{}");
      CHECK(feed.RenewLease({ 3, 0 }, aYield).has_value());
      reply = "";
      const int before = fixture.mStore.mConnections;
      CHECK(feed.RenewLease({ 3, 0 }, aYield).error() == errc::StoreAnswerLost);
      reply = HttpReply(200, "{}");
      CHECK(feed.RenewLease({ 3, 0 }, aYield).has_value());
      LONGS_EQUAL(before + 1, fixture.mStore.mConnections);
    }
  });
}

// Guards against losing changes that the instance watching for its zone
// forwards to those that ask it: the forwarded text must decode to the same
// events.
TEST(store_feed, ForwardedChangesDecodeToTheSameEvents)
{
  feed_fixture fixture;
  fixture.mStore.mHandler = [](const std::string&) {
    return HttpReply(
      200,
      R"({"events":[)" + StoreItem("servers/i-1", kTargetJson) +
        R"(,{"key":"servers/i-0","revision":6,"tombstone":true},)" +
        StoreItem("op/config", "{}") + ',' + StoreItem("other/entry", "{}") +
        R"(],"as-of":8})");
  };
  fixture.Run([&](yield_context aYield) {
    const auto changes = fixture.mFeed.Watch({ 0, 4 }, 1ms, aYield);
    CHECK(changes.has_value());
    CHECK(changes->mText.find("other/entry") == std::string::npos);
    const auto forwarded = fixture.mFeed.Decode(changes->mText);
    CHECK(forwarded.has_value());
    LONGS_EQUAL(changes->mEvents.size(), forwarded->size());
    CHECK(std::holds_alternative<target_changed>((*forwarded)[0]));
    CHECK(std::holds_alternative<target_removed>((*forwarded)[1]));
    // Of the configuration, which has no version.
    CHECK(std::holds_alternative<entry_unreadable>((*forwarded)[2]));
    CHECK_FALSE(fixture.mFeed.Decode("nonsense").has_value());
  });
}

// Guards against revisions and leases of one generation of the store that are
// used in another, in which they were given out again.
TEST(store_feed, RevisionsAndLeasesHoldForOneGeneration)
{
  feed_fixture fixture;
  int generation = 2;
  std::string body = R"({"events":[],"as-of":8})";
  fixture.mStore.mHandler = [&](const std::string&) {
    return ReplyOf(generation, 200, body);
  };
  fixture.Run([&](yield_context aYield) {
    auto& feed = fixture.mFeed;
    SECTION("a watch of the same generation continues")
    {
      const auto changes = feed.Watch({ 2, 8 }, 1ms, aYield);
      CHECK(changes.has_value());
      CHECK(changes->mPosition == (store_position{ 2, 8 }));
    }
    SECTION("a watch from another one needs a full read, also when it succeeds")
    {
      CHECK(feed.Watch({ 1, 8 }, 1ms, aYield).error() == errc::HistoryLost);
    }
    SECTION("a full read names its generation")
    {
      body = R"({"items":[],"truncated":false,"as-of":7})";
      CHECK(feed.ReadAll(read_state::Latest, aYield)->mPosition ==
            (store_position{ 2, 7 }));
    }
    SECTION("pages of two generations are not one read")
    {
      fixture.mStore.mHandler = [&](const std::string& aCall) {
        const bool isFirst = aCall.find("after=") == aCall.npos;
        return ReplyOf(isFirst ? 2 : 3,
                       200,
                       R"({"items":[)" + StoreItem("servers/i-1", kTargetJson) +
                         R"(],"truncated":)" + (isFirst ? "true" : "false") +
                         R"(,"as-of":7})");
      };
      CHECK(feed.ReadAll(read_state::Latest, aYield).error() ==
            errc::StoreUnavailable);
    }
    SECTION("a lease of an earlier one has ended, whoever holds its number")
    {
      fixture.mStore.mHandler = [&](const std::string&) {
        return ReplyOf(generation, 200, R"({"lease":5,"revision":9})");
      };
      const auto lease = feed.GrantLease(6s, aYield);
      CHECK(lease.has_value());
      CHECK(feed.RenewLease(*lease, aYield).has_value());
      CHECK(feed.Register(kMember, *lease, aYield).has_value());
      generation = 3;
      CHECK(feed.RenewLease(*lease, aYield).error() == errc::HistoryLost);
      CHECK(feed.Register(kMember, *lease, aYield).error() == errc::NotFound);
    }
    SECTION("a recovery is recorded for the generation that has recovered")
    {
      CHECK(feed.RecordRecovery(3, aYield).has_value());
      CHECK(feed.RecordRecovery(2, aYield).error() == errc::NotFound);
      const auto item =
        nlohmann::json::parse(fixture.mStore.mCalls.back().substr(
          fixture.mStore.mCalls.back().find('{')))["puts"][0];
      body =
        R"({"items":[)" + item.dump() + R"(],"truncated":false,"as-of":7})";
      fixture.mStore.mHandler = [&](const std::string&) {
        return ReplyOf(generation, 200, body);
      };
      const auto all = feed.ReadAll(read_state::Latest, aYield);
      CHECK(all.has_value());
      LONGS_EQUAL(2,
                  std::get<recovery_recorded>(all->mEvents.at(0)).mGeneration);
    }
    SECTION("a record of another shape is unreadable")
    {
      for (const auto* text : { "", "x", "-1", "2 ", "1e3" }) {
        body = R"({"items":[)" +
               StoreItem("cowslipline/recovered-generation", text) +
               R"(],"truncated":false,"as-of":7})";
        const auto all = feed.ReadAll(read_state::Latest, aYield);
        CHECK(std::holds_alternative<entry_unreadable>(all->mEvents.at(0)));
      }
    }
  });
}
