#pragma once

#include "bronzedeal/types.hpp"

namespace bronzedeal::gateway {

/// Recent statistics of one server, used to choose among the servers of a
/// group.
struct ReplicaStats
{
  /// Latency divided by the median of the same route; 1 is typical.
  double relativeLatency = 1;
  /// Fraction of recent requests that failed, 0 to 1.
  double failureRate = 0;
  /// Age of the oldest request in progress; 0 if there is none.
  double oldestUnansweredMs = 0;
  /// Requests of this instance in progress at the server.
  unsigned inFlight = 0;
  /// Requests of this instance that wait for a connection to the server.
  unsigned queued = 0;
  /// Number of requests that the server processes concurrently.
  unsigned slots = 1;
  bool sameFailureDomain = true;
};

/// Latency expectations of one request.
struct RequestProfile
{
  /// Median latency of the route at a server.
  double medianLatencyMs = 10;
  /// Latency objective of the route.
  double objectiveMs = 100;
};

/// Time in milliseconds after which the server is expected to answer: its
/// recent latency, the requests of this instance before it, and the rest of a
/// pause.
[[nodiscard]] double ExpectedLatencyMs(const ReplicaStats& aReplica,
                                       const RequestProfile& aRequest) noexcept;

/// Cost of sending the request to the server, in milliseconds: the expected
/// latency plus penalties for likely failures and for another failure domain.
[[nodiscard]] double ReplicaCost(const ReplicaStats& aReplica,
                                 const RequestProfile& aRequest) noexcept;

/// True if a request has been in progress for so long that the server is likely
/// paused.
[[nodiscard]] bool IsStalled(const ReplicaStats& aReplica,
                             const RequestProfile& aRequest) noexcept;

} // namespace bronzedeal::gateway
