#include "bronzedeal/gateway/peer_pool.hpp"

#include "bronzedeal/gateway/process.hpp"

#include <set>

namespace bronzedeal::gateway {

namespace {

/// Connections to one peer: queries in progress at once.
constexpr std::size_t kConnections = 16;
/// A peer with a request that has waited for longer is taken for paused.
constexpr double kStalledMs = 150;

/// About the time in which all instances learn of a change of the servers.
constexpr auto kSuspension = milliseconds(1000);

} // namespace

PeerPool::PeerPool(Process& aProcess)
  : mProcess(aProcess)
{
}

void PeerPool::Update(const std::vector<PeerState>& aAlive)
{
  std::set<InstanceId> known;
  for (const auto& it : aAlive) {
    const bool useful = it.serving && it.ready && !it.leaving &&
                        it.failureDomain != mProcess.settings.failureDomain;
    if (!useful) {
      continue;
    }
    known.insert(it.instance);
    auto& peer = mPeers[it.instance];
    if (peer && peer->Record().startedAtMs == it.incarnation) {
      continue;
    }
    if (peer) {
      peer->Retire();
    }
    ServerRecord record;
    record.id = it.instance;
    record.group = "peers";
    record.address = { it.address, mProcess.settings.gossipEndpoint.port() };
    record.failureDomain = it.failureDomain;
    record.slots = kConnections;
    record.startedAtMs = it.incarnation;
    peer = std::make_shared<BackendServer>(mProcess, std::move(record));
    peer->SetMaxConnections(kConnections);
  }
  std::erase_if(mPeers, [&](const auto& aEntry) {
    const bool gone = !known.contains(aEntry.first);
    if (gone) {
      mSuspendedUntil.erase(aEntry.first);
      aEntry.second->Retire();
    }
    return gone;
  });
}

void PeerPool::Suspend(const InstanceId& aInstance, TimePoint aNow)
{
  mSuspendedUntil[aInstance] = aNow + kSuspension;
}

std::shared_ptr<BackendServer> PeerPool::Find(const FailureDomain& aDomain,
                                              TimePoint aNow) const
{
  std::shared_ptr<BackendServer> best;
  unsigned least = kConnections;
  for (const auto& [instance, peer] : mPeers) {
    const auto suspended = mSuspendedUntil.find(instance);
    if (peer->Record().failureDomain != aDomain || !peer->IsUsable(aNow) ||
        (suspended != mSuspendedUntil.end() && aNow < suspended->second)) {
      continue;
    }
    const auto stats = peer->Stats(aNow);
    const auto busy = stats.inFlight + stats.queued;
    if (stats.oldestUnansweredMs < kStalledMs && busy < least) {
      best = peer;
      least = busy;
    }
  }
  return best;
}

} // namespace bronzedeal::gateway
