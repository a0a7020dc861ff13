#include "bronzedeal/gateway/replica_cost.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

/// Cost of an answer from another failure domain, as a part of the objective:
/// the bytes between domains are dear, but a late answer is dearer.
constexpr double kCrossDomainCostFraction = 0.25;
/// A request that has waited this many times its usual latency, and
/// `kStallFloorMs` more, is taken for stalled.
constexpr double kStallFactor = 2.5;
constexpr double kStallMarginMs = 5;
/// Usual length of a server's pause (120 to 150 ms).
constexpr double kTypicalPauseMs = 150;

} // namespace

bool IsStalled(const ReplicaStats& aReplica,
               const RequestProfile& aRequest) noexcept
{
  const double expected =
    aRequest.medianLatencyMs * std::max(1.0, aReplica.relativeLatency);
  return aReplica.oldestUnansweredMs > kStallFactor * expected + kStallMarginMs;
}

double ReplicaCost(const ReplicaStats& aReplica,
                   const RequestProfile& aRequest) noexcept
{
  const double load = static_cast<double>(aReplica.inFlight + aReplica.queued) /
                      std::max(1U, aReplica.slots);
  double cost =
    aRequest.medianLatencyMs * aReplica.relativeLatency * (1 + load);
  if (IsStalled(aReplica, aRequest)) {
    cost += std::max(kTypicalPauseMs - aReplica.oldestUnansweredMs / 2,
                     aReplica.oldestUnansweredMs / 2);
  }
  cost += aReplica.failureRate * aRequest.objectiveMs;
  if (!aReplica.sameFailureDomain) {
    cost += kCrossDomainCostFraction * aRequest.objectiveMs;
  }
  return cost;
}

} // namespace bronzedeal::gateway
