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
  /// Name of the first selector, in document order, that permits the server.
  std::string selector;

  bool operator==(const Replica&) const = default;
};

/// One shard of a plan with its permitted replicas; may have none.
struct ShardRoute
{
  ShardId shard;
  std::vector<Replica> replicas;

  bool operator==(const ShardRoute&) const = default;
};

/// All shards that a query is about, pinned to one configuration version and
/// one index version. `code` is `Ok` or `NotRunDenied`; with the latter there
/// are no shards.
struct RoutePlan
{
  ResultCode code = ResultCode::NotRunDenied;
  ConfigVersion configVersion = 0;
  IndexVersion indexVersion = 0;
  std::vector<ShardRoute> shards;
};

} // namespace bronzedeal::version
