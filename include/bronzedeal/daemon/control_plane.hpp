#pragma once

#include "bronzedeal/connection/peer_transport.hpp"
#include "bronzedeal/daemon/fleet_view.hpp"
#include "bronzedeal/daemon/lease_table.hpp"
#include "bronzedeal/process/audit_trail.hpp"
#include "bronzedeal/process/metrics.hpp"
#include "bronzedeal/process/roster.hpp"
#include "bronzedeal/process/settings.hpp"
#include "bronzedeal/version/snapshot.hpp"
#include "bronzedeal/version/work_ledger.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace bronzedeal::daemon {

/// Drives membership, leases, configuration and fencing of one instance on a
/// strand of its own and publishes the results for the request path.
class ControlPlane
{
public:
  struct Hooks
  {
    /// Called after a newer snapshot came into force.
    std::function<void(const version::Snapshot&)> onSnapshot;
    /// Called after a changed fleet view was published.
    std::function<void(const FleetView&)> onFleetChange;
    /// Called at the end of every tick, after leases were published.
    std::function<void(TimePoint)> onTick;
    /// Whether no work on the slice is queued, in flight or unconfirmed.
    std::function<bool(const SliceId&)> isSliceIdle;
    /// Called for each newer instance list with all servers that it names as
    /// leaving.
    std::function<void(const std::set<ServerId>&)> onLeavingServers;
  };

  ControlPlane(boost::asio::io_context& aContext,
               const process::Settings& aSettings,
               process::RosterEntry aSelf,
               Incarnation aIncarnation,
               version::SnapshotHolder& aSnapshots,
               LeaseTable& aLeases,
               FleetViewHolder& aFleet,
               connection::PeerTransport& aTransport,
               const version::WorkLedger& aLedger,
               process::AuditTrail& aAudit,
               process::Metrics& aMetrics,
               Hooks aHooks);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  void Start();
  /// Ends all timers; no hook is called afterwards.
  void Stop();

  /// Handles a control message or a bundle of them from a peer. Thread safe.
  void Receive(peer::Envelope&& aEnvelope);

  /// Announces that the instance is leaving and hands its slices over.
  void BeginLeaving();
  /// Whether the instance holds no lease; false until leases were first
  /// evaluated. Thread safe.
  [[nodiscard]] bool HoldsNoLease() const noexcept;

  /// Pass the bodies of `GET /v1/state` and `GET /v1/withdrawal` to a handler,
  /// which runs on the strand of the control plane. Version 0 stands for the
  /// version in force.
  void ReportState(std::function<void(std::string)> aHandler);
  void ReportWithdrawal(ConfigVersion aVersion,
                        std::function<void(std::string)> aHandler);

  /// Records an event in the audit trail and the log. Thread safe.
  void RecordAudit(process::AuditKind aKind, std::string aDetail);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace bronzedeal::daemon
