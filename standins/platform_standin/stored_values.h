#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace cowslipline {

struct stored_value
{
  std::string mValue;
  std::uint64_t mVersion = 0;
};

/// Versioned values with compare-and-swap and waiting reads. Safe from any
/// thread.
class stored_values
{
public:
  std::optional<stored_value> Read(const std::string& aKey) const;

  /// The new version, or empty when the expected version differs.
  std::optional<std::uint64_t> CompareAndSwap(const std::string& aKey,
                                              std::uint64_t aExpected,
                                              std::string aValue);

  /// Waits until the version exceeds aAfter; empty after aWait.
  std::optional<stored_value> WaitForChange(const std::string& aKey,
                                            std::uint64_t aAfter,
                                            std::chrono::milliseconds aWait);

  bool Remove(const std::string& aKey, std::uint64_t aExpected);

private:
  std::uint64_t VersionOf(const std::string& aKey) const;

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, stored_value> mValues;
};

} // namespace cowslipline
