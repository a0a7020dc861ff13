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

/// What one gateway instance knows from its settings.
struct Settings
{
  std::string instance;
  FailureDomain failureDomain;
  std::string region;
  /// Where callers' requests arrive.
  boost::asio::ip::tcp::endpoint callerEndpoint;
  /// Where the platform asks whether the instance is ready.
  boost::asio::ip::tcp::endpoint readinessEndpoint;
  /// Where callers ask for addresses.
  boost::asio::ip::tcp::endpoint addressEndpoint;
  /// Metrics in the text format of Prometheus; absent: not served.
  std::optional<boost::asio::ip::tcp::endpoint> metricsEndpoint;
  /// Gossip between instances; all instances use the same port.
  boost::asio::ip::udp::endpoint gossipEndpoint;
  /// Instances to find the others through; may be stale or down.
  std::vector<boost::asio::ip::address> seeds;
  /// The platform's metadata service.
  boost::asio::ip::tcp::endpoint metadataEndpoint;
  /// Cores of this instance, for the share of callers that it gets.
  double cores = 1;
  /// Connections of all kinds that the process may hold.
  unsigned maxFileDescriptors = 1024;

  RetryLimits retryLimits;
  ColdServerLimits coldServerLimits;
  /// Between SIGTERM and the end of the process.
  milliseconds shutdownGrace{ 6000 };
  /// Longest time that callers may keep an address answer.
  milliseconds addressTtl{ 2000 };
  /// A server that leaves gets no new work after this.
  milliseconds maxDrainTime{ 3000 };
  HeaderNames headerNames;
};

} // namespace bronzedeal::gateway
