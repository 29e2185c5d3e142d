#include "modules/sharing/peer_link.h"

#include "core/log.h"

namespace cowslipline {

peer_link::peer_link(asio::io_context& aContext, std::string aName)
  : mName(std::move(aName))
  , mSocket(aContext)
{
}

result<std::unique_ptr<peer_link>>
peer_link::Open(asio::io_context& aContext,
                std::string aName,
                const udp_endpoint& aAddress)
{
  std::unique_ptr<peer_link> link(new peer_link(aContext, std::move(aName)));
  asio::error_code error;
  link->mSocket.open(aAddress.protocol(), error);
  if (!error) {
    link->mSocket.bind(aAddress, error);
  }
  if (error) {
    return Fail(error);
  }
  link->mSocket.non_blocking(true, error);
  link->Receive();
  return link;
}

void
peer_link::Send(const peer_payload& aPayload, const udp_endpoint& aTo)
{
  const auto bytes = EncodePeerMessage({ mName, aPayload });
  asio::error_code error;
  // If the socket buffer is full the datagram is dropped, as the network may
  // drop it.
  mSocket.send_to(asio::buffer(bytes), aTo, 0, error);
  if (error) {
    ++mMessagesDropped;
    return;
  }
  mBytesSent += bytes.size();
}

udp_endpoint
peer_link::LocalAddress() const
{
  asio::error_code ignored;
  return mSocket.local_endpoint(ignored);
}

void
peer_link::Close()
{
  asio::error_code ignored;
  mSocket.close(ignored);
}

void
peer_link::Receive()
{
  mSocket.async_receive_from(
    asio::buffer(mBuffer),
    mSender,
    [this](const asio::error_code& aError, std::size_t aBytes) {
      if (aError == asio::error::operation_aborted || !mSocket.is_open()) {
        return;
      }
      // Any other error is an ICMP report on a datagram sent earlier, such as
      // port unreachable.
      if (!aError) {
        const auto message =
          DecodePeerMessage(std::string_view(mBuffer.data(), aBytes));
        if (message && mHandler) {
          mHandler(*message, mSender);
        } else if (!message) {
          ++mMessagesDropped;
        }
      }
      Receive();
    });
}

} // namespace cowslipline
