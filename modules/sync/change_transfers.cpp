#include "modules/sync/change_transfers.h"

#include "core/compression.h"
#include "core/hash.h"

#include <algorithm>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// With the fields of the message and the headers of IP and UDP it stays below
// the 1,500 bytes of an Ethernet frame. A larger datagram is lost whenever one
// of its fragments is.
constexpr std::size_t kPartBytes = 1200;

// Longest compressed changes; those of the largest configuration of a value of
// the store (1 MB) take a third of it.
constexpr std::size_t kMaxParts = 4096;

// Longest changes after decompression, in bytes.
constexpr std::size_t kMaxTextBytes = 16UL * 1024 * 1024;

// After this time without a further part the missing ones are asked for. A
// sender with a small share of a processor stands still for up to 100 ms, but
// waiting for that would take a tenth of the time in which a change must be in
// force.
constexpr duration kRepairWait = 40ms;

// Requests without any further part until the changes are given up.
constexpr int kMaxRepairs = 6;

// Indexes in one request, which has to fit into one packet.
constexpr std::size_t kMaxRequestedParts = 200;

// Transfers at a time. One reader sends one after the other; a second comes
// with a change of the reader.
constexpr std::size_t kMaxOpen = 4;

constexpr std::size_t kMaxEnded = 16;

} // namespace

split_changes
SplitChanges(const changes_reply& aChanges)
{
  split_changes split;
  split.mId = { aChanges.mGeneration,
                aChanges.mFromRevision,
                aChanges.mToRevision,
                Hash64(aChanges.mText) };
  if (aChanges.mText.size() > kMaxTextBytes) {
    return split;
  }
  const auto bytes = Compress(aChanges.mText);
  if (bytes.size() > kMaxParts * kPartBytes) {
    return split;
  }
  for (std::size_t begin = 0; begin < bytes.size(); begin += kPartBytes) {
    split.mParts.push_back(bytes.substr(begin, kPartBytes));
  }
  return split;
}

change_transfers::transfer*
change_transfers::Open(const changes_id& aId,
                       std::uint32_t aCount,
                       const udp_endpoint& aSender,
                       steady_time aNow)
{
  for (auto& open : mOpen) {
    if (open.mId == aId) {
      return open.mParts.size() == aCount ? &open : nullptr;
    }
  }
  if (aCount == 0 || aCount > kMaxParts) {
    return nullptr;
  }
  if (mOpen.size() == kMaxOpen) {
    Close(mOpen.front().mId);
  }
  mOpen.push_back({ aId,
                    aSender,
                    std::vector<std::string>(aCount),
                    aCount,
                    0,
                    aNow + kRepairWait });
  return &mOpen.back();
}

void
change_transfers::Close(changes_id aId)
{
  mOpen.remove_if([&](const transfer& aOpen) { return aOpen.mId == aId; });
  mEnded.push_back(aId);
  if (mEnded.size() > kMaxEnded) {
    mEnded.pop_front();
  }
}

void
change_transfers::Expect(const changes_id& aId,
                         std::uint32_t aCount,
                         const udp_endpoint& aSender,
                         steady_time aNow)
{
  // They may be announced again after they were given up.
  mEnded.erase(std::remove(mEnded.begin(), mEnded.end(), aId), mEnded.end());
  Open(aId, aCount, aSender, aNow);
}

std::optional<changes_reply>
change_transfers::OnPart(const changes_part& aPart,
                         const udp_endpoint& aSender,
                         steady_time aNow)
{
  if (std::find(mEnded.begin(), mEnded.end(), aPart.mId) != mEnded.end()) {
    return std::nullopt;
  }
  auto* open = Open(aPart.mId, aPart.mCount, aSender, aNow);
  if (open == nullptr || aPart.mIndex >= open->mParts.size() ||
      aPart.mBytes.empty() || !open->mParts[aPart.mIndex].empty()) {
    return std::nullopt;
  }
  open->mParts[aPart.mIndex] = aPart.mBytes;
  --open->mMissingCount;
  open->mRepairs = 0;
  open->mRepairAt = aNow + kRepairWait;
  if (open->mMissingCount > 0) {
    return std::nullopt;
  }
  std::string bytes;
  for (const auto& part : open->mParts) {
    bytes += part;
  }
  Close(aPart.mId);
  auto text = Decompress(bytes, kMaxTextBytes);
  if (!text || Hash64(*text) != aPart.mId.mDigest) {
    return std::nullopt;
  }
  changes_reply changes;
  changes.mGeneration = aPart.mId.mGeneration;
  changes.mFromRevision = aPart.mId.mFromRevision;
  changes.mToRevision = aPart.mId.mToRevision;
  changes.mText = std::move(*text);
  return changes;
}

bool
change_transfers::IsOpen(const changes_id& aId) const
{
  return std::any_of(mOpen.begin(), mOpen.end(), [&](const transfer& aOpen) {
    return aOpen.mId == aId;
  });
}

std::vector<change_transfers::repair>
change_transfers::TakeRepairs(steady_time aNow)
{
  std::vector<repair> repairs;
  std::vector<changes_id> givenUp;
  for (auto& open : mOpen) {
    if (aNow < open.mRepairAt) {
      continue;
    }
    if (open.mRepairs == kMaxRepairs) {
      givenUp.push_back(open.mId);
      continue;
    }
    ++open.mRepairs;
    open.mRepairAt = aNow + kRepairWait;
    repair due{ { open.mId, {} }, open.mSender };
    auto& missing = due.mRequest.mMissing;
    for (std::size_t i = 0;
         i < open.mParts.size() && missing.size() < kMaxRequestedParts;
         ++i) {
      if (open.mParts[i].empty()) {
        missing.push_back(static_cast<std::uint32_t>(i));
      }
    }
    repairs.push_back(std::move(due));
  }
  for (const auto& id : givenUp) {
    Close(id);
  }
  return repairs;
}

duration
change_transfers::TimeToRepair(steady_time aNow) const
{
  auto time = duration::max();
  for (const auto& open : mOpen) {
    time =
      std::min<duration>(time, std::max(open.mRepairAt - aNow, duration(0)));
  }
  return time;
}

} // namespace cowslipline
