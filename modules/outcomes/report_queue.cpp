#include "modules/outcomes/report_queue.h"

#include "core/check.h"

#include <algorithm>

namespace cowslipline {

namespace {

/// Entries at which IsFull() stops new claims; about 9 MiB with bodies of at
/// most 2 KiB. Attempts that are already granted may still add entries.
constexpr std::size_t kQueueLimit = 4096;

constexpr std::size_t kMaxRequestEntries = 256;
constexpr std::size_t kMaxRequestBytes = std::size_t{ 64 } << 10;
constexpr duration kRequestWait = std::chrono::seconds(2);
constexpr duration kInitialBackoff = std::chrono::milliseconds(50);
constexpr duration kMaxBackoff = std::chrono::seconds(3);

template<typename T>
bool
ContainsAttempt(const std::deque<log_entry>& aEntries, std::uint64_t aAttempt)
{
  return std::any_of(aEntries.begin(), aEntries.end(), [=](const auto& aEntry) {
    const auto* entry = std::get_if<T>(&aEntry);
    return entry != nullptr && entry->mAttempt == aAttempt;
  });
}

} // namespace

report_queue::report_queue(scheduler& aScheduler,
                           std::shared_ptr<peer_channel> aPeers,
                           std::shared_ptr<membership> aMembership,
                           std::shared_ptr<record_owner> aOwner,
                           std::uint64_t aSeed)
  : mScheduler(aScheduler)
  , mPeers(std::move(aPeers))
  , mMembership(std::move(aMembership))
  , mOwner(std::move(aOwner))
  , mRandom(aSeed)
{
}

bool
report_queue::IsFull() const
{
  return mSize >= kQueueLimit;
}

void
report_queue::AddFinish(finish_entry aEntry)
{
  const auto key = aEntry.mKey;
  const auto& entries = mShardQueues.at(ShardOf(AsView(key))).mEntries;
  COWSLIPLINE_INVARIANT(
    !ContainsAttempt<release_entry>(entries, aEntry.mAttempt),
    "an attempt finished after it was released as not run");
  if (ContainsAttempt<finish_entry>(entries, aEntry.mAttempt)) {
    return;
  }
  Add(key, std::move(aEntry));
}

void
report_queue::AddRelease(const release_entry& aEntry)
{
  const auto& entries = mShardQueues.at(ShardOf(AsView(aEntry.mKey))).mEntries;
  // An attempt that ran must stay recorded.
  if (ContainsAttempt<finish_entry>(entries, aEntry.mAttempt) ||
      ContainsAttempt<release_entry>(entries, aEntry.mAttempt)) {
    return;
  }
  Add(aEntry.mKey, aEntry);
}

void
report_queue::Add(const record_key& aKey, log_entry aEntry)
{
  const auto shard = ShardOf(AsView(aKey));
  auto& queue = mShardQueues.at(shard);
  queue.mEntries.push_back(std::move(aEntry));
  ++mSize;
  if (queue.mIsRunning) {
    return;
  }
  queue.mIsRunning = true;
  mScheduler.Spawn([self = shared_from_this(), shard](yield_context aYield) {
    self->Run(shard, aYield);
  });
}

void
report_queue::Run(shard_index aShard, yield_context aYield)
{
  auto& queue = mShardQueues.at(aShard);
  auto backoff = kInitialBackoff;
  while (!queue.mEntries.empty()) {
    const auto request = NextRequest(aShard);
    if (Deliver(request, aYield)) {
      const auto count = request.mEntries.size();
      queue.mEntries.erase(queue.mEntries.begin(),
                           queue.mEntries.begin() +
                             static_cast<std::ptrdiff_t>(count));
      mSize -= count;
      backoff = kInitialBackoff;
      continue;
    }
    // Half fixed, half random (jitter), so that instances don't retry at the
    // same time.
    const auto jitter = static_cast<duration::rep>(
      mRandom.Below(static_cast<std::uint64_t>(backoff.count())));
    mScheduler.SleepFor((backoff + duration(jitter)) / 2, aYield);
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
  queue.mIsRunning = false;
}

report_request
report_queue::NextRequest(shard_index aShard) const
{
  report_request request{ aShard, kRequestWait, {} };
  std::size_t bytes = 0;
  for (const auto& entry : mShardQueues.at(aShard).mEntries) {
    bytes += EntryBytes(entry);
    const bool isFull =
      request.mEntries.size() >= kMaxRequestEntries || bytes > kMaxRequestBytes;
    if (isFull && !request.mEntries.empty()) {
      break;
    }
    request.mEntries.push_back(entry);
  }
  return request;
}

bool
report_queue::Deliver(const report_request& aRequest, yield_context aYield)
{
  const auto owner = mMembership->OwnerOf(aRequest.mShard);
  if (owner == mMembership->Self().mName) {
    return mOwner->Report(aRequest, aYield) == report_status::Committed;
  }
  if (owner.empty()) {
    return false;
  }
  const auto reply = mPeers->Call(
    owner, kReportService, EncodeReportRequest(aRequest), kRequestWait, aYield);
  const auto status = reply ? DecodeReportStatus(*reply)
                            : result<report_status>(Fail(reply.error()));
  return status && *status == report_status::Committed;
}

} // namespace cowslipline
