#pragma once

#include "bronzedeal/gateway/backend_server.hpp"
#include "bronzedeal/gateway/peer_table.hpp"

#include <map>
#include <memory>

namespace bronzedeal::gateway {

/// Connections to the other serving instances. A peer of another failure domain
/// collects the answers of the shards whose servers are in its domain; any peer
/// may serve requests of an instance that lacks servers.
class PeerPool
{
public:
  explicit PeerPool(Process& aProcess);

  /// Adds the other ready, serving instances and retires the peers that are no
  /// longer among `aAlive`.
  void Update(const std::vector<PeerState>& aAlive);

  /// Excludes an instance from `FindLeastBusy` for one second, because it
  /// doesn't know the servers of a shard yet.
  void Suspend(const InstanceId& aInstance, TimePoint aNow);

  /// The usable peer of a failure domain with the fewest requests in flight and
  /// queued; null when all are suspended, unreachable, stalled or busy.
  [[nodiscard]] std::shared_ptr<BackendServer> FindLeastBusy(
    const FailureDomain& aDomain,
    TimePoint aNow) const;

  /// The usable one of these instances with the fewest requests in flight and
  /// queued, one of the own failure domain if there are several; null when none
  /// has room.
  [[nodiscard]] std::shared_ptr<BackendServer> FindHelper(
    const std::vector<InstanceId>& aInstances,
    TimePoint aNow) const;

private:
  Process& mProcess;
  std::map<InstanceId, std::shared_ptr<BackendServer>> mPeers;
  std::map<InstanceId, TimePoint> mSuspendedUntil;
};

} // namespace bronzedeal::gateway
