#pragma once

#include "bronzedeal/connection/server_limiter.hpp"
#include "bronzedeal/connection/server_pool.hpp"
#include "bronzedeal/connection/server_queue.hpp"
#include "bronzedeal/daemon/owner_executor.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <unordered_map>

namespace bronzedeal::daemon {

/// What all agents of a process share; outlives them.
struct AgentEnvironment
{
  boost::asio::io_context& context;
  const version::SnapshotHolder& snapshots;
  const LeaseTable& leases;
  version::WorkLedger& ledger;
  bool coldRampEnabled;
  OwnerExecutor::Hooks hooks;
  /// An attempt stays queued; its deadline must be watched.
  std::function<void()> onQueued;
};

/// The only sender to one backend server: queue, limiter and connections.
/// Thread safe.
class ServerAgent : public std::enable_shared_from_this<ServerAgent>
{
public:
  ServerAgent(AgentEnvironment& aEnvironment,
              const version::ServerInfo& aServer,
              TimePoint aNow);

  void Execute(OwnerAttempt aAttempt, OwnerExecutor::Handler aHandler);
  /// False when the attempt is not known here.
  bool Cancel(const AttemptKey& aKey);
  /// Refuses hopeless entries; true while entries are left.
  bool ExpireQueue(TimePoint aNow);

  /// Follows the configuration and the lease.
  void Update(const version::ServerInfo& aServer,
              const version::LimitsSpec& aLimits,
              bool aMaySend,
              TimePoint aNow);
  /// The configuration no longer names the server.
  void Withdraw();
  void SetLeaving(bool aLeaving);
  void Close();

  [[nodiscard]] SliceId Slice() const;
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] std::size_t InFlightCount() const;
  /// Idle, without a lease and closed: may be destroyed.
  [[nodiscard]] bool IsDisposable() const;

private:
  struct Attempt
  {
    OwnerAttempt request;
    OwnerExecutor::Handler handler;
    version::WorkLedger::Token token;
    TimePoint receivedAt;
    connection::ServerPool::Handle handle = 0;
    /// Why the guard refused the send.
    ResultCode refusalCode = ResultCode::NotRunNoOwner;
    connection::AttemptOutcome outcome = connection::AttemptOutcome::Lost;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;
  /// Results to hand out after the lock is released.
  struct Deferred
  {
    std::vector<std::pair<OwnerExecutor::Handler, OwnerResult>> results;
    std::vector<AttemptPtr> sends;
  };

  [[nodiscard]] connection::ServerPoolOptions PoolOptions();
  [[nodiscard]] connection::LimiterOptions LimiterOptions() const;
  [[nodiscard]] connection::ServiceEstimate EstimateService() const;
  [[nodiscard]] request::ServerLoad CurrentLoad() const;
  /// Ok, or why the attempt must not be sent now.
  [[nodiscard]] ResultCode CheckSend(const Attempt& aAttempt,
                                     TimePoint aNow) const;
  void Refuse(const AttemptPtr& aAttempt,
              ResultCode aCode,
              Deferred& aDeferred);
  void RefuseQueued(const std::vector<connection::QueueEntry>& aEntries,
                    ResultCode aCode,
                    Deferred& aDeferred);
  void DequeueAttempts(TimePoint aNow, Deferred& aDeferred);
  void RunDeferred(Deferred aDeferred);
  void Send(const AttemptPtr& aAttempt);
  void OnResult(std::uint64_t aId,
                const AttemptPtr& aAttempt,
                connection::SendResult&& aResult);
  void OnEnded(std::uint64_t aId,
               const AttemptPtr& aAttempt,
               connection::AttemptEnd aEnd,
               Duration aLatency);
  void OnConnectionLost();
  void ReportAllowanceReset(std::uint64_t aResetsBefore);
  void EnsurePool();
  void ClosePoolIfDone();

  AgentEnvironment& mEnvironment;
  mutable std::mutex mMutex;
  version::ServerInfo mServer;
  milliseconds mMaxSubrequest;
  connection::ServerLimiter mLimiter;
  connection::ServerQueue mQueue;
  std::shared_ptr<connection::ServerPool> mPool;
  std::uint64_t mNextId = 1;
  std::unordered_map<std::uint64_t, AttemptPtr> mQueued;
  std::unordered_map<std::uint64_t, AttemptPtr> mInFlight;
  std::map<AttemptKey, std::uint64_t> mIdByKey;
  bool mMaySend = true;
  bool mListedAsLeaving = false;
  TimePoint mDrainingUntil{};
};

} // namespace bronzedeal::daemon
