#pragma once

#include <cstddef>
#include <random>
#include <vector>

namespace bronzedeal::gateway {

/// Selects the shards that a query leaves out at first.
///
/// Load pattern: all servers of some shards are slow or down, and more queries
/// come than they can answer. If each query waits for these shards, their
/// queues grow until no query reaches its coverage. A query that sends to them
/// only as far as its coverage needs them leaves their capacity to the others,
/// and random selection spreads what remains over them.
///
/// `aExpectedMs` holds the expected latency of each shard; infinity if it has
/// no usable server. Returns the indexes of at most `aMaxSkipped` shards that
/// are expected to take clearly longer than `aTimeLeftMs`, in ascending order.
[[nodiscard]] std::vector<std::size_t> SelectSkippedShards(
  const std::vector<double>& aExpectedMs,
  double aTimeLeftMs,
  std::size_t aMaxSkipped,
  std::minstd_rand& aRandom);

} // namespace bronzedeal::gateway
