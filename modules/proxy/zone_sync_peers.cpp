#include "modules/proxy/zone_sync_peers.h"

#include "core/log.h"

namespace cowslipline {

namespace {

// A reply takes a fraction of a millisecond inside a zone; a process whose
// processor share is used up stands still for a tenth of a second.
constexpr duration kReplyWait = std::chrono::milliseconds(120);

constexpr int kTries = 2;

} // namespace

const fleet_member&
zone_sync_peers::Reader() const
{
  return mMembers.ZoneOwnerOf("reader of the store", mScheduler.Now());
}

bool
zone_sync_peers::IsReader() const
{
  return Reader().mName == mMembers.Self().mName;
}

std::optional<changes_reply>
zone_sync_peers::AskReader(const store_position& aPosition,
                           yield_context aYield)
{
  // A copy: the table may change while the reply is awaited.
  const auto reader = Reader();
  for (int i = 0; i < kTries; ++i) {
    mAskedId = ++mNextId;
    mAnswer.reset();
    mLink.Send(
      changes_request{ mAskedId, aPosition.mRevision, aPosition.mGeneration },
      reader.mAddress);
    mAnswered.Wait(mScheduler, kReplyWait, aYield);
    mAskedId = 0;
    if (mAnswer) {
      return mAnswer;
    }
  }
  mMembers.OnNoReply(reader, mScheduler.Now());
  Log(log_level::Warn, "reader_no_reply", { { "peer", reader.mName } });
  return std::nullopt;
}

void
zone_sync_peers::Broadcast(const changes_reply& aChanges)
{
  for (const auto* peer : mMembers.ZonePeers(mScheduler.Now())) {
    mLink.Send(aChanges, peer->mAddress);
  }
}

bool
zone_sync_peers::OnAnswer(const changes_reply& aAnswer)
{
  if (aAnswer.mId == 0 || aAnswer.mId != mAskedId) {
    return false;
  }
  mAnswer = aAnswer;
  mAnswered.Set();
  return true;
}

} // namespace cowslipline
