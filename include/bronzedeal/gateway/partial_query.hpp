#pragma once

#include "bronzedeal/gateway/http_message.hpp"

#include <optional>
#include <string>
#include <vector>

namespace bronzedeal::gateway {

/// One shard of a partial query and the servers that it may be sent to, in
/// order of preference.
struct PartialShard
{
  std::string group;
  std::vector<ServerId> servers;
};

/// A partial query ends within this time, whatever it states.
inline constexpr milliseconds kMaxPartialTime = std::chrono::seconds(60);

/// The part of a fan-out query that another instance runs and merges because
/// the shards' servers are in its failure domain. Only the merged records cross
/// between failure domains, instead of the whole answer of each shard.
struct PartialQuery
{
  std::vector<PartialShard> shards;
  std::size_t topRecords = 0;
  /// 0 is the most urgent.
  unsigned priority = 0;
  /// Time from the receipt of the query until the merged records should be
  /// sent. From then on they are sent even if shards are missing.
  milliseconds answerTimeout{ 0 };
  /// Latency objective of the caller's route.
  milliseconds objective{ 100 };
  /// Other servers of these shards were sent the request before; the requesting
  /// instance has charged its retry budget for these sends.
  bool isHedge = false;
};

/// Result of one shard in a partial answer. A shard whose request reached no
/// server has no entry there.
struct ShardResult
{
  std::string group;
  /// Signature of the server's answer; empty if there was no answer.
  std::string signature;
};

/// A server that gets no request from the instance that ran a partial query,
/// because of the limit that the server states.
struct WithheldServer
{
  ServerId server;
  /// Time until the instance may send it a request.
  milliseconds wait{ 0 };
};

/// Returns the header lines that turn a caller's request into a partial query.
[[nodiscard]] std::string EncodePartialQuery(const PartialQuery& aQuery);

/// Parses the partial query of a request; nullopt if the headers are absent or
/// malformed.
[[nodiscard]] std::optional<PartialQuery> DecodePartialQuery(
  const RequestMessage& aRequest);

/// Removes the partial query headers so that they aren't forwarded to servers.
void RemovePartialQueryHeaders(RequestMessage& aRequest);

/// Returns the header line of a partial answer.
[[nodiscard]] std::string EncodeShardResults(
  const std::vector<ShardResult>& aResults);

/// Returns the header line that names the withheld servers of a partial answer;
/// empty if there are none.
[[nodiscard]] std::string EncodeWithheldServers(
  const std::vector<WithheldServer>& aServers);

/// Parses the withheld servers of a partial answer. Malformed entries are left
/// out.
[[nodiscard]] std::vector<WithheldServer> DecodeWithheldServers(
  const ResponseMessage& aResponse);

/// Parses the shard results of a partial answer; nullopt if the status isn't
/// 200 or the header is absent or malformed.
[[nodiscard]] std::optional<std::vector<ShardResult>> DecodeShardResults(
  const ResponseMessage& aResponse);

} // namespace bronzedeal::gateway
