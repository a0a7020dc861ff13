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
  /// Attempts are numbered from here. The daemon gives each query a range of
  /// its own, at least `kMaxAttempts` wide.
  AttemptId firstAttemptId = 0;
  /// Smallest share of shards, 0 to 1, that the caller accepts.
  double minCoverage = 0;
  ContentState contentState = ContentState::Unproven;
  bool hedgingEnabled = true;
  /// Hedges wait until at most this share of the shards is open (at least
  /// `hedgeMinOpenShards`): tokens then go to the shards that delay the answer.
  /// The wait ends after `hedgeDeferralFactor` hedge delays, because a lost
  /// failure domain leaves more shards open than that.
  double hedgeOpenShare = 0.1;
  std::uint32_t hedgeMinOpenShards = 3;
  int hedgeDeferralFactor = 2;
  /// Hedges of one shard: 1, or 2 to hedge a straggling hedge as well. The
  /// second may go to a replica that was tried before.
  std::uint32_t maxHedgesPerShard = 1;
  /// A hedge waits at least this multiple of the service's median, beside its
  /// p95. At the p95 alone one sub-request in twenty is hedged, which uses up a
  /// budget of 5% before the stragglers are reached.
  std::uint32_t hedgeMedianFactor = 1;
  bool canaryEnabled = true;
  /// False in the second run of a query, which is not restarted again.
  bool restartAllowed = true;
  /// Upper bound of one sub-request, `limits.max_subrequest_ms`.
  Duration maxSubrequestDuration = milliseconds(1000);
  /// Hedge delay of a service without enough latency samples.
  Duration initialHedgeDelay = milliseconds(50);
  /// Time left below which a restart on another index version is not offered.
  Duration minRestartTime = milliseconds(20);
  Duration minHedgeDelay = milliseconds(1);
  Duration maxHedgeDelay = milliseconds(250);
};

/// Bound on the attempts of one query; further hedges and retries are left out.
inline constexpr std::uint32_t kMaxAttempts = 1U << 16;

/// Send a sub-request. Shard and replica are positions in the plan, see
/// `QueryRun::Target`.
struct Dispatch
{
  AttemptId attempt = 0;
  std::uint32_t shard = 0;
  std::uint32_t replica = 0;
  bool isHedge = false;
  /// The content is not proven: it runs alone on its server.
  bool isCanary = false;
  TimePoint deadline{};
};

/// Cancel an attempt whose answer is not needed any more.
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

/// The answer to a query. Included and missing shards together are all shards
/// of the plan, in the plan's order.
struct QueryAnswer
{
  ResultCode code = ResultCode::Internal;
  ConfigVersion configVersion = 0;
  IndexVersion indexVersion = 0;
  std::vector<IncludedShard> included;
  std::vector<MissingShard> missing;
  /// Included shards / all shards; 1 for a plan without shards.
  double coverage = 0;
  /// Most shards lack the pinned index version and there is time left: a new
  /// run on the version now served may succeed.
  bool restartWorthwhile = false;
  /// Newest index version that a server named when it lacked the pinned one;
  /// 0 when none was named.
  IndexVersion newestIndexVersion = 0;
  /// At least one shard ran and no server was lost: the content counts as
  /// recently succeeded, see `Quarantine::NoteSuccess`.
  bool contentSucceeded = false;
  std::uint32_t attempts = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
};

/// The last action of a query; no action follows.
struct Finish
{
  QueryAnswer answer;
};

using QueryAction = std::variant<Dispatch, Cancel, Finish>;

/// Fan-out of one query over the shards of its plan. The caller sends what the
/// actions ask for and feeds back answers and the passing of time. Each shard
/// tries each of its replicas at most once. Not thread safe.
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
  /// Attempts in flight are given back to the replica chooser.
  ~QueryRun();

  void Start(TimePoint aNow, std::vector<QueryAction>& aActions);
  /// Late, duplicate and unknown attempts are ignored.
  void OnResponse(AttemptId aAttempt,
                  AttemptResult aResult,
                  TimePoint aNow,
                  std::vector<QueryAction>& aActions);
  void OnTimer(TimePoint aNow, std::vector<QueryAction>& aActions);
  /// When `OnTimer` is due next; none after the end.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const noexcept;
  /// Ends the query now, for a caller that has gone: outstanding attempts are
  /// cancelled, and their shards are missing with `ShardCancelled`.
  void Abort(TimePoint aNow, std::vector<QueryAction>& aActions);

  /// True when most shards lack the pinned index version, a newer one is held
  /// or may be held, and there is time left. The daemon may then call `Abort`
  /// and run the query once more when its own snapshot serves a newer version.
  [[nodiscard]] bool IsRestartWorthwhile(TimePoint aNow) const noexcept;

  [[nodiscard]] bool IsFinished() const noexcept { return mFinished; }
  [[nodiscard]] const version::RoutePlan& Plan() const noexcept
  {
    return mPlan;
  }
  [[nodiscard]] const version::Replica& Target(
    const Dispatch& aDispatch) const noexcept
  {
    return mPlan.shards[aDispatch.shard].replicas[aDispatch.replica];
  }
  /// The replica of an attempt; none for an unknown one.
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
    /// Bit set of the replicas already tried; replicas beyond 32 are
    /// not used.
    std::uint32_t triedReplicas = 0;
    std::uint32_t runningAttempts = 0;
    std::uint32_t hedgeCount = 0;
    std::uint32_t firstServerIndex = 0;
    std::uint32_t replicaCount = 0;
    LatencyDigests::Index digestIndex = 0;
    /// Wait before the next hedge; doubles each time none could be sent.
    Duration hedgeDelay{};
    /// When the timer of the next hedge is due; other hedge timers are stale.
    TimePoint hedgeDueAt{};
    bool hasFailed = false;
    /// The hedge is due but waits for other shards.
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
    /// Attempt that expires; `kHedgeTimer` for the hedge of a shard.
    std::uint32_t attempt = 0;
  };
  static constexpr std::uint32_t kHedgeTimer = ~0U;

  /// Why a further attempt is made, which decides whether it costs a token.
  enum class Reason : std::uint8_t
  {
    First,
    Hedge,
    RetryAfterRefusal,
    RetryAfterFailure,
  };

  [[nodiscard]] ReplicaChooser::Index ServerOf(
    const Attempt& aAttempt) const noexcept;
  bool SendAttempt(std::uint32_t aShard,
                   Reason aReason,
                   TimePoint aNow,
                   std::vector<QueryAction>& aActions);
  void SendCanary(TimePoint aNow, std::vector<QueryAction>& aActions);
  void SendAll(TimePoint aNow, std::vector<QueryAction>& aActions);
  void MarkWaitingMissing(ResultCode aCode);
  void AcceptHits(std::uint32_t aShard,
                  AttemptResult& aResult,
                  TimePoint aNow,
                  std::vector<QueryAction>& aActions);
  void HandleFailure(std::uint32_t aShard,
                     ResultCode aCode,
                     TimePoint aNow,
                     std::vector<QueryAction>& aActions);
  void MarkMissing(std::uint32_t aShard, ResultCode aCode);
  void SendHedge(std::uint32_t aShard,
                 TimePoint aNow,
                 std::vector<QueryAction>& aActions);
  void ExpireAttempt(std::uint32_t aAttempt,
                     TimePoint aNow,
                     std::vector<QueryAction>& aActions);
  void CancelAttempt(std::uint32_t aAttempt,
                     TimePoint aNow,
                     std::vector<QueryAction>& aActions);
  void CancelShard(std::uint32_t aShard,
                   TimePoint aNow,
                   std::vector<QueryAction>& aActions);
  void Advance(TimePoint aNow, std::vector<QueryAction>& aActions);
  /// `aWaitingCode` and `aRunningCode` are the reasons of shards without an
  /// answer.
  void FinishQuery(ResultCode aWaitingCode,
                   ResultCode aRunningCode,
                   TimePoint aNow,
                   std::vector<QueryAction>& aActions);
  /// True when the answered and open shards can't reach the coverage.
  [[nodiscard]] bool IsCoverageUnreachable() const noexcept;
  [[nodiscard]] ResultCode ResultCodeFor(
    const QueryAnswer& aAnswer) const noexcept;
  [[nodiscard]] static bool IsDueLater(const Timer& aLeft,
                                       const Timer& aRight) noexcept;
  /// Sends the hedges that waited until few shards are open.
  void SendDeferredHedges(TimePoint aNow, std::vector<QueryAction>& aActions);
  void ArmTimer(const Timer& aTimer);
  void ArmHedgeTimer(std::uint32_t aShard, Duration aDelay, TimePoint aNow);
  [[nodiscard]] bool IsTimerActive(const Timer& aTimer) const noexcept;
  [[nodiscard]] Duration HedgeDelay(std::uint32_t aShard, TimePoint aNow);

  version::RoutePlan mPlan;
  QueryOptions mOptions;
  HedgeBudget& mBudget;
  LatencyDigests& mDigests;
  ReplicaChooser& mChooser;
  std::vector<Shard> mShards;
  std::vector<ReplicaChooser::Index> mServerIndexes;
  std::vector<Attempt> mAttempts;
  std::vector<Timer> mTimers;
  /// Shards whose hedge is deferred, and some that no longer need one.
  std::vector<std::uint32_t> mDeferredHedges;
  /// Shards with an attempt in flight.
  std::uint32_t mOpenShards = 0;
  std::uint32_t mMaxOpenForHedges = 0;
  std::uint32_t mIncludedShards = 0;
  std::uint32_t mMissingShards = 0;
  std::uint32_t mVersionMissingShards = 0;
  std::uint32_t mHedgeCount = 0;
  std::uint32_t mRetryCount = 0;
  std::uint32_t mLostServerCount = 0;
  IndexVersion mNewestIndexVersion = 0;
  /// Shard that runs alone; `kNoShard` after its answer.
  static constexpr std::uint32_t kNoShard = ~0U;
  std::uint32_t mCanaryShard = kNoShard;
  /// The content was suspect from the start or became so.
  bool mIsSuspect = false;
  /// A sub-request may have run on a server.
  bool mMayHaveRun = false;
  bool mStarted = false;
  bool mFinished = false;
};

} // namespace bronzedeal::request
