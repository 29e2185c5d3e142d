#include "tests/outcomes/outcome_fleet.h"

#include <numeric>

namespace cowslipline::testing {

template<typename F>
auto
hooked_store::Run(std::string_view aKey, yield_context aYield, F aCall)
{
  if (mBefore) {
    mBefore(aKey, aYield);
  }
  auto answer = aCall();
  if (mAfter) {
    mAfter(aKey, aYield);
  }
  return answer;
}

result<std::optional<versioned_value>>
hooked_store::Read(std::string_view aKey, yield_context aYield)
{
  return Run(aKey, aYield, [&] { return mStore->Read(aKey, aYield); });
}

result<std::uint64_t>
hooked_store::CompareAndSwap(std::string_view aKey,
                             std::uint64_t aExpected,
                             std::string_view aValue,
                             yield_context aYield)
{
  return Run(aKey, aYield, [&] {
    return mStore->CompareAndSwap(aKey, aExpected, aValue, aYield);
  });
}

result<std::optional<versioned_value>>
hooked_store::Watch(std::string_view aKey,
                    std::uint64_t aAfter,
                    duration aWait,
                    yield_context aYield)
{
  return mStore->Watch(aKey, aAfter, aWait, aYield);
}

result<void>
hooked_store::Remove(std::string_view aKey,
                     std::uint64_t aExpected,
                     yield_context aYield)
{
  return Run(
    aKey, aYield, [&] { return mStore->Remove(aKey, aExpected, aYield); });
}

void
crashable_channel::Send(const instance_name& aTo,
                        std::string_view aService,
                        std::string aPayload)
{
  if (!mIsCrashed) {
    mChannel->Send(aTo, aService, std::move(aPayload));
  }
}

result<std::string>
crashable_channel::Call(const instance_name& aTo,
                        std::string_view aService,
                        std::string aPayload,
                        duration aTimeout,
                        yield_context aYield)
{
  if (mIsCrashed) {
    return Fail(errc::PeerUnreachable);
  }
  return mChannel->Call(aTo, aService, std::move(aPayload), aTimeout, aYield);
}

void
crashable_channel::Handle(std::string aService, peer_handler aHandler)
{
  mChannel->Handle(std::move(aService), std::move(aHandler));
}

outcome_fleet::outcome_fleet(std::size_t aCount,
                             std::uint64_t aSeed,
                             const outcome_settings& aSettings)
  : mNetwork(mClock, aSeed)
  , mContent(std::make_shared<memory_store_content>())
  , mSettings(aSettings)
  , mSeed(aSeed)
  , mBoots(aCount, 1)
  , mInstances(aCount)
{
  for (std::size_t index = 0; index < aCount; ++index) {
    BuildInstance(index);
  }
}

outcome_fleet::~outcome_fleet()
{
  mContent->mFaults = {};
  for (auto& instance : mCrashed) {
    EndTasks(instance);
  }
  for (auto& instance : mInstances) {
    EndTasks(instance);
  }
  mClock.Advance(std::chrono::seconds(30));
}

void
outcome_fleet::EndTasks(test_instance& aInstance)
{
  // As the only live member the instance owns every shard and can deliver all
  // of its reports to itself.
  const auto& self = aInstance.mMembership->Self();
  aInstance.mMembership->SetLive({ self });
  aInstance.mClient->SetCutOff(false);
  mNetwork.SetPaused(self.mName, false);
}

std::string
outcome_fleet::NameOf(std::size_t aIndex)
{
  return "i" + std::to_string(aIndex);
}

member
outcome_fleet::MemberOf(std::size_t aIndex) const
{
  return { NameOf(aIndex), "zone", mBoots.at(aIndex), instance_state::Live };
}

void
outcome_fleet::BuildInstance(std::size_t aIndex)
{
  const auto seed = mSeed * 1000 + aIndex * 100 + mBoots.at(aIndex) * 10;
  test_instance instance;
  instance.mClient =
    std::make_shared<memory_key_value_store>(mClock, mContent, seed);
  instance.mStore = std::make_shared<hooked_store>(instance.mClient);
  std::vector<member> live;
  for (std::size_t index = 0; index < mInstances.size(); ++index) {
    live.push_back(MemberOf(index));
  }
  instance.mMembership =
    std::make_shared<fixed_membership>(MemberOf(aIndex), live);
  instance.mChannel =
    std::make_shared<crashable_channel>(mNetwork.Join(NameOf(aIndex)));
  instance.mMetrics = std::make_shared<metrics>();
  instance.mOwner = std::make_shared<record_owner>(
    outcome_environment{
      &mClock, instance.mStore, instance.mMetrics, mSettings },
    instance.mMembership,
    seed + 1);
  instance.mRecords = std::make_shared<fleet_outcome_records>(
    fleet_outcome_records::services{ &mClock,
                                     instance.mChannel,
                                     instance.mMembership,
                                     instance.mMetrics,
                                     "secret" },
    instance.mOwner,
    seed + 2);
  instance.mRecords->HandlePeers();
  mInstances.at(aIndex) = std::move(instance);
}

void
outcome_fleet::Crash(std::size_t aIndex)
{
  mNetwork.Leave(NameOf(aIndex));
  At(aIndex).mChannel->mIsCrashed = true;
  At(aIndex).mClient->SetCutOff(true);
}

void
outcome_fleet::Restart(std::size_t aIndex)
{
  ++mBoots.at(aIndex);
  mCrashed.push_back(At(aIndex));
  BuildInstance(aIndex);
}

void
outcome_fleet::SetView(std::size_t aIndex,
                       const std::vector<std::size_t>& aLive)
{
  std::vector<member> live;
  live.reserve(aLive.size());
  for (const auto index : aLive) {
    live.push_back(MemberOf(index));
  }
  At(aIndex).mMembership->SetLive(std::move(live));
}

void
outcome_fleet::SetAllViews(const std::vector<std::size_t>& aLive)
{
  for (std::size_t index = 0; index < mInstances.size(); ++index) {
    SetView(index, aLive);
  }
}

claim
outcome_fleet::MakeClaim(const std::string& aKey, std::uint64_t aFingerprint)
{
  return {
    "org", "ledger.deposit", aKey, aFingerprint, std::chrono::seconds(2)
  };
}

std::size_t
outcome_fleet::OwnerOf(const std::string& aKey)
{
  const auto key = KeyedDigest16("secret",
                                 "3:org14:ledger.deposit" +
                                   std::to_string(aKey.size()) + ":" + aKey);
  const auto name = At(0).mMembership->OwnerOf(ShardOf(AsView(key)));
  return std::stoul(name.substr(1));
}

std::shared_ptr<started_claim>
outcome_fleet::Start(std::size_t aIndex,
                     const std::string& aKey,
                     duration aWait,
                     std::uint64_t aFingerprint)
{
  auto started = std::make_shared<started_claim>();
  mClock.Spawn([records = At(aIndex).mRecords,
                claim = MakeClaim(aKey, aFingerprint),
                aWait,
                started](yield_context aYield) {
    started->mAnswer = records->Claim(claim, aWait, aYield);
  });
  mClock.Poll();
  return started;
}

result<claim_answer>
outcome_fleet::Claim(std::size_t aIndex,
                     const std::string& aKey,
                     duration aWait,
                     std::uint64_t aFingerprint)
{
  const auto started = Start(aIndex, aKey, aWait, aFingerprint);
  const auto end = mClock.Now() + aWait + std::chrono::seconds(10);
  while (!started->mAnswer && mClock.Now() < end) {
    mClock.Advance(std::chrono::milliseconds(1));
  }
  return started->mAnswer ? *started->mAnswer : Fail(errc::Timeout);
}

void
outcome_fleet::Finish(std::size_t aIndex,
                      const claim_answer& aAnswer,
                      int aStatus,
                      const std::string& aBody)
{
  At(aIndex).mRecords->Finish(std::get<granted>(aAnswer).mAttempt,
                              { aStatus, "text/plain", aBody });
}

} // namespace cowslipline::testing
