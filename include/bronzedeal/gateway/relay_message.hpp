#pragma once

#include "bronzedeal/gateway/http_message.hpp"
#include "bronzedeal/gateway/metadata_source.hpp"

#include <optional>
#include <string>
#include <vector>

namespace bronzedeal::gateway {

/// An instance's question for what another instance has read of the metadata
/// service.
struct RelayQuery
{
  MetadataTopic topic = MetadataTopic::Servers;
  /// Run of the asked instance that `after` belongs to; 0 asks for everything.
  Incarnation epoch = 0;
  /// Sequence of that run up to which the changes are known.
  std::uint64_t afterSequence = 0;
  /// Configuration that needn't be sent again.
  ConfigVersion configVersion = 0;
  /// How long the answer may wait for a change.
  milliseconds wait{ 0 };
};

/// What has changed, or everything.
struct RelayReply
{
  Incarnation epoch = 0;
  std::uint64_t sequence = 0;
  std::vector<ServerRecord> servers;
  std::vector<ServerId> removedServers;
  /// Present when the asking instance has an older one.
  std::optional<RouteConfig> config;
  /// All failure domains that operators have taken out, and those of them that
  /// are in use again.
  std::vector<FailureDomain> withdrawnDomains;
  std::vector<FailureDomain> restoredDomains;
};

/// The bytes of a request from instance to instance.
[[nodiscard]] std::string EncodeRelayQuery(const RelayQuery& aQuery);

/// The question of a request; nothing when it is another kind of request.
[[nodiscard]] std::optional<RelayQuery> DecodeRelayQuery(
  const RequestMessage& aRequest);

/// JSON text.
[[nodiscard]] std::string EncodeRelayReply(const RelayReply& aReply);

/// Nothing when the text isn't well formed.
[[nodiscard]] std::optional<RelayReply> DecodeRelayReply(
  std::string_view aText);

} // namespace bronzedeal::gateway
