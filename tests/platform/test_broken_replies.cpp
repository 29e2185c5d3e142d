#include "core/http_message.h"
#include "core/tcp_listener.h"
#include "platform/http_instance_list.h"
#include "platform/http_key_value_store.h"
#include "platform/store_feed.h"
#include "tests/fakes/kept_context.h"
#include "tests/fakes/run_task.h"
#include "tests/story.h"

#include <functional>

using namespace cowslipline;
using namespace std::chrono_literals;

namespace {

// More than any bound on a reply; a client that has none keeps all of it.
constexpr std::size_t kFloodBytes = 48UL * 1024 * 1024;

// Twice the largest reply, for what the buffers of the connection hold.
constexpr std::size_t kMostTaken = 24UL * 1024 * 1024;

enum class ending
{
  Close,
  Reset,
};

/// Replies to every call with the same bytes, and with a block that it repeats.
class raw_server
{
public:
  explicit raw_server(asio::io_context& aContext)
    : mListener(aContext, [this, &aContext](asio::ip::tcp::socket aSocket) {
      Serve(aContext, std::move(aSocket));
    })
  {
    CHECK(
      mListener.Open({ asio::ip::make_address("127.0.0.1"), 0 }).has_value());
  }

  tcp_endpoint Address() const { return mListener.LocalAddress(); }
  store_settings Settings() const
  {
    return { "127.0.0.1", mListener.LocalAddress().port(), 2s };
  }

  std::string mReply;
  std::string mBlock; ///< Sent until the caller closes, or kFloodBytes.
  ending mEnding = ending::Close;
  std::size_t mFloodSent = 0;

private:
  void Serve(asio::io_context& aContext, asio::ip::tcp::socket aSocket)
  {
    const auto stream = std::make_shared<tcp_stream>(std::move(aSocket));
    asio::spawn(
      aContext,
      [this, stream](yield_context aYield) {
        const auto deadline = ReadBootClock() + 20s;
        const auto head = ReadHeadBytes(*stream, 9000, deadline, aYield);
        bool isOpen =
          head &&
          stream->Write({ asio::buffer(mReply) }, deadline, aYield).has_value();
        mFloodSent = 0;
        while (isOpen && !mBlock.empty() && mFloodSent < kFloodBytes) {
          isOpen = stream->Write({ asio::buffer(mBlock) }, deadline, aYield)
                     .has_value();
          mFloodSent += mBlock.size();
        }
        if (mEnding == ending::Reset) {
          asio::error_code ignored;
          stream->Socket().set_option(asio::socket_base::linger(true, 0),
                                      ignored);
        }
        stream->Close();
      },
      boost::coroutines::attributes(128UL * 1024));
  }

  tcp_listener mListener;
};

struct broken_reply
{
  const char* mName;
  std::string mReply;
  ending mEnding = ending::Close;
};

struct reply_fixture
{
  void Run(const std::function<void(yield_context)>& aTask)
  {
    cowslipline::testing::RunTask(mContext, aTask);
  }

  asio::io_context& mContext = cowslipline::testing::KeptContext();
  system_scheduler mScheduler{ mContext };
  raw_server mServer{ mContext };
  http_key_value_store mStore{ mScheduler, mServer.Settings() };
  http_instance_list mInstances{ mScheduler, mServer.Settings() };
  store_feed mFeed{ mContext, mServer.Address() };
};

std::string
Whole(const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

TEST_GROUP(broken_replies){};

// Guards against a value that was cut, has no version or stands in a reply
// outside the protocol, and that an instance then takes for the stored one.
TEST(broken_replies, AreNoValues)
{
  const std::vector<broken_reply> cases = {
    { "cut in the body",
      "HTTP/1.1 200 OK\r\nVersion: 5\r\nContent-Length: 9\r\n\r\nhalf" },
    { "reset without a length",
      "HTTP/1.1 200 OK\r\nVersion: 5\r\n\r\nhalf",
      ending::Reset },
    { "status 000",
      "HTTP/1.1 000 OK\r\nVersion: 5\r\nContent-Length: 4\r\n\r\nbody" },
    { "no version", Whole("", "body") },
    { "a version that is no number", Whole("Version: 5x\r\n", "body") },
    { "a blank behind a name", Whole("Version : 5\r\n", "body") },
    { "a blank in a name", Whole("Version: 5\r\nFil ler: 1\r\n", "body") },
    { "a control byte in a name",
      Whole("Version: 5\r\nFil\x01ler: 1\r\n", "body") },
    { "two lengths",
      "HTTP/1.1 200 OK\r\nVersion: 5\r\nContent-Length: 2\r\n"
      "Content-Length: 4\r\n\r\nbody" },
  };
  reply_fixture fixture;
  fixture.Run([&](yield_context aYield) {
    for (const auto& broken : cases) {
      SECTION(broken.mName)
      {
        fixture.mServer.mReply = broken.mReply;
        fixture.mServer.mEnding = broken.mEnding;
        const auto read = fixture.mStore.Read("key", aYield);
        CHECK(!read && read.error() == errc::StoreUnavailable);
        // The value may have been written.
        const auto written =
          fixture.mStore.CompareAndSwap("key", 4, "value", aYield);
        CHECK(!written && written.error() == errc::StoreAnswerLost);
      }
    }
    SECTION("a whole reply is a value")
    {
      fixture.mServer.mEnding = ending::Close;
      fixture.mServer.mReply = Whole("Version: 5\r\n", "body");
      const auto read = fixture.mStore.Read("key", aYield);
      CHECK(read && *read && (*read)->mValue == "body");
      CHECK(read && *read && (*read)->mVersion == 5);
      const auto written =
        fixture.mStore.CompareAndSwap("key", 4, "value", aYield);
      CHECK(written && *written == 5);
    }
    SECTION("also of a store that is given by its name")
    {
      auto settings = fixture.mServer.Settings();
      settings.mHost = "localhost";
      http_key_value_store named(fixture.mScheduler, settings);
      const auto read = named.Read("key", aYield);
      CHECK(read && *read && (*read)->mValue == "body");
    }
  });
}

// Guards against a part of the store's state, or a reply outside the protocol,
// that an instance of the edge daemon takes for the whole state.
TEST(broken_replies, AreNoStateOfTheStore)
{
  const std::string state = R"({"as-of":7,"items":[]})";
  const std::string length =
    "Content-Length: " + std::to_string(state.size()) + "\r\n\r\n" + state;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<broken_reply> cases = {
    { "reset without a length", ok + "\r\n" + state, ending::Reset },
    { "cut in the body", ok + length.substr(0, length.size() - 1) },
    { "status 000", "HTTP/1.1 000 OK\r\n" + length },
    { "a blank in a name", ok + "Fil ler: 1\r\n" + length },
    { "a control byte in a name", ok + "Fil\x01ler: 1\r\n" + length },
  };
  reply_fixture fixture;
  fixture.Run([&](yield_context aYield) {
    for (const auto& broken : cases) {
      SECTION(broken.mName)
      {
        fixture.mServer.mReply = broken.mReply;
        fixture.mServer.mEnding = broken.mEnding;
        const auto read = fixture.mFeed.ReadAll(read_state::Latest, aYield);
        CHECK(!read && read.error() == errc::StoreAnswerLost);
      }
    }
    SECTION("a whole reply is the state")
    {
      fixture.mServer.mReply = ok + length;
      const auto read = fixture.mFeed.ReadAll(read_state::Latest, aYield);
      CHECK(read && read->mPosition.mRevision == 7);
    }
  });
}

// Guards against a reply without end that fills the memory of the process.
TEST(broken_replies, WithoutEndAreCut)
{
  struct endless
  {
    const char* mName;
    std::string mReply;
    std::string mBlock;
  };
  const std::string block(65'536, 'x');
  const std::string head = "HTTP/1.1 200 OK\r\nVersion: 5\r\n";
  const std::vector<endless> cases = {
    { "a status line", "HTTP/1.1 200 ", block },
    { "a line of a head", head + "Filler: ", block },
    { "a head", head, "Filler: " + std::string(4000, 'x') + "\r\n" },
    { "a body without a length", head + "\r\n", block },
    { "a body with a length",
      head + "Content-Length: 9000000000\r\n\r\n",
      block },
    { "chunks",
      head + "Transfer-Encoding: chunked\r\n\r\n",
      "1000\r\n" + std::string(0x1000, 'x') + "\r\n" },
  };
  reply_fixture fixture;
  fixture.Run([&](yield_context aYield) {
    for (const auto& endless : cases) {
      SECTION(endless.mName)
      {
        fixture.mServer.mReply = endless.mReply;
        fixture.mServer.mBlock = endless.mBlock;
        const auto read = fixture.mStore.Read("key", aYield);
        CHECK(!read && read.error() == errc::StoreUnavailable);
        CHECK(fixture.mServer.mFloodSent < kMostTaken);
        CHECK(!fixture.mInstances.Read(aYield));
        CHECK(fixture.mServer.mFloodSent < kMostTaken);
        CHECK(!fixture.mFeed.ReadAll(read_state::Latest, aYield));
        CHECK(fixture.mServer.mFloodSent < kMostTaken);
      }
    }
  });
}

// Guards against an entry of another shape in the instance list that ends the
// process.
TEST(broken_replies, OddInstancesAreLeftOut)
{
  const std::string odd =
    R"([{"name":7,"address":"10.0.0.1","port":9},)"
    R"({"name":"i2","address":["10.0.0.2"],"port":9},)"
    R"({"name":"i3","address":"10.0.0.3","port":"9"},)"
    R"({"name":"i4","address":"10.0.0.4","port":70000},)"
    R"({"name":"i5","address":"10.0.0.5","port":9,"zone":1},)"
    R"({"name":"i6","address":"10.0.0.6","port":9,"state":2},)"
    R"({"name":"i7","address":"10.0.0.7","port":9,"zone":"a"}])";
  reply_fixture fixture;
  fixture.Run([&](yield_context aYield) {
    SECTION("a sound entry beside odd ones is read")
    {
      fixture.mServer.mReply = Whole("", odd);
      const auto list = fixture.mInstances.Read(aYield);
      CHECK(list.has_value());
      LONGS_EQUAL(1, list->size());
      STRCMP_EQUAL("i7", list->at(0).mName.c_str());
    }
    SECTION("a list that is nested too deeply is none")
    {
      fixture.mServer.mReply = Whole("", std::string(100'000, '['));
      CHECK(!fixture.mInstances.Read(aYield));
    }
  });
}
