#include "bronzedeal/gateway/peer_pool.hpp"

#include "bronzedeal/gateway/process.hpp"

#include <set>

namespace bronzedeal::gateway {

namespace {

/// Connections to one peer, and so queries that it runs for this instance at
/// once.
constexpr std::size_t kMaxConnectionsPerPeer = 16;
/// A peer that has left a request unanswered for longer is considered paused.
constexpr double kStalledMs = 150;

/// About the time in which a change of the servers reaches all instances.
constexpr auto kSuspension = milliseconds(1000);

} // namespace

PeerPool::PeerPool(Process& aProcess)
  : mProcess(aProcess)
{
}

void PeerPool::Update(const std::vector<PeerState>& aAlive)
{
  std::set<InstanceId> candidates;
  for (const auto& it : aAlive) {
    const bool isCandidate = it.serving && it.ready && !it.leaving &&
                             it.instance != mProcess.settings.instance;
    if (!isCandidate) {
      continue;
    }
    candidates.insert(it.instance);
    auto& peer = mPeers[it.instance];
    const bool statesRequestId =
      it.capabilities.Has(PeerCapability::StatesRequestId);
    if (peer && peer->Record().startedAtMs == it.incarnation) {
      if (statesRequestId != peer->Record().statesRequestId) {
        auto known = peer->Record();
        known.statesRequestId = statesRequestId;
        peer->Update(std::move(known), std::chrono::steady_clock::now());
      }
      continue;
    }
    if (peer) {
      peer->Retire(RemovedRun::MayGoOn);
    }
    ServerRecord record;
    record.id = it.instance;
    record.group = "peers";
    record.address = { it.address, mProcess.settings.gossipEndpoint.port() };
    record.failureDomain = it.failureDomain;
    record.slots = kMaxConnectionsPerPeer;
    record.startedAtMs = it.incarnation;
    record.isInstance = true;
    record.statesRequestId = statesRequestId;
    peer = std::make_shared<BackendServer>(mProcess, std::move(record));
    peer->SetMaxConnections(kMaxConnectionsPerPeer);
  }
  std::erase_if(mPeers, [&](const auto& aEntry) {
    const bool isGone = !candidates.contains(aEntry.first);
    if (isGone) {
      mSuspendedUntil.erase(aEntry.first);
      aEntry.second->Retire(RemovedRun::MayGoOn);
    }
    return isGone;
  });
}

void PeerPool::Suspend(const InstanceId& aInstance, TimePoint aNow)
{
  mSuspendedUntil[aInstance] = aNow + kSuspension;
}

std::shared_ptr<BackendServer> PeerPool::FindLeastBusy(
  const FailureDomain& aDomain,
  TimePoint aNow) const
{
  std::shared_ptr<BackendServer> leastBusy;
  unsigned fewestRequests = kMaxConnectionsPerPeer;
  for (const auto& [instance, peer] : mPeers) {
    const auto suspension = mSuspendedUntil.find(instance);
    if (peer->Record().failureDomain != aDomain || !peer->IsUsable(aNow) ||
        (suspension != mSuspendedUntil.end() && aNow < suspension->second)) {
      continue;
    }
    const auto stats = peer->Stats(aNow);
    const auto requestCount = stats.inFlight + stats.queued;
    if (stats.oldestUnansweredMs < kStalledMs &&
        requestCount < fewestRequests) {
      leastBusy = peer;
      fewestRequests = requestCount;
    }
  }
  return leastBusy;
}

std::shared_ptr<BackendServer> PeerPool::FindHelper(
  const std::vector<InstanceId>& aInstances,
  TimePoint aNow) const
{
  std::shared_ptr<BackendServer> best;
  std::pair<std::size_t, bool> lowestCost{ kMaxConnectionsPerPeer, false };
  for (const auto& it : aInstances) {
    const auto peer = mPeers.find(it);
    if (peer == mPeers.end() || !peer->second->IsUsable(aNow)) {
      continue;
    }
    const std::pair<std::size_t, bool> cost{
      peer->second->InFlightCount() + peer->second->QueuedCount(),
      peer->second->Record().failureDomain != mProcess.settings.failureDomain
    };
    if (cost < lowestCost) {
      best = peer->second;
      lowestCost = cost;
    }
  }
  return best;
}

} // namespace bronzedeal::gateway
