#pragma once

#include "core/random.h"
#include "core/scheduler.h"
#include "modules/fleet/membership.h"
#include "modules/limits/local_fraction.h"
#include "modules/limits/unit_table.h"
#include "platform/key_value_store.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cowslipline {

constexpr char kAllotmentKey[] = "fleet/allotments";

/// Keeps this instance's entry in the store's allotment table: takes units,
/// gives them back, reclaims those of failed instances, and tells
/// local_fraction how many may be used. Entries change by compare-and-swap; the
/// units in use are never more than the table says.
class allotment_manager
{
public:
  allotment_manager(scheduler& aScheduler,
                    std::shared_ptr<key_value_store> aStore,
                    std::shared_ptr<membership> aMembership,
                    local_fraction& aLocalFraction);

  /// Reads the table at intervals and adjusts this instance's units. Returns
  /// after Leave().
  void Run(yield_context aYield);

  /// Makes Run() read the table soon.
  void Wake();

  /// Disables the units when the instance was isolated or paused for longer
  /// than kIsolationLimit. Called before each use of the units.
  void DisableIfIsolated();

  /// True when nobody answered a call for half of kIsolationLimit.
  bool NeedsPing() const;

  /// Records that a peer answered a call sent at aSent, which shows that peers
  /// hear this instance.
  void RecordAnswer(steady_time aSent);

  /// Stops using the units, waits until the delegations of them have ended, and
  /// gives them back.
  /// Errors: those of the store; the units are then reclaimed by others.
  result<void> Leave(yield_context aYield);

  /// Sets the function that runs after the units in use have increased.
  void OnUnitsGained(std::function<void()> aFunction)
  {
    mOnUnitsGained = std::move(aFunction);
  }

  bool HasBeenRead() const { return mHasBeenRead; }
  /// Holders according to the last read.
  const unit_table& Table() const { return mTable; }

private:
  struct observed_entry
  {
    unit_entry mEntry;
    steady_time mSince;
  };

  result<void> Refresh(yield_context aYield);
  result<void> Read(yield_context aYield);
  result<void> Adjust(yield_context aYield);
  result<void> GiveBack(unsigned aUnits, yield_context aYield);
  void SleepUntilUnused(yield_context aYield);
  result<void> Write(unit_table aTable, unsigned aUnits, yield_context aYield);
  result<void> ReadBack(std::uint64_t aWriteId, yield_context aYield);
  bool MarkOrReclaim(unit_table& aTable) const;
  bool IsAbsentFor(const instance_name& aName, duration aSilence) const;
  bool HearsMostHolders() const;
  void UpdateObservedEntries();
  void SetUnitsInUse(unsigned aUnits);
  duration PauseAfter(const result<void>& aOutcome);
  duration PauseAfterMembershipChange();
  duration Interval();
  const instance_name& Self() const { return mMembership->Self().mName; }
  std::vector<instance_name> LiveNames() const;
  bool IsSuperseded() const;
  bool IsTakeover() const;
  bool NeedsConfirmation() const;

  scheduler& mScheduler;
  std::shared_ptr<key_value_store> mStore;
  std::shared_ptr<membership> mMembership;
  local_fraction& mLocalFraction;
  random_source mRandom;
  std::function<void()> mOnUnitsGained;
  event mWake;

  unit_table mTable;
  std::uint64_t mVersion = kAbsentVersion;
  bool mHasBeenRead = false;
  bool mIsLeaving = false;
  bool mIsRefreshing = false;
  /// This instance's entry was confirmed by a write of this process since it
  /// started or was last disabled. The units may be used only then.
  bool mIsConfirmed = false;
  steady_time mStartedAt;
  steady_time mIsolationCheckedAt;
  steady_time mConfirmedAt;
  /// After a restart, delegations by the previous process may still be counted
  /// until this time.
  steady_time mUnusableUntil{ duration(0) };
  /// From this time on no owner counts units that were taken out of use.
  steady_time mUnusedSince{ duration(0) };
  std::map<instance_name, observed_entry> mObservedEntries;
  /// Number of live members at the last refresh.
  std::size_t mLiveCount = 0;
};

} // namespace cowslipline
