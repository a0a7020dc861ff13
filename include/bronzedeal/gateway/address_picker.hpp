#pragma once

#include "bronzedeal/types.hpp"

#include <boost/asio/ip/address.hpp>
#include <vector>

namespace bronzedeal::gateway {

/// An instance that callers may be sent to.
struct AddressCandidate
{
  boost::asio::ip::address address;
  /// Fraction of the shards that have a usable server in its failure domain, 0
  /// to 1.
  double locality = 0;
  double cores = 1;
  bool ready = true;
  /// It reaches servers of enough shards for every route.
  bool hasCoverage = true;
  FailureDomain failureDomain;
};

/// True if callers are likely sent to an instance with `aCores` in a fleet
/// whose largest instance has `aMostCores`: weaker ones delay queries over many
/// shards.
[[nodiscard]] bool IsStrongInstance(double aCores, double aMostCores) noexcept;

/// Selects the instances that callers should use: those with the most servers
/// in their own failure domain, since traffic between failure domains is
/// expensive, and as many others as the load requires. Among equal ones, each
/// failure domain gets the same number, so that parts of queries can be
/// gathered and metadata relayed in each of them. All instances with the same
/// candidates select the same addresses in the same order.
[[nodiscard]] std::vector<boost::asio::ip::address> PickAddresses(
  std::vector<AddressCandidate> aCandidates);

} // namespace bronzedeal::gateway
