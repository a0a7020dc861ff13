#pragma once

#include "bronzedeal/gateway/backend_server.hpp"
#include "bronzedeal/gateway/peer_table.hpp"

#include <map>
#include <memory>

namespace bronzedeal::gateway {

/// Connections to the serving instances of other failure domains, which gather
/// parts of queries there.
class PeerPool
{
public:
  explicit PeerPool(Process& aProcess);

  /// Takes the living instances; forgets those that are gone.
  void Update(const std::vector<PeerState>& aAlive);

  /// Leaves an instance alone for a while: it lacks what a query needs.
  void Suspend(const InstanceId& aInstance, TimePoint aNow);

  /// The least busy serving instance of a domain; null when there is none that
  /// answers.
  [[nodiscard]] std::shared_ptr<BackendServer> Find(
    const FailureDomain& aDomain,
    TimePoint aNow) const;

private:
  Process& mProcess;
  std::map<InstanceId, std::shared_ptr<BackendServer>> mPeers;
  std::map<InstanceId, TimePoint> mSuspendedUntil;
};

} // namespace bronzedeal::gateway
