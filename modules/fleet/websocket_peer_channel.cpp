#include "modules/fleet/websocket_peer_channel.h"

#include "core/check.h"
#include "core/log.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr std::size_t kLargestLinkCount = 48;
constexpr std::size_t kLargestQueueFrames = 1000;
// A call with a short timeout says nothing about its connection; only silence
// of this length does.
constexpr duration kLinkSilence = std::chrono::milliseconds(500);
constexpr duration kIdleLink = std::chrono::seconds(60);
constexpr duration kOpenTimeout = std::chrono::seconds(1);

// A peer that cannot be reached is tried again after this pause, so that every
// message to it does not open a connection.
constexpr duration kReconnectPause = std::chrono::milliseconds(200);

} // namespace

websocket_peer_channel::websocket_peer_channel(scheduler& aScheduler,
                                               metrics& aMetrics,
                                               peer_channel_options aOptions)
  : mScheduler(aScheduler)
  , mMetrics(aMetrics)
  , mOptions(std::move(aOptions))
{
}

websocket_peer_channel::~websocket_peer_channel() = default;

result<std::shared_ptr<websocket_peer_channel>>
websocket_peer_channel::Create(scheduler& aScheduler,
                               metrics& aMetrics,
                               peer_channel_options aOptions)
{
  std::shared_ptr<websocket_peer_channel> channel(
    new websocket_peer_channel(aScheduler, aMetrics, std::move(aOptions)));
  const auto listening = channel->Listen();
  COWSLIPLINE_PROPAGATE(listening);
  return channel;
}

result<void>
websocket_peer_channel::Listen()
{
  transport_events events;
  events.mOpened = [this](connection_id aId) { OnOpened(aId); };
  events.mClosed = [this](connection_id aId) { OnClosed(aId); };
  events.mMessage = [this](connection_id aId, std::string_view aBytes) {
    OnMessage(aId, aBytes);
  };
  auto transport = websocket_transport::Create(mScheduler.Context(),
                                               mOptions.mListenAddress,
                                               mOptions.mListenPort,
                                               std::move(events));
  COWSLIPLINE_PROPAGATE(transport);
  mTransport = std::move(*transport);
  return {};
}

void
websocket_peer_channel::SetAddress(const instance_name& aName,
                                   peer_address aAddress)
{
  mAddresses[aName] = std::move(aAddress);
}

void
websocket_peer_channel::Handle(std::string aService, peer_handler aHandler)
{
  mHandlers[std::move(aService)] = std::move(aHandler);
}

peer_frame
websocket_peer_channel::NewFrame(frame_kind aKind,
                                 std::string_view aService) const
{
  peer_frame frame;
  frame.mFrom = mOptions.mName;
  frame.mBoot = mOptions.mBoot;
  frame.mService = std::string(aService);
  frame.mKind = aKind;
  return frame;
}

std::string
websocket_peer_channel::Encode(const peer_frame& aFrame)
{
  auto bytes = EncodeFrame(aFrame, mOptions.mSecret);
  mSentBytes += bytes.size();
  return bytes;
}

void
websocket_peer_channel::Send(const instance_name& aTo,
                             std::string_view aService,
                             std::string aPayload)
{
  auto frame = NewFrame(frame_kind::Send, aService);
  frame.mPayload = std::move(aPayload);
  if (aTo == mOptions.mName) {
    OnRequest(0, std::move(frame));
    return;
  }
  if (!Enqueue(aTo, frame)) {
    mMetrics.Counter("cowslipline_peer_sends_dropped_total").Add();
  }
}

result<std::string>
websocket_peer_channel::Call(const instance_name& aTo,
                             std::string_view aService,
                             std::string aPayload,
                             duration aTimeout,
                             yield_context aYield)
{
  if (aTo == mOptions.mName) {
    const auto handler = mHandlers.find(aService);
    return handler == mHandlers.end()
             ? result<std::string>(Fail(errc::PeerRejected))
             : handler->second(aTo, aPayload, aYield);
  }
  auto frame = NewFrame(frame_kind::Request, aService);
  frame.mId = mNextCall++;
  frame.mPayload = std::move(aPayload);
  const auto id = frame.mId;
  const auto link = Enqueue(aTo, frame);
  COWSLIPLINE_PROPAGATE(link);
  const auto call = std::make_shared<pending_call>();
  (*link)->mCalls[id] = call;
  const auto start = mScheduler.Now();
  const auto end = start + aTimeout;
  while (!call->mReply && mScheduler.Now() < end) {
    call->mAnswered.Wait(mScheduler, end - mScheduler.Now(), aYield);
  }
  (*link)->mCalls.erase(id);
  if (!call->mReply) {
    mMetrics.Counter("cowslipline_peer_call_timeouts_total").Add();
    CloseIfSilent(*link, start);
    return Fail(errc::PeerTimeout);
  }
  return *call->mReply;
}

result<websocket_peer_channel::link_pointer>
websocket_peer_channel::LinkTo(const instance_name& aTo)
{
  const auto found = mLinks.find(aTo);
  if (found != mLinks.end()) {
    return found->second;
  }
  const auto failure = mLastFailure.find(aTo);
  const bool isPaused = failure != mLastFailure.end() &&
                        mScheduler.Now() - failure->second < kReconnectPause;
  if (mIsStopped || isPaused || mAddresses.count(aTo) == 0) {
    return Fail(errc::PeerUnreachable);
  }
  if (mLinks.size() >= kLargestLinkCount) {
    CloseIdlestLink();
  }
  auto link = std::make_shared<peer_link>();
  link->mName = aTo;
  link->mOpenedAt = mScheduler.Now();
  mLinks[aTo] = link;
  mScheduler.Spawn(
    [this, link](yield_context aYield) { RunLink(link, aYield); });
  return link;
}

result<websocket_peer_channel::link_pointer>
websocket_peer_channel::Enqueue(const instance_name& aTo,
                                const peer_frame& aFrame)
{
  auto link = LinkTo(aTo);
  COWSLIPLINE_PROPAGATE(link);
  if ((*link)->mQueue.size() >= kLargestQueueFrames) {
    return Fail(errc::PeerUnreachable);
  }
  (*link)->mLastUse = mScheduler.Now();
  (*link)->mQueue.push_back(Encode(aFrame));
  (*link)->mChanged.Set();
  return link;
}

void
websocket_peer_channel::RunLink(const link_pointer& aLink, yield_context aYield)
{
  if (OpenLink(aLink, aYield)) {
    SendQueued(aLink, aYield);
  } else {
    mLastFailure[aLink->mName] = mScheduler.Now();
    mMetrics.Counter("cowslipline_peer_connect_failures_total").Add();
  }
  EndLink(aLink);
}

bool
websocket_peer_channel::OpenLink(const link_pointer& aLink,
                                 yield_context aYield)
{
  const auto address = mAddresses[aLink->mName];
  aLink->mConnection = mTransport->Connect(address.mAddress, address.mPort);
  mLinkByConnection[aLink->mConnection] = aLink;
  const auto end = mScheduler.Now() + kOpenTimeout;
  while (!aLink->mIsOpen && !aLink->mIsClosed && mScheduler.Now() < end) {
    aLink->mChanged.Wait(mScheduler, end - mScheduler.Now(), aYield);
  }
  return aLink->mIsOpen && !aLink->mIsClosed;
}

void
websocket_peer_channel::SendQueued(const link_pointer& aLink,
                                   yield_context aYield)
{
  while (!aLink->mIsClosed && !mIsStopped) {
    while (!aLink->mQueue.empty()) {
      if (!mTransport->SendBytes(aLink->mConnection, aLink->mQueue.front())) {
        return;
      }
      aLink->mQueue.pop_front();
    }
    const bool isChanged = aLink->mChanged.Wait(mScheduler, kIdleLink, aYield);
    if (!isChanged && aLink->mQueue.empty() && aLink->mCalls.empty()) {
      return;
    }
  }
}

void
websocket_peer_channel::EndLink(const link_pointer& aLink)
{
  // After frames went out nobody can tell whether they were handled.
  const auto error = aLink->mIsOpen ? errc::PeerTimeout : errc::PeerUnreachable;
  for (const auto& [id, call] : aLink->mCalls) {
    call->mReply = Fail(error);
    call->mAnswered.Set();
  }
  mTransport->Close(aLink->mConnection);
  mLinkByConnection.erase(aLink->mConnection);
  const auto found = mLinks.find(aLink->mName);
  if (found != mLinks.end() && found->second == aLink) {
    mLinks.erase(found);
  }
}

void
websocket_peer_channel::CloseIdlestLink()
{
  const auto idlest = std::min_element(
    mLinks.begin(), mLinks.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second->mLastUse < aRight.second->mLastUse;
    });
  if (idlest != mLinks.end()) {
    const auto link = idlest->second;
    mLinks.erase(idlest);
    link->mIsClosed = true;
    link->mChanged.Set();
  }
}

void
websocket_peer_channel::CloseIfSilent(const link_pointer& aLink,
                                      steady_time aSince)
{
  const auto found = mLinks.find(aLink->mName);
  const auto answered = std::max(aLink->mLastReply, aLink->mOpenedAt);
  const bool isSilent =
    answered < aSince && mScheduler.Now() - answered >= kLinkSilence;
  if (!isSilent || found == mLinks.end() || found->second != aLink) {
    return;
  }
  mLinks.erase(found);
  aLink->mIsClosed = true;
  aLink->mChanged.Set();
}

void
websocket_peer_channel::OnOpened(connection_id aConnection)
{
  const auto found = mLinkByConnection.find(aConnection);
  if (found != mLinkByConnection.end()) {
    found->second->mIsOpen = true;
    found->second->mOpenedAt = mScheduler.Now();
    found->second->mChanged.Set();
  }
}

void
websocket_peer_channel::OnClosed(connection_id aConnection)
{
  const auto found = mLinkByConnection.find(aConnection);
  if (found != mLinkByConnection.end()) {
    found->second->mIsClosed = true;
    found->second->mChanged.Set();
  }
}

void
websocket_peer_channel::OnMessage(connection_id aConnection,
                                  std::string_view aBytes)
{
  auto frame = DecodeFrame(aBytes, mOptions.mSecret);
  if (!frame) {
    mMetrics.Counter("cowslipline_peer_frames_rejected_total").Add();
    mTransport->Close(aConnection);
    return;
  }
  if (!IsFromCurrentBoot(*frame)) {
    mMetrics.Counter("cowslipline_peer_frames_from_old_boot_total").Add();
    return;
  }
  if (mHeard) {
    mHeard(frame->mFrom, frame->mBoot);
  }
  const bool isAnswer =
    frame->mKind == frame_kind::Reply || frame->mKind == frame_kind::Rejection;
  if (isAnswer) {
    OnReply(aConnection, std::move(*frame));
  } else {
    OnRequest(aConnection, std::move(*frame));
  }
}

bool
websocket_peer_channel::IsFromCurrentBoot(const peer_frame& aFrame)
{
  auto& newest = mNewestBoot[aFrame.mFrom];
  if (aFrame.mBoot < newest || aFrame.mFrom == mOptions.mName) {
    return false;
  }
  newest = aFrame.mBoot;
  return true;
}

void
websocket_peer_channel::OnRequest(connection_id aConnection, peer_frame aFrame)
{
  mScheduler.Spawn(
    [this, aConnection, frame = std::move(aFrame)](yield_context aYield) {
      const auto handler = mHandlers.find(frame.mService);
      const auto answer =
        handler == mHandlers.end()
          ? result<std::string>(Fail(errc::PeerRejected))
          : handler->second(frame.mFrom, frame.mPayload, aYield);
      if (frame.mKind != frame_kind::Request || mIsStopped) {
        return;
      }
      auto reply =
        NewFrame(answer ? frame_kind::Reply : frame_kind::Rejection, "");
      reply.mId = frame.mId;
      reply.mPayload = answer.value_or("");
      mTransport->SendBytes(aConnection, Encode(reply));
    });
}

void
websocket_peer_channel::OnReply(connection_id aConnection, peer_frame aFrame)
{
  const auto link = mLinkByConnection.find(aConnection);
  if (link == mLinkByConnection.end()) {
    return;
  }
  link->second->mLastReply = mScheduler.Now();
  const auto call = link->second->mCalls.find(aFrame.mId);
  if (call == link->second->mCalls.end()) {
    return;
  }
  if (aFrame.mKind == frame_kind::Reply) {
    call->second->mReply = std::move(aFrame.mPayload);
  } else {
    call->second->mReply = Fail(errc::PeerRejected);
  }
  call->second->mAnswered.Set();
}

void
websocket_peer_channel::Stop()
{
  mIsStopped = true;
  for (const auto& [name, link] : mLinks) {
    link->mChanged.Set();
  }
  mTransport->Stop();
}

} // namespace cowslipline
