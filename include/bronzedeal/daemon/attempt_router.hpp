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

/// One attempt of a batch: a sub-request for one shard and the backend server
/// and slice chosen for it.
struct RoutedAttempt
{
  request::AttemptId attempt = 0;
  ShardId shard;
  ServerId server;
  SliceId slice;
  bool isHedge = false;
};

/// Sends attempts to the instances that own their servers' slices, which may be
/// this instance, and reports the results. Executes the batches that peers send
/// to this instance. Thread safe.
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

  /// Reports `NotRunNoOwner` for an attempt whose slice has no reachable owner.
  /// Must not be called with a lock that the result handler takes: refusals are
  /// reported before the call returns.
  void Send(const std::shared_ptr<const AttemptContext>& aContext,
            std::span<const RoutedAttempt> aAttempts,
            bool aIsCanary);
  /// Cancels attempts at their owners; each result still arrives.
  void Cancel(std::span<const request::AttemptId> aAttempts);

  /// Executes a peer's batch on this instance and answers each attempt. Ignores
  /// a batch whose fingerprint is malformed.
  void OnBatch(const InstanceId& aFrom,
               Incarnation aIncarnation,
               const peer::SubRequestBatch& aBatch);
  void OnCancel(const InstanceId& aFrom,
                Incarnation aIncarnation,
                std::span<const request::AttemptId> aAttempts);
  void OnResponse(const InstanceId& aFrom, peer::SubResponse&& aResponse);
  /// The stream to a peer broke: reports its outstanding attempts as
  /// `OutcomeUnknown` and refuses further ones with `NotRunNoOwner` until
  /// `OnPeerReachable`.
  void OnPeerDisconnected(const InstanceId& aPeer);
  /// A message from the peer arrived: attempts are sent to it again.
  void OnPeerReachable(const InstanceId& aPeer);

  /// Reports attempts whose response is overdue; call it about every 50 ms.
  void Expire(TimePoint aNow);

  /// Number of attempts that wait for a peer's response.
  [[nodiscard]] std::size_t OutstandingCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::daemon
