#pragma once

#include "core/manual_scheduler.h"
#include "modules/configuration/configuration.h"
#include "tests/configuration/generated_content.h"
#include "tests/fakes/memory_key_value_store.h"
#include "tests/story.h"

#include <functional>
#include <memory>

namespace cowslipline::testing {

/// Operators who publish into one store in memory.
class publication_fixture
{
public:
  publication_fixture()
    : mContent(std::make_shared<memory_store_content>())
  {
  }

  /// An operator with a connection of its own to the store.
  struct operator_desk
  {
    operator_desk(scheduler& aClock,
                  std::shared_ptr<memory_store_content> aContent,
                  std::uint64_t aSeed)
      : mStore(aClock, std::move(aContent), aSeed)
      , mPublisher(aClock, mStore)
    {
    }
    memory_key_value_store mStore;
    publisher mPublisher;
  };

  std::shared_ptr<operator_desk> NewOperator(std::uint64_t aSeed)
  {
    return std::make_shared<operator_desk>(mClock, mContent, aSeed);
  }

  /// Runs one call as a task and returns its result.
  template<typename T>
  T Run(const std::function<T(yield_context)>& aCall)
  {
    std::optional<T> answer;
    const bool isDone = mClock.RunUntilDone(
      [&](yield_context aYield) { answer.emplace(aCall(aYield)); },
      std::chrono::minutes(10));
    CHECK(isDone);
    return std::move(*answer);
  }

  using outcome = result<publication_outcome>;

  outcome Publish(const configuration_content& aContent)
  {
    return Run<outcome>([&](yield_context aYield) {
      return mFirst->mPublisher.Publish(aContent, { "ana", {} }, aYield);
    });
  }

  outcome Rollback(std::uint64_t aVersion)
  {
    return Run<outcome>([&](yield_context aYield) {
      return mFirst->mPublisher.Rollback(aVersion, { "ana", {} }, aYield);
    });
  }

  outcome Withdraw(const std::string& aId)
  {
    return Run<outcome>([&](yield_context aYield) {
      return mFirst->mPublisher.WithdrawKey(aId, { "ana", {} }, aYield);
    });
  }

  outcome Add(const key_definition& aKey)
  {
    return Run<outcome>([&](yield_context aYield) {
      return mFirst->mPublisher.AddKey(aKey, { "ana", {} }, aYield);
    });
  }

  published_configuration InForce()
  {
    auto inForce =
      Run<result<published_configuration>>([&](yield_context aYield) {
        return mFirst->mPublisher.ReadInForce(aYield);
      });
    CHECK(inForce.has_value());
    return std::move(*inForce);
  }

  /// The snapshot that an instance builds from the store.
  snapshot_pointer Snapshot()
  {
    const auto head = DecodeHead(mContent->mValues.at("config/head").mValue);
    CHECK(head.has_value());
    chunk_map chunks;
    for (const auto& digest : head->mChunks) {
      chunks[digest] = mContent->mValues.at(ChunkKey(digest)).mValue;
    }
    const auto decoded = DecodeSnapshot(*head, chunks);
    CHECK(decoded.has_value());
    return *decoded;
  }

  manual_scheduler mClock;
  std::shared_ptr<memory_store_content> mContent;
  std::shared_ptr<operator_desk> mFirst = NewOperator(1);
};

/// The accepted version, or 0 for any other outcome.
inline std::uint64_t
AcceptedVersion(const result<publication_outcome>& aOutcome)
{
  if (!aOutcome) {
    return 0;
  }
  const auto* accepted = std::get_if<publication_accepted>(&*aOutcome);
  return accepted == nullptr ? 0 : accepted->mVersion;
}

template<typename T>
bool
IsOutcome(const result<publication_outcome>& aOutcome)
{
  return aOutcome && std::holds_alternative<T>(*aOutcome);
}

/// A small valid content whose organisation has the rate.
inline configuration_content
ContentWithRate(double aRate)
{
  auto content = MakeContent({ 2, 4, 4, 3, 0 });
  content.mOrganisations[0].mRate = aRate;
  return content;
}

} // namespace cowslipline::testing
