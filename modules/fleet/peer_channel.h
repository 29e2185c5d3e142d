#pragma once

#include "core/scheduler.h"

#include <functional>
#include <string>
#include <string_view>

namespace cowslipline {

/// Unique name of an instance, from its settings.
using instance_name = std::string;

/// Answers a message. For a one-way message the result is ignored. Runs as a
/// task of its own on the control thread.
using peer_handler =
  std::function<result<std::string>(const instance_name& aFrom,
                                    std::string_view aPayload,
                                    yield_context aYield)>;

/// Messages between instances. Payloads are CBOR, encoded by the service.
/// Messages may be lost, delayed and reordered; a call that times out may have
/// been handled.
class peer_channel
{
public:
  virtual ~peer_channel() = default;

  /// Sends without an answer. Failures are only counted.
  virtual void Send(const instance_name& aTo,
                    std::string_view aService,
                    std::string aPayload) = 0;

  /// Errors: errc::PeerUnreachable (not handled), errc::PeerTimeout (may have
  /// been handled), errc::PeerRejected (the handler failed).
  virtual result<std::string> Call(const instance_name& aTo,
                                   std::string_view aService,
                                   std::string aPayload,
                                   duration aTimeout,
                                   yield_context aYield) = 0;

  /// Registers the handler of a service. Called once for each service at
  /// start.
  virtual void Handle(std::string aService, peer_handler aHandler) = 0;
};

} // namespace cowslipline
