#include "modules/gateway/caller_server.h"

#include "core/log.h"
#include "modules/gateway/bounded_task_queue.h"
#include "modules/gateway/caller_stream.h"
#include "modules/gateway/request_id.h"

#include <array>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cowslipline {

namespace {

/// The library listens with a backlog of 5, with which a burst of callers
/// waits a second for a retransmitted SYN.
constexpr int kListenBacklog = 512;

/// Time and bytes for which a refused connection is read before it is closed.
/// Closing with unread bytes resets the connection, and the caller could lose
/// the answer.
constexpr duration kLingerTimeout = std::chrono::milliseconds(250);
constexpr std::size_t kLingerBytes = 1 << 20;
/// The same for a connection over the bound. All of these are refused on one
/// thread, so that each must be short.
constexpr duration kRefusedLingerTimeout = std::chrono::milliseconds(20);

/// Time between attempts to break what is left after a graceful stop.
constexpr std::chrono::milliseconds kBreakInterval{ 20 };

/// Longest wait for the library to accept what the system holds.
constexpr duration kAcceptTimeout = std::chrono::milliseconds(100);

void
ReadUntilClosed(timed_socket& aSocket, duration aTimeout)
{
  ::shutdown(aSocket.Descriptor(), SHUT_WR);
  aSocket.SetDeadline(ReadBootClock() + aTimeout);
  std::array<char, 16'384> ignored;
  std::size_t total = 0;
  while (total < kLingerBytes) {
    const auto got = aSocket.Read(ignored.data(), ignored.size());
    if (got.mStatus != io_status::Done) {
      return;
    }
    total += got.mBytes;
  }
}

} // namespace

/// One connection and the answer that is being written on it.
struct caller_server::connection
{
  explicit connection(int aDescriptor)
    : mSocket(aDescriptor)
    , mReader(mSocket)
  {
  }

  timed_socket mSocket;
  buffered_reader mReader;
  caller_answer mAnswer;
  bool mIsClosing = false;
  // Whether the answer itself has these, which the library adds otherwise.
  bool mHasContentType = false;
  bool mHasAcceptRanges = false;
};

namespace {

/// The connection that this thread serves. The library gives its handlers no
/// access to the connection.
thread_local void* tConnection = nullptr;

} // namespace

caller_server::caller_server(caller_server_options aOptions,
                             metrics& aMetrics,
                             request_handler aHandler)
  : mOptions(std::move(aOptions))
  , mMetrics(aMetrics)
  , mHandler(std::move(aHandler))
{
  set_tcp_nodelay(true);
  // The library's default lets a second process share the port unnoticed.
  set_socket_options([](socket_t aSocket) {
    const int isOn = 1;
    ::setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof(isOn));
  });
  set_pre_routing_handler(
    [](const httplib::Request&, httplib::Response& aResponse) {
      return Respond(aResponse);
    });
  set_post_routing_handler(
    [](const httplib::Request& aRequest, httplib::Response& aResponse) {
      FixHeaders(aRequest.method == "HEAD", aResponse);
    });
  new_task_queue = [this] {
    auto* queue =
      new bounded_task_queue(mOptions.mThreads, mOptions.mQueueBound, [this] {
        mConnections.EndLongestIdle();
      });
    mQueue = queue;
    return queue;
  };
}

caller_server::~caller_server()
{
  Stop(duration::zero());
}

result<void>
caller_server::Bind()
{
  int port = mOptions.mPort;
  if (port == 0) {
    port = bind_to_any_port(mOptions.mAddress);
  } else if (!bind_to_port(mOptions.mAddress, port)) {
    port = -1;
  }
  if (port <= 0 || ::listen(svr_sock_, kListenBacklog) != 0) {
    return Fail(errc::InputOutput);
  }
  mPort = static_cast<std::uint16_t>(port);
  return {};
}

void
caller_server::Start()
{
  std::promise<void> ended;
  mEnded = ended.get_future();
  mListener = std::thread([this, ended = std::move(ended)]() mutable {
    listen_after_bind(); // Returns when all connections have ended.
    ended.set_value();
  });
  while (!is_running()) {
    std::this_thread::yield();
  }
}

bool
caller_server::Stop(duration aTimeout)
{
  if (!mListener.joinable()) {
    return true;
  }
  WaitForAcceptance();
  mConnections.StopIdle();
  stop();
  const bool isWhole = mEnded.wait_for(aTimeout) == std::future_status::ready;
  // Connections that waited for a thread may be served only now.
  while (mEnded.wait_for(kBreakInterval) != std::future_status::ready) {
    mConnections.BreakAll();
  }
  mListener.join();
  return isWhole;
}

void
caller_server::WaitForAcceptance() const
{
  // Connections that the system holds would be reset with the listening socket
  // although their callers may have sent a request.
  const auto end = ReadBootClock() + kAcceptTimeout;
  pollfd wait{ svr_sock_, POLLIN, 0 };
  while (::poll(&wait, 1, 0) > 0 && ReadBootClock() < end) {
    std::this_thread::yield();
  }
}

bool
caller_server::process_and_close_socket(socket_t aSocket)
{
  const int isOn = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
  mConnections.Enter(aSocket);
  connection served(aSocket);
  tConnection = &served;
  if (mQueue.load()->IsRefusing()) {
    Refuse(served, refusal_reason::Overloaded, kRefusedLingerTimeout);
  } else {
    ServeConnection(served);
  }
  tConnection = nullptr;
  mConnections.Leave(aSocket);
  ::close(aSocket);
  return true;
}

void
caller_server::ServeConnection(connection& aConnection)
{
  const auto descriptor = aConnection.mSocket.Descriptor();
  const auto needsRoom = [this] { return mQueue.load()->HasWaiting(); };
  while (aConnection.mReader.HasBuffered() ||
         mConnections.WaitForInput(
           descriptor, mOptions.mTimeouts.mIdle, needsRoom)) {
    if (!ServeRequest(aConnection)) {
      return;
    }
  }
}

bool
caller_server::ServeRequest(connection& aConnection)
{
  auto& socket = aConnection.mSocket;
  socket.SetDeadline(ReadBootClock() + mOptions.mTimeouts.mHead);
  const auto bytes = aConnection.mReader.ReadHead(mOptions.mHeadLimits.mBytes);
  if (!bytes) {
    RefuseHead(aConnection, bytes.error());
    return false;
  }
  auto head = ParseRequestHead(*bytes, mOptions.mHeadLimits);
  if (!head) {
    RefuseHead(aConnection,
               head.error() == head_error::TooLarge ? read_error::HeadTooLarge
                                                    : read_error::Malformed);
    return false;
  }
  const bool isHead = head->mMethod == "HEAD";
  caller_exchange exchange(
    std::move(*head), socket, aConnection.mReader, mOptions.mTimeouts.mBody);
  aConnection.mAnswer = mHandler(exchange);
  aConnection.mIsClosing =
    aConnection.mAnswer.mCloses || !exchange.IsBodyRead() ||
    exchange.Head().WantsClose() || mConnections.IsStopping() ||
    (!aConnection.mReader.HasBuffered() && mQueue.load()->HasWaiting());
  if (!WriteAnswer(aConnection, isHead)) {
    return false;
  }
  if (aConnection.mIsClosing) {
    ReadUntilClosed(socket, kLingerTimeout);
  }
  return !aConnection.mIsClosing;
}

void
caller_server::RefuseHead(connection& aConnection, read_error aError)
{
  if (aError == read_error::Closed) {
    return;
  }
  Refuse(aConnection,
         aError == read_error::HeadTooLarge ? refusal_reason::HeadersTooLarge
                                            : refusal_reason::RequestMalformed,
         kLingerTimeout);
}

void
caller_server::Refuse(connection& aConnection,
                      refusal_reason aReason,
                      duration aLinger)
{
  const auto id = MakeRequestId();
  mMetrics.Counter(RefusalCounterName(aReason)).Add();
  aConnection.mAnswer = MakeRefusalAnswer(refusal(aReason), id);
  aConnection.mIsClosing = true;
  Log(log_level::Info,
      "request",
      { { "request_id", id },
        { "status", std::to_string(aConnection.mAnswer.mStatus) },
        { "reason", std::string(Describe(aReason).mName) },
        { "ran", "not_run" } });
  if (WriteAnswer(aConnection, false)) {
    ReadUntilClosed(aConnection.mSocket, aLinger);
  }
}

bool
caller_server::WriteAnswer(connection& aConnection, bool aIsHead)
{
  aConnection.mSocket.SetDeadline(ReadBootClock() + mOptions.mTimeouts.mWrite);
  caller_stream stream(aConnection.mSocket, aIsHead);
  bool isClosed = false;
  const bool isWritten =
    process_request(stream, false, isClosed, nullptr) && stream.Flush();
  // Gives the body's share of the budget back.
  aConnection.mAnswer = caller_answer{};
  return isWritten;
}

httplib::Server::HandlerResponse
caller_server::Respond(httplib::Response& aResponse)
{
  auto& served = *static_cast<connection*>(tConnection);
  auto& answer = served.mAnswer;
  served.mHasContentType = answer.mHeaders.Count("Content-Type") > 0;
  served.mHasAcceptRanges = answer.mHeaders.Count("Accept-Ranges") > 0;
  aResponse.status = answer.mStatus;
  for (auto& line : answer.mHeaders.Lines()) {
    aResponse.headers.emplace(std::move(line.mName), std::move(line.mValue));
  }
  aResponse.body =
    answer.mText.empty() ? answer.mBody.TakeText() : std::move(answer.mText);
  return HandlerResponse::Handled;
}

void
caller_server::FixHeaders(bool aIsHead, httplib::Response& aResponse)
{
  const auto& served = *static_cast<connection*>(tConnection);
  auto& headers = aResponse.headers;
  headers.erase("Keep-Alive");
  if (!served.mHasContentType) {
    headers.erase("Content-Type");
  }
  if (!served.mHasAcceptRanges) {
    headers.erase("Accept-Ranges");
  }
  if (served.mIsClosing) {
    headers.emplace("Connection", "close");
  }
  if (aIsHead && aResponse.body.empty()) {
    headers.erase("Content-Length");
    if (served.mAnswer.mHeadLength) {
      headers.emplace("Content-Length",
                      std::to_string(*served.mAnswer.mHeadLength));
    }
  }
  const bool hasNoBody = aResponse.status == 204 || aResponse.status == 304;
  if (hasNoBody) {
    headers.erase("Content-Length");
  }
}

} // namespace cowslipline
