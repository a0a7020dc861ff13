#pragma once

#include "bronzedeal/connection/peer_transport.hpp"
#include "bronzedeal/daemon/fleet_view.hpp"
#include "bronzedeal/daemon/owner_executor.hpp"
#include "bronzedeal/process/metrics.hpp"

#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace bronzedeal::peer {
class SubRequestBatch;
class SubResponse;
} // namespace bronzedeal::peer

namespace bronzedeal::daemon {

/// One attempt of a batch.
struct RoutedAttempt
{
  request::AttemptId attempt = 0;
  ShardId shard;
  ServerId server;
  SliceId slice;
  bool isHedge = false;
};

/// Sends attempts to the owners of their servers, which may be this instance,
/// and brings back the results; serves the batches of peers in the same way.
/// Thread safe.
class AttemptRouter
{
public:
  using ResultHandler = std::function<void(request::AttemptId, OwnerResult)>;

  AttemptRouter(InstanceId aSelf,
                Incarnation aIncarnation,
                const FleetViewHolder& aFleet,
                OwnerExecutor& aExecutor,
                connection::PeerTransport& aTransport,
                version::WorkLedger& aLedger,
                process::Metrics& aMetrics);
  ~AttemptRouter();
  AttemptRouter(const AttemptRouter&) = delete;
  AttemptRouter& operator=(const AttemptRouter&) = delete;

  /// Receives every result, at most once per attempt, from any thread. Set it
  /// before the first `Send`.
  void SetResultHandler(ResultHandler aHandler);

  /// Must not be called with a lock that the result handler takes: refusals are
  /// reported before the call returns.
  void Send(const std::shared_ptr<const AttemptContext>& aContext,
            std::span<const RoutedAttempt> aAttempts,
            bool aIsCanary);
  void Cancel(std::span<const request::AttemptId> aAttempts);

  /// A batch from a peer: executes it here and answers each attempt.
  void OnBatch(const InstanceId& aFrom,
               Incarnation aIncarnation,
               const peer::SubRequestBatch& aBatch);
  void OnCancel(const InstanceId& aFrom,
                Incarnation aIncarnation,
                std::span<const request::AttemptId> aAttempts);
  void OnResponse(const InstanceId& aFrom, peer::SubResponse&& aResponse);
  /// The stream to a peer broke: its outstanding attempts are reported lost,
  /// and further ones are refused as not run until the peer is heard from.
  void OnPeerDisconnected(const InstanceId& aPeer);
  /// A message from the peer arrived.
  void OnPeerReachable(const InstanceId& aPeer);

  /// Gives up responses that are overdue; call it every 50 ms or so.
  void Expire(TimePoint aNow);

  /// Attempts that wait for a peer's response.
  [[nodiscard]] std::size_t OutstandingCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::daemon
