#include "tests/fakes/memory_key_value_store.h"

namespace cowslipline::testing {

namespace {

constexpr duration kWatchPoll = std::chrono::milliseconds(20);

} // namespace

memory_key_value_store::memory_key_value_store(
  scheduler& aScheduler,
  std::shared_ptr<memory_store_content> aContent,
  std::uint64_t aSeed)
  : mScheduler(aScheduler)
  , mContent(std::move(aContent))
  , mRandom(aSeed)
{
}

bool
memory_key_value_store::IsAnswerLost()
{
  return mContent->mFaults.mAnswerLoss > 0 &&
         mRandom.Unit() < mContent->mFaults.mAnswerLoss;
}

result<std::optional<versioned_value>>
memory_key_value_store::Read(std::string_view aKey, yield_context aYield)
{
  const std::string key(aKey);
  ++mContent->mCounts.mReads;
  mScheduler.SleepFor(mContent->mFaults.mLatency, aYield);
  if (!IsReachable()) {
    return Fail(errc::StoreUnavailable);
  }
  const auto found = mContent->mValues.find(key);
  if (found == mContent->mValues.end()) {
    return std::optional<versioned_value>();
  }
  return std::optional<versioned_value>(found->second);
}

result<std::uint64_t>
memory_key_value_store::CompareAndSwap(std::string_view aKey,
                                       std::uint64_t aExpected,
                                       std::string_view aValue,
                                       yield_context aYield)
{
  const std::string key(aKey);
  const std::string value(aValue);
  ++mContent->mCounts.mWrites;
  mScheduler.SleepFor(mContent->mFaults.mLatency / 2, aYield);
  if (!IsReachable()) {
    return Fail(errc::StoreUnavailable);
  }
  if (value.size() > kLargestStoreValueBytes) {
    return Fail(errc::StoreValueTooLarge);
  }
  const auto found = mContent->mValues.find(key);
  const auto version =
    found == mContent->mValues.end() ? kAbsentVersion : found->second.mVersion;
  const bool isApplied = version == aExpected;
  if (isApplied) {
    mContent->mValues[key] = versioned_value{ value, version + 1 };
  }
  mScheduler.SleepFor(mContent->mFaults.mLatency / 2, aYield);
  if (IsAnswerLost() || !IsReachable()) {
    return Fail(errc::StoreAnswerLost);
  }
  if (!isApplied) {
    return Fail(errc::StoreConflict);
  }
  return version + 1;
}

result<std::optional<versioned_value>>
memory_key_value_store::Watch(std::string_view aKey,
                              std::uint64_t aAfter,
                              duration aWait,
                              yield_context aYield)
{
  const std::string key(aKey);
  ++mContent->mCounts.mWatches;
  const auto end = mScheduler.Now() + aWait;
  mScheduler.SleepFor(mContent->mFaults.mLatency, aYield);
  while (true) {
    if (!IsReachable()) {
      return Fail(errc::StoreUnavailable);
    }
    const auto found = mContent->mValues.find(key);
    if (found != mContent->mValues.end() && found->second.mVersion > aAfter) {
      return std::optional<versioned_value>(found->second);
    }
    if (mScheduler.Now() >= end) {
      return std::optional<versioned_value>();
    }
    mScheduler.SleepFor(kWatchPoll, aYield);
  }
}

result<void>
memory_key_value_store::Remove(std::string_view aKey,
                               std::uint64_t aExpected,
                               yield_context aYield)
{
  const std::string key(aKey);
  ++mContent->mCounts.mWrites;
  mScheduler.SleepFor(mContent->mFaults.mLatency, aYield);
  if (!IsReachable()) {
    return Fail(errc::StoreUnavailable);
  }
  const auto found = mContent->mValues.find(key);
  if (found == mContent->mValues.end() || found->second.mVersion != aExpected) {
    return Fail(errc::StoreConflict);
  }
  mContent->mValues.erase(found);
  return {};
}

} // namespace cowslipline::testing
