#pragma once

#include "bronzedeal/daemon/lease_table.hpp"
#include "bronzedeal/request/attempt.hpp"
#include "bronzedeal/request/quarantine.hpp"
#include "bronzedeal/types.hpp"
#include "bronzedeal/version/snapshot.hpp"
#include "bronzedeal/version/work_ledger.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace bronzedeal::daemon {

/// Data that the attempts of one batch share.
struct AttemptContext
{
  ConfigVersion configVersion = 0;
  IndexVersion indexVersion = 0;
  TimePoint deadline;
  Labels caller;
  Labels request;
  std::shared_ptr<const std::string> payload;
  request::Fingerprint fingerprint{};
  bool nonRepeatable = false;
  std::string selector;
};

/// Identifies an attempt across instances: the run of an instance that created
/// it and its id there.
struct AttemptKey
{
  InstanceId origin;
  Incarnation incarnation = 0;
  request::AttemptId attempt = 0;

  auto operator<=>(const AttemptKey&) const = default;
};

/// One sub-request for a server that this instance owns.
struct OwnerAttempt
{
  AttemptKey key;
  std::shared_ptr<const AttemptContext> context;
  ShardId shard;
  ServerId server;
  bool isHedge = false;
};

struct OwnerResult
{
  ResultCode code = ResultCode::Internal;
  /// Body of the server's answer; empty unless the code is Ok or
  /// ShardVersionMissing.
  std::string body;
  request::ServerLoad load;
  Duration elapsed{};
};

/// Executes sub-requests on the backend servers whose slices this instance
/// holds. It is the only sender to them, so its counts of slots, connections
/// and the cold allowance are exact. Thread safe.
class OwnerExecutor
{
public:
  /// Called at most once, from any thread, never inside `Execute`'s locks.
  using Handler = std::function<void(OwnerResult)>;

  struct Hooks
  {
    /// Returns the state of a content without renewing its quarantine.
    std::function<request::ContentState(const request::Fingerprint&)>
      contentState;
    /// The server lost a connection with these contents in flight.
    std::function<void(std::span<const request::Fingerprint>, const ServerId&)>
      onServerCrashed;
    /// The server's concurrency allowance was reset to its cold value, for the
    /// given reason.
    std::function<void(const ServerId&, std::string_view)> onAllowanceReset;
  };

  OwnerExecutor(boost::asio::io_context& aContext,
                const version::SnapshotHolder& aSnapshots,
                const LeaseTable& aLeases,
                version::WorkLedger& aLedger,
                bool aColdRampEnabled,
                Hooks aHooks);
  ~OwnerExecutor();
  OwnerExecutor(const OwnerExecutor&) = delete;
  OwnerExecutor& operator=(const OwnerExecutor&) = delete;

  /// Ignores an attempt whose key is queued, in flight or unconfirmed: it would
  /// run twice.
  void Execute(OwnerAttempt aAttempt, Handler aHandler);
  /// Drops a queued attempt or cancels one that was sent; ignores an unknown
  /// key.
  void Cancel(const AttemptKey& aKey);

  /// Applies the snapshot in force and the lease table: opens pools for servers
  /// that may be sent to, refuses attempts queued for others and closes their
  /// pools when their work has ended.
  void Refresh(TimePoint aNow);

  /// Sets the servers that the published list names as leaving; they get no new
  /// work.
  void SetLeavingServers(std::set<ServerId> aServers);

  /// True when no attempt on the slice is queued, in flight or unconfirmed.
  [[nodiscard]] bool IsIdle(const SliceId& aSlice) const;
  /// Number of attempts in flight or unconfirmed, over all servers.
  [[nodiscard]] std::size_t InFlightCount() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace bronzedeal::daemon
