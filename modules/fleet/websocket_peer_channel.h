#pragma once

#include "core/metrics.h"
#include "modules/fleet/peer_address.h"
#include "modules/fleet/peer_channel.h"
#include "modules/fleet/peer_frame.h"
#include "modules/fleet/websocket_transport.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace cowslipline {

struct peer_channel_options
{
  instance_name mName;
  std::uint64_t mBoot = 0;
  std::string mSecret;
  std::string mListenAddress = "127.0.0.1";
  std::uint16_t mListenPort = 0;
};

/// Peer channel over WebSocket connections with authenticated CBOR frames.
/// Each outgoing link is one task; links are opened on demand.
class websocket_peer_channel final : public peer_channel
{
public:
  /// Called for each authentic frame with the sender and its boot number.
  using heard_function =
    std::function<void(const instance_name& aFrom, std::uint64_t aBoot)>;

  /// Errors: errc::InputOutput when the address cannot be bound.
  static result<std::shared_ptr<websocket_peer_channel>> Create(
    scheduler& aScheduler,
    metrics& aMetrics,
    peer_channel_options aOptions);
  ~websocket_peer_channel() override;

  void Send(const instance_name& aTo,
            std::string_view aService,
            std::string aPayload) override;
  result<std::string> Call(const instance_name& aTo,
                           std::string_view aService,
                           std::string aPayload,
                           duration aTimeout,
                           yield_context aYield) override;
  void Handle(std::string aService, peer_handler aHandler) override;

  void SetAddress(const instance_name& aName, peer_address aAddress);
  void OnHeard(heard_function aFunction) { mHeard = std::move(aFunction); }
  std::uint16_t Port() const { return mTransport->Port(); }
  std::size_t LinkCount() const { return mLinks.size(); }
  std::uint64_t SentBytes() const { return mSentBytes; }

  /// Closes all links and fails waiting calls.
  void Stop();

private:
  struct pending_call
  {
    event mAnswered;
    std::optional<result<std::string>> mReply;
  };

  /// An outgoing connection with the frames that wait for it.
  struct peer_link
  {
    instance_name mName;
    connection_id mConnection = 0;
    bool mIsOpen = false;
    bool mIsClosed = false;
    event mChanged;
    std::deque<std::string> mQueue;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> mCalls;
    steady_time mLastUse;
    steady_time mLastReply;
    steady_time mOpenedAt; ///< Of the attempt while it is being opened.
  };
  using link_pointer = std::shared_ptr<peer_link>;

  websocket_peer_channel(scheduler& aScheduler,
                         metrics& aMetrics,
                         peer_channel_options aOptions);
  result<void> Listen();

  result<link_pointer> LinkTo(const instance_name& aTo);
  result<link_pointer> Enqueue(const instance_name& aTo,
                               const peer_frame& aFrame);
  void RunLink(const link_pointer& aLink, yield_context aYield);
  bool OpenLink(const link_pointer& aLink, yield_context aYield);
  void SendQueued(const link_pointer& aLink, yield_context aYield);
  void EndLink(const link_pointer& aLink);
  void CloseIdlestLink();
  /// Drops a connection on which nothing arrived since a call that timed out:
  /// a device on the path may have lost track of it.
  void CloseIfSilent(const link_pointer& aLink, steady_time aSince);

  void OnOpened(connection_id aConnection);
  void OnClosed(connection_id aConnection);
  void OnMessage(connection_id aConnection, std::string_view aBytes);
  bool IsFromCurrentBoot(const peer_frame& aFrame);
  void OnRequest(connection_id aConnection, peer_frame aFrame);
  void OnReply(connection_id aConnection, peer_frame aFrame);
  peer_frame NewFrame(frame_kind aKind, std::string_view aService) const;
  std::string Encode(const peer_frame& aFrame);

  scheduler& mScheduler;
  metrics& mMetrics;
  peer_channel_options mOptions;
  std::unique_ptr<websocket_transport> mTransport;
  heard_function mHeard;
  std::map<std::string, peer_handler, std::less<>> mHandlers;
  std::map<instance_name, peer_address> mAddresses;
  std::map<instance_name, link_pointer> mLinks;
  std::map<connection_id, link_pointer> mLinkByConnection;
  std::map<instance_name, steady_time> mLastFailure;
  std::map<instance_name, std::uint64_t> mNewestBoot;
  std::uint64_t mNextCall = 1;
  std::uint64_t mSentBytes = 0;
  bool mIsStopped = false;
};

} // namespace cowslipline
