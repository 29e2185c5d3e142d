#pragma once

#include "core/tcp_listener.h"
#include "modules/proxy/request_handler.h"

#include <deque>
#include <list>

namespace cowslipline {

/// One request of a caller's connection on its way to its answer.
struct caller_exchange
{
  caller_exchange(proxy_services& aServices,
                  http_request aRequest,
                  body_lease aLease,
                  steady_time aReceivedAt);

  body_lease mLease; ///< Of the request's body.
  bool mIsHeadRequest;
  bool mWantsClose;
  request_handler mHandler;
  /// Nothing when the caller has left. Valid once it is finished.
  std::optional<proxy_answer> mAnswer;
  bool mIsFinished = false;
  event mFinished;
};

/// One connection of a caller. One task reads requests and writes answers in
/// their order; requests that start early have a task each until they are
/// answered (read_ahead.h).
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
  caller_session(proxy_services& aServices, asio::ip::tcp::socket aSocket)
    : mServices(aServices)
    , mStream(std::move(aSocket))
  {
  }

  /// Serves requests until the connection ends.
  void Run(yield_context aYield);

  /// Closes the connection when no request is on it.
  void CloseIfIdle();

  /// Gives up the requests on the connection, with their final answers.
  void EndRequests();

private:
  /// Waits for the first bytes of a request; false when there will be none.
  bool WaitForRequest(yield_context aYield);
  /// False when the connection is to be closed.
  bool ServeOne(yield_context aYield);
  /// The next request, read and started; nothing after an answer of its own
  /// to one that cannot be read.
  std::shared_ptr<caller_exchange> ReadExchange(yield_context aYield);
  std::optional<proxy_answer> ReadRequest(http_request& aRequest,
                                          body_lease& aLease,
                                          yield_context aYield);
  std::optional<proxy_answer> ReadRequestBody(http_request& aRequest,
                                              body_lease& aLease,
                                              steady_time aDeadline,
                                              yield_context aYield);

  /// Looks at what arrives while an answer is awaited: further requests, or
  /// the end of the connection.
  void WatchCaller();
  void StopWatching();
  void OnReadable();
  /// Starts requests that have come whole and may start early.
  void StartEarly();
  bool StartNextEarly();
  void AbandonAll();

  bool Respond(proxy_answer& aAnswer,
               bool aIsHeadRequest,
               bool aClose,
               yield_context aYield);
  /// Ends the connection after an answer that announced it.
  void CloseAfterAnswer(yield_context aYield);
  caller_limits Limits() const;

  proxy_services& mServices;
  tcp_stream mStream;
  bool mIsIdle = true;
  bool mIsFirst = true;
  bool mIsCloseAnnounced = false;
  std::uint64_t mWatchRound = 0;
  /// Exchanges that wait for their turn to be answered, oldest first. The
  /// first one is served by the connection's task.
  std::deque<std::shared_ptr<caller_exchange>> mExchanges;
  /// When the bytes in front of the buffer came; unset while it is empty.
  std::optional<steady_time> mBufferedSince;
};

/// Accepts callers' connections.
class caller_listener
{
public:
  explicit caller_listener(proxy_services& aServices);

  /// Errors: those of bind() and listen().
  result<void> Open(const tcp_endpoint& aAddress)
  {
    return mListener.Open(aAddress);
  }
  tcp_endpoint LocalAddress() const { return mListener.LocalAddress(); }
  void StopAccepting() { mListener.Close(); }
  void CloseIdle();
  void EndRequests();
  std::size_t Connections() const { return mSessions.size(); }

private:
  void Serve(asio::ip::tcp::socket aSocket);

  proxy_services& mServices;
  tcp_listener mListener;
  std::list<std::weak_ptr<caller_session>> mSessions;
};

} // namespace cowslipline
