#pragma once

#include "core/tcp_listener.h"
#include "modules/proxy/request_handler.h"

#include <list>

namespace cowslipline {

/// One connection of a caller, served by one task.
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

private:
  /// Waits for the first bytes of a request; false when there will be none.
  bool WaitForRequest(yield_context aYield);
  /// False when the connection is to be closed.
  bool ServeOne(yield_context aYield);
  std::optional<proxy_answer> ReadRequest(http_request& aRequest,
                                          steady_time aReceivedAt,
                                          yield_context aYield);
  void WatchForEnd(request_handler& aHandler);
  bool Respond(proxy_answer& aAnswer,
               bool aIsHeadRequest,
               bool aClose,
               yield_context aYield);
  caller_limits Limits() const;

  proxy_services& mServices;
  tcp_stream mStream;
  bool mIsIdle = true;
  bool mIsFirst = true;
  duration mIdleTimeout{ 0 };
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
  std::size_t Connections() const { return mSessions.size(); }

private:
  void Serve(asio::ip::tcp::socket aSocket);

  proxy_services& mServices;
  tcp_listener mListener;
  std::list<std::weak_ptr<caller_session>> mSessions;
};

} // namespace cowslipline
