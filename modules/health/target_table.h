#pragma once

#include "core/scheduler.h"
#include "modules/health/target_state.h"

#include <functional>
#include <map>
#include <memory>

namespace cowslipline {

/// State of all services and targets at this instance. Follows the
/// configuration snapshots and keeps the state by name when a new one
/// renumbers.
class target_table
{
public:
  target_table(std::shared_ptr<scheduler> aScheduler,
               std::shared_ptr<snapshot_source> aSource);

  /// Switches to the newest snapshot, if it has changed, and returns it.
  const snapshot_pointer& Refresh();

  /// Each Find function switches to the newest snapshot first and returns null
  /// for an unknown service.
  service_state* Find(service_index aService);
  service_state* FindByName(std::string_view aName);
  service_state* FindByHash(std::uint32_t aHash);
  /// Settings of the service, which must be in the current snapshot.
  const service& SettingsOf(const service_state& aState) const;

  void ForEach(const std::function<void(service_state&)>& aFunction);

private:
  std::shared_ptr<service_state> Build(const service& aService);

  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<snapshot_source> mSource;
  snapshot_pointer mSnapshot;
  std::vector<std::shared_ptr<service_state>> mServices;
  std::map<std::string, service_index, std::less<>> mByName;
  std::map<std::uint32_t, service_index> mByHash;
};

} // namespace cowslipline
