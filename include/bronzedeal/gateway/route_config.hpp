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

/// A selector over callers' requests (host and path prefix) and the labelled
/// server groups that they may reach.
struct Route
{
  std::string name;
  /// Host of the request, without a port.
  std::string host;
  /// Path prefix; begins and ends with a slash.
  std::string prefix;
  Repeatability repeatability = Repeatability::Idempotent;
  /// Longest time until the caller has its final answer.
  milliseconds timeout{ 1000 };
  /// Time within which an answer is worth most to the caller.
  milliseconds objective{ 100 };
  /// Servers that one caller request may run on; for a fan-out, per shard.
  unsigned maxAttempts = 1;
  /// 0 is the most urgent.
  unsigned priority = 0;
  /// Targets of a route to one server; empty for a fan-out.
  std::vector<WeightedGroup> targets;
  /// Groups that each answer for one shard; empty for a route to one server.
  std::vector<std::string> shards;
  /// Number of greatest records in a fan-out's answer.
  std::size_t topRecords = 0;
  /// Least share of the shards that makes an answer, in 0 to 1.
  double minCoverage = 1;

  [[nodiscard]] bool IsFanout() const noexcept { return !shards.empty(); }
};

/// Servers that answer for the same shard or service.
struct ServerGroup
{
  std::string name;
  /// Connections that a server accepts from all instances together.
  unsigned maxConnections = 1;
  /// Requests per second that a cold server bears, from all instances.
  double warmupRate = 0;
};

/// What a caller may send, and how long it may take.
struct CallerLimits
{
  std::size_t headerBytes = 16'384;
  std::size_t bodyBytes = 262'144;
  milliseconds headerTimeout{ 3000 };
  milliseconds idleTimeout{ 15'000 };
};

/// One published version of routes, groups and limits.
struct RouteConfig
{
  ConfigVersion version = 0;
  std::vector<Route> routes;
  std::vector<ServerGroup> groups;
  CallerLimits limits;
};

} // namespace bronzedeal::gateway
