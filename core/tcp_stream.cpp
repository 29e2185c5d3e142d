#include "core/tcp_stream.h"

#include <algorithm>
#include <charconv>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/post.hpp>
#include <asio/write.hpp>

namespace cowslipline {

namespace {

constexpr std::size_t kReadBytes = 8192;

// Unacknowledged bytes end a connection after this time: a machine without
// power answers nothing, and the system's own limit is many minutes.
constexpr unsigned kUnacknowledgedMs = 3000;

void
SetOptions(asio::ip::tcp::socket& aSocket)
{
  asio::error_code ignored;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  aSocket.non_blocking(true, ignored);
  ::setsockopt(aSocket.native_handle(),
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &kUnacknowledgedMs,
               sizeof(kUnacknowledgedMs));
}

} // namespace

result<tcp_endpoint>
ParseIpEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == aText.npos) {
    return Fail(errc::MessageMalformed);
  }
  asio::error_code error;
  const auto address =
    asio::ip::make_address(std::string(aText.substr(0, colon)), error);
  const auto digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error || parsed.ec != std::errc() ||
      parsed.ptr != digits.data() + digits.size()) {
    return Fail(errc::MessageMalformed);
  }
  return tcp_endpoint(address, port);
}

tcp_stream::tcp_stream(asio::io_context& aContext)
  : mSocket(aContext)
  , mTimer(aContext)
{
}

tcp_stream::tcp_stream(asio::ip::tcp::socket aSocket)
  : mSocket(std::move(aSocket))
  , mTimer(mSocket.get_executor())
{
  SetOptions(mSocket);
}

tcp_stream::~tcp_stream()
{
  *mIsAlive = false;
}

void
tcp_stream::ArmTimer(steady_time aDeadline)
{
  mIsTimedOut = false;
  ++mTimerRound;
  if (aDeadline == steady_time::max()) {
    mTimer.cancel();
    return;
  }
  const auto left = std::max(duration(0), aDeadline - ReadBootClock());
  mTimer.expires_after(left);
  mTimer.async_wait([this, alive = mIsAlive, round = mTimerRound](
                      const asio::error_code& aError) {
    if (aError || !*alive || round != mTimerRound) {
      return;
    }
    mIsTimedOut = true;
    asio::error_code ignored;
    mSocket.cancel(ignored);
  });
}

result<void>
tcp_stream::Finish(const asio::error_code& aError)
{
  ++mTimerRound;
  mTimer.cancel();
  if (aError == asio::error::operation_aborted && mIsTimedOut) {
    return Fail(errc::Timeout);
  }
  if (aError) {
    return Fail(aError);
  }
  return {};
}

result<void>
tcp_stream::Connect(const tcp_endpoint& aEndpoint,
                    steady_time aDeadline,
                    yield_context aYield)
{
  ArmTimer(aDeadline);
  asio::error_code error;
  mSocket.async_connect(aEndpoint, aYield[error]);
  auto finished = Finish(error);
  if (finished) {
    SetOptions(mSocket);
  }
  return finished;
}

result<void>
tcp_stream::Write(const std::vector<asio::const_buffer>& aBuffers,
                  steady_time aDeadline,
                  yield_context aYield)
{
  ArmTimer(aDeadline);
  asio::error_code error;
  mBytesWritten += asio::async_write(mSocket, aBuffers, aYield[error]);
  return Finish(error);
}

void
tcp_stream::StartWriting(const std::vector<asio::const_buffer>& aBuffers,
                         std::shared_ptr<const void> aOwner)
{
  mIsWriting = true;
  asio::async_write(mSocket,
                    aBuffers,
                    [this, alive = mIsAlive, owner = std::move(aOwner)](
                      const asio::error_code& aError, std::size_t aBytes) {
                      if (!*alive) {
                        return;
                      }
                      mBytesWritten += aBytes;
                      mIsWriting = false;
                      mWriteError = aError;
                    });
}

result<void>
tcp_stream::Fill(steady_time aDeadline, yield_context aYield)
{
  // Wait first: a buffer exists only while there are bytes for it, which keeps
  // the memory of idle connections small.
  auto readable = WaitReadable(aDeadline, aYield);
  if (!readable) {
    return readable;
  }
  auto filled = FillWithoutWaiting();
  if (filled || filled.error() != asio::error::eof) {
    return filled;
  }
  // The system reports the failure of a connection once, to the first call that
  // meets it, and an end to all later ones. If a started write was the first,
  // its handler may still be queued.
  if (mIsWriting) {
    asio::error_code ignored;
    asio::post(mSocket.get_executor(), aYield[ignored]);
  }
  // EPIPE: the other side had ended its direction before the connection failed,
  // so that what was read is whole.
  if (mWriteError && mWriteError != asio::error::broken_pipe) {
    return Fail(mWriteError);
  }
  return filled;
}

result<void>
tcp_stream::FillWithoutWaiting()
{
  if (mStart > 0) {
    mBuffer.erase(0, mStart);
    mStart = 0;
  }
  const auto size = mBuffer.size();
  mBuffer.resize(size + kReadBytes);
  asio::error_code error;
  const auto count =
    mSocket.read_some(asio::buffer(&mBuffer[size], kReadBytes), error);
  mBuffer.resize(size + count);
  if (error == asio::error::would_block) {
    return {};
  }
  if (error) {
    return Fail(error);
  }
  return {};
}

result<void>
tcp_stream::WaitReadable(steady_time aDeadline, yield_context aYield)
{
  ArmTimer(aDeadline);
  asio::error_code error;
  mSocket.async_wait(asio::ip::tcp::socket::wait_read, aYield[error]);
  return Finish(error);
}

std::string_view
tcp_stream::Buffered() const
{
  return std::string_view(mBuffer).substr(mStart);
}

void
tcp_stream::Consume(std::size_t aBytes)
{
  mStart = std::min(mStart + aBytes, mBuffer.size());
  if (mStart == mBuffer.size()) {
    mStart = 0;
    mBuffer.clear();
    mBuffer.shrink_to_fit();
  }
}

bool
tcp_stream::IsQuiet()
{
  if (!mSocket.is_open() || !Buffered().empty()) {
    return false;
  }
  char byte = 0;
  const auto count =
    ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool
tcp_stream::HasEnded()
{
  if (!mSocket.is_open()) {
    return true;
  }
  char byte = 0;
  const auto count =
    ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void
tcp_stream::Close()
{
  asio::error_code ignored;
  mSocket.close(ignored);
}

void
tcp_stream::EndSending()
{
  asio::error_code ignored;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

} // namespace cowslipline
