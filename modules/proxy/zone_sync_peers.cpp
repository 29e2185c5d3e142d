#include "modules/proxy/zone_sync_peers.h"

#include "core/log.h"

#include <algorithm>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// A reply takes a fraction of a millisecond inside a zone; a process whose
// processor share is used up stands still for a tenth of a second.
constexpr duration kReplyWait = 120ms;

// Long changes are awaited for this time after they were announced. With the
// question before it a lost transfer leaves time for a call to the store.
constexpr duration kPartsWait = 300ms;

// Parts are sent at 4.8 MB/s (38 Mbit/s): faster ones overflow the receivers'
// socket buffers and the links of small instances.
constexpr std::size_t kPartsPerRound = 16;
constexpr duration kRoundInterval = 4ms;

// Parts that wait to be sent. More belong to instances that are asking again.
constexpr std::size_t kMaxOutgoing = 65536;

// Changes kept in parts, for instances that missed some: those of several
// seconds.
constexpr std::size_t kMaxSplits = 32;

constexpr duration kIdleWait = 1s;

} // namespace

bool
zone_sync_peers::IsReader() const
{
  return mReaders.Reader(mScheduler.Now()).mName == mMembers.Self().mName;
}

std::optional<changes_reply>
zone_sync_peers::AskReader(const store_position& aPosition,
                           yield_context aYield)
{
  // Copies: the table may change while the reply is awaited.
  const auto reader = mReaders.Reader(mScheduler.Now());
  if (reader.mName == mMembers.Self().mName) {
    return std::nullopt;
  }
  mAnswer.reset();
  mAskedId = ++mNextId;
  const changes_request question{ mAskedId,
                                  aPosition.mRevision,
                                  aPosition.mGeneration };
  mLink.Send(question, reader.mAddress);
  if (!mAnswered.Wait(mScheduler, kReplyWait, aYield) && !mAnswer) {
    mLink.Send(question, reader.mAddress);
    // The reader may have ended; then this answer costs no further time.
    const auto* next = mReaders.NextReader(mScheduler.Now());
    if (next != nullptr && next->mName != mMembers.Self().mName) {
      mLink.Send(question, next->mAddress);
    }
    mAnswered.Wait(mScheduler, kReplyWait, aYield);
  }
  mAskedId = 0;
  if (!mAnswer || mAnsweredBy != reader.mName) {
    const auto now = mScheduler.Now();
    mMembers.OnNoReply(reader, now);
    mReaders.PassOver(reader.mName, now);
    Log(log_level::Warn, "reader_no_reply", { { "peer", reader.mName } });
  }
  if (!mAnswer || mAnswer->mPartCount == 0) {
    return mAnswer;
  }
  auto answer = *mAnswer;
  const changes_id id{
    answer.mGeneration, answer.mFromRevision, answer.mToRevision, answer.mDigest
  };
  mTransfers.Expect(id, answer.mPartCount, mAnsweredFrom, mScheduler.Now());
  mWakeUp.Set();
  if (!AwaitParts(id, aYield)) {
    return std::nullopt;
  }
  answer.mIsPartial = false;
  return answer;
}

bool
zone_sync_peers::AwaitParts(const changes_id& aId, yield_context aYield)
{
  const auto end = mScheduler.Now() + kPartsWait;
  while (mTransfers.IsOpen(aId) && mScheduler.Now() < end) {
    mTransferEnded.Wait(mScheduler, end - mScheduler.Now(), aYield);
  }
  if (mLastCompleted == aId) {
    return true;
  }
  Log(log_level::Warn,
      "changes_parts_missing",
      { { "revision", std::to_string(aId.mToRevision) } });
  return false;
}

void
zone_sync_peers::PassOverReader()
{
  const auto now = mScheduler.Now();
  const auto& reader = mReaders.Reader(now);
  Log(log_level::Info, "reader_passed_over", { { "peer", reader.mName } });
  mReaders.PassOver(reader.mName, now);
}

void
zone_sync_peers::OnStoreLost(duration aAge)
{
  const auto now = mScheduler.Now();
  const bool wasReader = IsReader();
  mReaders.PassOver(mMembers.Self().mName, now);
  if (!wasReader) {
    return;
  }
  const auto age = std::min<duration>(aAge, 1h);
  for (const auto* peer : mMembers.ZonePeers(now)) {
    mLink.Send(store_lost_notice{ static_cast<std::uint32_t>(age / 1ms) },
               peer->mAddress);
  }
}

bool
zone_sync_peers::OnLostNotice(const std::string& aSender)
{
  const bool wasReader = IsReader();
  mReaders.PassOver(aSender, mScheduler.Now());
  return !wasReader && IsReader();
}

std::shared_ptr<const split_changes>
zone_sync_peers::Split(const changes_reply& aChanges)
{
  const auto known =
    std::find_if(mSplits.begin(), mSplits.end(), [&](const auto& aSplit) {
      return aSplit->mId.mGeneration == aChanges.mGeneration &&
             aSplit->mId.mFromRevision == aChanges.mFromRevision &&
             aSplit->mId.mToRevision == aChanges.mToRevision;
    });
  if (known != mSplits.end()) {
    return *known;
  }
  auto split = std::make_shared<const split_changes>(SplitChanges(aChanges));
  mSplits.push_back(split);
  if (mSplits.size() > kMaxSplits) {
    mSplits.pop_front();
  }
  return split;
}

void
zone_sync_peers::Broadcast(const changes_reply& aChanges)
{
  const auto peers = mMembers.ZonePeers(mScheduler.Now());
  if (aChanges.mText.size() <= kMaxWholeChangesBytes) {
    for (const auto* peer : peers) {
      mLink.Send(aChanges, peer->mAddress);
    }
    return;
  }
  const auto split = Split(aChanges);
  Log(log_level::Info,
      "changes_sent_in_parts",
      { { "revision", std::to_string(aChanges.mToRevision) },
        { "bytes", std::to_string(aChanges.mText.size()) },
        { "parts", std::to_string(split->mParts.size()) },
        { "peers", std::to_string(peers.size()) } });
  for (const auto* peer : peers) {
    for (std::uint32_t i = 0; i < split->mParts.size(); ++i) {
      mOutgoing.push_back({ split, i, peer->mAddress });
    }
  }
  mWakeUp.Set();
}

void
zone_sync_peers::SendAnswer(const changes_reply& aAnswer,
                            const udp_endpoint& aTo)
{
  if (aAnswer.mText.size() <= kMaxWholeChangesBytes) {
    mLink.Send(aAnswer, aTo);
    return;
  }
  const auto split = Split(aAnswer);
  auto announced = aAnswer;
  announced.mText.clear();
  announced.mIsPartial = true;
  announced.mPartCount = static_cast<std::uint32_t>(split->mParts.size());
  announced.mDigest = split->mId.mDigest;
  mLink.Send(announced, aTo);
}

bool
zone_sync_peers::OnAnswer(const changes_reply& aAnswer,
                          const std::string& aSender,
                          const udp_endpoint& aFrom)
{
  if (aAnswer.mId == 0 || aAnswer.mId != mAskedId) {
    return false;
  }
  mAskedId = 0;
  mAnswer = aAnswer;
  mAnsweredBy = aSender;
  mAnsweredFrom = aFrom;
  mAnswered.Set();
  return true;
}

std::optional<changes_reply>
zone_sync_peers::OnPart(const changes_part& aPart, const udp_endpoint& aFrom)
{
  auto changes = mTransfers.OnPart(aPart, aFrom, mScheduler.Now());
  if (changes) {
    mLastCompleted = aPart.mId;
  }
  if (!mTransfers.IsOpen(aPart.mId)) {
    mTransferEnded.Set();
  }
  mWakeUp.Set();
  return changes;
}

void
zone_sync_peers::OnPartsRequest(const changes_parts_request& aRequest,
                                const udp_endpoint& aFrom)
{
  const auto known =
    std::find_if(mSplits.begin(), mSplits.end(), [&](const auto& aSplit) {
      return aSplit->mId == aRequest.mId;
    });
  if (known == mSplits.end()) {
    return;
  }
  for (const auto index : aRequest.mMissing) {
    if (index < (*known)->mParts.size() && mOutgoing.size() < kMaxOutgoing) {
      mOutgoing.push_back({ *known, index, aFrom });
    }
  }
  mWakeUp.Set();
}

void
zone_sync_peers::SendSomeParts()
{
  for (std::size_t i = 0; i < kPartsPerRound && !mOutgoing.empty(); ++i) {
    const auto& next = mOutgoing.front();
    mLink.Send(next.mChanges->Part(next.mIndex), next.mTo);
    mMetrics.Counter("cowslipline_change_parts_sent_total").Add();
    mOutgoing.pop_front();
  }
}

void
zone_sync_peers::Run(yield_context aYield)
{
  while (!mIsStopped) {
    SendSomeParts();
    for (const auto& repair : mTransfers.TakeRepairs(mScheduler.Now())) {
      mMetrics.Counter("cowslipline_change_repairs_total").Add();
      mLink.Send(repair.mRequest, repair.mSender);
    }
    // TakeRepairs() may have given up on a transfer.
    mTransferEnded.Set();
    if (!mOutgoing.empty()) {
      mScheduler.SleepFor(kRoundInterval, aYield);
      continue;
    }
    const auto wait =
      std::min(kIdleWait, mTransfers.TimeToRepair(mScheduler.Now()));
    mWakeUp.Wait(mScheduler, wait, aYield);
  }
}

void
zone_sync_peers::Stop()
{
  mIsStopped = true;
  mWakeUp.Set();
}

} // namespace cowslipline
