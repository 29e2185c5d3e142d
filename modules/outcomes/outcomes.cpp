#include "modules/outcomes/outcomes.h"

#include "core/check.h"
#include "modules/outcomes/fleet_outcome_records.h"

#include <random>

namespace cowslipline {

namespace {

std::uint64_t
DrawSeed()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) | device();
}

} // namespace

result<void>
RegisterOutcomes(kernel& aKernel, const outcome_settings& aSettings)
{
  const auto clock = aKernel.Find<scheduler>("scheduler");
  COWSLIPLINE_PROPAGATE(clock);
  const auto store = aKernel.Find<key_value_store>("store");
  COWSLIPLINE_PROPAGATE(store);
  const auto peers = aKernel.Find<peer_channel>("peer_channel");
  COWSLIPLINE_PROPAGATE(peers);
  const auto members = aKernel.Find<membership>("membership");
  COWSLIPLINE_PROPAGATE(members);
  const auto counters = aKernel.Find<metrics>("metrics");
  COWSLIPLINE_PROPAGATE(counters);
  const auto secret = aKernel.Find<std::string>("fleet_secret");
  COWSLIPLINE_PROPAGATE(secret);
  auto owner = std::make_shared<record_owner>(
    outcome_environment{ clock->get(), *store, *counters, aSettings },
    *members,
    DrawSeed());
  auto records = std::make_shared<fleet_outcome_records>(
    fleet_outcome_records::services{
      clock->get(), *peers, *members, *counters, **secret },
    std::move(owner),
    DrawSeed());
  records->HandlePeers();
  return aKernel.Register<outcome_records>("outcome_records", records);
}

} // namespace cowslipline
