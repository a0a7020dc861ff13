#pragma once

#include "bronzedeal/request/attempt.hpp"
#include "bronzedeal/request/hedge_budget.hpp"
#include "bronzedeal/request/latency_digest.hpp"
#include "bronzedeal/request/replica_chooser.hpp"
#include "bronzedeal/types.hpp"
#include "bronzedeal/version/route.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bronzedeal::request {

/// Settings of one query.
struct QueryOptions
{
  TimePoint deadline{};
  /// Identifier of the first attempt; further ones count up. Each query needs
  /// its own range, at least `kMaxAttempts` wide.
  AttemptId firstAttemptId = 0;
  /// Smallest share of shards, 0 to 1, that the caller accepts.
  double minCoverage = 0;
  ContentState contentState = ContentState::Unproven;
  bool hedgingEnabled = true;
  /// Hedges wait until at most this share of the shards, or
  /// `hedgeMinOpenShards` if that is more, is still open, so that tokens go to
  /// the shards that delay the answer. The wait ends after
  /// `hedgeDeferralFactor` hedge delays, because the loss of a failure domain
  /// leaves more shards open than that.
  double hedgeOpenShare = 0.1;
  std::uint32_t hedgeMinOpenShards = 3;
  int hedgeDeferralFactor = 2;
  /// Hedges per shard: 1, or 2 to hedge a straggling hedge as well. The second
  /// hedge may go to a replica that was tried before.
  std::uint32_t maxHedgesPerShard = 1;
  /// A hedge waits for the larger of the p95 of the service and this multiple
  /// of its median. With the p95 alone, one sub-request in twenty is hedged,
  /// which uses up a budget of 5% before the stragglers are reached.
  std::uint32_t hedgeMedianFactor = 1;
  /// Send an unproven content to one shard first, and to the others when that
  /// shard has answered.
  bool canaryEnabled = true;
  /// False in the second run of a query, which is not restarted again.
  bool restartAllowed = true;
  /// Upper bound on the duration of one sub-request,
  /// `limits.max_subrequest_ms`.
  Duration maxSubrequestDuration = milliseconds(1000);
  /// Hedge delay of a service without enough latency samples.
  Duration initialHedgeDelay = milliseconds(50);
  /// A restart on another index version is not offered when less time is left.
  Duration minRestartTime = milliseconds(20);
  Duration minHedgeDelay = milliseconds(1);
  Duration maxHedgeDelay = milliseconds(250);
};

/// Upper bound on the attempts of one query; further hedges and retries are not
/// sent.
inline constexpr std::uint32_t kMaxAttempts = 1U << 16;

/// Send a sub-request. Shard and replica are positions in the plan, see
/// `QueryRun::TargetOf`.
struct Dispatch
{
  AttemptId attempt = 0;
  std::uint32_t shard = 0;
  std::uint32_t replica = 0;
  bool isHedge = false;
  /// The content is not proven, so it must run alone on its server.
  bool isCanary = false;
  TimePoint deadline{};
};

/// Cancel an attempt whose answer is no longer needed.
struct Cancel
{
  AttemptId attempt = 0;
};

struct IncludedShard
{
  ShardId shard;
  /// JSON text of the array of hits.
  std::string hits;
};

struct MissingShard
{
  ShardId shard;
  ResultCode code = ResultCode::Internal;
};

/// The answer to a query. The included and missing shards together are all
/// shards of the plan; each list is in the order of the plan.
struct QueryAnswer
{
  ResultCode code = ResultCode::Internal;
  ConfigVersion configVersion = 0;
  IndexVersion indexVersion = 0;
  std::vector<IncludedShard> included;
  std::vector<MissingShard> missing;
  /// Share of the shards that are included, 0 to 1; 1 for a plan without
  /// shards.
  double coverage = 0;
  /// See `QueryRun::IsRestartWorthwhile`.
  bool restartWorthwhile = false;
  /// Newest index version that a server without the pinned version reported; 0
  /// when none did.
  IndexVersion newestIndexVersion = 0;
  /// At least one shard answered and no server was lost, so the content counts
  /// as a recent success, see `Quarantine::RecordSuccess`.
  bool contentSucceeded = false;
  std::uint32_t attempts = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
};

/// The last action of a query.
struct Finish
{
  QueryAnswer answer;
};

using QueryAction = std::variant<Dispatch, Cancel, Finish>;

/// Fan-out of one query over the shards of its plan, without I/O of its own.
/// The caller performs the appended actions, passes in the answers, and calls
/// `OnTimer` when it is due. Each replica of a shard is tried at most once,
/// except by a second hedge. Not thread safe: the caller synchronizes access.
///
///     QueryRun run(plan, options, budget, digests, chooser, now);
///     std::vector<QueryAction> actions;
///     run.Start(now, actions);
///     run.OnResponse(attempt, result, now, actions);
class QueryRun
{
public:
  QueryRun(version::RoutePlan aPlan,
           const QueryOptions& aOptions,
           HedgeBudget& aBudget,
           LatencyDigests& aDigests,
           ReplicaChooser& aChooser,
           TimePoint aNow);
  QueryRun(const QueryRun&) = delete;
  QueryRun& operator=(const QueryRun&) = delete;
  QueryRun(QueryRun&&) = delete;
  QueryRun& operator=(QueryRun&&) = delete;
  /// Reports attempts that are still in flight as cancelled to the replica
  /// chooser.
  ~QueryRun();

  /// Sends the first attempts. Further calls have no effect.
  void Start(TimePoint aNow, std::vector<QueryAction>& aActions);
  /// Handles the answer to an attempt. Answers to unknown or ended attempts are
  /// ignored.
  void OnResponse(AttemptId aAttempt,
                  AttemptResult aResult,
                  TimePoint aNow,
                  std::vector<QueryAction>& aActions);
  /// Handles the deadline, expired attempts and hedges that are due.
  void OnTimer(TimePoint aNow, std::vector<QueryAction>& aActions);
  /// When `OnTimer` is due; none before `Start` and after the end.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const noexcept;
  /// Ends the query now, for a caller that has disconnected: attempts in flight
  /// are cancelled, and their shards are missing with `ShardCancelled`.
  void Abort(TimePoint aNow, std::vector<QueryAction>& aActions);

  /// True when most shards lack the pinned index version, servers hold a newer
  /// version or have not reported theirs, and enough time is left. The daemon
  /// may then call `Abort` and run the query once more if its own snapshot
  /// serves a newer version.
  [[nodiscard]] bool IsRestartWorthwhile(TimePoint aNow) const noexcept;

  [[nodiscard]] bool IsFinished() const noexcept { return mFinished; }
  [[nodiscard]] const version::RoutePlan& Plan() const noexcept
  {
    return mPlan;
  }
  /// The replica that a dispatch goes to.
  [[nodiscard]] const version::Replica& Target(
    const Dispatch& aDispatch) const noexcept
  {
    return mPlan.shards[aDispatch.shard].replicas[aDispatch.replica];
  }
  /// The replica of an attempt; null for an unknown attempt.
  [[nodiscard]] const version::Replica* TargetOf(
    AttemptId aAttempt) const noexcept;

private:
  enum class ShardState : std::uint8_t
  {
    Waiting,
    Running,
    Included,
    Missing,
  };
  struct Shard
  {
    ShardState state = ShardState::Waiting;
    /// Bit set of the replicas already tried; replicas beyond 32 are not used.
    std::uint32_t triedReplicas = 0;
    std::uint32_t runningAttempts = 0;
    std::uint32_t hedgeCount = 0;
    std::uint32_t firstServerIndex = 0;
    std::uint32_t replicaCount = 0;
    LatencyDigests::Index digestIndex = 0;
    /// Delay before the next hedge; doubles each time no hedge could be sent.
    Duration hedgeDelay{};
    /// When the next hedge is due; hedge timers with another time are stale.
    TimePoint hedgeDueAt{};
    bool hasFailed = false;
    /// The hedge was due but waits until fewer shards are open.
    bool isHedgeDeferred = false;
    ResultCode missingCode = ResultCode::Internal;
    std::string hits;
  };
  struct Attempt
  {
    std::uint32_t shard = 0;
    std::uint32_t replica = 0;
    bool isRunning = false;
    TimePoint sentAt{};
    TimePoint deadline{};
  };
  struct Timer
  {
    TimePoint dueAt;
    std::uint32_t shard = 0;
    /// Attempt that expires; `kHedgeTimer` for a hedge of the shard.
    std::uint32_t attempt = 0;
  };
  static constexpr std::uint32_t kHedgeTimer = ~0U;

  /// Why an attempt is sent. Hedges and retries after a failure cost a token of
  /// the budget; first attempts and retries after a refusal do not.
  enum class Reason : std::uint8_t
  {
    First,
    Hedge,
    RetryAfterRefusal,
    RetryAfterFailure,
  };

  [[nodiscard]] ReplicaChooser::Index ServerOf(
    const Attempt& aAttempt) const noexcept;
  /// Sends an attempt to a replica; false when no replica, no time, no token or
  /// no attempt number is left.
  bool SendAttempt(std::uint32_t aShard,
                   Reason aReason,
                   TimePoint aNow,
                   std::vector<QueryAction>& aActions);
  /// Sends the first attempt of a random waiting shard, to run alone.
  void SendCanary(TimePoint aNow, std::vector<QueryAction>& aActions);
  /// Sends the first attempts of all waiting shards.
  void SendAll(TimePoint aNow, std::vector<QueryAction>& aActions);
  /// Marks all shards without an attempt as missing.
  void MarkWaitingMissing(ResultCode aCode);
  /// Includes a shard and cancels its other attempts.
  void AcceptHits(std::uint32_t aShard,
                  AttemptResult& aResult,
                  TimePoint aNow,
                  std::vector<QueryAction>& aActions);
  /// Retries a shard after a failed attempt, or marks it as missing when no
  /// other attempt of it is in flight. A failure that the content causes also
  /// marks the shards that wait as missing.
  void HandleFailure(std::uint32_t aShard,
                     ResultCode aCode,
                     TimePoint aNow,
                     std::vector<QueryAction>& aActions);
  void MarkMissing(std::uint32_t aShard, ResultCode aCode);
  /// Sends the hedge of a shard that is due, or defers or delays it.
  void SendHedge(std::uint32_t aShard,
                 TimePoint aNow,
                 std::vector<QueryAction>& aActions);
  /// Ends an attempt at its deadline.
  void ExpireAttempt(std::uint32_t aAttempt,
                     TimePoint aNow,
                     std::vector<QueryAction>& aActions);
  void CancelAttempt(std::uint32_t aAttempt,
                     TimePoint aNow,
                     std::vector<QueryAction>& aActions);
  void CancelShard(std::uint32_t aShard,
                   TimePoint aNow,
                   std::vector<QueryAction>& aActions);
  /// Continues after a canary, sends deferred hedges, and ends the query when
  /// all shards are decided or its coverage is out of reach.
  void Advance(TimePoint aNow, std::vector<QueryAction>& aActions);
  /// Ends the query. `aWaitingCode` and `aRunningCode` are the codes of the
  /// shards without an attempt and with an attempt in flight.
  void FinishQuery(ResultCode aWaitingCode,
                   ResultCode aRunningCode,
                   TimePoint aNow,
                   std::vector<QueryAction>& aActions);
  /// True when the included and undecided shards together are fewer than the
  /// query needs.
  [[nodiscard]] bool IsCoverageUnreachable() const noexcept;
  [[nodiscard]] ResultCode ResultCodeFor(
    const QueryAnswer& aAnswer) const noexcept;
  /// Heap order of `mTimers`: the earliest timer is at the front.
  [[nodiscard]] static bool IsDueLater(const Timer& aLeft,
                                       const Timer& aRight) noexcept;
  /// Sends the hedges that waited until few shards are open.
  void SendDeferredHedges(TimePoint aNow, std::vector<QueryAction>& aActions);
  void ArmTimer(const Timer& aTimer);
  void ArmHedgeTimer(std::uint32_t aShard, Duration aDelay, TimePoint aNow);
  /// False for the timers of ended attempts and for hedges that have been sent,
  /// rescheduled or are no longer needed.
  [[nodiscard]] bool IsTimerActive(const Timer& aTimer) const noexcept;
  /// Time from an attempt to its hedge, from the latencies of the service.
  [[nodiscard]] Duration HedgeDelay(std::uint32_t aShard, TimePoint aNow);

  version::RoutePlan mPlan;
  QueryOptions mOptions;
  HedgeBudget& mBudget;
  LatencyDigests& mDigests;
  ReplicaChooser& mChooser;
  std::vector<Shard> mShards;
  /// Replicas of all shards, starting at `Shard::firstServerIndex` of each.
  std::vector<ReplicaChooser::Index> mServerIndexes;
  std::vector<Attempt> mAttempts;
  /// Min-heap by due time; stale timers are skipped.
  std::vector<Timer> mTimers;
  /// Shards with a deferred hedge, and some whose hedge is no longer needed.
  std::vector<std::uint32_t> mDeferredHedges;
  /// Shards with an attempt in flight.
  std::uint32_t mOpenShards = 0;
  /// Open shards up to which hedges are not deferred.
  std::uint32_t mMaxOpenForHedges = 0;
  std::uint32_t mIncludedShards = 0;
  std::uint32_t mMissingShards = 0;
  std::uint32_t mVersionMissingShards = 0;
  std::uint32_t mHedgeCount = 0;
  std::uint32_t mRetryCount = 0;
  std::uint32_t mLostServerCount = 0;
  IndexVersion mNewestIndexVersion = 0;
  static constexpr std::uint32_t kNoShard = ~0U;
  /// Shard that runs alone; `kNoShard` after its answer.
  std::uint32_t mCanaryShard = kNoShard;
  /// The content is suspect, from the start or since a server was lost.
  bool mIsSuspect = false;
  /// A sub-request may have run on a server, so the query is not "not run".
  bool mMayHaveRun = false;
  bool mStarted = false;
  bool mFinished = false;
};

} // namespace bronzedeal::request
