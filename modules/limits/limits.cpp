#include "modules/limits/limits.h"

#include "core/check.h"

namespace cowslipline {

result<void>
RegisterLimits(kernel& aKernel)
{
  auto clock = aKernel.Find<scheduler>("scheduler");
  COWSLIPLINE_PROPAGATE(clock);
  auto store = aKernel.Find<key_value_store>("store");
  COWSLIPLINE_PROPAGATE(store);
  auto channel = aKernel.Find<peer_channel>("peer_channel");
  COWSLIPLINE_PROPAGATE(channel);
  auto members = aKernel.Find<membership>("membership");
  COWSLIPLINE_PROPAGATE(members);
  auto snapshots = aKernel.Find<snapshot_source>("snapshots");
  COWSLIPLINE_PROPAGATE(snapshots);
  auto counters = aKernel.Find<metrics>("metrics");
  COWSLIPLINE_PROPAGATE(counters);
  auto limiter = rate_limiter::Create(
    { *clock, *store, *channel, *members, *snapshots, *counters });
  aKernel.OnStart([limiter] { limiter->Start(); });
  return aKernel.Register<rate_limiter>("rate_limiter", limiter);
}

} // namespace cowslipline
