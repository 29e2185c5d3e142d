#include "apps/cowsliplined/register_modules.h"

#include "apps/cowsliplined/snapshot_codec.h"
#include "core/check.h"
#include "modules/fleet/fleet.h"
#include "modules/health/health.h"
#include "modules/limits/limits.h"
#include "modules/outcomes/outcomes.h"
#include "platform/platform.h"

#include <sodium.h>

namespace cowslipline {

namespace {

std::uint64_t
DrawSeed()
{
  std::uint64_t seed = 0;
  randombytes_buf(&seed, sizeof(seed));
  return seed;
}

result<void>
RegisterPlatform(kernel& aKernel, const daemon_settings& aSettings)
{
  const auto clock = aKernel.Find<scheduler>("scheduler");
  COWSLIPLINE_PROPAGATE(clock);
  const store_settings platform{ aSettings.mStoreHost, aSettings.mStorePort };
  COWSLIPLINE_PROPAGATE(aKernel.Register<key_value_store>(
    "store", std::make_shared<http_key_value_store>(**clock, platform)));
  COWSLIPLINE_PROPAGATE(aKernel.Register<instance_list>(
    "instance_list", std::make_shared<http_instance_list>(**clock, platform)));
  COWSLIPLINE_PROPAGATE(
    aKernel.Register("metrics", std::make_shared<metrics>()));
  COWSLIPLINE_PROPAGATE(aKernel.Register(
    "fleet_secret", std::make_shared<std::string>(aSettings.mFleetSecret)));
  return aKernel.Register("random_seed",
                          std::make_shared<std::uint64_t>(DrawSeed()));
}

result<void>
RegisterFleet(kernel& aKernel, const daemon_settings& aSettings)
{
  const auto clock = *aKernel.Find<scheduler>("scheduler");
  const auto counters = *aKernel.Find<metrics>("metrics");
  const auto store = *aKernel.Find<key_value_store>("store");
  const auto list = *aKernel.Find<instance_list>("instance_list");
  // A process that starts later under the same name has a later boot number.
  const auto boot = static_cast<std::uint64_t>(clock->WallNow());
  auto channel = websocket_peer_channel::Create(*clock,
                                                *counters,
                                                { aSettings.mInstance,
                                                  boot,
                                                  aSettings.mFleetSecret,
                                                  aSettings.mPeers.mAddress,
                                                  aSettings.mPeers.mPort });
  COWSLIPLINE_PROPAGATE(channel);
  membership_options options;
  options.mSelf = {
    aSettings.mInstance, aSettings.mAvailabilityZone, boot, instance_state::Live
  };
  options.mAddress = { aSettings.mPeers.mAddress, (*channel)->Port() };
  options.mRandomSeed = DrawSeed();
  const auto members =
    std::make_shared<membership_service>(*clock, *counters, *channel, options);
  members->SetAddressSink(
    [channel = *channel](const auto& aName, const auto& aAddress) {
      channel->SetAddress(aName, aAddress);
    });
  (*channel)->OnHeard([members](const auto& aFrom, std::uint64_t aBoot) {
    members->NoteHeard(aFrom, aBoot);
  });
  const auto distributor = std::make_shared<configuration_distributor>(
    *clock,
    *counters,
    store,
    *channel,
    members,
    std::make_shared<snapshot_codec>(*clock),
    DrawSeed());
  const auto reader =
    std::make_shared<instance_list_reader>(*clock, list, members);
  aKernel.OnStart([members, distributor, reader] {
    distributor->Start();
    members->Start();
    reader->Start();
  });
  aKernel.OnStop([members, distributor, reader, channel = *channel] {
    reader->Stop();
    distributor->Stop();
    members->Stop();
    channel->Stop();
  });
  COWSLIPLINE_PROPAGATE(
    aKernel.Register<peer_channel>("peer_channel", *channel));
  COWSLIPLINE_PROPAGATE(aKernel.Register("peer_links", *channel));
  COWSLIPLINE_PROPAGATE(aKernel.Register<membership>("membership", members));
  COWSLIPLINE_PROPAGATE(aKernel.Register("membership_service", members));
  COWSLIPLINE_PROPAGATE(
    aKernel.Register<snapshot_source>("snapshots", distributor));
  return aKernel.Register("configuration_distributor", distributor);
}

} // namespace

result<void>
RegisterModules(kernel& aKernel, const daemon_settings& aSettings)
{
  COWSLIPLINE_PROPAGATE(RegisterPlatform(aKernel, aSettings));
  COWSLIPLINE_PROPAGATE(RegisterFleet(aKernel, aSettings));
  COWSLIPLINE_PROPAGATE(RegisterLimits(aKernel));
  COWSLIPLINE_PROPAGATE(RegisterOutcomes(aKernel));
  return RegisterHealth(aKernel);
}

} // namespace cowslipline
