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

/// Answers `POST /v1/query`. Holds what queries share: latency digests, hedge
/// budget, replica chooser, quarantine and admission. Thread safe.
class QueryService
{
public:
  /// Attempt ids below this are those of queries; operations use higher ones.
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

  /// Follows a new configuration: budget, limits and known servers.
  void OnSnapshot(const version::Snapshot& aSnapshot);
  /// Follows the owners of slices and the leaving servers.
  void OnFleetView(const version::Snapshot& aSnapshot, const FleetView& aFleet);

  /// Queries admitted or waiting.
  [[nodiscard]] std::size_t InProgressCount() const;

  // The quarantine is shared with operations and with the owner's part.
  [[nodiscard]] request::ContentState AdmitContent(
    const request::Fingerprint& aContent);
  [[nodiscard]] request::ContentState StateOfContent(
    const request::Fingerprint& aContent) const;
  void RecordCrash(std::span<const request::Fingerprint> aContents,
                   const ServerId& aServer);
  void RecordSuccess(const request::Fingerprint& aContent);
  void MergeQuarantine(const std::vector<request::QuarantineEntry>& aEntries);
  /// Entries to send to peers.
  [[nodiscard]] std::vector<request::QuarantineEntry> TakeQuarantineNotices();
  void ExpireQuarantine(TimePoint aNow);
  [[nodiscard]] std::size_t QuarantinedCount() const;

  /// Position in `aPlan` of the replica to use for an operation.
  [[nodiscard]] std::size_t ChooseReplica(
    const std::vector<version::Replica>& aReplicas);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// Ok, or why this instance takes no new work now.
[[nodiscard]] ResultCode CheckServing(const FleetView& aFleet);

} // namespace bronzedeal::daemon
