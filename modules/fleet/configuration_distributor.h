#pragma once

#include "core/metrics.h"
#include "core/random.h"
#include "modules/configuration/snapshot.h"
#include "modules/fleet/configuration_codec.h"
#include "modules/fleet/membership_service.h"
#include "platform/key_value_store.h"

#include <memory>
#include <mutex>
#include <optional>

namespace cowslipline {

/// Whether the instance may serve, as far as its configuration goes.
enum class configuration_state
{
  /// No version is confirmed yet.
  Starting,
  Current,
  /// Revocations may have been missed: guarded routes must be refused.
  Isolated,
};

/// Brings the configuration from the store to every instance: a few instances
/// watch the store, the others fetch from peers. The version in force only
/// grows.
class configuration_distributor final
  : public snapshot_source
  , public std::enable_shared_from_this<configuration_distributor>
{
public:
  configuration_distributor(scheduler& aScheduler,
                            metrics& aMetrics,
                            std::shared_ptr<key_value_store> aStore,
                            std::shared_ptr<peer_channel> aChannel,
                            std::shared_ptr<membership_service> aMembership,
                            std::shared_ptr<configuration_codec> aCodec,
                            std::uint64_t aRandomSeed);

  /// Safe from any thread.
  snapshot_pointer Current() const override;

  /// Control thread only.
  configuration_state State() const;

  void Start();
  void Stop() { mIsStopped = true; }

private:
  void RegisterHandlers();
  void RunStart(yield_context aYield);
  void RunWatch(yield_context aYield);
  void WatchOnce(yield_context aYield);
  void ReadStore(yield_context aYield);
  bool IsWatcher() const;
  std::optional<duration> ConfirmationAge() const;
  void NoteConfirmation(duration aAge);

  void OnDigest(const instance_name& aFrom, const digest_extra& aExtra);
  void FetchFromPeer(const instance_name& aPeer, yield_context aYield);
  std::size_t AskPeers(yield_context aYield);
  result<void> Adopt(const std::string& aHead,
                     const std::optional<instance_name>& aPeer,
                     yield_context aYield);
  result<std::string> FetchChunk(const std::string& aName,
                                 const std::optional<instance_name>& aPeer,
                                 yield_context aYield);
  void PutInForce(snapshot_pointer aSnapshot,
                  const std::string& aHead,
                  named_chunks aChunks);

  scheduler& mScheduler;
  metrics& mMetrics;
  std::shared_ptr<key_value_store> mStore;
  std::shared_ptr<peer_channel> mChannel;
  std::shared_ptr<membership_service> mMembership;
  std::shared_ptr<configuration_codec> mCodec;
  random_source mRandom;

  mutable std::mutex mSnapshotMutex;
  snapshot_pointer mSnapshot;

  std::string mHead;
  named_chunks mChunks;
  std::uint64_t mStoreVersion = 0;
  bool mIsFetching = false;
  bool mIsConfirmed = false;
  bool mIsStopped = false;
  std::optional<steady_time> mConfirmedAt;
  steady_time mNextFallbackRead;
};

} // namespace cowslipline
