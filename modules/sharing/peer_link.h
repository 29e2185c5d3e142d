#pragma once

#include "core/scheduler.h"
#include "modules/sharing/member_table.h"
#include "modules/sharing/peer_message.h"

#include <array>
#include <functional>

namespace cowslipline {

/// Sends and receives peer messages as datagrams. Every message may be lost:
/// none carries anything that must arrive. Datagrams were chosen over kept
/// connections because these go silent without notice (docs/platform.md).
class peer_link
{
public:
  using handler = std::function<void(const peer_message&, const udp_endpoint&)>;

  /// Errors: those of bind().
  static result<std::unique_ptr<peer_link>> Open(asio::io_context& aContext,
                                                 std::string aName,
                                                 const udp_endpoint& aAddress);

  void SetHandler(handler aHandler) { mHandler = std::move(aHandler); }
  void Send(const peer_payload& aPayload, const udp_endpoint& aTo);
  udp_endpoint LocalAddress() const;
  void Close();

  std::uint64_t BytesSent() const { return mBytesSent; }
  std::uint64_t MessagesDropped() const { return mMessagesDropped; }

private:
  peer_link(asio::io_context& aContext, std::string aName);

  void Receive();

  std::string mName;
  asio::ip::udp::socket mSocket;
  handler mHandler;
  /// Larger than any message: a load report lists the targets in use.
  std::array<char, 8192> mBuffer{};
  udp_endpoint mSender;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mMessagesDropped = 0;
};

} // namespace cowslipline
