#pragma once

#include "core/scheduler.h"
#include "modules/health/target_state.h"

#include <functional>
#include <map>
#include <memory>

namespace cowslipline {

/// The state of all targets, kept by name across snapshots.
class target_table
{
public:
  target_table(std::shared_ptr<scheduler> aScheduler,
               std::shared_ptr<snapshot_source> aSource);

  /// Takes over a new snapshot, if there is one, and returns it.
  const snapshot_pointer& Refresh();

  /// The service of the current snapshot, or null.
  service_state* Find(service_index aService);
  service_state* FindByName(std::string_view aName);
  service_state* FindByHash(std::uint32_t aHash);
  /// Settings of a service of the current snapshot.
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
