#pragma once

#include "bronzedeal/gateway/cold_allowance.hpp"
#include "bronzedeal/gateway/header_names.hpp"
#include "bronzedeal/gateway/retry_budget.hpp"
#include "bronzedeal/types.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bronzedeal::gateway {

/// Settings of one gateway instance.
struct Settings
{
  std::string instance;
  FailureDomain failureDomain;
  std::string region;
  /// Receives callers' requests.
  boost::asio::ip::tcp::endpoint callerEndpoint;
  /// Answers readiness probes of the platform.
  boost::asio::ip::tcp::endpoint readinessEndpoint;
  /// Answers requests for the addresses of instances.
  boost::asio::ip::tcp::endpoint addressEndpoint;
  /// Serves metrics in the Prometheus text format; absent when they are not
  /// served.
  std::optional<boost::asio::ip::tcp::endpoint> metricsEndpoint;
  /// Gossip over UDP, and requests between instances over TCP. All instances
  /// use the same port.
  boost::asio::ip::udp::endpoint gossipEndpoint;
  /// Instances through which the others are found; some may be outdated or
  /// down.
  std::vector<boost::asio::ip::address> seeds;
  /// The platform's metadata service.
  boost::asio::ip::tcp::endpoint metadataEndpoint;
  /// CPU cores available to this instance; one of the criteria by which the
  /// instances that callers are sent to are selected.
  double cores = 1;
  /// Memory that this instance may use.
  std::size_t memoryBytes = std::size_t{ 256 } << 20;
  /// Maximum number of open file descriptors.
  unsigned maxFileDescriptors = 1024;

  RetryLimits retryLimits;
  ColdServerLimits coldServerLimits;
  /// Time between SIGTERM and the end of the process.
  milliseconds shutdownGrace{ 6000 };
  /// Longest time for which callers may cache addresses.
  milliseconds addressTtl{ 2000 };
  /// Time within which a leaving server must stop receiving new requests.
  milliseconds maxDrainTime{ 3000 };
  /// Time after a disturbance within which an instance must be current again.
  milliseconds contactTime{ 4000 };
  /// Time within which a published configuration must be in force.
  milliseconds configActivationTime{ 3000 };
  HeaderNames headerNames;
};

} // namespace bronzedeal::gateway
