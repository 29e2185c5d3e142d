#include "standins/upstream_standin/run_log.h"

#include <nlohmann/json.hpp>

namespace cowslipline::standin {

namespace {

constexpr std::size_t kMostNames = 100'000;

void
Count(std::map<std::string, std::uint64_t>& aCounts, const std::string& aName)
{
  if (!aName.empty() &&
      (aCounts.size() < kMostNames || aCounts.count(aName) > 0)) {
    ++aCounts[aName];
  }
}

} // namespace

void
run_log::Add(const std::string& aRequestId, const std::string& aIdempotencyKey)
{
  const std::lock_guard lock(mMutex);
  ++mRan;
  Count(mRequestIds, aRequestId);
  Count(mIdempotencyKeys, aIdempotencyKey);
}

void
run_log::NoteAuthorization()
{
  const std::lock_guard lock(mMutex);
  mHasSeenAuthorization = true;
}

void
run_log::CountShed()
{
  const std::lock_guard lock(mMutex);
  ++mShed;
}

void
run_log::CountCanceled()
{
  const std::lock_guard lock(mMutex);
  ++mCanceled;
}

std::string
run_log::RenderJson() const
{
  const std::lock_guard lock(mMutex);
  const nlohmann::json document = {
    { "ran", mRan },
    { "shed", mShed },
    { "canceled", mCanceled },
    { "authorization_seen", mHasSeenAuthorization },
    { "request_ids", mRequestIds },
    { "idempotency_keys", mIdempotencyKeys },
  };
  return document.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace cowslipline::standin
