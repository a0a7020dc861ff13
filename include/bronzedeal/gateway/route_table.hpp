#pragma once

#include "bronzedeal/gateway/route_config.hpp"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace bronzedeal::gateway {

/// Immutable index of a `RouteConfig`. A request keeps the table that it
/// started with, so that all shards of an answer come from one version.
class RouteTable
{
public:
  explicit RouteTable(RouteConfig aConfig);

  /// The route of `aHost` with the longest prefix of `aPath`; null when none
  /// matches. A port in `aHost` and a query in `aPath` are ignored.
  [[nodiscard]] const Route* FindRoute(std::string_view aHost,
                                       std::string_view aPath) const;

  /// The group of that name; null when the version doesn't define it.
  [[nodiscard]] const ServerGroup* FindGroup(std::string_view aName) const;

  /// The highest `minCoverage` of the fan-out routes, 0 to 1; 0 without any.
  [[nodiscard]] double HighestMinCoverage() const noexcept
  {
    return mHighestMinCoverage;
  }

  [[nodiscard]] const RouteConfig& Config() const noexcept { return mConfig; }
  [[nodiscard]] ConfigVersion Version() const noexcept
  {
    return mConfig.version;
  }

private:
  RouteConfig mConfig;
  double mHighestMinCoverage = 0;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string_view, std::vector<const Route*>> mRoutesByHost;
  std::unordered_map<std::string_view, const ServerGroup*> mGroupsByName;
};

} // namespace bronzedeal::gateway
