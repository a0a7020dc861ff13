#pragma once

#include "bronzedeal/result_code.hpp"
#include "bronzedeal/types.hpp"

#include <string>
#include <vector>

namespace bronzedeal::version {

/// A backend server that may serve one shard of a plan.
struct Replica
{
  ServerId server;
  ServiceId service;
  std::string address;
  SliceId slice;
  /// Name of the selector that permits the server.
  std::string selector;
};

/// One shard of a plan with its permitted replicas; may have none.
struct ShardRoute
{
  ShardId shard;
  std::vector<Replica> replicas;
};

/// All shards that a query is about, pinned to one configuration version and
/// one index version.
struct RoutePlan
{
  ResultCode code = ResultCode::Ok;
  ConfigVersion configVersion = 0;
  IndexVersion indexVersion = 0;
  std::vector<ShardRoute> shards;
};

} // namespace bronzedeal::version
