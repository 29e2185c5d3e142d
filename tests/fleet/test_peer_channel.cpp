#include "core/hash.h"
#include "core/http_message.h"
#include "core/tcp_listener.h"
#include "modules/fleet/peer_frame.h"
#include "modules/fleet/websocket_peer_channel.h"
#include "tests/story.h"

#include <optional>

#include <rapidcheck.h>

using namespace cowslipline;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<websocket_peer_channel>
OpenChannel(scheduler& aScheduler,
            metrics& aMetrics,
            const std::string& aName,
            std::uint64_t aBoot = 1,
            const std::string& aSecret = "fleet secret")
{
  peer_channel_options options;
  options.mName = aName;
  options.mBoot = aBoot;
  options.mSecret = aSecret;
  auto channel =
    websocket_peer_channel::Create(aScheduler, aMetrics, std::move(options));
  CHECK(channel.has_value());
  return *channel;
}

peer_address
AddressOf(const websocket_peer_channel& aChannel)
{
  return { "127.0.0.1", aChannel.Port() };
}

constexpr std::size_t kFloodBytes = 48UL * 1024 * 1024;

// What the buffers of a connection and the largest message hold.
constexpr std::size_t kMostTaken = 16UL * 1024 * 1024;

/// Sends the block until the other side closes, at most kFloodBytes. Returns
/// what was sent.
std::size_t
Flood(tcp_stream& aStream, const std::string& aBlock, yield_context aYield)
{
  std::size_t sent = 0;
  while (
    sent < kFloodBytes &&
    aStream.Write({ asio::buffer(aBlock) }, ReadBootClock() + 10s, aYield)) {
    sent += aBlock.size();
  }
  return sent;
}

/// The head of an unmasked WebSocket frame with a length of eight bytes.
std::string
FrameHead(char aFirst, char aMask, std::uint64_t aLength)
{
  std::string head{ aFirst, static_cast<char>(aMask | 127) };
  for (int shift = 56; shift >= 0; shift -= 8) {
    head += static_cast<char>((aLength >> shift) & 0xff);
  }
  return head;
}

} // namespace

TEST_GROUP(peer_channel)
{
  asio::io_context mContext;
  system_scheduler mScheduler{ mContext };
  metrics mMetrics;

  /// Runs the task and then everything that is ready, until it has returned.
  void RunTask(std::function<void(yield_context)> aTask)
  {
    bool isDone = false;
    mScheduler.Spawn([&](yield_context aYield) {
      aTask(aYield);
      isDone = true;
    });
    while (!isDone) {
      mContext.restart();
      mContext.run_one();
    }
    // AddressSanitizer reports the unwinding of a suspended task by mistake,
    // so the tasks that Stop() has woken end while their channels exist.
    mContext.restart();
    while (mContext.poll() > 0) {
    }
  }
};

TEST(peer_channel, CarriesCallsBetweenInstances)
{
  auto left = OpenChannel(mScheduler, mMetrics, "left");
  auto right = OpenChannel(mScheduler, mMetrics, "right");
  left->SetAddress("right", AddressOf(*right));
  right->Handle("echo",
                [](const instance_name& aFrom,
                   std::string_view aPayload,
                   yield_context) -> result<std::string> {
                  return aFrom + ":" + std::string(aPayload);
                });
  RunTask([&](yield_context aYield) {
    SECTION("a call is answered by its handler")
    {
      const auto reply = left->Call("right", "echo", "hello", 5s, aYield);
      CHECK(reply.has_value());
      STRCMP_EQUAL("left:hello", reply->c_str());
    }
    SECTION("a payload of the size of a configuration chunk arrives whole")
    {
      const std::string large(512UL * 1024, 'x');
      const auto reply = left->Call("right", "echo", large, 5s, aYield);
      CHECK(reply.has_value());
      LONGS_EQUAL(large.size() + 5, reply->size());
    }
    SECTION("an unknown service and an unknown peer are told apart")
    {
      CHECK(left->Call("right", "other", "", 5s, aYield).error() ==
            errc::PeerRejected);
      CHECK(left->Call("nobody", "echo", "", 5s, aYield).error() ==
            errc::PeerUnreachable);
    }
    left->Stop();
    right->Stop();
  });
}

// Guards against a call with a short timeout that breaks the connection under
// the other calls on it.
TEST(peer_channel, AShortTimeoutLeavesOtherCallsAlone)
{
  auto left = OpenChannel(mScheduler, mMetrics, "left");
  auto right = OpenChannel(mScheduler, mMetrics, "right");
  left->SetAddress("right", AddressOf(*right));
  event release;
  right->Handle("wait",
                [&](const instance_name&,
                    std::string_view,
                    yield_context aYield) -> result<std::string> {
                  release.Wait(mScheduler, 30s, aYield);
                  return std::string("late");
                });
  std::optional<bool> isAnswered;
  mScheduler.Spawn([&](yield_context aYield) {
    const auto reply = left->Call("right", "wait", "", 30s, aYield);
    isAnswered = reply.has_value();
    release.Set();
  });
  RunTask([&](yield_context aYield) {
    for (int i = 0; i < 3; ++i) {
      CHECK(left->Call("right", "wait", "", 5ms, aYield).error() ==
            errc::PeerTimeout);
    }
    release.Set();
    CHECK(left->Call("right", "other", "", 5s, aYield).error() ==
          errc::PeerRejected);
    while (!isAnswered) {
      release.Set();
      mScheduler.SleepFor(1ms, aYield);
    }
    CHECK(*isAnswered);
    LONGS_EQUAL(1, left->LinkCount());
    left->Stop();
    right->Stop();
  });
}

// Guards against a call that times out while the connection is being opened and
// breaks it under the other calls on it.
TEST(peer_channel, ATimeoutWhileConnectingLeavesOtherCallsAlone)
{
  auto left = OpenChannel(mScheduler, mMetrics, "left");
  auto right = OpenChannel(mScheduler, mMetrics, "right");
  left->SetAddress("right", AddressOf(*right));
  right->Handle(
    "echo",
    [](const instance_name&,
       std::string_view aPayload,
       yield_context) -> result<std::string> { return std::string(aPayload); });
  std::optional<bool> isAnswered;
  mScheduler.Spawn([&](yield_context aYield) {
    isAnswered = left->Call("right", "echo", "", 30s, aYield).has_value();
  });
  RunTask([&](yield_context aYield) {
    // The connection needs at least one turn of the event loop.
    CHECK(left->Call("right", "echo", "", 0ms, aYield).error() ==
          errc::PeerTimeout);
    while (!isAnswered) {
      mScheduler.SleepFor(1ms, aYield);
    }
    CHECK(*isAnswered);
    left->Stop();
    right->Stop();
  });
}

// Guards against a foreign process that joins, and against an old process that
// still talks after its instance was restarted.
TEST(peer_channel, IgnoresForeignAndOldProcesses)
{
  auto receiver = OpenChannel(mScheduler, mMetrics, "receiver");
  auto foreign = OpenChannel(mScheduler, mMetrics, "left", 9, "other secret");
  auto current = OpenChannel(mScheduler, mMetrics, "left", 2);
  auto old = OpenChannel(mScheduler, mMetrics, "left", 1);
  int handled = 0;
  receiver->Handle("count",
                   [&](const instance_name&,
                       std::string_view,
                       yield_context) -> result<std::string> {
                     ++handled;
                     return std::string();
                   });
  for (const auto& channel : { foreign, current, old }) {
    channel->SetAddress("receiver", AddressOf(*receiver));
  }
  RunTask([&](yield_context aYield) {
    SECTION("a wrong secret is never handled")
    {
      CHECK(!foreign->Call("receiver", "count", "", 2s, aYield).has_value());
      LONGS_EQUAL(0, handled);
    }
    SECTION("the newer boot is handled, the older one no longer")
    {
      CHECK(old->Call("receiver", "count", "", 5s, aYield).has_value());
      CHECK(current->Call("receiver", "count", "", 5s, aYield).has_value());
      LONGS_EQUAL(2, handled);
      CHECK(old->Call("receiver", "count", "", 300ms, aYield).error() ==
            errc::PeerTimeout);
      LONGS_EQUAL(2, handled);
    }
    for (const auto& channel : { receiver, foreign, current, old }) {
      channel->Stop();
    }
  });
}

// Guards against crashes and false acceptance when bytes from outside are
// truncated or altered.
TEST(peer_channel, RejectsAlteredFrames)
{
  peer_frame frame;
  frame.mFrom = "left";
  frame.mBoot = 3;
  frame.mService = "limits.tokens";
  frame.mKind = frame_kind::Request;
  frame.mId = 12;
  frame.mPayload = std::string("\x00\x01payload", 9);
  const auto bytes = EncodeFrame(frame, "secret");
  SECTION("an intact frame is read back")
  {
    const auto decoded = DecodeFrame(bytes, "secret");
    CHECK(decoded.has_value());
    CHECK(decoded->mPayload == frame.mPayload);
    CHECK(decoded->mKind == frame_kind::Request);
  }
  SECTION("no truncation and no change of one byte is accepted")
  {
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      CHECK(!DecodeFrame(bytes.substr(0, i), "secret").has_value());
      auto altered = bytes;
      altered[i] = static_cast<char>(altered[i] ^ 0x41);
      CHECK(!DecodeFrame(altered, "secret").has_value());
    }
  }
  SECTION("drawn bytes with a valid tag are rejected or read, never more")
  {
    const bool isHeld = rc::check("drawn frames", [](const std::string& aBody) {
      const auto tag = KeyedDigest16("secret", aBody);
      RC_ASSERT(!DecodeFrame(std::string(aBody).append(AsView(tag)), "secret"));
    });
    CHECK(isHeld);
  }
}

// Guards against a peer, or whatever else connects, that sends bytes without
// end and fills the memory of the instance.
TEST(peer_channel, CutsBytesWithoutEnd)
{
  constexpr std::uint64_t kFragment = 65'536;
  const std::string upgrade =
    "GET /peer HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\n"
    "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
  const std::string mask(4, '\0');
  const std::string header = "Filler: " + std::string(4000, 'x') + "\r\n";
  const std::string block(65'536, 'x');
  struct endless
  {
    const char* mName;
    std::string mStart;
    std::string mBlock;
  };
  const std::vector<endless> requests = {
    { "the line of a request", "GET /", block },
    { "the head of a request", "GET /peer HTTP/1.1\r\n", header },
    { "a message",
      upgrade + FrameHead('\x82', '\x80', 1ULL << 40) + mask,
      block },
    { "fragments of a message",
      upgrade + FrameHead('\x02', '\x80', kFragment) + mask + block,
      FrameHead('\0', '\x80', kFragment) + mask + block },
  };
  const std::vector<endless> replies = {
    { "the line of a reply", "HTTP/1.1 101 ", block },
    { "the head of a reply", "HTTP/1.1 101 Switching\r\n", header },
    { "a head with a field outside the protocol",
      "HTTP/1.1 101 Switching\r\nFil\x01ler : 1\r\n\r\n",
      block },
  };
  auto channel = OpenChannel(mScheduler, mMetrics, "left");
  RunTask([&](yield_context aYield) {
    for (const auto& endless : requests) {
      SECTION(endless.mName)
      {
        tcp_stream stream(mContext);
        const tcp_endpoint address(asio::ip::make_address("127.0.0.1"),
                                   channel->Port());
        CHECK(
          stream.Connect(address, ReadBootClock() + 5s, aYield).has_value());
        stream.Write(
          { asio::buffer(endless.mStart) }, ReadBootClock() + 5s, aYield);
        CHECK(Flood(stream, endless.mBlock, aYield) < kMostTaken);
      }
    }
    for (const auto& endless : replies) {
      SECTION(endless.mName)
      {
        std::optional<std::size_t> sent;
        tcp_listener other(mContext, [&](asio::ip::tcp::socket aSocket) {
          const auto stream = std::make_shared<tcp_stream>(std::move(aSocket));
          mScheduler.Spawn([&, stream](yield_context aOwnYield) {
            ReadHeadBytes(*stream, 9000, ReadBootClock() + 5s, aOwnYield);
            stream->Write({ asio::buffer(endless.mStart) },
                          ReadBootClock() + 5s,
                          aOwnYield);
            sent = Flood(*stream, endless.mBlock, aOwnYield);
          });
        });
        CHECK(
          other.Open({ asio::ip::make_address("127.0.0.1"), 0 }).has_value());
        channel->SetAddress(endless.mName,
                            { "127.0.0.1", other.LocalAddress().port() });
        CHECK(!channel->Call(endless.mName, "echo", "", 5s, aYield));
        while (!sent) {
          mScheduler.SleepFor(10ms, aYield);
        }
        CHECK(*sent < kMostTaken);
        other.Close();
      }
    }
    channel->Stop();
  });
}
