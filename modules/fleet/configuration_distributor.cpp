#include "modules/fleet/configuration_distributor.h"

#include "core/check.h"
#include "core/log.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr char kHeadService[] = "config.head";
constexpr char kChunkService[] = "config.chunk";

constexpr std::size_t kWatchers = 3;
constexpr std::size_t kPeersAskedAtStart = 3;
constexpr std::size_t kPeersNeededAtStart = 2;
constexpr duration kWatchWait = std::chrono::seconds(5);
constexpr duration kStorePause = std::chrono::milliseconds(500);
constexpr duration kRolePoll = std::chrono::seconds(1);
constexpr duration kPeerTimeout = std::chrono::seconds(1);
// A head is small; one lost message must not cost much of the 3 s within which
// a revoked key stops.
constexpr duration kHeadTimeout = std::chrono::milliseconds(300);
constexpr int kFetchAttempts = 3;
constexpr duration kStartRetry = std::chrono::milliseconds(500);

// When no watcher has confirmed the version for this long, others try the
// store themselves, so seldom that the fleet stays near 4 reads a second.
constexpr duration kFallbackAge = std::chrono::seconds(12);
constexpr std::int64_t kFallbackReadsPerSecond = 4;

constexpr duration kLoneLimit = std::chrono::seconds(10);
constexpr duration kMinorityLimit = std::chrono::seconds(30);

// The longest outage of the store through which guarded routes are served.
constexpr duration kOutageLimit = std::chrono::hours(12);

} // namespace

configuration_distributor::configuration_distributor(
  scheduler& aScheduler,
  metrics& aMetrics,
  std::shared_ptr<key_value_store> aStore,
  std::shared_ptr<peer_channel> aChannel,
  std::shared_ptr<membership_service> aMembership,
  std::shared_ptr<configuration_codec> aCodec,
  std::uint64_t aRandomSeed)
  : mScheduler(aScheduler)
  , mMetrics(aMetrics)
  , mStore(std::move(aStore))
  , mChannel(std::move(aChannel))
  , mMembership(std::move(aMembership))
  , mCodec(std::move(aCodec))
  , mRandom(aRandomSeed)
  , mSnapshot(std::make_shared<const snapshot>())
  , mNextFallbackRead(aScheduler.Now())
{
}

snapshot_pointer
configuration_distributor::Current() const
{
  const std::lock_guard<std::mutex> lock(mSnapshotMutex);
  return mSnapshot;
}

void
configuration_distributor::Start()
{
  RegisterHandlers();
  const auto self = shared_from_this();
  mMembership->SetExtra(
    [weak = weak_from_this()]() -> digest_extra {
      const auto locked = weak.lock();
      if (!locked) {
        return {};
      }
      return { locked->Current()->mVersion, locked->ConfirmationAge() };
    },
    [weak = weak_from_this()](const instance_name& aFrom,
                              const digest_extra& aExtra) {
      if (const auto locked = weak.lock()) {
        locked->OnDigest(aFrom, aExtra);
      }
    });
  mScheduler.Spawn([self](yield_context aYield) { self->RunStart(aYield); });
  mScheduler.Spawn([self](yield_context aYield) { self->RunWatch(aYield); });
}

void
configuration_distributor::RegisterHandlers()
{
  const auto weak = weak_from_this();
  mChannel->Handle(kHeadService,
                   [weak](const instance_name&,
                          std::string_view,
                          yield_context) -> result<std::string> {
                     const auto self = weak.lock();
                     if (!self || self->mHead.empty()) {
                       return Fail(errc::NotReady);
                     }
                     return self->mHead;
                   });
  mChannel->Handle(kChunkService,
                   [weak](const instance_name&,
                          std::string_view aPayload,
                          yield_context) -> result<std::string> {
                     const auto self = weak.lock();
                     if (!self) {
                       return Fail(errc::NotReady);
                     }
                     const auto found =
                       self->mChunks.find(std::string(aPayload));
                     if (found == self->mChunks.end()) {
                       return Fail(errc::NotFound);
                     }
                     return found->second;
                   });
}

void
configuration_distributor::RunStart(yield_context aYield)
{
  while (!mIsStopped && !mIsConfirmed) {
    ReadStore(aYield);
    if (mIsConfirmed) {
      return;
    }
    const auto answers = AskPeers(aYield);
    const auto others = mMembership->LiveMembers().size() - 1;
    const auto needed = std::min(kPeersNeededAtStart, others);
    // A version from peers alone needs two of them, since one may lag.
    if (needed > 0 && answers >= needed && Current()->mVersion > 0) {
      mIsConfirmed = true;
      return;
    }
    mScheduler.SleepFor(kStartRetry, aYield);
  }
}

std::size_t
configuration_distributor::AskPeers(yield_context aYield)
{
  std::size_t answers = 0;
  auto peers = mMembership->LiveMembers();
  for (std::size_t asked = 0; asked < kPeersAskedAtStart && !peers.empty();) {
    const auto index = mRandom.Below(peers.size());
    const auto peer = peers[index];
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
    if (peer.mName == mMembership->Self().mName) {
      continue;
    }
    ++asked;
    const auto head =
      mChannel->Call(peer.mName, kHeadService, "", kPeerTimeout, aYield);
    if (head && Adopt(*head, peer.mName, aYield)) {
      ++answers;
    }
  }
  return answers;
}

void
configuration_distributor::RunWatch(yield_context aYield)
{
  while (!mIsStopped) {
    if (IsWatcher()) {
      WatchOnce(aYield);
      continue;
    }
    const auto age = ConfirmationAge();
    const bool isStale = !age || *age > kFallbackAge;
    if (isStale && mScheduler.Now() >= mNextFallbackRead) {
      ReadStore(aYield);
      const auto live =
        static_cast<std::int64_t>(mMembership->LiveMembers().size());
      const auto longest =
        std::chrono::seconds(2) +
        std::chrono::seconds(2 * live / kFallbackReadsPerSecond);
      mNextFallbackRead =
        mScheduler.Now() +
        duration(static_cast<std::int64_t>(mRandom.Below(
          static_cast<std::uint64_t>(duration(longest).count()))));
    }
    mScheduler.SleepFor(kRolePoll, aYield);
  }
}

void
configuration_distributor::WatchOnce(yield_context aYield)
{
  const auto changed =
    mStore->Watch(kConfigurationHeadKey, mStoreVersion, kWatchWait, aYield);
  if (!changed) {
    mMetrics.Counter("cowslipline_store_watch_failures_total").Add();
    mScheduler.SleepFor(kStorePause, aYield);
    return;
  }
  mMembership->NoteStoreContact();
  if (!*changed) {
    NoteConfirmation(duration(0));
    return;
  }
  if (Adopt((*changed)->mValue, std::nullopt, aYield)) {
    mStoreVersion = (*changed)->mVersion;
    mIsConfirmed = true;
    NoteConfirmation(duration(0));
  } else {
    mScheduler.SleepFor(kStorePause, aYield);
  }
}

void
configuration_distributor::ReadStore(yield_context aYield)
{
  const auto head = mStore->Read(kConfigurationHeadKey, aYield);
  if (!head) {
    return;
  }
  mMembership->NoteStoreContact();
  if (!*head) {
    return;
  }
  if (Adopt((*head)->mValue, std::nullopt, aYield)) {
    mStoreVersion = std::max(mStoreVersion, (*head)->mVersion);
    mIsConfirmed = true;
    NoteConfirmation(duration(0));
  }
}

bool
configuration_distributor::IsWatcher() const
{
  return HasRole(mMembership->LiveMembers(),
                 mMembership->Self().mName,
                 "config-watch",
                 kWatchers);
}

std::optional<duration>
configuration_distributor::ConfirmationAge() const
{
  if (!mConfirmedAt) {
    return std::nullopt;
  }
  return mScheduler.Now() - *mConfirmedAt;
}

void
configuration_distributor::NoteConfirmation(duration aAge)
{
  const auto at = mScheduler.Now() - aAge;
  mConfirmedAt = std::max(mConfirmedAt.value_or(at), at);
}

configuration_state
configuration_distributor::State() const
{
  if (!mIsConfirmed) {
    return configuration_state::Starting;
  }
  const auto now = mScheduler.Now();
  if (now - mMembership->LastContact() > kLoneLimit) {
    return configuration_state::Isolated;
  }
  const auto age = ConfirmationAge().value_or(kOutageLimit);
  const bool isMinority =
    2 * mMembership->LiveMembers().size() < mMembership->KnownCount();
  const bool isStale =
    age > kOutageLimit || (age > kMinorityLimit && isMinority);
  return isStale ? configuration_state::Isolated : configuration_state::Current;
}

void
configuration_distributor::OnDigest(const instance_name& aFrom,
                                    const digest_extra& aExtra)
{
  // A confirmation counts only for the version that it confirmed.
  const bool isSameOrOlder =
    aExtra.mConfigurationVersion <= Current()->mVersion;
  if (aExtra.mConfirmationAge && isSameOrOlder &&
      aExtra.mConfigurationVersion == Current()->mVersion) {
    NoteConfirmation(*aExtra.mConfirmationAge);
  }
  if (isSameOrOlder || mIsFetching) {
    return;
  }
  mIsFetching = true;
  mScheduler.Spawn(
    [self = shared_from_this(), peer = aFrom](yield_context aYield) {
      self->FetchFromPeer(peer, aYield);
      self->mIsFetching = false;
    });
}

void
configuration_distributor::FetchFromPeer(const instance_name& aPeer,
                                         yield_context aYield)
{
  for (int attempt = 0; attempt < kFetchAttempts && !mIsStopped; ++attempt) {
    const auto head =
      mChannel->Call(aPeer, kHeadService, "", kHeadTimeout, aYield);
    if (head && Adopt(*head, aPeer, aYield)) {
      return;
    }
    mMetrics.Counter("cowslipline_configuration_fetch_failures_total").Add();
  }
}

result<void>
configuration_distributor::Adopt(const std::string& aHead,
                                 const std::optional<instance_name>& aPeer,
                                 yield_context aYield)
{
  const auto summary = mCodec->ReadHead(aHead);
  COWSLIPLINE_PROPAGATE(summary);
  if (summary->mVersion <= Current()->mVersion) {
    return {};
  }
  named_chunks chunks;
  for (const auto& name : summary->mChunkNames) {
    const auto known = mChunks.find(name);
    if (known != mChunks.end()) {
      chunks.insert(*known);
      continue;
    }
    auto content = FetchChunk(name, aPeer, aYield);
    COWSLIPLINE_PROPAGATE(content);
    chunks.emplace(name, std::move(*content));
  }
  auto decoded = mCodec->Decode(aHead, chunks, aYield);
  COWSLIPLINE_PROPAGATE(decoded);
  // Another task may have put a newer version in force meanwhile.
  if ((*decoded)->mVersion > Current()->mVersion) {
    PutInForce(std::move(*decoded), aHead, std::move(chunks));
  }
  return {};
}

result<std::string>
configuration_distributor::FetchChunk(const std::string& aName,
                                      const std::optional<instance_name>& aPeer,
                                      yield_context aYield)
{
  if (aPeer) {
    auto content =
      mChannel->Call(*aPeer, kChunkService, aName, kPeerTimeout, aYield);
    if (content && mCodec->IsChunkIntact(aName, *content)) {
      return content;
    }
  }
  const auto stored = mStore->Read(mCodec->ChunkKey(aName), aYield);
  COWSLIPLINE_PROPAGATE(stored);
  if (!*stored || !mCodec->IsChunkIntact(aName, (*stored)->mValue)) {
    return Fail(errc::NotFound);
  }
  return (*stored)->mValue;
}

void
configuration_distributor::PutInForce(snapshot_pointer aSnapshot,
                                      const std::string& aHead,
                                      named_chunks aChunks)
{
  const auto version = aSnapshot->mVersion;
  COWSLIPLINE_INVARIANT(version > Current()->mVersion,
                        "configuration version went back");
  {
    const std::lock_guard<std::mutex> lock(mSnapshotMutex);
    mSnapshot = std::move(aSnapshot);
  }
  mHead = aHead;
  mChunks = std::move(aChunks);
  mMetrics.Counter("cowslipline_configuration_changes_total").Add();
  Log(log_level::Info,
      "configuration_in_force",
      { { "version", std::to_string(version) } });
  mMembership->Announce();
}

} // namespace cowslipline
