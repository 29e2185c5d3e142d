#pragma once

#include "core/metrics.h"
#include "core/result.h"
#include "modules/gateway/caller_exchange.h"
#include "modules/gateway/connection_registry.h"
#include "modules/gateway/refusal.h"

#include <atomic>
#include <functional>
#include <future>
#include <thread>

#include <httplib.h>

namespace cowslipline {

class bounded_task_queue;
class caller_stream;

struct caller_server_options
{
  std::string mAddress = "127.0.0.1";
  std::uint16_t mPort = 0; ///< 0: the system chooses.
  std::size_t mThreads = 128;
  std::size_t mQueueBound = 64;
  head_limits mHeadLimits;
  caller_timeouts mTimeouts;
};

/// Answers one request. Runs on the thread of the connection.
using request_handler = std::function<caller_answer(caller_exchange&)>;

/// Serves callers' connections: accepts, bounds and checks what they send, and
/// writes answers. The library accepts connections and writes answers; heads
/// and bodies are read by buffered_reader.
class caller_server final : private httplib::Server
{
public:
  caller_server(caller_server_options aOptions,
                metrics& aMetrics,
                request_handler aHandler);
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;
  ~caller_server() override;

  /// Binds the address. Errors: errc::InputOutput.
  result<void> Bind();
  /// Accepts connections on a thread of its own.
  void Start();
  std::uint16_t Port() const { return mPort; }

  /// Stops accepting, ends idle connections and waits for requests in flight.
  /// False when some had to be broken after the timeout.
  bool Stop(duration aTimeout);

  std::size_t OpenConnections() const { return mConnections.Count(); }

private:
  struct connection;

  bool process_and_close_socket(socket_t aSocket) override;
  void ServeConnection(connection& aConnection);
  /// Serves one request. False when the connection ends.
  bool ServeRequest(connection& aConnection);
  /// Refuses what was not read as a request, and ends the connection.
  void Refuse(connection& aConnection,
              refusal_reason aReason,
              duration aLinger);
  bool WriteAnswer(connection& aConnection, bool aIsHead);
  void RefuseHead(connection& aConnection, read_error aError);

  static HandlerResponse Respond(httplib::Response& aResponse);
  /// Takes out what the library adds on its own.
  static void FixHeaders(bool aIsHead, httplib::Response& aResponse);
  void WaitForAcceptance() const;

  const caller_server_options mOptions;
  metrics& mMetrics;
  request_handler mHandler;
  connection_registry mConnections;
  std::atomic<bounded_task_queue*> mQueue{ nullptr };
  std::thread mListener;
  std::future<void> mEnded;
  std::uint16_t mPort = 0;
};

} // namespace cowslipline
