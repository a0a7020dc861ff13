#pragma once

#include "bronzedeal/types.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace bronzedeal::gateway {

/// What the metadata service says of one backend server.
struct ServerRecord
{
  ServerId id;
  std::string group;
  boost::asio::ip::tcp::endpoint address;
  FailureDomain failureDomain;
  /// Requests that it works on at once.
  unsigned slots = 1;
  /// It leaves: no new work.
  bool draining = false;
  /// How long it stays cold, from when the record was written.
  milliseconds remainingColdTime{ 0 };
  /// Unix milliseconds of its start; a new start under the same id differs.
  std::uint64_t startedAtMs = 0;
};

} // namespace bronzedeal::gateway
