#pragma once

#include "bronzedeal/daemon/attempt_router.hpp"
#include "bronzedeal/daemon/http_server.hpp"
#include "bronzedeal/process/metrics.hpp"
#include "bronzedeal/process/settings.hpp"
#include "bronzedeal/request/quarantine.hpp"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <span>
#include <vector>

namespace bronzedeal::daemon {

/// Answers `POST /v1/query`. Holds the state that queries share: latency
/// digests, hedge budget, replica chooser, quarantine and admission. Thread
/// safe.
class QueryService
{
public:
  /// Queries use attempt ids below this one, operations this one and higher.
  static constexpr request::AttemptId kFirstOperationAttempt =
    request::AttemptId{ 1 } << 62U;

  QueryService(boost::asio::io_context& aContext,
               const process::Settings& aSettings,
               const version::SnapshotHolder& aSnapshots,
               const FleetViewHolder& aFleet,
               AttemptRouter& aRouter,
               version::WorkLedger& aLedger,
               process::Metrics& aMetrics);
  ~QueryService();
  QueryService(const QueryService&) = delete;
  QueryService& operator=(const QueryService&) = delete;

  void Handle(std::string aBody, HttpReply aReply);
  void OnResult(request::AttemptId aAttempt, OwnerResult aResult);

  /// Applies a new configuration: hedge budget, limits and known servers.
  void OnSnapshot(const version::Snapshot& aSnapshot);
  /// Applies the owners of slices and the leaving servers.
  void OnFleetView(const version::Snapshot& aSnapshot, const FleetView& aFleet);

  /// Number of queries admitted or waiting for admission.
  [[nodiscard]] std::size_t InProgressCount() const;

  // The quarantine is shared with operations and with the owner executor.
  [[nodiscard]] request::ContentState AdmitContent(
    const request::Fingerprint& aContent);
  [[nodiscard]] request::ContentState StateOfContent(
    const request::Fingerprint& aContent) const;
  void RecordCrash(std::span<const request::Fingerprint> aContents,
                   const ServerId& aServer);
  void RecordSuccess(const request::Fingerprint& aContent);
  void MergeQuarantine(const std::vector<request::QuarantineEntry>& aEntries);
  /// Takes changed quarantine entries to send to peers.
  [[nodiscard]] std::vector<request::QuarantineEntry> TakeQuarantineNotices();
  void ExpireQuarantine(TimePoint aNow);
  [[nodiscard]] std::size_t QuarantinedCount() const;

  /// Index in `aReplicas` of the replica to use for an operation.
  [[nodiscard]] std::size_t ChooseReplica(
    const std::vector<version::Replica>& aReplicas);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// Ok, or the reason why this instance accepts no new work now.
[[nodiscard]] ResultCode CheckServing(const FleetView& aFleet);

} // namespace bronzedeal::daemon
