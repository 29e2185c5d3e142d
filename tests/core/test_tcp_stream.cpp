#include "core/scheduler.h"
#include "core/tcp_stream.h"
#include "tests/fakes/kept_context.h"
#include "tests/fakes/run_task.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace std::chrono_literals;

namespace {

// Far more than the system buffers of a connection take.
constexpr std::size_t kLongBytes = 12UL * 1024 * 1024;

struct stream_fixture
{
  void Run(const std::function<void(yield_context)>& aTask)
  {
    cowslipline::testing::RunTask(mContext, aTask);
  }

  /// Connects the stream and returns the other side.
  asio::ip::tcp::socket Connect(tcp_stream& aStream, yield_context aYield)
  {
    asio::ip::tcp::acceptor acceptor(
      mContext, { asio::ip::make_address("127.0.0.1"), 0 });
    CHECK(
      aStream.Connect(acceptor.local_endpoint(), ReadBootClock() + 5s, aYield)
        .has_value());
    return acceptor.accept();
  }

  asio::io_context& mContext = cowslipline::testing::KeptContext();
  system_scheduler mScheduler{ mContext };
};

/// Reads up to the end and returns the error that ended it.
std::error_code
ReadToEnd(tcp_stream& aStream, std::string& aText, yield_context aYield)
{
  while (true) {
    const auto filled = aStream.Fill(ReadBootClock() + 5s, aYield);
    aText += aStream.Buffered();
    aStream.Consume(aStream.Buffered().size());
    if (!filled) {
      return filled.error();
    }
  }
}

} // namespace

TEST_GROUP(tcp_stream){};

// Guards against the failure of a connection that is taken for its orderly end:
// the system reports it once, here to the write that goes on beside the read.
TEST(tcp_stream, AFailureThatAWriteTookIsNoOrderlyEnd)
{
  struct ending
  {
    const char* mName;
    bool mEndsSending; ///< Before the reset.
    bool mResets;
    std::error_code mExpected;
  };
  const std::vector<ending> endings = {
    { "a reset", false, true, asio::error::connection_reset },
    { "an end, then a reset", true, true, asio::error::eof },
    { "an end alone", true, false, asio::error::eof },
  };
  const auto bytes = std::make_shared<std::string>(kLongBytes, 'x');
  for (const auto& ending : endings) {
    stream_fixture fixture;
    fixture.Run([&](yield_context aYield) {
      tcp_stream stream(fixture.mContext);
      auto other = fixture.Connect(stream, aYield);
      stream.StartWriting({ asio::buffer(*bytes) }, bytes);
      other.send(asio::buffer("text", 4));
      if (ending.mEndsSending) {
        other.shutdown(asio::ip::tcp::socket::shutdown_send);
      }
      if (ending.mResets) {
        other.set_option(asio::socket_base::linger(true, 0));
        other.close();
      }
      // The write meets the failure before anything is read.
      fixture.mScheduler.SleepFor(100ms, aYield);
      std::string text;
      const auto error = ReadToEnd(stream, text, aYield);
      SECTION(ending.mName)
      {
        STRCMP_EQUAL("text", text.c_str());
        CHECK_EQUAL(ending.mExpected.message(), error.message());
        CHECK_FALSE(stream.HasWrittenAll());
      }
      stream.Close();
    });
  }
}
