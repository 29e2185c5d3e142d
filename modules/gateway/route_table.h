#pragma once

#include "modules/configuration/snapshot.h"
#include "modules/gateway/refusal_reason.h"

#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>

#include <tl/expected.hpp>

namespace cowslipline {

/// Finds the route of a request: the longest path prefix that takes the
/// method. HEAD is taken by routes for GET.
class route_table
{
public:
  explicit route_table(snapshot_pointer aSnapshot);

  /// Errors: RouteNotFound, MethodNotAllowed.
  tl::expected<route_index, refusal_reason> Find(std::string_view aMethod,
                                                 std::string_view aPath) const;
  const snapshot_pointer& Snapshot() const { return mSnapshot; }

private:
  using routes = std::vector<route_index>;
  const routes* RoutesAt(std::string_view aPrefix) const;
  std::optional<route_index> Among(const routes& aRoutes,
                                   std::string_view aMethod) const;

  snapshot_pointer mSnapshot;
  /// The keys are views into the snapshot, without a trailing slash.
  std::unordered_map<std::string_view, routes> mByPrefix;
};

/// Keeps the table of the newest snapshot. Safe from any thread.
class route_table_cache
{
public:
  std::shared_ptr<const route_table> For(const snapshot_pointer& aSnapshot);

private:
  std::mutex mMutex;
  std::shared_ptr<const route_table> mTable;
};

} // namespace cowslipline
