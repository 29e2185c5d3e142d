#include "modules/gateway/route_table.h"

namespace cowslipline {

namespace {

std::string_view
WithoutTrailingSlash(std::string_view aPath)
{
  if (!aPath.empty() && aPath.back() == '/') {
    aPath.remove_suffix(1);
  }
  return aPath;
}

} // namespace

route_table::route_table(snapshot_pointer aSnapshot)
  : mSnapshot(std::move(aSnapshot))
{
  for (route_index i = 0; i < mSnapshot->mRoutes.size(); ++i) {
    const auto& prefix = mSnapshot->mRoutes[i].mPathPrefix;
    mByPrefix[WithoutTrailingSlash(prefix)].push_back(i);
  }
}

const route_table::routes*
route_table::RoutesAt(std::string_view aPrefix) const
{
  const auto found = mByPrefix.find(aPrefix);
  return found == mByPrefix.end() ? nullptr : &found->second;
}

std::optional<route_index>
route_table::Among(const routes& aRoutes, std::string_view aMethod) const
{
  for (const auto index : aRoutes) {
    if (mSnapshot->mRoutes[index].mMethod == aMethod) {
      return index;
    }
  }
  return aMethod == "HEAD" ? Among(aRoutes, "GET") : std::nullopt;
}

tl::expected<route_index, refusal_reason>
route_table::Find(std::string_view aMethod, std::string_view aPath) const
{
  bool isKnown = false;
  auto prefix = WithoutTrailingSlash(aPath);
  while (true) {
    if (const auto* routes = RoutesAt(prefix)) {
      isKnown = true;
      if (const auto index = Among(*routes, aMethod)) {
        return *index;
      }
    }
    if (prefix.empty()) {
      break;
    }
    prefix = prefix.substr(0, prefix.rfind('/'));
  }
  return tl::unexpected(isKnown ? refusal_reason::MethodNotAllowed
                                : refusal_reason::RouteNotFound);
}

std::shared_ptr<const route_table>
route_table_cache::For(const snapshot_pointer& aSnapshot)
{
  const std::lock_guard lock(mMutex);
  if (mTable == nullptr || mTable->Snapshot() != aSnapshot) {
    mTable = std::make_shared<route_table>(aSnapshot);
  }
  return mTable;
}

} // namespace cowslipline
