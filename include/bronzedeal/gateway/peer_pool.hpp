#pragma once

#include "bronzedeal/gateway/backend_server.hpp"
#include "bronzedeal/gateway/peer_table.hpp"

#include <map>
#include <memory>

namespace bronzedeal::gateway {

/// Connections to the serving instances of other failure domains. Such a peer
/// collects the answers of the shards whose servers are in its domain.
class PeerPool
{
public:
  explicit PeerPool(Process& aProcess);

  /// Adds the ready, serving instances of other failure domains and retires the
  /// peers that are no longer among `aAlive`.
  void Update(const std::vector<PeerState>& aAlive);

  /// Excludes an instance from `FindLeastBusy` for one second, because it
  /// doesn't know the servers of a shard yet.
  void Suspend(const InstanceId& aInstance, TimePoint aNow);

  /// The usable peer of a failure domain with the fewest requests in flight and
  /// queued; null when all are suspended, unreachable, stalled or busy.
  [[nodiscard]] std::shared_ptr<BackendServer> FindLeastBusy(
    const FailureDomain& aDomain,
    TimePoint aNow) const;

private:
  Process& mProcess;
  std::map<InstanceId, std::shared_ptr<BackendServer>> mPeers;
  std::map<InstanceId, TimePoint> mSuspendedUntil;
};

} // namespace bronzedeal::gateway
