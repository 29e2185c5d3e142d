#pragma once

#include "modules/configuration/codec.h"
#include "platform/key_value_store.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowslipline {

/// Heads kept in the store, the one in force included.
constexpr std::uint64_t kHistoryLength = 20;

/// What is in force, as one reader saw it.
struct published_configuration
{
  /// Version of the store's value, for the compare-and-swap; 0 when nothing
  /// was published yet.
  std::uint64_t mStoreVersion = kAbsentVersion;
  configuration_head mHead;
  configuration_content mContent;
};

struct publication_accepted
{
  std::uint64_t mVersion = 0;
  std::size_t mChunksWritten = 0;
  std::size_t mBytesWritten = 0; ///< Chunks and head.
};
/// The content in force is the same already.
struct publication_unchanged
{
  std::uint64_t mVersion = 0;
};
/// Another publication was accepted first; this one had no effect.
struct publication_conflict
{
  std::uint64_t mVersionInForce = 0;
  std::string mAuthorInForce;
};
/// The change contradicts what is in force; each problem in words.
struct publication_refused
{
  std::vector<std::string> mProblems;
};

using publication_outcome = std::variant<publication_accepted,
                                         publication_unchanged,
                                         publication_conflict,
                                         publication_refused>;

struct publication_request
{
  std::string mAuthor;
  /// When set, the publication is a conflict unless this version is in force.
  std::optional<std::uint64_t> mExpectedVersion;
};

/// Publishes configurations in the store. Methods suspend the calling task.
/// Errors of all methods: errc::StoreUnavailable (nothing is in force that was
/// not before), errc::StoreAnswerLost (the publication may be in force and the
/// store does not answer), errc::NotFound and errc::MessageMalformed (the
/// store's content is damaged), errc::StoreValueTooLarge.
class publisher
{
public:
  /// Both must outlive the publisher.
  publisher(scheduler& aScheduler, key_value_store& aStore);

  result<published_configuration> ReadInForce(yield_context aYield);

  /// Replaces services and organisations; keys in force are kept as
  /// MergeKeys() describes.
  result<publication_outcome> Publish(const configuration_content& aContent,
                                      const publication_request& aRequest,
                                      yield_context aYield);

  /// Publishes services and organisations of an earlier version as a new one.
  /// Keys stay as they are in force. A version that is not in the history is
  /// refused.
  result<publication_outcome> Rollback(std::uint64_t aVersion,
                                       const publication_request& aRequest,
                                       yield_context aYield);

  /// Adds a key. Repeated by itself when another publication came first.
  result<publication_outcome> AddKey(const key_definition& aKey,
                                     const publication_request& aRequest,
                                     yield_context aYield);

  /// Withdraws a key for good. Repeated as AddKey().
  result<publication_outcome> WithdrawKey(std::string_view aId,
                                          const publication_request& aRequest,
                                          yield_context aYield);

  /// Heads from the one in force backwards, at most kHistoryLength.
  result<std::vector<configuration_head>> ReadHistory(yield_context aYield);

  /// The content of a version in force or in the history; empty when it is
  /// neither.
  result<std::optional<configuration_content>> ReadVersion(
    std::uint64_t aVersion,
    yield_context aYield);

private:
  /// Changes the content in force, or returns the problems.
  using content_change =
    std::function<std::vector<std::string>(configuration_content&)>;

  result<publication_outcome> PublishChange(
    const published_configuration& aInForce,
    const content_change& aChange,
    const publication_request& aRequest,
    yield_context aYield);
  result<publication_outcome> PublishRepeatedly(
    const content_change& aChange,
    const publication_request& aRequest,
    yield_context aYield);
  result<publication_outcome> SwapHead(const published_configuration& aInForce,
                                       const configuration_head& aHead,
                                       publication_accepted aAccepted,
                                       yield_context aYield);
  /// The outcome as the store shows it; empty when the head did not change.
  result<std::optional<publication_outcome>> ResolveSwap(
    std::uint64_t aStoreVersion,
    const configuration_head& aHead,
    const publication_accepted& aAccepted,
    yield_context aYield);
  result<bool> IsInHistory(const configuration_head& aHead,
                           yield_context aYield);
  result<void> KeepHistory(const published_configuration& aInForce,
                           yield_context aYield);
  void RemoveOldest(std::uint64_t aVersion, yield_context aYield);
  result<void> WriteChunks(const published_configuration& aInForce,
                           const encoded_content& aEncoded,
                           publication_accepted& aAccepted,
                           yield_context aYield);
  /// Writes an immutable value. False when it existed already.
  result<bool> WriteOnce(const std::string& aKey,
                         const std::string& aValue,
                         yield_context aYield);
  result<configuration_content> ReadContent(const configuration_head& aHead,
                                            yield_context aYield);

  scheduler& mScheduler;
  key_value_store& mStore;
};

} // namespace cowslipline
