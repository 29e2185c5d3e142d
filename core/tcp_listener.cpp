#include "core/tcp_listener.h"

namespace cowslipline {

namespace {

// Connections that the kernel holds until they are accepted: a process that
// stands still for a moment must not lose those that arrive meanwhile.
constexpr int kBacklog = 1024;

} // namespace

tcp_listener::tcp_listener(asio::io_context& aContext, handler aHandler)
  : mHandler(std::move(aHandler))
  , mAcceptor(aContext)
{
}

result<void>
tcp_listener::Open(const tcp_endpoint& aAddress)
{
  asio::error_code error;
  mAcceptor.open(aAddress.protocol(), error);
  if (!error) {
    mAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    mAcceptor.bind(aAddress, error);
  }
  if (!error) {
    mAcceptor.listen(kBacklog, error);
  }
  if (error) {
    return Fail(error);
  }
  Accept();
  return {};
}

tcp_endpoint
tcp_listener::LocalAddress() const
{
  asio::error_code ignored;
  return mAcceptor.local_endpoint(ignored);
}

void
tcp_listener::Close()
{
  asio::error_code ignored;
  mAcceptor.close(ignored);
}

void
tcp_listener::Accept()
{
  mAcceptor.async_accept(
    [this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted || !mAcceptor.is_open()) {
        return;
      }
      if (!aError) {
        mHandler(std::move(aSocket));
      }
      Accept();
    });
}

} // namespace cowslipline
