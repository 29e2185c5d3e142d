#include "core/http_message.h"
#include "core/tcp_listener.h"
#include "platform/http_instance_list.h"
#include "tests/fakes/kept_context.h"
#include "tests/story.h"

#include <functional>

using namespace cowslipline;
using namespace std::chrono_literals;

namespace {

/// Replies to every call with the same bytes.
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

  store_settings Settings() const
  {
    return { "127.0.0.1", mListener.LocalAddress().port(), 2s };
  }

  std::string mReply;

private:
  void Serve(asio::io_context& aContext, asio::ip::tcp::socket aSocket)
  {
    const auto stream = std::make_shared<tcp_stream>(std::move(aSocket));
    asio::spawn(
      aContext,
      [this, stream](yield_context aYield) {
        const auto deadline = ReadBootClock() + 20s;
        const auto head = ReadHeadBytes(*stream, 9000, deadline, aYield);
        if (head) {
          stream->Write({ asio::buffer(mReply) }, deadline, aYield);
        }
        stream->Close();
      },
      boost::coroutines::attributes(128UL * 1024));
  }

  tcp_listener mListener;
};

struct reply_fixture
{
  void Run(const std::function<void(yield_context)>& aTask)
  {
    bool isDone = false;
    asio::spawn(
      mContext,
      [&](yield_context aYield) {
        aTask(aYield);
        isDone = true;
      },
      boost::coroutines::attributes(256UL * 1024));
    const auto end = ReadBootClock() + 20s;
    mContext.restart();
    while (!isDone && ReadBootClock() < end) {
      mContext.run_one_for(100ms);
    }
    CHECK(isDone);
  }

  asio::io_context& mContext = cowslipline::testing::KeptContext();
  system_scheduler mScheduler{ mContext };
  raw_server mServer{ mContext };
  http_instance_list mInstances{ mScheduler, mServer.Settings() };
};

std::string
Whole(const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

TEST_GROUP(broken_replies){};

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
