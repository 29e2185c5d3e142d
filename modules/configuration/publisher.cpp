#include "modules/configuration/publisher.h"

#include "core/check.h"
#include "modules/configuration/access_keys.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <sodium.h>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Attempts at a write whose answer was lost, before the outcome is reported as
// not known.
constexpr int kWriteAttempts = 5;
constexpr duration kRetryPause = 200ms;
// Attempts at a change of one key against other publications.
constexpr int kPublicationAttempts = 20;
// 100 writes/s at most: outcome records take up to 256 of the several hundred
// that the store gives.
constexpr duration kChunkPause = 10ms;
constexpr std::size_t kLongestAuthor = 500;

std::string
MakePublicationId()
{
  std::array<std::uint8_t, 16> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  return ToHex(AsView(bytes));
}

std::vector<std::string>
ReplaceContent(const configuration_content& aNew,
               configuration_content& aContent)
{
  auto merged = MergeContent(aContent, aNew);
  if (!merged) {
    return merged.error();
  }
  aContent = std::move(*merged);
  return {};
}

std::vector<std::string>
InsertKey(const key_definition& aKey, configuration_content& aContent)
{
  const auto& organisations = aContent.mOrganisations;
  if (std::none_of(
        organisations.begin(), organisations.end(), [&](const auto& aEntry) {
          return aEntry.mName == aKey.mOrganisationName;
        })) {
    return { "unknown organisation \"" + aKey.mOrganisationName + "\"" };
  }
  for (const auto& key : aContent.mKeys) {
    // The same digest means that an earlier attempt was applied.
    if (key.mId == aKey.mId && key.mDigest != aKey.mDigest) {
      return { "key \"" + aKey.mId + "\" exists" };
    }
  }
  auto keys = MergeKeys(aContent.mKeys, { aKey });
  if (!keys) {
    return keys.error();
  }
  aContent.mKeys = std::move(*keys);
  return {};
}

std::vector<std::string>
MarkWithdrawn(std::string_view aId, configuration_content& aContent)
{
  for (auto& key : aContent.mKeys) {
    if (key.mId == aId) {
      key.mIsWithdrawn = true;
      return {};
    }
  }
  return { "unknown key \"" + std::string(aId) + "\"" };
}

publication_conflict
ConflictWith(const configuration_head& aHead)
{
  return { aHead.mVersion, aHead.mAuthor };
}

} // namespace

publisher::publisher(scheduler& aScheduler, key_value_store& aStore)
  : mScheduler(aScheduler)
  , mStore(aStore)
{
}

result<published_configuration>
publisher::ReadInForce(yield_context aYield)
{
  const auto read = mStore.Read(kHeadKey, aYield);
  COWSLIPLINE_PROPAGATE(read);
  published_configuration inForce;
  if (!*read) {
    return inForce;
  }
  auto head = DecodeHead((*read)->mValue);
  COWSLIPLINE_PROPAGATE(head);
  auto content = ReadContent(*head, aYield);
  COWSLIPLINE_PROPAGATE(content);
  inForce.mStoreVersion = (*read)->mVersion;
  inForce.mHead = std::move(*head);
  inForce.mContent = std::move(*content);
  return inForce;
}

result<configuration_content>
publisher::ReadContent(const configuration_head& aHead, yield_context aYield)
{
  chunk_map chunks;
  for (const auto& digest : aHead.mChunks) {
    auto read = mStore.Read(ChunkKey(digest), aYield);
    COWSLIPLINE_PROPAGATE(read);
    if (!*read) {
      return Fail(errc::NotFound);
    }
    chunks.emplace(digest, std::move((*read)->mValue));
  }
  return DecodeContent(aHead, chunks);
}

result<publication_outcome>
publisher::Publish(const configuration_content& aContent,
                   const publication_request& aRequest,
                   yield_context aYield)
{
  const auto inForce = ReadInForce(aYield);
  COWSLIPLINE_PROPAGATE(inForce);
  return PublishChange(
    *inForce,
    [&aContent](configuration_content& aCurrent) {
      return ReplaceContent(aContent, aCurrent);
    },
    aRequest,
    aYield);
}

result<publication_outcome>
publisher::Rollback(std::uint64_t aVersion,
                    const publication_request& aRequest,
                    yield_context aYield)
{
  const auto inForce = ReadInForce(aYield);
  COWSLIPLINE_PROPAGATE(inForce);
  const auto older = ReadVersion(aVersion, aYield);
  COWSLIPLINE_PROPAGATE(older);
  if (!*older) {
    return publication_refused{ { "version " + std::to_string(aVersion) +
                                  " is not in the history" } };
  }
  return PublishChange(
    *inForce,
    [&older](configuration_content& aCurrent) {
      aCurrent.mServices = (*older)->mServices;
      aCurrent.mOrganisations = (*older)->mOrganisations;
      return std::vector<std::string>();
    },
    aRequest,
    aYield);
}

result<publication_outcome>
publisher::AddKey(const key_definition& aKey,
                  const publication_request& aRequest,
                  yield_context aYield)
{
  return PublishRepeatedly(
    [&aKey](configuration_content& aContent) {
      return InsertKey(aKey, aContent);
    },
    aRequest,
    aYield);
}

result<publication_outcome>
publisher::WithdrawKey(std::string_view aId,
                       const publication_request& aRequest,
                       yield_context aYield)
{
  return PublishRepeatedly(
    [aId](configuration_content& aContent) {
      return MarkWithdrawn(aId, aContent);
    },
    aRequest,
    aYield);
}

result<publication_outcome>
publisher::PublishRepeatedly(const content_change& aChange,
                             const publication_request& aRequest,
                             yield_context aYield)
{
  for (int attempt = 1;; ++attempt) {
    const auto inForce = ReadInForce(aYield);
    COWSLIPLINE_PROPAGATE(inForce);
    auto outcome = PublishChange(*inForce, aChange, aRequest, aYield);
    if (!outcome || attempt == kPublicationAttempts ||
        aRequest.mExpectedVersion ||
        !std::holds_alternative<publication_conflict>(*outcome)) {
      return outcome;
    }
  }
}

result<publication_outcome>
publisher::PublishChange(const published_configuration& aInForce,
                         const content_change& aChange,
                         const publication_request& aRequest,
                         yield_context aYield)
{
  if (aRequest.mExpectedVersion &&
      *aRequest.mExpectedVersion != aInForce.mHead.mVersion) {
    return ConflictWith(aInForce.mHead);
  }
  auto content = aInForce.mContent;
  auto problems = aChange(content);
  if (!problems.empty()) {
    return publication_refused{ std::move(problems) };
  }
  const auto encoded = EncodeContent(content);
  COWSLIPLINE_PROPAGATE(encoded);
  if (aInForce.mStoreVersion != kAbsentVersion &&
      encoded->mDigests == aInForce.mHead.mChunks) {
    return publication_unchanged{ aInForce.mHead.mVersion };
  }
  configuration_head head;
  head.mVersion = aInForce.mHead.mVersion + 1;
  head.mPreviousVersion = aInForce.mHead.mVersion;
  head.mPublicationId = MakePublicationId();
  head.mAuthor = aRequest.mAuthor.substr(0, kLongestAuthor);
  head.mPublishedAt = mScheduler.WallNow();
  head.mChunks = encoded->mDigests;

  publication_accepted accepted;
  accepted.mVersion = head.mVersion;
  const auto written = WriteChunks(aInForce, *encoded, accepted, aYield);
  COWSLIPLINE_PROPAGATE(written);
  const auto kept = KeepHistory(aInForce, aYield);
  COWSLIPLINE_PROPAGATE(kept);
  return SwapHead(aInForce, head, accepted, aYield);
}

result<void>
publisher::WriteChunks(const published_configuration& aInForce,
                       const encoded_content& aEncoded,
                       publication_accepted& aAccepted,
                       yield_context aYield)
{
  const std::set<digest16> present(aInForce.mHead.mChunks.begin(),
                                   aInForce.mHead.mChunks.end());
  bool isLater = false;
  for (const auto& [digest, bytes] : aEncoded.mChunks) {
    if (present.count(digest) > 0) {
      continue;
    }
    if (std::exchange(isLater, true)) {
      mScheduler.SleepFor(kChunkPause, aYield);
    }
    const auto written = WriteOnce(ChunkKey(digest), bytes, aYield);
    COWSLIPLINE_PROPAGATE(written);
    if (*written) {
      ++aAccepted.mChunksWritten;
      aAccepted.mBytesWritten += bytes.size();
    }
  }
  return {};
}

result<bool>
publisher::WriteOnce(const std::string& aKey,
                     const std::string& aValue,
                     yield_context aYield)
{
  for (int attempt = 1;; ++attempt) {
    const auto written =
      mStore.CompareAndSwap(aKey, kAbsentVersion, aValue, aYield);
    if (written) {
      return true;
    }
    if (written.error() == errc::StoreConflict) {
      return attempt > 1;
    }
    if (written.error() != errc::StoreAnswerLost) {
      return Fail(written.error());
    }
    const auto read = mStore.Read(aKey, aYield);
    if (read && *read) {
      return true;
    }
    // Nothing is in force before the head is swapped, so a write that cannot
    // be confirmed is the same as an unavailable store.
    if (attempt == kWriteAttempts) {
      return Fail(errc::StoreUnavailable);
    }
    mScheduler.SleepFor(kRetryPause, aYield);
  }
}

result<void>
publisher::KeepHistory(const published_configuration& aInForce,
                       yield_context aYield)
{
  if (aInForce.mStoreVersion == kAbsentVersion) {
    return {};
  }
  // The replaced head is kept before the swap, not the new one after it: a
  // publisher that ends in between leaves no gap.
  const auto written = WriteOnce(
    HistoryKey(aInForce.mHead.mVersion), EncodeHead(aInForce.mHead), aYield);
  COWSLIPLINE_PROPAGATE(written);
  return {};
}

result<publication_outcome>
publisher::SwapHead(const published_configuration& aInForce,
                    const configuration_head& aHead,
                    publication_accepted aAccepted,
                    yield_context aYield)
{
  const auto bytes = EncodeHead(aHead);
  aAccepted.mBytesWritten += bytes.size();
  for (int attempt = 1;; ++attempt) {
    const auto swapped =
      mStore.CompareAndSwap(kHeadKey, aInForce.mStoreVersion, bytes, aYield);
    if (swapped) {
      RemoveOldest(aHead.mVersion, aYield);
      return aAccepted;
    }
    const bool isAmbiguous = swapped.error() == errc::StoreAnswerLost ||
                             swapped.error() == errc::StoreConflict;
    // An earlier attempt whose answer was lost may still be applied.
    if (!isAmbiguous && attempt == 1) {
      return Fail(swapped.error());
    }
    const auto resolved =
      ResolveSwap(aInForce.mStoreVersion, aHead, aAccepted, aYield);
    if (resolved && *resolved) {
      return **resolved;
    }
    // The same swap again decides: either it is applied now, or the earlier
    // one was.
    if (attempt == kWriteAttempts) {
      return Fail(errc::StoreAnswerLost);
    }
    mScheduler.SleepFor(kRetryPause, aYield);
  }
}

result<std::optional<publication_outcome>>
publisher::ResolveSwap(std::uint64_t aStoreVersion,
                       const configuration_head& aHead,
                       const publication_accepted& aAccepted,
                       yield_context aYield)
{
  using resolution = std::optional<publication_outcome>;
  const auto read = mStore.Read(kHeadKey, aYield);
  COWSLIPLINE_PROPAGATE(read);
  if (!*read || (*read)->mVersion == aStoreVersion) {
    return resolution();
  }
  const auto head = DecodeHead((*read)->mValue);
  COWSLIPLINE_PROPAGATE(head);
  if (head->mPublicationId == aHead.mPublicationId) {
    RemoveOldest(aHead.mVersion, aYield);
    return resolution(aAccepted);
  }
  // A later publication may have replaced this one already.
  const auto isReplaced = IsInHistory(aHead, aYield);
  COWSLIPLINE_PROPAGATE(isReplaced);
  if (*isReplaced) {
    return resolution(aAccepted);
  }
  return resolution(ConflictWith(*head));
}

result<bool>
publisher::IsInHistory(const configuration_head& aHead, yield_context aYield)
{
  const auto read = mStore.Read(HistoryKey(aHead.mVersion), aYield);
  COWSLIPLINE_PROPAGATE(read);
  if (!*read) {
    return false;
  }
  const auto head = DecodeHead((*read)->mValue);
  COWSLIPLINE_PROPAGATE(head);
  return head->mPublicationId == aHead.mPublicationId;
}

void
publisher::RemoveOldest(std::uint64_t aVersion, yield_context aYield)
{
  if (aVersion <= kHistoryLength) {
    return;
  }
  // A failure leaves one head too many and harms nothing.
  const auto key = HistoryKey(aVersion - kHistoryLength);
  const auto read = mStore.Read(key, aYield);
  if (read && *read) {
    mStore.Remove(key, (*read)->mVersion, aYield);
  }
}

result<std::vector<configuration_head>>
publisher::ReadHistory(yield_context aYield)
{
  std::vector<configuration_head> heads;
  auto key = std::string(kHeadKey);
  while (heads.size() < kHistoryLength) {
    const auto read = mStore.Read(key, aYield);
    COWSLIPLINE_PROPAGATE(read);
    if (!*read) {
      break;
    }
    auto head = DecodeHead((*read)->mValue);
    COWSLIPLINE_PROPAGATE(head);
    key = HistoryKey(head->mPreviousVersion);
    heads.push_back(std::move(*head));
  }
  return heads;
}

result<std::optional<configuration_content>>
publisher::ReadVersion(std::uint64_t aVersion, yield_context aYield)
{
  const auto heads = ReadHistory(aYield);
  COWSLIPLINE_PROPAGATE(heads);
  for (const auto& head : *heads) {
    if (head.mVersion == aVersion) {
      auto content = ReadContent(head, aYield);
      COWSLIPLINE_PROPAGATE(content);
      return std::optional<configuration_content>(std::move(*content));
    }
  }
  return std::optional<configuration_content>();
}

} // namespace cowslipline
