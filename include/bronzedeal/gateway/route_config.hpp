#pragma once

#include "bronzedeal/types.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzedeal::gateway {

/// Whether a request may run more than once.
enum class Repeatability
{
  Idempotent,
  AtMostOnce,
};

/// One target of a weighted route.
struct WeightedGroup
{
  std::string group;
  double weight = 1;
};

/// Maps callers' requests, selected by host and path prefix, to the server
/// groups that answer them.
struct Route
{
  std::string name;
  /// Host header of the request, without a port.
  std::string host;
  /// Path prefix; begins and ends with a slash.
  std::string prefix;
  Repeatability repeatability = Repeatability::Idempotent;
  /// Longest time until the caller has its final answer, from when its request
  /// arrived.
  milliseconds timeout{ 1000 };
  /// Target latency of an answer.
  milliseconds objective{ 100 };
  /// Number of servers on which one request may run; for a fan-out, per shard.
  unsigned maxAttempts = 1;
  /// 0 is the highest priority.
  unsigned priority = 0;
  /// Server groups of which one server answers; empty for a fan-out.
  std::vector<WeightedGroup> targets;
  /// Server groups of a fan-out, one per shard; empty for other routes.
  std::vector<std::string> shards;
  /// Number of greatest records that the answer of a fan-out holds.
  std::size_t topRecords = 0;
  /// Minimum fraction of the shards that an answer must include, 0 to 1.
  double minCoverage = 1;

  [[nodiscard]] bool IsFanout() const noexcept { return !shards.empty(); }
};

/// Servers that answer for the same shard or service, and their limits.
struct ServerGroup
{
  std::string name;
  /// Connections that each server accepts from all instances together.
  unsigned maxConnections = 1;
  /// Requests per second that a cold server of the group can take from all
  /// instances together.
  double warmupRate = 0;
};

/// Limits on the size and duration of a request and on idle connections.
struct CallerLimits
{
  std::size_t headerBytes = 16'384;
  std::size_t bodyBytes = 262'144;
  milliseconds headerTimeout{ 3000 };
  milliseconds idleTimeout{ 15'000 };
};

/// One published version of the routes, groups and limits.
struct RouteConfig
{
  ConfigVersion version = 0;
  std::vector<Route> routes;
  std::vector<ServerGroup> groups;
  CallerLimits limits;
};

} // namespace bronzedeal::gateway
