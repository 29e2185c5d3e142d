#include "standins/platform_standin/stored_values.h"

namespace cowslipline {

std::uint64_t
stored_values::VersionOf(const std::string& aKey) const
{
  const auto found = mValues.find(aKey);
  return found == mValues.end() ? 0 : found->second.mVersion;
}

std::optional<stored_value>
stored_values::Read(const std::string& aKey) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mValues.find(aKey);
  return found == mValues.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::uint64_t>
stored_values::CompareAndSwap(const std::string& aKey,
                              std::uint64_t aExpected,
                              std::string aValue)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (VersionOf(aKey) != aExpected) {
    return std::nullopt;
  }
  mValues[aKey] = { std::move(aValue), aExpected + 1 };
  mChanged.notify_all();
  return aExpected + 1;
}

std::optional<stored_value>
stored_values::WaitForChange(const std::string& aKey,
                             std::uint64_t aAfter,
                             std::chrono::milliseconds aWait)
{
  std::unique_lock<std::mutex> lock(mMutex);
  const bool isChanged =
    mChanged.wait_for(lock, aWait, [&] { return VersionOf(aKey) > aAfter; });
  return isChanged ? std::optional(mValues[aKey]) : std::nullopt;
}

bool
stored_values::Remove(const std::string& aKey, std::uint64_t aExpected)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aExpected == 0 || VersionOf(aKey) != aExpected) {
    return false;
  }
  mValues.erase(aKey);
  return true;
}

} // namespace cowslipline
