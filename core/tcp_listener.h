#pragma once

#include "core/tcp_stream.h"

#include <functional>

namespace cowslipline {

/// Accepts TCP connections on one address.
class tcp_listener
{
public:
  using handler = std::function<void(asio::ip::tcp::socket)>;

  tcp_listener(asio::io_context& aContext, handler aHandler);

  /// Errors: those of bind() and listen().
  result<void> Open(const tcp_endpoint& aAddress);
  tcp_endpoint LocalAddress() const;
  void Close();

private:
  void Accept();

  handler mHandler;
  asio::ip::tcp::acceptor mAcceptor;
};

} // namespace cowslipline
