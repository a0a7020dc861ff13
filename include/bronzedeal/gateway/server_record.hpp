#pragma once

#include "bronzedeal/types.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace bronzedeal::gateway {

/// One backend server as listed by the metadata service.
struct ServerRecord
{
  ServerId id;
  /// Name of its server group.
  std::string group;
  boost::asio::ip::tcp::endpoint address;
  FailureDomain failureDomain;
  /// Number of requests that the server processes concurrently.
  unsigned slots = 1;
  /// The server is about to shut down and takes no new requests.
  bool draining = false;
  /// Time until the server counts as warm, from when the record was written.
  milliseconds remainingColdTime{ 0 };
  /// Start time in Unix milliseconds; tells restarts under the same id apart.
  std::uint64_t startedAtMs = 0;
  /// Number of the registration since the start of the server.
  std::uint64_t sequence = 0;
  /// It is another instance of the gateway. Limits that its answers state are
  /// those of the servers behind it.
  bool isInstance = false;
  /// An instance that states the id of the request in its answers, as servers
  /// do.
  bool statesRequestId = false;
};

/// True if both records are of the same server run, or `aRecord` of an earlier
/// one, and `aRecord` was written before `aKnown`.
[[nodiscard]] inline bool IsOlder(const ServerRecord& aRecord,
                                  const ServerRecord& aKnown) noexcept
{
  if (aRecord.startedAtMs != aKnown.startedAtMs) {
    return aRecord.startedAtMs < aKnown.startedAtMs;
  }
  return aRecord.address == aKnown.address && aRecord.group == aKnown.group &&
         aRecord.sequence < aKnown.sequence;
}

} // namespace bronzedeal::gateway
