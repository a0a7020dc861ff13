#include "bronzedeal/gateway/replica_cost.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

/// Cost of an answer from another failure domain, as a part of the objective:
/// the bytes between domains are dear, but a late answer is dearer.
constexpr double kCrossingCost = 0.25;
/// A request that has waited this many times its usual latency, and
/// `kStallFloorMs` more, is taken for stalled.
constexpr double kStallFactor = 2.5;
constexpr double kStallFloorMs = 5;
/// Usual length of a server's pause (120 to 150 ms).
constexpr double kPauseMs = 150;

} // namespace

bool IsStalled(const ReplicaView& aReplica,
               const RequestView& aRequest) noexcept
{
  const double expected = aRequest.typicalMs * std::max(1.0, aReplica.slowness);
  return aReplica.oldestUnansweredMs > kStallFactor * expected + kStallFloorMs;
}

double ReplicaCost(const ReplicaView& aReplica,
                   const RequestView& aRequest) noexcept
{
  const double occupied =
    static_cast<double>(aReplica.inFlight + aReplica.queued) /
    std::max(1U, aReplica.slots);
  double cost = aRequest.typicalMs * aReplica.slowness * (1 + occupied);
  if (IsStalled(aReplica, aRequest)) {
    cost += std::max(kPauseMs - aReplica.oldestUnansweredMs / 2,
                     aReplica.oldestUnansweredMs / 2);
  }
  cost += aReplica.failureRate * aRequest.objectiveMs;
  if (!aReplica.sameFailureDomain) {
    cost += kCrossingCost * aRequest.objectiveMs;
  }
  return cost;
}

} // namespace bronzedeal::gateway
