#pragma once

#include "bronzedeal/types.hpp"

#include <boost/asio/ip/address.hpp>
#include <vector>

namespace bronzedeal::gateway {

/// One instance that callers may be sent to.
struct AddressCandidate
{
  boost::asio::ip::address address;
  /// Share of the shards that have a usable server in its failure domain.
  double locality = 0;
  double cores = 1;
  bool ready = true;
  /// It can reach servers of enough shards for each route.
  bool hasCoverage = true;
};

/// The instances that callers should use: those nearest to the servers, since
/// answers between failure domains are dear, and as many further ones as the
/// work needs.
[[nodiscard]] std::vector<boost::asio::ip::address> PickAddresses(
  std::vector<AddressCandidate> aCandidates);

} // namespace bronzedeal::gateway
