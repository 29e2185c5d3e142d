#pragma once

#include "core/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>

namespace cowslipline {

/// Names a connection of the transport; never reused.
using connection_id = std::uint64_t;

/// Called on the control thread.
struct transport_events
{
  std::function<void(connection_id)> mOpened;
  std::function<void(connection_id)> mClosed;
  std::function<void(connection_id, std::string_view)> mMessage;
};

/// WebSocket connections in both directions on one io_context. Used on the
/// control thread only.
class websocket_transport
{
public:
  /// Listens at once. Port 0 lets the system choose.
  /// Errors: errc::InputOutput when the address cannot be bound.
  static result<std::unique_ptr<websocket_transport>> Create(
    asio::io_context& aContext,
    const std::string& aAddress,
    std::uint16_t aPort,
    transport_events aEvents);
  ~websocket_transport();

  /// Starts to connect; mOpened or mClosed follows.
  connection_id Connect(const std::string& aAddress, std::uint16_t aPort);

  /// False when the connection is not open.
  bool SendBytes(connection_id aConnection, std::string_view aBytes);
  void Close(connection_id aConnection);

  std::uint16_t Port() const;

  /// Stops listening and closes all connections.
  void Stop();

private:
  class implementation;
  explicit websocket_transport(std::unique_ptr<implementation> aImplementation);

  std::unique_ptr<implementation> mImplementation;
};

} // namespace cowslipline
