#pragma once

#include "bronzedeal/gateway/http_message.hpp"

#include <optional>
#include <string>
#include <vector>

namespace bronzedeal::gateway {

/// One shard of a partial query, and the servers that it may be sent to: the
/// first one first.
struct PartialShard
{
  std::string group;
  std::vector<ServerId> servers;
};

/// The part of a query that another instance gathers and merges, because the
/// shards' servers are in its failure domain: the merged records cross between
/// domains once, in place of the whole answer of each shard.
struct PartialQuery
{
  std::vector<PartialShard> shards;
  std::size_t topRecords = 0;
  unsigned priority = 0;
  /// By when the merged records are of most use, from the receipt on.
  milliseconds answerTimeout{ 0 };
  milliseconds objective{ 100 };
  /// Servers have been asked before; the asking instance has counted that.
  bool isHedge = false;
};

/// A shard that a partial answer includes, or that servers were asked for in
/// vain. Shards that were not asked for aren't named.
struct ShardResult
{
  std::string group;
  /// Empty without an answer of a server.
  std::string signature;
};

/// Header lines that turn a caller's request into a partial query.
[[nodiscard]] std::string EncodePartialQuery(const PartialQuery& aQuery);

/// The partial query of a request; nothing when the headers are absent or not
/// well formed.
[[nodiscard]] std::optional<PartialQuery> DecodePartialQuery(
  const RequestMessage& aRequest);

/// Removes the headers of the partial query, so that servers don't get them.
void RemovePartialQueryHeaders(RequestMessage& aRequest);

[[nodiscard]] std::string EncodeShardResults(
  const std::vector<ShardResult>& aResults);

/// The parts of a partial answer; nothing when it isn't one.
[[nodiscard]] std::optional<std::vector<ShardResult>> DecodeShardResults(
  const ResponseMessage& aResponse);

} // namespace bronzedeal::gateway
