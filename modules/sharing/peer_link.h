#pragma once

#include "core/scheduler.h"
#include "modules/sharing/member_table.h"
#include "modules/sharing/peer_message.h"

#include <array>
#include <functional>

namespace cowslipline {

/// UDP transport for messages between the instances of the fleet. Delivery is
/// best-effort: any message may be lost, so none may carry anything that must
/// arrive. UDP is used instead of persistent connections because those can
/// stop delivering data without an error (docs/platform.md).
class peer_link
{
public:
  using handler = std::function<void(const peer_message&, const udp_endpoint&)>;

  /// Binds a socket to aAddress and starts to receive. aName: the sender in the
  /// messages. Errors: those of socket() and bind().
  static result<std::unique_ptr<peer_link>> Open(asio::io_context& aContext,
                                                 std::string aName,
                                                 const udp_endpoint& aAddress);

  /// The handler is called for each well-formed message with the address of
  /// its sender.
  void SetHandler(handler aHandler) { mHandler = std::move(aHandler); }
  /// Does not block; a datagram that cannot be sent is dropped.
  void Send(const peer_payload& aPayload, const udp_endpoint& aTo);
  udp_endpoint LocalAddress() const;
  void Close();

  /// Payload bytes, without IP and UDP headers.
  std::uint64_t BytesSent() const { return mBytesSent; }
  /// Messages that could not be sent, and received ones that were malformed.
  std::uint64_t MessagesDropped() const { return mMessagesDropped; }

private:
  peer_link(asio::io_context& aContext, std::string aName);

  void Receive();

  std::string mName;
  asio::ip::udp::socket mSocket;
  handler mHandler;
  /// Bytes; larger than any message. The largest is a load report, which lists
  /// the targets in use.
  std::array<char, 8192> mBuffer{};
  udp_endpoint mSender;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mMessagesDropped = 0;
};

} // namespace cowslipline
