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

/// Dependencies that all agents of a process share; outlives them.
struct AgentEnvironment
{
  boost::asio::io_context& context;
  const version::SnapshotHolder& snapshots;
  const LeaseTable& leases;
  version::WorkLedger& ledger;
  bool coldRampEnabled;
  OwnerExecutor::Hooks hooks;
  /// Called when an attempt stays queued, so that its deadline is checked.
  std::function<void()> onQueued;
};

/// The only sender to one backend server, with its queue, limiter and
/// connection pool. Thread safe.
class ServerAgent : public std::enable_shared_from_this<ServerAgent>
{
public:
  ServerAgent(AgentEnvironment& aEnvironment,
              const version::ServerInfo& aServer,
              TimePoint aNow);

  void Execute(OwnerAttempt aAttempt, OwnerExecutor::Handler aHandler);
  /// False when the attempt is not known here.
  bool Cancel(const AttemptKey& aKey);
  /// Refuses queued attempts whose deadline can't be met, or all while the
  /// server drains. Returns true while attempts are left in the queue.
  bool ExpireQueue(TimePoint aNow);

  /// Applies the configuration and the lease.
  void Update(const version::ServerInfo& aServer,
              const version::LimitsSpec& aLimits,
              bool aMaySend,
              TimePoint aNow);
  /// The configuration no longer names the server: refuses queued attempts.
  void Withdraw();
  void SetLeaving(bool aLeaving);
  void Close();

  [[nodiscard]] SliceId Slice() const;
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] std::size_t InFlightCount() const;
  /// True when the agent is idle, without a lease and closed, and may be
  /// destroyed.
  [[nodiscard]] bool IsDisposable() const;

private:
  struct Attempt
  {
    OwnerAttempt request;
    OwnerExecutor::Handler handler;
    version::WorkLedger::Token token;
    TimePoint receivedAt;
    connection::ServerPool::Handle handle = 0;
    /// Result of the last check right before the send.
    ResultCode refusalCode = ResultCode::NotRunNoOwner;
    connection::AttemptOutcome outcome = connection::AttemptOutcome::Lost;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;
  /// Results to report and attempts to send after the lock is released.
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
  /// Takes attempts from the queue while the limiter has free slots.
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
