#pragma once

#include "bronzedeal/daemon/query_service.hpp"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace bronzedeal::peer {
class TicketForward;
class TicketOutcome;
} // namespace bronzedeal::peer

namespace bronzedeal::daemon {

/// Answers `POST /v1/tickets` and `POST /v1/operations`. Only the incarnation
/// that issued a ticket runs its operation; other instances forward to it.
/// Thread safe.
class OperationService
{
public:
  OperationService(boost::asio::io_context& aContext,
                   const process::Settings& aSettings,
                   Incarnation aIncarnation,
                   const version::SnapshotHolder& aSnapshots,
                   const FleetViewHolder& aFleet,
                   AttemptRouter& aRouter,
                   QueryService& aQueries,
                   connection::PeerTransport& aTransport,
                   version::WorkLedger& aLedger,
                   process::Metrics& aMetrics);
  ~OperationService();
  OperationService(const OperationService&) = delete;
  OperationService& operator=(const OperationService&) = delete;

  void HandleTicket(const std::string& aBody, const HttpReply& aReply);
  void HandleOperation(const std::string& aBody, HttpReply aReply);

  void OnResult(request::AttemptId aAttempt, OwnerResult aResult);
  void OnForward(const InstanceId& aFrom, const peer::TicketForward& aForward);
  void OnOutcome(const InstanceId& aFrom, const peer::TicketOutcome& aOutcome);
  /// The stream to a peer broke: answers the operations forwarded to it with
  /// `OutcomeUnknown`.
  void OnPeerDisconnected(const InstanceId& aPeer);

  void Expire(TimePoint aNow);
  /// Number of operations that run here or wait for another instance.
  [[nodiscard]] std::size_t InProgressCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::daemon
