#pragma once

#include "core/random.h"
#include "platform/key_value_store.h"

#include <map>
#include <memory>

namespace cowslipline::testing {

/// Faults of the store, changed by tests at any time.
struct store_faults
{
  bool mIsAway = false;
  duration mLatency{ 2000 };
  /// Probability that a write is applied and its answer lost.
  double mAnswerLoss = 0;
};

struct store_counts
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mWatches = 0;
};

/// The store's content, shared by the clients of all instances in a test.
class memory_store_content
{
public:
  std::map<std::string, versioned_value, std::less<>> mValues;
  store_faults mFaults;
  store_counts mCounts;
};

/// Key-value store in memory with simulated latency and faults. Each instance
/// in a test has its own client, so that one can be cut off alone.
class memory_key_value_store final : public key_value_store
{
public:
  memory_key_value_store(scheduler& aScheduler,
                         std::shared_ptr<memory_store_content> aContent,
                         std::uint64_t aSeed);

  result<std::optional<versioned_value>> Read(std::string_view aKey,
                                              yield_context aYield) override;
  result<std::uint64_t> CompareAndSwap(std::string_view aKey,
                                       std::uint64_t aExpected,
                                       std::string_view aValue,
                                       yield_context aYield) override;
  result<std::optional<versioned_value>> Watch(std::string_view aKey,
                                               std::uint64_t aAfter,
                                               duration aWait,
                                               yield_context aYield) override;
  result<void> Remove(std::string_view aKey,
                      std::uint64_t aExpected,
                      yield_context aYield) override;

  /// Cuts this client off without touching the others.
  void SetCutOff(bool aIsCutOff) { mIsCutOff = aIsCutOff; }

private:
  bool IsReachable() const { return !mIsCutOff && !mContent->mFaults.mIsAway; }
  bool IsAnswerLost();

  scheduler& mScheduler;
  std::shared_ptr<memory_store_content> mContent;
  random_source mRandom;
  bool mIsCutOff = false;
};

} // namespace cowslipline::testing
