#pragma once

#include "modules/sync/sync.h"

#include <map>

namespace cowslipline::testing {

/// The platform's store in memory, with the failures that a test sets.
class memory_platform_feed final : public platform_feed
{
public:
  explicit memory_platform_feed(scheduler& aScheduler)
    : mScheduler(aScheduler)
  {
  }

  void Publish(fleet_configuration aConfiguration);
  void PutTarget(const target_entry& aTarget);
  void RemoveTarget(const std::string& aId);
  /// Entries vanish without an event, as when they lapse during an outage.
  void LoseTargetSilently(const std::string& aId) { mTargets.erase(aId); }
  /// The next watch is told that its history is gone.
  void ForgetHistory() { mOldest = mRevision + 1; }

  void SetDown(bool aIsDown) { mIsDown = aIsDown; }
  void EndLeases();
  /// The member's registration ends, and watches are told.
  void RemoveMember(const std::string& aName);
  int Calls() const { return mCalls; }
  std::size_t Members() const { return mMembers.size(); }

  result<platform_changes> ReadAll(yield_context aYield) override;
  result<platform_changes> Watch(std::uint64_t aAfter,
                                 duration aWait,
                                 yield_context aYield) override;
  result<std::vector<platform_event>> Decode(std::string_view aText) override;
  result<lease_id> GrantLease(duration aTimeToLive,
                              yield_context aYield) override;
  result<void> RenewLease(lease_id aLease, yield_context aYield) override;
  result<void> EndLease(lease_id aLease, yield_context aYield) override;
  result<void> Register(const fleet_member& aMember,
                        lease_id aLease,
                        yield_context aYield) override;

private:
  void Record(platform_event aEvent);

  scheduler& mScheduler;
  std::uint64_t mRevision = 1;
  std::uint64_t mOldest = 0;
  std::vector<std::pair<std::uint64_t, platform_event>> mHistory;
  std::optional<platform_event> mConfiguration;
  std::map<std::string, target_entry> mTargets;
  std::map<std::string, std::pair<fleet_member, lease_id>> mMembers;
  lease_id mNextLease = 1;
  lease_id mOldestLease = 1;
  bool mIsDown = false;
  int mCalls = 0;
  event mChanged;
};

} // namespace cowslipline::testing
