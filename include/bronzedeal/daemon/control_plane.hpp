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
    /// A snapshot came into force.
    std::function<void(const version::Snapshot&)> onSnapshot;
    /// The fleet view changed.
    std::function<void(const FleetView&)> onFleetChange;
    /// Called with every tick, after leases were published.
    std::function<void(TimePoint)> onTick;
    /// No work on the slice is queued, in flight or unconfirmed.
    std::function<bool(const SliceId&)> isSliceIdle;
    /// The published list names these servers as leaving.
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

  /// A control message from a peer; may be called from any thread.
  void Receive(peer::Envelope&& aEnvelope);

  /// Announces that the instance is leaving and hands its slices over.
  void BeginLeaving();
  /// True when no lease is held any more.
  [[nodiscard]] bool HoldsNoLease() const noexcept;

  /// Bodies of `GET /v1/state` and `GET /v1/withdrawal`; the handler runs on
  /// the strand of the control plane. Version 0 stands for the one in force.
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
