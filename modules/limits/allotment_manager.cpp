#include "modules/limits/allotment_manager.h"

#include "core/check.h"
#include "core/log.h"
#include "modules/limits/limit_constants.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr duration kRetryInterval = std::chrono::seconds(1);
constexpr duration kConflictPausePerMember = std::chrono::milliseconds(10);
constexpr duration kIsolationCheckPeriod = std::chrono::seconds(1);
constexpr duration kReadInterval = std::chrono::seconds(10);
/// Reads of the table by the whole fleet stay below 4/s as it grows.
constexpr duration kReadIntervalPerMember = std::chrono::milliseconds(250);
/// Read interval of an instance that holds less than an even share.
constexpr duration kShortInterval = std::chrono::seconds(1);
constexpr duration kShortIntervalPerMember = std::chrono::milliseconds(50);
constexpr duration kChangePausePerMember = std::chrono::milliseconds(20);
/// A holder must see a mark on its entry before the units are reclaimed.
constexpr duration kLongestHolderInterval = std::chrono::seconds(20);
constexpr duration kRecentContactTime = std::chrono::seconds(10);
constexpr int kReadBackAttempts = 3;

} // namespace

allotment_manager::allotment_manager(scheduler& aScheduler,
                                     std::shared_ptr<key_value_store> aStore,
                                     std::shared_ptr<membership> aMembership,
                                     local_fraction& aLocalFraction)
  : mScheduler(aScheduler)
  , mStore(std::move(aStore))
  , mMembership(std::move(aMembership))
  , mLocalFraction(aLocalFraction)
  , mRandom(Hash64(Self(), mMembership->Self().mBoot))
  , mStartedAt(aScheduler.Now())
  , mIsolationCheckedAt(mStartedAt)
  , mConfirmedAt(mStartedAt)
{
}

void
allotment_manager::Run(yield_context aYield)
{
  while (!mIsLeaving) {
    const auto outcome = Refresh(aYield);
    const auto end = mScheduler.Now() + PauseAfter(outcome);
    bool isWoken = false;
    while (!isWoken && !mIsLeaving && mScheduler.Now() < end) {
      const auto left = std::min(end - mScheduler.Now(), kIsolationCheckPeriod);
      isWoken = mWake.Wait(mScheduler, left, aYield);
      DisableIfIsolated();
      if (!isWoken && LiveNames().size() != mLiveCount) {
        mScheduler.SleepFor(PauseAfterMembershipChange(), aYield);
        break;
      }
    }
  }
}

void
allotment_manager::Wake()
{
  mWake.Set();
}

void
allotment_manager::DisableIfIsolated()
{
  const auto now = mScheduler.Now();
  const auto contact = std::max(mMembership->LastContact(), mConfirmedAt);
  // Hearing others is not enough: behind a one-way partition they would reclaim
  // the units of an instance that they do not hear.
  const bool isIsolated =
    now - contact > kIsolationLimit || now - mConfirmedAt > kIsolationLimit;
  const bool wasPaused = now - mIsolationCheckedAt > kIsolationLimit;
  mIsolationCheckedAt = now;
  if ((isIsolated || wasPaused) && mIsConfirmed) {
    Log(log_level::Warn, "limits_units_disabled", {});
    mIsConfirmed = false;
    SetUnitsInUse(0);
    Wake();
  }
}

bool
allotment_manager::NeedsPing() const
{
  return mScheduler.Now() - mConfirmedAt > kIsolationLimit / 2;
}

void
allotment_manager::RecordAnswer(steady_time aSent)
{
  mConfirmedAt = std::max(mConfirmedAt, aSent);
}

result<void>
allotment_manager::Leave(yield_context aYield)
{
  mIsLeaving = true;
  mWake.Set();
  SetUnitsInUse(0);
  while (mIsRefreshing) {
    mScheduler.SleepFor(std::chrono::milliseconds(20), aYield);
  }
  SleepUntilUnused(aYield);
  result<void> outcome = Fail(errc::StoreUnavailable);
  for (int attempt = 0; attempt < kReadBackAttempts && !outcome; ++attempt) {
    outcome = Read(aYield);
    const auto* entry = mTable.Find(Self());
    if (!outcome || entry == nullptr || IsSuperseded()) {
      continue;
    }
    outcome = Write(mTable, 0, aYield);
  }
  return outcome;
}

result<void>
allotment_manager::Refresh(yield_context aYield)
{
  mIsRefreshing = true;
  mLiveCount = LiveNames().size();
  auto outcome = Read(aYield);
  if (outcome && !mIsLeaving) {
    outcome = Adjust(aYield);
  }
  mIsRefreshing = false;
  return outcome;
}

result<void>
allotment_manager::Read(yield_context aYield)
{
  const auto sent = mScheduler.Now();
  const auto value = mStore->Read(kAllotmentKey, aYield);
  COWSLIPLINE_PROPAGATE(value);
  unit_table table;
  if (*value) {
    auto parsed = unit_table::Parse((*value)->mValue);
    COWSLIPLINE_FAIL_IF(
      !parsed, parsed.error(), "the allotment table is unreadable");
    table = std::move(*parsed);
  }
  mTable = std::move(table);
  mVersion = *value ? (*value)->mVersion : kAbsentVersion;
  mHasBeenRead = true;
  RecordAnswer(sent);
  UpdateObservedEntries();
  // A read may only lower the units in use: a write that this instance gave up
  // on may still be applied after the read.
  SetUnitsInUse(
    std::min(mLocalFraction.Units(), IsTakeover() ? 0 : mTable.Held(Self())));
  return {};
}

result<void>
allotment_manager::Adjust(yield_context aYield)
{
  if (IsSuperseded()) {
    Log(log_level::Error, "limits_superseded_by_later_process", {});
    SetUnitsInUse(0);
    return {};
  }
  if (IsTakeover()) {
    mUnusableUntil =
      mScheduler.Now() + WithClockRateMargin(kDelegationValidity);
  }
  const auto target = mTable.TargetFor(Self(), LiveNames());
  if (target < mTable.Held(Self())) {
    return GiveBack(target, aYield);
  }
  auto table = mTable;
  const bool isChanged = MarkOrReclaim(table);
  if (target > mTable.Held(Self()) || NeedsConfirmation() || isChanged) {
    return Write(std::move(table), target, aYield);
  }
  return {};
}

result<void>
allotment_manager::GiveBack(unsigned aUnits, yield_context aYield)
{
  const auto surplus = mTable.Held(Self()) - aUnits;
  SetUnitsInUse(std::min(mLocalFraction.Units(), aUnits));
  SleepUntilUnused(aYield);
  if (mIsLeaving) {
    return {};
  }
  const auto outcome = Read(aYield);
  COWSLIPLINE_PROPAGATE(outcome);
  const auto held = mTable.Held(Self());
  if (IsSuperseded() || IsTakeover() || held < surplus) {
    return Fail(errc::StoreConflict);
  }
  return Write(
    mTable, std::max(held - surplus, mLocalFraction.Units()), aYield);
}

void
allotment_manager::SleepUntilUnused(yield_context aYield)
{
  const auto end = mUnusedSince;
  while (mScheduler.Now() < end) {
    mScheduler.SleepFor(std::min(end - mScheduler.Now(), kIsolationCheckPeriod),
                        aYield);
    DisableIfIsolated();
  }
}

result<void>
allotment_manager::Write(unit_table aTable,
                         unsigned aUnits,
                         yield_context aYield)
{
  const unit_entry entry{
    mMembership->Self().mBoot, aUnits, mRandom.Next(), false
  };
  aTable.Set(Self(), entry);
  const auto sent = mScheduler.Now();
  const auto version =
    mStore->CompareAndSwap(kAllotmentKey, mVersion, aTable.Serialise(), aYield);
  if (version) {
    mTable = std::move(aTable);
    mVersion = *version;
    RecordAnswer(sent);
    UpdateObservedEntries();
  } else if (version.error() == errc::StoreAnswerLost) {
    const auto outcome = ReadBack(entry.mWriteId, aYield);
    COWSLIPLINE_PROPAGATE(outcome);
  } else {
    return Fail(version.error());
  }
  if (!mIsLeaving && mScheduler.Now() >= mUnusableUntil) {
    mIsConfirmed = true;
    SetUnitsInUse(mTable.Held(Self()));
  }
  return {};
}

result<void>
allotment_manager::ReadBack(std::uint64_t aWriteId, yield_context aYield)
{
  result<void> outcome = Fail(errc::StoreAnswerLost);
  for (int attempt = 0; attempt < kReadBackAttempts && !outcome; ++attempt) {
    outcome = Read(aYield);
  }
  COWSLIPLINE_PROPAGATE(outcome);
  const auto* entry = mTable.Find(Self());
  if (entry == nullptr) {
    return {};
  }
  if (entry->mWriteId != aWriteId) {
    return Fail(errc::StoreConflict);
  }
  return {};
}

/// Marks the entry of an absent instance, or frees its units when the mark has
/// stood long enough for a live holder to remove it.
bool
allotment_manager::MarkOrReclaim(unit_table& aTable) const
{
  if (!HearsMostHolders()) {
    return false;
  }
  const auto now = mScheduler.Now();
  for (const auto& [name, seen] : mObservedEntries) {
    if (name == Self() || now - seen.mSince < kIsolationLimit) {
      continue;
    }
    if (seen.mEntry.mIsMarked && IsAbsentFor(name, kReclaimSilence)) {
      aTable.Set(name, {});
      Log(log_level::Info, "limits_units_reclaimed", { { "holder", name } });
      return true;
    }
    if (!seen.mEntry.mIsMarked && IsAbsentFor(name, kIsolationLimit)) {
      auto marked = seen.mEntry;
      marked.mIsMarked = true;
      aTable.Set(name, marked);
      return true;
    }
  }
  return false;
}

bool
allotment_manager::IsAbsentFor(const instance_name& aName,
                               duration aSilence) const
{
  const auto now = mScheduler.Now();
  const auto absent = mMembership->AbsentSince(aName);
  const auto heard = mMembership->LastHeard(aName).value_or(mStartedAt);
  return absent && now - *absent >= aSilence && now - heard >= aSilence;
}

/// Without recent messages from most holders, a failed holder can't be told
/// from a partition that cuts off this instance.
bool
allotment_manager::HearsMostHolders() const
{
  const auto now = mScheduler.Now();
  std::size_t heard = 0;
  std::size_t present = 0;
  for (const auto& [name, entry] : mTable.Entries()) {
    const auto last = mMembership->LastHeard(name);
    const bool isHeard =
      name == Self() || (last && now - *last < kRecentContactTime);
    heard += isHeard ? 1 : 0;
    present += isHeard || !IsAbsentFor(name, kIsolationLimit) ? 1 : 0;
  }
  return 2 * heard >= present;
}

void
allotment_manager::UpdateObservedEntries()
{
  const auto now = mScheduler.Now();
  std::map<instance_name, observed_entry> fresh;
  for (const auto& [name, entry] : mTable.Entries()) {
    const auto known = mObservedEntries.find(name);
    const bool isSame = known != mObservedEntries.end() &&
                        known->second.mEntry.mWriteId == entry.mWriteId &&
                        known->second.mEntry.mIsMarked == entry.mIsMarked;
    fresh[name] = { entry, isSame ? known->second.mSince : now };
  }
  mObservedEntries = std::move(fresh);
}

void
allotment_manager::SetUnitsInUse(unsigned aUnits)
{
  const auto before = mLocalFraction.Units();
  if (aUnits < before) {
    mUnusedSince = std::max(mUnusedSince, mLocalFraction.LatestDelegationEnd());
  }
  mLocalFraction.SetUnits(aUnits, mScheduler.Now());
  if (aUnits > before && mOnUnitsGained) {
    mOnUnitsGained();
  }
}

duration
allotment_manager::PauseAfter(const result<void>& aOutcome)
{
  if (!aOutcome && aOutcome.error() == errc::StoreConflict) {
    // Spread over a time that grows with the fleet, so that instances which
    // start together do not conflict again.
    const auto members = mMembership->LiveMembers().size() + 1;
    return kConflictPausePerMember *
           static_cast<int>(1 + mRandom.Below(members));
  }
  return !aOutcome || NeedsConfirmation() ? kRetryInterval : Interval();
}

/// A random pause, since the whole fleet sees a membership change at about the
/// same time.
duration
allotment_manager::PauseAfterMembershipChange()
{
  const auto members = mMembership->LiveMembers().size() + 1;
  return kChangePausePerMember * static_cast<int>(mRandom.Below(members));
}

duration
allotment_manager::Interval()
{
  const auto members = mMembership->LiveMembers().size();
  auto interval =
    std::max(kReadInterval, static_cast<int>(members) * kReadIntervalPerMember);
  const auto share = kAllotmentUnits / std::max<std::size_t>(1, mLiveCount);
  if (mTable.Held(Self()) < share) {
    // Units that another instance gives back stay unused until they are taken.
    interval = std::max(kShortInterval,
                        static_cast<int>(members) * kShortIntervalPerMember);
  }
  if (mTable.Held(Self()) > 0) {
    interval = std::min(interval, kLongestHolderInterval);
  }
  const auto spread = 0.8 + 0.4 * mRandom.Unit();
  return std::chrono::duration_cast<duration>(interval * spread);
}

std::vector<instance_name>
allotment_manager::LiveNames() const
{
  std::vector<instance_name> names;
  for (const auto& one : mMembership->LiveMembers()) {
    names.push_back(one.mName);
  }
  if (std::find(names.begin(), names.end(), Self()) == names.end()) {
    names.push_back(Self());
  }
  return names;
}

bool
allotment_manager::IsSuperseded() const
{
  const auto* entry = mTable.Find(Self());
  return entry != nullptr && entry->mBoot > mMembership->Self().mBoot;
}

bool
allotment_manager::IsTakeover() const
{
  const auto* entry = mTable.Find(Self());
  return entry != nullptr && entry->mBoot < mMembership->Self().mBoot;
}

/// True when this instance's entry must be written before its units are used:
/// after a restart, after being disabled, when marked, or after a write without
/// a known outcome.
bool
allotment_manager::NeedsConfirmation() const
{
  const auto* entry = mTable.Find(Self());
  return entry != nullptr && !IsSuperseded() &&
         (!mIsConfirmed || IsTakeover() || entry->mIsMarked ||
          mLocalFraction.Units() != entry->mUnits);
}

} // namespace cowslipline
