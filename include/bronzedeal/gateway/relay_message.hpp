#pragma once

#include "bronzedeal/gateway/http_message.hpp"
#include "bronzedeal/gateway/server_record.hpp"

#include <optional>
#include <string>
#include <vector>

namespace bronzedeal::gateway {

/// An instance's question for the servers as another instance knows them.
struct RelayQuery
{
  /// Run of the asked instance that `after` belongs to; 0 asks for all servers.
  Incarnation epoch = 0;
  /// Sequence of that run up to which the changes are known.
  std::uint64_t after = 0;
  /// How long the answer may wait for a change.
  milliseconds wait{ 0 };
};

/// The servers that have changed, or all.
struct RelayReply
{
  Incarnation epoch = 0;
  std::uint64_t sequence = 0;
  std::vector<ServerRecord> servers;
  std::vector<ServerId> removed;
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
