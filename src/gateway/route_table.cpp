#include "bronzedeal/gateway/route_table.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

RouteTable::RouteTable(RouteConfig aConfig)
  : mConfig(std::move(aConfig))
{
  for (const auto& it : mConfig.routes) {
    mRoutesByHost[it.host].push_back(&it);
    if (it.IsFanout()) {
      mHighestMinCoverage = std::max(mHighestMinCoverage, it.minCoverage);
    }
  }
  for (auto& [host, routes] : mRoutesByHost) {
    std::stable_sort(
      routes.begin(), routes.end(), [](const auto* aLeft, const auto* aRight) {
        return aLeft->prefix.size() > aRight->prefix.size();
      });
  }
  for (const auto& it : mConfig.groups) {
    mGroupsByName.emplace(it.name, &it);
  }
}

const Route* RouteTable::FindRoute(std::string_view aHost,
                                   std::string_view aPath) const
{
  const auto host = mRoutesByHost.find(aHost.substr(0, aHost.find(':')));
  if (host == mRoutesByHost.end()) {
    return nullptr;
  }
  const auto path = aPath.substr(0, aPath.find('?'));
  for (const auto* it : host->second) {
    if (path.starts_with(it->prefix)) {
      return it;
    }
  }
  return nullptr;
}

const ServerGroup* RouteTable::FindGroup(std::string_view aName) const
{
  const auto it = mGroupsByName.find(aName);
  return it == mGroupsByName.end() ? nullptr : it->second;
}

} // namespace bronzedeal::gateway
