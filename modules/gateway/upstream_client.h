#pragma once

#include "core/result.h"
#include "modules/gateway/upstream_connection.h"

#include <condition_variable>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cowslipline {

struct upstream_endpoint
{
  std::string mHost;
  std::uint16_t mPort = 0;
  /// Most open connections to it, idle ones included.
  std::size_t mConnections = 8;
};

struct upstream_client_options
{
  duration mConnectTimeout = std::chrono::milliseconds(500);
  /// Longest idle time before reuse. Shorter than the usual keep-alive time of
  /// servers (5 s), so that a request seldom meets a closing connection.
  duration mIdleTime = std::chrono::seconds(4);
};

/// Kept-alive connections to all targets. Safe from any thread.
///
/// No request is ever sent twice: the library sends a request once for each
/// call, and reopens a closed connection only before the first byte. Requests
/// that are not idempotent always get a new connection, because on a reused
/// one the upstream may be closing it, which leaves the outcome unknown.
class upstream_client
{
public:
  upstream_client(upstream_client_options aOptions, body_budget& aBudget);

  /// Sends a request to a target and waits for the whole answer.
  /// Errors: errc::Overloaded when all connections to the target are in use
  /// until the deadline; nothing was sent.
  result<upstream_result> Exchange(const upstream_endpoint& aEndpoint,
                                   const upstream_request& aRequest);

  std::size_t IdleConnections() const;

private:
  using connection_pointer = std::unique_ptr<upstream_connection>;
  struct idle_connection
  {
    connection_pointer mConnection;
    steady_time mSince;
  };
  struct pool
  {
    std::list<idle_connection> mIdle; ///< The most recently used first.
    std::size_t mInUse = 0;
    /// A connection opened at this time went silent; those opened no later
    /// are not reused.
    steady_time mSilentUntil;
  };

  /// Replaces the connection when there is none or it is stale.
  upstream_result ExchangeOn(connection_pointer& aConnection,
                             const upstream_endpoint& aEndpoint,
                             const upstream_request& aRequest);
  bool Reserve(const std::string& aKey,
               const upstream_request& aRequest,
               std::size_t aBound);
  connection_pointer TakeIdle(const std::string& aKey);
  void GiveBack(const std::string& aKey,
                connection_pointer aConnection,
                attempt_class aClass);
  void DropExpired(steady_time aNow);

  const upstream_client_options mOptions;
  body_budget& mBudget;
  mutable std::mutex mMutex;
  std::condition_variable mReleased;
  std::map<std::string, pool> mPools;
  steady_time mLastDrop;
};

} // namespace cowslipline
