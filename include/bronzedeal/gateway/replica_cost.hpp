#pragma once

#include "bronzedeal/types.hpp"

namespace bronzedeal::gateway {

/// What is known of one server when a request chooses among the servers of a
/// group. Times in milliseconds.
struct ReplicaStats
{
  /// Latency relative to the usual one of the same requests; 1 is usual.
  double relativeLatency = 1;
  /// Share of recent requests that failed, 0 to 1.
  double failureRate = 0;
  /// Age of the oldest request that waits for its answer; 0 without one.
  double oldestUnansweredMs = 0;
  unsigned inFlight = 0;
  unsigned queued = 0;
  unsigned slots = 1;
  bool sameFailureDomain = true;
};

/// What the request needs, in milliseconds.
struct RequestProfile
{
  /// Usual latency at a server.
  double medianLatencyMs = 10;
  /// Time within which the answer is worth most.
  double objectiveMs = 100;
};

/// Expected time to an answer, in milliseconds, with what a crossing between
/// failure domains and a likely failure cost expressed as time.
[[nodiscard]] double ReplicaCost(const ReplicaStats& aReplica,
                                 const RequestProfile& aRequest) noexcept;

/// True when the server has kept a request so long that it is likely paused.
[[nodiscard]] bool IsStalled(const ReplicaStats& aReplica,
                             const RequestProfile& aRequest) noexcept;

} // namespace bronzedeal::gateway
