#pragma once

#include "bronzedeal/gateway/peer_table.hpp"

#include <map>
#include <vector>

namespace bronzedeal::gateway {

/// The part of the fleet that sends requests to servers, as this instance sees
/// it.
struct FleetView
{
  /// Number of instances that callers are sent to, by failure domain.
  std::map<FailureDomain, unsigned> servingByDomain;
  /// Number of all instances that are alive.
  unsigned aliveCount = 1;
  /// True if callers are sent to this instance.
  bool isServing = false;
};

/// The view of the instance `aSelf`: `aAlive` are all instances that are alive,
/// `aServing` those of them that callers are sent to.
[[nodiscard]] FleetView MakeFleetView(const std::vector<PeerState>& aAlive,
                                      const std::vector<InstanceId>& aServing,
                                      const InstanceId& aSelf);

/// Divides the request rate that a server accepts among the instances. With the
/// same view at each instance, the shares for a server add up to 1.
///
/// Most requests to a server come from the serving instances of its failure
/// domain, which gather for the others, so these have the greater part. Reads
/// no clock.
class RateShares
{
public:
  explicit RateShares(FailureDomain aDomain);

  void Update(FleetView aView);

  /// This instance's share (0 to 1) of the rate of a server in that failure
  /// domain. Small until the first update: a process that has just started
  /// knows no other instance.
  [[nodiscard]] double ShareFor(const FailureDomain& aServerDomain) const;

private:
  FailureDomain mDomain;
  FleetView mView;
  unsigned mServingCount = 0;
  bool mIsFleetKnown = false;
};

} // namespace bronzedeal::gateway
