#pragma once

#include "core/random.h"
#include "core/scheduler.h"
#include "modules/fleet/membership.h"
#include "modules/limits/fraction_holder.h"
#include "modules/limits/unit_table.h"
#include "platform/key_value_store.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cowslipline {

constexpr char kAllotmentKey[] = "fleet/allotments";

/// Takes and returns units in the store's table and tells the fraction holder
/// how many may be used. Units in use are never more than the table says.
class allotment_table
{
public:
  allotment_table(scheduler& aScheduler,
                  std::shared_ptr<key_value_store> aStore,
                  std::shared_ptr<membership> aMembership,
                  fraction_holder& aHolder);

  /// Reads the table at intervals and adjusts the own units. Returns after
  /// Leave().
  void Run(yield_context aYield);

  /// Makes Run() read the table soon.
  void Wake();

  /// Disables the units when the instance was isolated or paused for longer
  /// than kIsolationLimit. Called before each use of the units.
  void CheckIsolation();

  /// No call was answered for half of kIsolationLimit.
  bool NeedsAnswer() const;

  /// A peer answered a call that was sent at aSent: peers hear this instance.
  void NoteAnswer(steady_time aSent);

  /// Stops using the units, waits until no cession of them is counted any
  /// more, and gives them back.
  /// Errors: those of the store; the units are then reclaimed by others.
  result<void> Leave(yield_context aYield);

  /// Runs after the units in use have grown.
  void OnGrowth(std::function<void()> aFunction)
  {
    mOnGrowth = std::move(aFunction);
  }

  bool HasBeenRead() const { return mHasBeenRead; }
  /// Holders according to the last read.
  const unit_table& Table() const { return mTable; }

private:
  struct observation
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
  bool IsGone(const instance_name& aName, duration aSilence) const;
  bool HearsMostHolders() const;
  void Observe();
  void Use(unsigned aUnits);
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
  fraction_holder& mHolder;
  random_source mRandom;
  std::function<void()> mOnGrowth;
  event mWake;

  unit_table mTable;
  std::uint64_t mVersion = kAbsentVersion;
  bool mHasBeenRead = false;
  bool mIsLeaving = false;
  bool mIsBusy = false;
  /// The own entry was confirmed by a write of this process since it started
  /// or was last disabled; only then the units may be used.
  bool mIsConfirmed = false;
  steady_time mStartedAt;
  steady_time mTickedAt;
  steady_time mConfirmedAt;
  /// After a takeover: cessions of the former process may still be counted.
  steady_time mUnusableUntil{ duration(0) };
  /// From then on no owner counts units that were taken out of use.
  steady_time mUnusedSince{ duration(0) };
  std::map<instance_name, observation> mObservations;
  /// Live members at the last refresh.
  std::size_t mLiveCount = 0;
};

} // namespace cowslipline
