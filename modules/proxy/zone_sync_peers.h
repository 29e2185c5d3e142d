#pragma once

#include "modules/sharing/sharing.h"
#include "modules/sync/sync.h"

namespace cowslipline {

/// Carries the questions of the sync to the reader of the availability zone.
class zone_sync_peers final : public sync_peers
{
public:
  zone_sync_peers(scheduler& aScheduler,
                  member_table& aMembers,
                  peer_link& aLink,
                  std::uint64_t aSeed)
    : mScheduler(aScheduler)
    , mMembers(aMembers)
    , mLink(aLink)
    , mNextId(aSeed)
  {
  }

  bool IsReader() const override;
  std::optional<changes_reply> AskReader(const store_position& aPosition,
                                         yield_context aYield) override;
  void Broadcast(const changes_reply& aChanges) override;

  /// True when the answer belongs to the open question.
  bool OnAnswer(const changes_reply& aAnswer);

private:
  const fleet_member& Reader() const;

  scheduler& mScheduler;
  member_table& mMembers;
  peer_link& mLink;
  std::uint64_t mNextId;
  std::uint64_t mAskedId = 0; ///< 0: no question is open.
  std::optional<changes_reply> mAnswer;
  event mAnswered;
};

} // namespace cowslipline
