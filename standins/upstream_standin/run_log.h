#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace cowslipline::standin {

/// What ran at a target, for checks of at-most-once and of key hygiene.
class run_log
{
public:
  void Add(const std::string& aRequestId, const std::string& aIdempotencyKey);
  void NoteAuthorization();
  void CountShed();
  void CountCanceled();

  /// {"ran", "shed", "canceled", "authorization_seen", "request_ids": {id:
  /// count}, "idempotency_keys": {key: count}}. The maps keep the first 100,000
  /// different names.
  std::string RenderJson() const;

private:
  mutable std::mutex mMutex;
  std::uint64_t mRan = 0;
  std::uint64_t mShed = 0;
  std::uint64_t mCanceled = 0;
  bool mHasSeenAuthorization = false;
  std::map<std::string, std::uint64_t> mRequestIds;
  std::map<std::string, std::uint64_t> mIdempotencyKeys;
};

} // namespace cowslipline::standin
