#pragma once

#include "bronzedeal/gateway/http_message.hpp"
#include "bronzedeal/gateway/metadata_source.hpp"

#include <optional>
#include <string>
#include <vector>

namespace bronzedeal::gateway {

/// A request of one instance for what another one has read from the metadata
/// service.
struct RelayQuery
{
  MetadataTopic topic = MetadataTopic::Servers;
  /// Incarnation of the queried instance that `afterSequence` belongs to; 0
  /// requests all entries.
  Incarnation epoch = 0;
  /// Sequence number in that incarnation up to which the changes are known.
  std::uint64_t afterSequence = 0;
  /// Version of the configuration that is known and needn't be sent again.
  ConfigVersion configVersion = 0;
  /// How long the reply may wait for a change.
  milliseconds wait{ 0 };
};

/// The changes since the sequence number of a query, or all entries.
struct RelayReply
{
  /// Incarnation of the replying instance.
  Incarnation epoch = 0;
  /// The history of the service that the replying instance has read; absent if
  /// it isn't known.
  std::optional<MetadataEra> era;
  /// Number of the last change that the reply includes.
  std::uint64_t sequence = 0;
  std::vector<ServerRecord> servers;
  std::vector<ServerId> removedServers;
  /// Present when the querying instance has an older version.
  std::optional<RouteConfig> config;
  /// All failure domains that operators have withdrawn at present.
  std::vector<FailureDomain> withdrawnDomains;
  /// Failure domains that were withdrawn and are in use again.
  std::vector<FailureDomain> restoredDomains;
};

/// The HTTP request that carries the query.
[[nodiscard]] std::string EncodeRelayQuery(const RelayQuery& aQuery);

/// The query of a request; nothing when the request carries none or a malformed
/// one.
[[nodiscard]] std::optional<RelayQuery> DecodeRelayQuery(
  const RequestMessage& aRequest);

/// The JSON body of a reply.
[[nodiscard]] std::string EncodeRelayReply(const RelayReply& aReply);

/// The inverse of `EncodeRelayReply`; nothing when the text isn't well formed.
[[nodiscard]] std::optional<RelayReply> DecodeRelayReply(
  std::string_view aText);

} // namespace bronzedeal::gateway
