#pragma once

#include "core/manual_scheduler.h"
#include "modules/outcomes/fleet_outcome_records.h"
#include "tests/fakes/memory_key_value_store.h"
#include "tests/fakes/memory_peer_network.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cowslipline::testing {

/// Store client that runs a hook before a call is sent and after its answer
/// has arrived, so that a test can pause an owner at either point.
class hooked_store final : public key_value_store
{
public:
  using hook = std::function<void(std::string_view aKey, yield_context aYield)>;

  explicit hooked_store(std::shared_ptr<memory_key_value_store> aStore)
    : mStore(std::move(aStore))
  {
  }

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

  hook mBefore;
  hook mAfter;

private:
  /// Runs one call between the hooks.
  template<typename F>
  auto Run(std::string_view aKey, yield_context aYield, F aCall);

  std::shared_ptr<memory_key_value_store> mStore;
};

/// Peer channel that can be closed when its instance crashes. The fake network
/// identifies instances by name only, so without this the tasks of a crashed
/// process could send under the name of the restarted one.
class crashable_channel final : public peer_channel
{
public:
  explicit crashable_channel(std::shared_ptr<peer_channel> aChannel)
    : mChannel(std::move(aChannel))
  {
  }

  void Send(const instance_name& aTo,
            std::string_view aService,
            std::string aPayload) override;
  result<std::string> Call(const instance_name& aTo,
                           std::string_view aService,
                           std::string aPayload,
                           duration aTimeout,
                           yield_context aYield) override;
  void Handle(std::string aService, peer_handler aHandler) override;

  bool mIsCrashed = false;

private:
  std::shared_ptr<peer_channel> mChannel;
};

/// A claim that runs in its own task.
struct started_claim
{
  /// Empty until the claim has returned.
  std::optional<result<claim_answer>> mAnswer;
};

/// One instance with its fakes.
struct test_instance
{
  std::shared_ptr<memory_key_value_store> mClient;
  std::shared_ptr<hooked_store> mStore;
  std::shared_ptr<fixed_membership> mMembership;
  std::shared_ptr<crashable_channel> mChannel;
  std::shared_ptr<metrics> mMetrics;
  std::shared_ptr<record_owner> mOwner;
  std::shared_ptr<fleet_outcome_records> mRecords;
};

/// Instances "i0", "i1", ... that share a store and a network in simulated
/// time.
class outcome_fleet
{
public:
  outcome_fleet(std::size_t aCount,
                std::uint64_t aSeed,
                const outcome_settings& aSettings = {});
  outcome_fleet(const outcome_fleet&) = delete;
  outcome_fleet& operator=(const outcome_fleet&) = delete;
  /// Runs every task to its end, since AddressSanitizer reports a false error
  /// when a suspended task is unwound
  /// (github.com/google/sanitizers/issues/189).
  ~outcome_fleet();

  test_instance& At(std::size_t aIndex) { return mInstances.at(aIndex); }
  std::size_t Size() const { return mInstances.size(); }
  /// Cuts the process off from the other instances and from the store.
  void Crash(std::size_t aIndex);
  /// Starts a new process under the same name.
  void Restart(std::size_t aIndex);
  /// Sets one instance's membership view to these live instances.
  void SetView(std::size_t aIndex, const std::vector<std::size_t>& aLive);
  void SetAllViews(const std::vector<std::size_t>& aLive);
  std::size_t OwnerOf(const std::string& aKey);

  /// Starts a claim and returns without waiting for its answer.
  std::shared_ptr<started_claim> Start(std::size_t aIndex,
                                       const std::string& aKey,
                                       duration aWait,
                                       std::uint64_t aFingerprint = 1);
  /// Runs the clock until the claim is answered. Error: errc::Timeout 10 s
  /// after aWait.
  result<claim_answer> Claim(std::size_t aIndex,
                             const std::string& aKey,
                             duration aWait = std::chrono::seconds(2),
                             std::uint64_t aFingerprint = 1);
  void Finish(std::size_t aIndex,
              const claim_answer& aAnswer,
              int aStatus,
              const std::string& aBody);

  static std::string NameOf(std::size_t aIndex);
  static claim MakeClaim(const std::string& aKey, std::uint64_t aFingerprint);

  manual_scheduler mClock;
  memory_peer_network mNetwork;
  std::shared_ptr<memory_store_content> mContent;

private:
  member MemberOf(std::size_t aIndex) const;
  void BuildInstance(std::size_t aIndex);
  void EndTasks(test_instance& aInstance);

  outcome_settings mSettings;
  std::uint64_t mSeed;
  std::vector<std::uint64_t> mBoots;
  std::vector<test_instance> mInstances;
  std::vector<test_instance> mCrashed;
};

} // namespace cowslipline::testing
