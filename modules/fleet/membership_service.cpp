#include "modules/fleet/membership_service.h"

#include "core/check.h"

#include <algorithm>
#include <tuple>

namespace cowslipline {

namespace {

constexpr char kDigestService[] = "fleet.digest";
constexpr char kDescribeService[] = "fleet.describe";
constexpr char kPingService[] = "fleet.ping";
constexpr duration kDigestPeriod = std::chrono::seconds(1);
constexpr duration kDescribeTimeout = std::chrono::seconds(1);
constexpr std::size_t kDigestPeers = 3;
constexpr std::size_t kAnnouncePeers = 4;

// A leaving instance has a few seconds to tell everybody.
constexpr std::size_t kLeavingPeers = 16;

// 12 entries of about 20 bytes for 3 peers a second stay near 1 KB/s.
constexpr std::size_t kDigestEntries = 12;

// A member whose news is overdue by this factor of its usual gap is asked
// directly before it is left out. The gap grows with the fleet for members
// that are heard of only through others.
constexpr int kSuspectGaps = 3;
constexpr duration kShortestSuspicion = std::chrono::seconds(2);
constexpr duration kLongestSuspicion = std::chrono::minutes(5);

// Two pings fit between suspicion and leaving out.
constexpr duration kPingTime = std::chrono::seconds(2);
constexpr duration kPingTimeout = std::chrono::milliseconds(700);
constexpr std::size_t kPingsPerRound = 4;

// A frame and the heartbeat in it are one piece of news.
constexpr duration kSameNews = std::chrono::milliseconds(10);

// Owners are looked up for each request; the live set is computed this often.
constexpr duration kLiveCache = std::chrono::milliseconds(50);

// An instance that is gone from the platform's list and silent is forgotten.
constexpr duration kForgetAbsent = std::chrono::seconds(60);
constexpr duration kForgetSilent = std::chrono::hours(12);

// The weight of the newest gap is one eighth.
constexpr int kGapSmoothing = 8;

} // namespace

membership_service::membership_service(scheduler& aScheduler,
                                       metrics& aMetrics,
                                       std::shared_ptr<peer_channel> aChannel,
                                       membership_options aOptions)
  : mScheduler(aScheduler)
  , mMetrics(aMetrics)
  , mChannel(std::move(aChannel))
  , mOptions(std::move(aOptions))
  , mRandom(mOptions.mRandomSeed)
  , mLastContact(aScheduler.Now())
{
  mNameByHash[MemberHash(mOptions.mSelf.mName)] = mOptions.mSelf.mName;
}

void
membership_service::Start()
{
  for (const auto& seed : mOptions.mSeeds) {
    // A seed's real name is learnt from its frames.
    mSeedNames.push_back("seed/" + seed.mAddress + ":" +
                         std::to_string(seed.mPort));
    TellAddress(mSeedNames.back(), seed);
  }
  const std::weak_ptr<membership_service> weak = weak_from_this();
  mChannel->Handle(kDigestService,
                   [weak](const instance_name& aFrom,
                          std::string_view aPayload,
                          yield_context aYield) -> result<std::string> {
                     const auto self = weak.lock();
                     if (!self) {
                       return Fail(errc::NotReady);
                     }
                     return self->OnDigest(aFrom, aPayload, aYield);
                   });
  mChannel->Handle(kDescribeService,
                   [weak](const instance_name&,
                          std::string_view aPayload,
                          yield_context) -> result<std::string> {
                     const auto self = weak.lock();
                     return self ? self->OnDescribe(aPayload)
                                 : Fail(errc::NotReady);
                   });
  mChannel->Handle(kPingService,
                   [](const instance_name&, std::string_view, yield_context)
                     -> result<std::string> { return std::string(); });
  mScheduler.Spawn([self = shared_from_this()](yield_context aYield) {
    self->RunDigests(aYield);
  });
}

void
membership_service::SetExtra(extra_source aSource, extra_sink aSink)
{
  mExtraSource = std::move(aSource);
  mExtraSink = std::move(aSink);
}

void
membership_service::RunDigests(yield_context aYield)
{
  while (!mIsStopped) {
    ++mHeartbeat;
    const bool isLeaving = mOptions.mSelf.mState == instance_state::Leaving;
    for (const auto& peer :
         ChoosePeers(isLeaving ? kLeavingPeers : kDigestPeers)) {
      SendDigest(peer);
    }
    PingSuspects();
    ForgetGone();
    mMetrics.Counter("cowslipline_digest_rounds_total").Add();
    mScheduler.SleepFor(kDigestPeriod, aYield);
  }
}

void
membership_service::Announce()
{
  for (const auto& peer : ChoosePeers(kAnnouncePeers)) {
    SendDigest(peer);
  }
}

void
membership_service::SetLeaving()
{
  mOptions.mSelf.mState = instance_state::Leaving;
  ++mHeartbeat;
  Announce();
}

std::vector<instance_name>
membership_service::ChoosePeers(std::size_t aCount)
{
  std::vector<instance_name> alive;
  std::vector<instance_name> silent;
  for (const auto& [name, entry] : mEntries) {
    (IsAlive(entry) ? alive : silent).push_back(name);
  }
  std::vector<instance_name> chosen;
  // The next member on the ring of names is always among the peers, so that
  // nobody depends on chance alone to be heard.
  const auto next =
    std::upper_bound(alive.begin(), alive.end(), mOptions.mSelf.mName);
  if (alive.empty()) {
    chosen = mSeedNames;
  } else {
    chosen.push_back(next == alive.end() ? alive.front() : *next);
  }
  while (chosen.size() < std::min(aCount, alive.size())) {
    const auto& candidate = alive[mRandom.Below(alive.size())];
    if (std::find(chosen.begin(), chosen.end(), candidate) == chosen.end()) {
      chosen.push_back(candidate);
    }
  }
  // A silent member may be back, or the silence may be one-way.
  const bool isProbeDue = !silent.empty() && mRandom.Below(4) == 0;
  if (isProbeDue || (alive.empty() && !silent.empty())) {
    chosen.push_back(silent[mRandom.Below(silent.size())]);
  }
  return chosen;
}

std::vector<membership_service::entry*>
membership_service::ChooseNews()
{
  std::vector<entry*> entries;
  for (auto& [name, entry] : mEntries) {
    if (entry.mHeardAt) {
      entries.push_back(&entry);
    }
  }
  const auto count = std::min(entries.size(), kDigestEntries);
  std::partial_sort(entries.begin(),
                    entries.begin() + static_cast<std::ptrdiff_t>(count),
                    entries.end(),
                    [](const entry* aLeft, const entry* aRight) {
                      // News that went out least often is spread first, so
                      // that no member's news is always pushed aside.
                      return std::tuple(aLeft->mSentCount, aRight->mChangedAt) <
                             std::tuple(aRight->mSentCount, aLeft->mChangedAt);
                    });
  entries.resize(count);
  return entries;
}

digest_message
membership_service::MakeDigest()
{
  const auto& self = mOptions.mSelf;
  digest_message message;
  message.mRows.push_back(
    { MemberHash(self.mName), self.mBoot, mHeartbeat, self.mState });
  for (auto* entry : ChooseNews()) {
    ++entry->mSentCount;
    const auto& member = entry->mMember;
    message.mRows.push_back({ MemberHash(member.mName),
                              member.mBoot,
                              entry->mHeartbeat,
                              member.mState });
  }
  message.mSenderAddress = mOptions.mAddress;
  message.mSenderZone = self.mAvailabilityZone;
  if (mExtraSource) {
    message.mExtra = mExtraSource();
  }
  return message;
}

void
membership_service::SendDigest(const instance_name& aTo)
{
  mChannel->Send(aTo, kDigestService, EncodeDigest(MakeDigest()));
}

result<std::string>
membership_service::OnDigest(const instance_name& aFrom,
                             std::string_view aPayload,
                             yield_context aYield)
{
  const auto digest = DecodeDigest(aPayload);
  COWSLIPLINE_PROPAGATE(digest);
  mLastContact = mScheduler.Now();
  if (ApplySender(aFrom, *digest)) {
    SendDigest(aFrom);
  }
  std::vector<std::uint32_t> unknown;
  for (const auto& row : digest->mRows) {
    const auto name = mNameByHash.find(row.mNameHash);
    if (name == mNameByHash.end()) {
      unknown.push_back(row.mNameHash);
    } else if (name->second != mOptions.mSelf.mName) {
      ApplyHeartbeat(EntryOf(name->second), row);
    }
  }
  if (!unknown.empty()) {
    Describe(aFrom, unknown, aYield);
  }
  if (mExtraSink) {
    mExtraSink(aFrom, digest->mExtra);
  }
  return std::string();
}

bool
membership_service::ApplySender(const instance_name& aFrom,
                                const digest_message& aDigest)
{
  auto& entry = EntryOf(aFrom);
  const auto& address = aDigest.mSenderAddress;
  const bool isNew = entry.mAddress.mAddress != address.mAddress ||
                     entry.mAddress.mPort != address.mPort;
  entry.mMember.mAvailabilityZone = aDigest.mSenderZone;
  if (isNew) {
    entry.mAddress = address;
    TellAddress(aFrom, address);
  }
  return isNew;
}

void
membership_service::TellAddress(const instance_name& aName,
                                const peer_address& aAddress) const
{
  if (mAddressSink) {
    mAddressSink(aName, aAddress);
  }
}

result<std::string>
membership_service::OnDescribe(std::string_view aPayload) const
{
  const auto wanted = DecodeHashes(aPayload);
  COWSLIPLINE_PROPAGATE(wanted);
  std::vector<member_description> members;
  const auto add = [&members](const member& aMember,
                              const peer_address& aAddress) {
    members.push_back(
      { aMember.mName, aAddress, aMember.mAvailabilityZone, aMember.mBoot });
  };
  for (const auto hash : *wanted) {
    const auto name = mNameByHash.find(hash);
    if (name == mNameByHash.end()) {
      continue;
    }
    const auto found = mEntries.find(name->second);
    if (name->second == mOptions.mSelf.mName) {
      add(mOptions.mSelf, mOptions.mAddress);
    } else if (found != mEntries.end()) {
      add(found->second.mMember, found->second.mAddress);
    }
  }
  return EncodeDescriptions(members);
}

void
membership_service::Describe(const instance_name& aFrom,
                             const std::vector<std::uint32_t>& aUnknown,
                             yield_context aYield)
{
  const auto reply = mChannel->Call(
    aFrom, kDescribeService, EncodeHashes(aUnknown), kDescribeTimeout, aYield);
  const auto members = reply ? DecodeDescriptions(*reply) : Fail(reply.error());
  if (!members) {
    return;
  }
  for (const auto& described : *members) {
    ApplyDescription(described);
  }
}

void
membership_service::ApplyDescription(const member_description& aDescription)
{
  const auto& name = aDescription.mName;
  if (name == mOptions.mSelf.mName) {
    return;
  }
  auto& entry = EntryOf(name);
  if (aDescription.mBoot < entry.mMember.mBoot) {
    return;
  }
  entry.mAddress = aDescription.mAddress;
  entry.mMember.mAvailabilityZone = aDescription.mAvailabilityZone;
  TellAddress(name, entry.mAddress);
}

membership_service::entry&
membership_service::EntryOf(const instance_name& aName)
{
  auto& entry = mEntries[aName];
  if (entry.mMember.mName.empty()) {
    entry.mMember.mName = aName;
    entry.mChangedAt = mScheduler.Now();
    mNameByHash[MemberHash(aName)] = aName;
  }
  return entry;
}

void
membership_service::ApplyHeartbeat(entry& aEntry, const heartbeat_row& aRow)
{
  auto& member = aEntry.mMember;
  const bool isNewBoot = aRow.mBoot > member.mBoot;
  const bool isNewer =
    aRow.mBoot == member.mBoot && aRow.mHeartbeat > aEntry.mHeartbeat;
  if (!isNewBoot && !isNewer) {
    return;
  }
  if (isNewBoot) {
    aEntry.mNewsGap = kDigestPeriod;
  }
  // Within one boot an instance never goes back from leaving to live.
  if (isNewBoot || aRow.mState == instance_state::Leaving) {
    member.mState = aRow.mState;
  }
  member.mBoot = aRow.mBoot;
  aEntry.mHeartbeat = aRow.mHeartbeat;
  NoteNews(aEntry);
}

void
membership_service::NoteNews(entry& aEntry)
{
  const auto now = mScheduler.Now();
  const auto gap =
    std::min(now - aEntry.mHeardAt.value_or(now), kLongestSuspicion);
  if (gap > kSameNews) {
    aEntry.mNewsGap += (gap - aEntry.mNewsGap) / kGapSmoothing;
  }
  aEntry.mHeardAt = now;
  aEntry.mChangedAt = now;
  aEntry.mSentCount = 0;
}

void
membership_service::NoteHeard(const instance_name& aFrom, std::uint64_t aBoot)
{
  mLastContact = mScheduler.Now();
  auto& entry = EntryOf(aFrom);
  if (aBoot > entry.mMember.mBoot) {
    entry.mMember.mBoot = aBoot;
    entry.mMember.mState = instance_state::Live;
    entry.mHeartbeat = 0;
    entry.mNewsGap = kDigestPeriod;
  }
  if (aBoot == entry.mMember.mBoot) {
    NoteNews(entry);
  }
}

void
membership_service::ApplyList(const std::vector<listed_instance>& aList)
{
  const auto now = mScheduler.Now();
  for (const auto& listed : aList) {
    if (listed.mName == mOptions.mSelf.mName) {
      continue;
    }
    auto& entry = EntryOf(listed.mName);
    entry.mIsListed = true;
    entry.mAbsentSince.reset();
    // Peers tell addresses sooner than the list, which lags.
    if (!entry.mHeardAt || !IsAlive(entry)) {
      entry.mAddress = { listed.mAddress, listed.mPort };
      entry.mMember.mAvailabilityZone = listed.mAvailabilityZone;
      TellAddress(listed.mName, entry.mAddress);
    }
  }
  for (auto& pair : mEntries) {
    const auto& name = pair.first;
    auto& entry = pair.second;
    const bool isListed =
      std::any_of(aList.begin(), aList.end(), [&name](const auto& aListed) {
        return aListed.mName == name;
      });
    if (!isListed && entry.mIsListed) {
      entry.mIsListed = false;
      entry.mAbsentSince = now;
    }
  }
}

bool
membership_service::IsAlive(const entry& aEntry) const
{
  if (!aEntry.mHeardAt || aEntry.mMember.mState == instance_state::Leaving) {
    return false;
  }
  return mScheduler.Now() - *aEntry.mHeardAt < SuspicionOf(aEntry) + kPingTime;
}

duration
membership_service::SuspicionOf(const entry& aEntry)
{
  return std::clamp(
    aEntry.mNewsGap * kSuspectGaps, kShortestSuspicion, kLongestSuspicion);
}

void
membership_service::PingSuspects()
{
  const auto now = mScheduler.Now();
  std::vector<std::pair<steady_time, instance_name>> suspects;
  for (const auto& [name, entry] : mEntries) {
    const bool isSuspect =
      IsAlive(entry) && now - *entry.mHeardAt >= SuspicionOf(entry);
    if (isSuspect) {
      suspects.emplace_back(*entry.mHeardAt, name);
    }
  }
  std::sort(suspects.begin(), suspects.end());
  suspects.resize(std::min(suspects.size(), kPingsPerRound));
  for (const auto& suspect : suspects) {
    mScheduler.Spawn(
      [self = shared_from_this(), peer = suspect.second](yield_context aYield) {
        const auto reply =
          self->mChannel->Call(peer, kPingService, "", kPingTimeout, aYield);
        const auto found = self->mEntries.find(peer);
        if (reply && found != self->mEntries.end()) {
          self->NoteNews(found->second);
        }
      });
  }
}

std::vector<member>
membership_service::LiveMembers() const
{
  const auto now = mScheduler.Now();
  if (now < mLiveUntil) {
    return mLive;
  }
  mLiveUntil = now + kLiveCache;
  mLive = ComputeLive();
  return mLive;
}

std::vector<member>
membership_service::ComputeLive() const
{
  std::vector<member> members;
  if (mOptions.mSelf.mState == instance_state::Live) {
    members.push_back(mOptions.mSelf);
  }
  for (const auto& [name, entry] : mEntries) {
    if (IsAlive(entry)) {
      members.push_back(entry.mMember);
    }
  }
  std::sort(members.begin(),
            members.end(),
            [](const member& aLeft, const member& aRight) {
              return aLeft.mName < aRight.mName;
            });
  return members;
}

instance_name
membership_service::OwnerOf(shard_index aShard) const
{
  return OwnerAmong(LiveMembers(), aShard);
}

std::optional<steady_time>
membership_service::LastHeard(const instance_name& aName) const
{
  const auto found = mEntries.find(aName);
  return found == mEntries.end() ? std::nullopt : found->second.mHeardAt;
}

std::optional<steady_time>
membership_service::AbsentSince(const instance_name& aName) const
{
  const auto found = mEntries.find(aName);
  return found == mEntries.end() ? std::nullopt : found->second.mAbsentSince;
}

void
membership_service::ForgetGone()
{
  const auto now = mScheduler.Now();
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    const auto heard =
      entry->second.mHeardAt.value_or(entry->second.mChangedAt);
    const auto absent = entry->second.mAbsentSince;
    const bool isGone =
      now - heard > kForgetSilent ||
      (absent && now - std::max(*absent, heard) > 2 * kForgetAbsent);
    const bool isForgotten = isGone && !entry->second.mIsListed;
    if (isForgotten) {
      mNameByHash.erase(MemberHash(entry->first));
    }
    entry = isForgotten ? mEntries.erase(entry) : std::next(entry);
  }
}

std::size_t
membership_service::KnownCount() const
{
  return 1 + static_cast<std::size_t>(std::count_if(
               mEntries.begin(), mEntries.end(), [](const auto& aPair) {
                 return aPair.second.mHeardAt &&
                        aPair.second.mMember.mState == instance_state::Live;
               }));
}

} // namespace cowslipline
