#include "bronzedeal/gateway/replica_cost.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

/// Penalty for a server in another failure domain, as a fraction of the
/// objective: traffic between failure domains is expensive, but a late answer
/// costs more.
constexpr double kCrossDomainCostFraction = 0.25;
/// A request in progress for longer than this multiple of its expected latency
/// plus `kStallMarginMs` counts as stalled.
constexpr double kStallFactor = 2.5;
constexpr double kStallMarginMs = 5;
/// Typical length of a server's pause (120 to 150 ms).
constexpr double kTypicalPauseMs = 150;

} // namespace

bool IsStalled(const ReplicaStats& aReplica,
               const RequestProfile& aRequest) noexcept
{
  const double expected =
    aRequest.medianLatencyMs * std::max(1.0, aReplica.relativeLatency);
  return aReplica.oldestUnansweredMs > kStallFactor * expected + kStallMarginMs;
}

double ExpectedLatencyMs(const ReplicaStats& aReplica,
                         const RequestProfile& aRequest) noexcept
{
  const double load = static_cast<double>(aReplica.inFlight + aReplica.queued) /
                      std::max(1U, aReplica.slots);
  double expected =
    aRequest.medianLatencyMs * aReplica.relativeLatency * (1 + load);
  if (IsStalled(aReplica, aRequest)) {
    expected += std::max(kTypicalPauseMs - aReplica.oldestUnansweredMs / 2,
                         aReplica.oldestUnansweredMs / 2);
  }
  return expected;
}

double ReplicaCost(const ReplicaStats& aReplica,
                   const RequestProfile& aRequest) noexcept
{
  double cost = ExpectedLatencyMs(aReplica, aRequest);
  cost += aReplica.failureRate * aRequest.objectiveMs;
  if (!aReplica.sameFailureDomain) {
    cost += kCrossDomainCostFraction * aRequest.objectiveMs;
  }
  return cost;
}

} // namespace bronzedeal::gateway
