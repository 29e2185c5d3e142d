#include "modules/limits/allotment_table.h"

#include "core/check.h"
#include "core/log.h"
#include "modules/limits/limit_constants.h"

#include <algorithm>

namespace cowslipline {

namespace {

constexpr duration kRetryInterval = std::chrono::seconds(1);
constexpr duration kConflictPausePerMember = std::chrono::milliseconds(10);
constexpr duration kTick = std::chrono::seconds(1);
constexpr duration kReadInterval = std::chrono::seconds(10);
/// Reads of the table by the whole fleet stay below 4/s as it grows.
constexpr duration kReadIntervalPerMember = std::chrono::milliseconds(250);
/// For an instance that holds less than an even share.
constexpr duration kShortInterval = std::chrono::seconds(1);
constexpr duration kShortIntervalPerMember = std::chrono::milliseconds(50);
constexpr duration kChangePausePerMember = std::chrono::milliseconds(20);
/// A holder must see a mark on its entry before the units are reclaimed.
constexpr duration kLongestHolderInterval = std::chrono::seconds(20);
constexpr duration kHeardRecently = std::chrono::seconds(10);
constexpr int kReadBackAttempts = 3;

} // namespace

allotment_table::allotment_table(scheduler& aScheduler,
                                 std::shared_ptr<key_value_store> aStore,
                                 std::shared_ptr<membership> aMembership,
                                 fraction_holder& aHolder)
  : mScheduler(aScheduler)
  , mStore(std::move(aStore))
  , mMembership(std::move(aMembership))
  , mHolder(aHolder)
  , mRandom(Hash64(Self(), mMembership->Self().mBoot))
  , mStartedAt(aScheduler.Now())
  , mTickedAt(mStartedAt)
  , mConfirmedAt(mStartedAt)
{
}

void
allotment_table::Run(yield_context aYield)
{
  while (!mIsLeaving) {
    const auto outcome = Refresh(aYield);
    const auto end = mScheduler.Now() + PauseAfter(outcome);
    bool isWoken = false;
    while (!isWoken && !mIsLeaving && mScheduler.Now() < end) {
      const auto left = std::min(end - mScheduler.Now(), kTick);
      isWoken = mWake.Wait(mScheduler, left, aYield);
      CheckIsolation();
      if (!isWoken && LiveNames().size() != mLiveCount) {
        mScheduler.SleepFor(PauseAfterMembershipChange(), aYield);
        break;
      }
    }
  }
}

void
allotment_table::Wake()
{
  mWake.Set();
}

void
allotment_table::CheckIsolation()
{
  const auto now = mScheduler.Now();
  const auto contact = std::max(mMembership->LastContact(), mConfirmedAt);
  // Hearing others is not enough: behind a one-way partition they would reclaim
  // the units of an instance that they do not hear.
  const bool isIsolated =
    now - contact > kIsolationLimit || now - mConfirmedAt > kIsolationLimit;
  const bool wasPaused = now - mTickedAt > kIsolationLimit;
  mTickedAt = now;
  if ((isIsolated || wasPaused) && mIsConfirmed) {
    Log(log_level::Warn, "limits_units_disabled", {});
    mIsConfirmed = false;
    Use(0);
    Wake();
  }
}

bool
allotment_table::NeedsAnswer() const
{
  return mScheduler.Now() - mConfirmedAt > kIsolationLimit / 2;
}

void
allotment_table::NoteAnswer(steady_time aSent)
{
  mConfirmedAt = std::max(mConfirmedAt, aSent);
}

result<void>
allotment_table::Leave(yield_context aYield)
{
  mIsLeaving = true;
  mWake.Set();
  Use(0);
  while (mIsBusy) {
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
allotment_table::Refresh(yield_context aYield)
{
  mIsBusy = true;
  mLiveCount = LiveNames().size();
  auto outcome = Read(aYield);
  if (outcome && !mIsLeaving) {
    outcome = Adjust(aYield);
  }
  mIsBusy = false;
  return outcome;
}

result<void>
allotment_table::Read(yield_context aYield)
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
  NoteAnswer(sent);
  Observe();
  // A read may only lower the units in use: a write of this instance that was
  // given up may still be applied after the read.
  Use(std::min(mHolder.Units(), IsTakeover() ? 0 : mTable.Held(Self())));
  return {};
}

result<void>
allotment_table::Adjust(yield_context aYield)
{
  if (IsSuperseded()) {
    Log(log_level::Error, "limits_superseded_by_later_process", {});
    Use(0);
    return {};
  }
  if (IsTakeover()) {
    mUnusableUntil = mScheduler.Now() + WithClockRateMargin(kCessionValidity);
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
allotment_table::GiveBack(unsigned aUnits, yield_context aYield)
{
  const auto surplus = mTable.Held(Self()) - aUnits;
  Use(std::min(mHolder.Units(), aUnits));
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
  return Write(mTable, std::max(held - surplus, mHolder.Units()), aYield);
}

void
allotment_table::SleepUntilUnused(yield_context aYield)
{
  const auto end = mUnusedSince;
  while (mScheduler.Now() < end) {
    mScheduler.SleepFor(std::min(end - mScheduler.Now(), kTick), aYield);
    CheckIsolation();
  }
}

result<void>
allotment_table::Write(unit_table aTable, unsigned aUnits, yield_context aYield)
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
    NoteAnswer(sent);
    Observe();
  } else if (version.error() == errc::StoreAnswerLost) {
    const auto outcome = ReadBack(entry.mWriteId, aYield);
    COWSLIPLINE_PROPAGATE(outcome);
  } else {
    return Fail(version.error());
  }
  if (!mIsLeaving && mScheduler.Now() >= mUnusableUntil) {
    mIsConfirmed = true;
    Use(mTable.Held(Self()));
  }
  return {};
}

result<void>
allotment_table::ReadBack(std::uint64_t aWriteId, yield_context aYield)
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

/// Marks the entry of an instance that has gone, or frees its units when the
/// mark has stood long enough for a living holder to object.
bool
allotment_table::MarkOrReclaim(unit_table& aTable) const
{
  if (!HearsMostHolders()) {
    return false;
  }
  const auto now = mScheduler.Now();
  for (const auto& [name, seen] : mObservations) {
    if (name == Self() || now - seen.mSince < kIsolationLimit) {
      continue;
    }
    if (seen.mEntry.mIsMarked && IsGone(name, kReclaimSilence)) {
      aTable.Set(name, {});
      Log(log_level::Info, "limits_units_reclaimed", { { "holder", name } });
      return true;
    }
    if (!seen.mEntry.mIsMarked && IsGone(name, kIsolationLimit)) {
      auto marked = seen.mEntry;
      marked.mIsMarked = true;
      aTable.Set(name, marked);
      return true;
    }
  }
  return false;
}

bool
allotment_table::IsGone(const instance_name& aName, duration aSilence) const
{
  const auto now = mScheduler.Now();
  const auto absent = mMembership->AbsentSince(aName);
  const auto heard = mMembership->LastHeard(aName).value_or(mStartedAt);
  return absent && now - *absent >= aSilence && now - heard >= aSilence;
}

/// Without news from most of the others, silence says nothing about a holder.
bool
allotment_table::HearsMostHolders() const
{
  const auto now = mScheduler.Now();
  std::size_t heard = 0;
  std::size_t present = 0;
  for (const auto& [name, entry] : mTable.Entries()) {
    const auto last = mMembership->LastHeard(name);
    const bool isHeard =
      name == Self() || (last && now - *last < kHeardRecently);
    heard += isHeard ? 1 : 0;
    present += isHeard || !IsGone(name, kIsolationLimit) ? 1 : 0;
  }
  return 2 * heard >= present;
}

void
allotment_table::Observe()
{
  const auto now = mScheduler.Now();
  std::map<instance_name, observation> fresh;
  for (const auto& [name, entry] : mTable.Entries()) {
    const auto known = mObservations.find(name);
    const bool isSame = known != mObservations.end() &&
                        known->second.mEntry.mWriteId == entry.mWriteId &&
                        known->second.mEntry.mIsMarked == entry.mIsMarked;
    fresh[name] = { entry, isSame ? known->second.mSince : now };
  }
  mObservations = std::move(fresh);
}

void
allotment_table::Use(unsigned aUnits)
{
  const auto before = mHolder.Units();
  if (aUnits < before) {
    mUnusedSince = std::max(mUnusedSince, mHolder.EndOfCessions());
  }
  mHolder.SetUnits(aUnits, mScheduler.Now());
  if (aUnits > before && mOnGrowth) {
    mOnGrowth();
  }
}

duration
allotment_table::PauseAfter(const result<void>& aOutcome)
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

/// Spread, since the whole fleet sees the change at about the same time.
duration
allotment_table::PauseAfterMembershipChange()
{
  const auto members = mMembership->LiveMembers().size() + 1;
  return kChangePausePerMember * static_cast<int>(mRandom.Below(members));
}

duration
allotment_table::Interval()
{
  const auto members = mMembership->LiveMembers().size();
  auto interval =
    std::max(kReadInterval, static_cast<int>(members) * kReadIntervalPerMember);
  const auto share = kAllotmentUnits / std::max<std::size_t>(1, mLiveCount);
  if (mTable.Held(Self()) < share) {
    // Units that another instance gives back serve nobody until they are taken.
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
allotment_table::LiveNames() const
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
allotment_table::IsSuperseded() const
{
  const auto* entry = mTable.Find(Self());
  return entry != nullptr && entry->mBoot > mMembership->Self().mBoot;
}

bool
allotment_table::IsTakeover() const
{
  const auto* entry = mTable.Find(Self());
  return entry != nullptr && entry->mBoot < mMembership->Self().mBoot;
}

/// The own entry must be written before its units are used: after a restart,
/// after being disabled, when marked, or when a write was given up.
bool
allotment_table::NeedsConfirmation() const
{
  const auto* entry = mTable.Find(Self());
  return entry != nullptr && !IsSuperseded() &&
         (!mIsConfirmed || IsTakeover() || entry->mIsMarked ||
          mHolder.Units() != entry->mUnits);
}

} // namespace cowslipline
