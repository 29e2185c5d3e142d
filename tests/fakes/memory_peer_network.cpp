#include "tests/fakes/memory_peer_network.h"

#include <optional>

namespace cowslipline::testing {

namespace {

constexpr duration kLongestPause = std::chrono::hours(1);

/// Bytes of a frame around its payload: headers, names, tag.
constexpr std::size_t kFrameOverheadBytes = 64;

struct call_state
{
  event mAnswered;
  std::optional<result<std::string>> mReply;
};

} // namespace

class memory_peer_channel final
  : public peer_channel
  , public std::enable_shared_from_this<memory_peer_channel>
{
public:
  memory_peer_channel(memory_peer_network& aNetwork, instance_name aName)
    : mNetwork(aNetwork)
    , mName(std::move(aName))
  {
  }

  void Send(const instance_name& aTo,
            std::string_view aService,
            std::string aPayload) override
  {
    mNetwork.mScheduler.Spawn(
      [&network = mNetwork,
       from = mName,
       to = aTo,
       service = std::string(aService),
       payload = std::move(aPayload)](yield_context aYield) {
        network.WaitWhilePaused(from, aYield);
        if (!network.Carry(from, to, payload.size(), aYield)) {
          return;
        }
        const auto channel = network.mChannels.find(to);
        if (channel != network.mChannels.end()) {
          (void)channel->second->Run(from, service, payload, aYield);
        }
      });
  }

  result<std::string> Call(const instance_name& aTo,
                           std::string_view aService,
                           std::string aPayload,
                           duration aTimeout,
                           yield_context aYield) override
  {
    auto& clock = mNetwork.mScheduler;
    const auto end = clock.Now() + aTimeout;
    const auto state = std::make_shared<call_state>();
    clock.Spawn([&network = mNetwork,
                 from = mName,
                 to = aTo,
                 service = std::string(aService),
                 payload = std::move(aPayload),
                 state](yield_context aTaskYield) {
      network.WaitWhilePaused(from, aTaskYield);
      if (!network.Carry(from, to, payload.size(), aTaskYield)) {
        return;
      }
      const auto channel = network.mChannels.find(to);
      if (channel == network.mChannels.end()) {
        state->mReply = Fail(errc::PeerUnreachable);
        state->mAnswered.Set();
        return;
      }
      auto reply = channel->second->Run(from, service, payload, aTaskYield);
      network.WaitWhilePaused(to, aTaskYield);
      if (network.Carry(to, from, reply ? reply->size() : 0, aTaskYield)) {
        network.WaitWhilePaused(from, aTaskYield);
        state->mReply = std::move(reply);
        state->mAnswered.Set();
      }
    });
    while (!state->mReply) {
      if (!state->mAnswered.Wait(clock, end - clock.Now(), aYield)) {
        return Fail(errc::PeerTimeout);
      }
    }
    return *state->mReply;
  }

  void Handle(std::string aService, peer_handler aHandler) override
  {
    mHandlers[std::move(aService)] = std::move(aHandler);
  }

private:
  result<std::string> Run(const instance_name& aFrom,
                          const std::string& aService,
                          std::string_view aPayload,
                          yield_context aYield)
  {
    const auto self = shared_from_this();
    const auto handler = mHandlers.find(aService);
    if (handler == mHandlers.end()) {
      return Fail(errc::PeerRejected);
    }
    return handler->second(aFrom, aPayload, aYield);
  }

  memory_peer_network& mNetwork;
  instance_name mName;
  std::map<std::string, peer_handler> mHandlers;
};

memory_peer_network::memory_peer_network(scheduler& aScheduler,
                                         std::uint64_t aSeed)
  : mScheduler(aScheduler)
  , mRandom(aSeed)
{
}

std::shared_ptr<peer_channel>
memory_peer_network::Join(const instance_name& aName)
{
  auto channel = std::make_shared<memory_peer_channel>(*this, aName);
  mChannels[aName] = channel;
  return channel;
}

void
memory_peer_network::Leave(const instance_name& aName)
{
  mChannels.erase(aName);
}

void
memory_peer_network::SetCut(const instance_name& aFrom,
                            const instance_name& aTo,
                            bool aIsCut)
{
  if (aIsCut) {
    mCuts.emplace(aFrom, aTo);
  } else {
    mCuts.erase({ aFrom, aTo });
  }
}

void
memory_peer_network::SetPaused(const instance_name& aName, bool aIsPaused)
{
  if (aIsPaused) {
    mPaused.insert(aName);
  } else {
    mPaused.erase(aName);
    mResumed.Set();
  }
}

link_counts
memory_peer_network::SentBy(const instance_name& aName) const
{
  const auto found = mSent.find(aName);
  return found == mSent.end() ? link_counts{} : found->second;
}

bool
memory_peer_network::Carry(const instance_name& aFrom,
                           const instance_name& aTo,
                           std::size_t aBytes,
                           yield_context aYield)
{
  auto& sent = mSent[aFrom];
  ++sent.mMessages;
  sent.mPayloadBytes += aBytes + kFrameOverheadBytes;
  const bool isLost = mLoss > 0 && mRandom.Unit() < mLoss;
  mScheduler.SleepFor(mLatency, aYield);
  if (isLost || mCuts.count({ aFrom, aTo }) > 0 ||
      mChannels.count(aFrom) == 0) {
    return false;
  }
  WaitWhilePaused(aTo, aYield);
  return true;
}

void
memory_peer_network::WaitWhilePaused(const instance_name& aName,
                                     yield_context aYield)
{
  while (mPaused.count(aName) > 0) {
    mResumed.Wait(mScheduler, kLongestPause, aYield);
  }
}

instance_name
fixed_membership::OwnerOf(shard_index aShard) const
{
  return OwnerAmong(mLive, aShard);
}

std::optional<steady_time>
fixed_membership::LastHeard(const instance_name& aName) const
{
  const auto found = mLastHeard.find(aName);
  return found == mLastHeard.end() ? std::nullopt
                                   : std::optional(found->second);
}

std::optional<steady_time>
fixed_membership::AbsentSince(const instance_name& aName) const
{
  const auto found = mAbsentSince.find(aName);
  return found == mAbsentSince.end() ? std::nullopt
                                     : std::optional(found->second);
}

} // namespace cowslipline::testing
