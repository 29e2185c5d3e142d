#include "tests/fakes/membership_fleet.h"

namespace cowslipline::testing {

namespace {

constexpr duration kLongestTask = std::chrono::seconds(20);

} // namespace

membership_fleet::membership_fleet(std::size_t aCount, std::uint64_t aSeed)
  : mNetwork(mClock, aSeed)
  , mSeed(aSeed)
{
  mInstances.resize(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    mInstances[i] = Create(i);
  }
}

membership_fleet::~membership_fleet()
{
  for (std::size_t i = 0; i < mInstances.size(); ++i) {
    Kill(i);
  }
  // AddressSanitizer reports the unwinding of a suspended task by mistake, so
  // all tasks end first.
  mClock.Advance(kLongestTask);
}

std::string
membership_fleet::NameOf(std::size_t aIndex)
{
  return "entry-" + std::to_string(aIndex);
}

simulated_instance
membership_fleet::Create(std::size_t aIndex)
{
  simulated_instance instance;
  const auto seed = mSeed * 1000 + aIndex + mBoot;
  instance.mStore =
    std::make_shared<memory_key_value_store>(mClock, mContent, seed);
  instance.mChannel = mNetwork.Join(NameOf(aIndex));
  membership_options options;
  options.mSelf = { NameOf(aIndex),
                    "zone-" + std::to_string(aIndex % 3),
                    mBoot,
                    instance_state::Live };
  options.mAddress = { "127.0.0.1", static_cast<std::uint16_t>(aIndex + 1) };
  options.mRandomSeed = seed;
  instance.mMembership = std::make_shared<membership_service>(
    mClock, mMetrics, instance.mChannel, options);
  std::vector<listed_instance> list;
  for (std::size_t i = 0; i < mInstances.size(); ++i) {
    list.push_back({ NameOf(i), "127.0.0.1", 1, "zone", instance_state::Live });
  }
  instance.mMembership->ApplyList(list);
  instance.mDistributor =
    std::make_shared<configuration_distributor>(mClock,
                                                mMetrics,
                                                instance.mStore,
                                                instance.mChannel,
                                                instance.mMembership,
                                                std::make_shared<plain_codec>(),
                                                seed);
  instance.mDistributor->Start();
  instance.mMembership->Start();
  return instance;
}

void
membership_fleet::Kill(std::size_t aIndex)
{
  auto& instance = mInstances[aIndex];
  if (instance.mMembership) {
    instance.mMembership->Stop();
    instance.mDistributor->Stop();
    mNetwork.Leave(NameOf(aIndex));
    instance = {};
  }
}

void
membership_fleet::Restart(std::size_t aIndex)
{
  Kill(aIndex);
  ++mBoot;
  mInstances[aIndex] = Create(aIndex);
}

void
membership_fleet::Publish(std::uint64_t aVersion)
{
  const auto chunk = "chunk-" + std::to_string(aVersion);
  mContent->mValues["config/chunk/" + chunk] = { chunk, 1 };
  auto& head = mContent->mValues[kConfigurationHeadKey];
  head = { std::to_string(aVersion) + " " + chunk, head.mVersion + 1 };
}

std::size_t
membership_fleet::CountInForce(std::uint64_t aVersion) const
{
  std::size_t count = 0;
  for (const auto& instance : mInstances) {
    const bool isInForce =
      instance.mDistributor &&
      instance.mDistributor->Current()->mVersion == aVersion;
    count += isInForce ? 1 : 0;
  }
  return count;
}

} // namespace cowslipline::testing
