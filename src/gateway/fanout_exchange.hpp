#pragma once

#include "bronzedeal/gateway/exchange.hpp"
#include "bronzedeal/gateway/partial_query.hpp"
#include "bronzedeal/gateway/query_caution.hpp"
#include "bronzedeal/gateway/shard_set.hpp"

#include <map>

namespace bronzedeal::gateway {

/// Maximum number of servers that a partial query names for each shard.
inline constexpr std::size_t kMaxServersPerBatchedShard = 2;

/// Converts fractional milliseconds to a duration.
[[nodiscard]] inline Duration DurationFromMilliseconds(double aMs)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aMs));
}

/// A query over shards, or a partial query that this instance runs for another
/// one. The functions that send partial queries are in fanout_batches.cpp,
/// those for contents that may crash servers in fanout_canary.cpp, those for
/// queries that are handed over in fanout_handover.cpp, and those that leave
/// out late shards in fanout_selection.cpp.
class FanoutExchange
  : public Exchange
  , public std::enable_shared_from_this<FanoutExchange>
{
public:
  /// `aPartial` is null for a query that a caller sent.
  FanoutExchange(const ExchangeContext& aContext,
                 RoutedRequest aRequest,
                 const PartialQuery* aPartial,
                 ReplyHandler aReply);

  /// Sets up the shards of a partial query.
  void InitPartial(const PartialQuery& aPartial);

  void Start();

  void Conclude() override;

  void Cancel() override;

  [[nodiscard]] bool TryRelease() override;

private:
  /// One shard of a partial query (by its index in `mShards`) and the servers
  /// that it may be sent to.
  struct BatchShard
  {
    std::size_t shard;
    std::vector<std::shared_ptr<BackendServer>> servers;
  };

  /// A partial query sent to an instance in another failure domain.
  struct Batch
  {
    std::shared_ptr<BackendServer> peer;
    std::shared_ptr<Attempt> attempt;
    std::vector<BatchShard> shards;
    TimePoint sentAt{};
    /// Its shards were sent to other servers before.
    bool isHedge = false;
  };

  using BatchesByDomain = std::map<FailureDomain, std::vector<BatchShard>>;

  gateway::Process& Process() { return mContext.process; }

  /// Counts the shard's servers that may have run the request at the instance
  /// that handed it over.
  void AddServersUsedElsewhere(ShardState& aShard);

  /// Keep `RoutedRequest::usedServers`.
  void AddUsedServer(const ShardState& aShard, const BackendServer& aServer);
  void RemoveUsedServer(const ShardState& aShard, const BackendServer& aServer);

  /// Number of shards with a usable server.
  std::size_t CountReachableShards(TimePoint aNow);

  /// When the limits of servers are the only reason why too few shards accept a
  /// request: the time until enough of them do, and the last of these shards.
  /// Otherwise nothing.
  [[nodiscard]] std::optional<std::pair<Duration, std::size_t>>
  TimeUntilEnoughShards(TimePoint aNow);

  /// Time after which the caller should return if it is refused now.
  [[nodiscard]] Duration RefusalDelay(TimePoint aNow);

  /// True if too few shards can still answer, because the limits of the servers
  /// of the others allow no request before the deadline.
  [[nodiscard]] bool LimitsPreventCoverage(TimePoint aNow);

  /// True if no server has run any part of the query, and the time at which
  /// enough of them accept it is later than it may start.
  [[nodiscard]] bool MustWaitTooLong(TimePoint aNow);

  /// The servers of this partial query that get no request now because of their
  /// limits.
  [[nodiscard]] std::vector<WithheldServer> WithheldServers(
    TimePoint aNow) const;

  /// Expected latency of the shard's fastest server; see `ServerRegistry`.
  [[nodiscard]] double ExpectedShardLatencyMs(const ShardState& aShard,
                                              TimePoint aNow) const;

  /// Skips the shards that would answer after the soft deadline, as far as the
  /// required coverage permits.
  void SkipLateShards(TimePoint aNow);

  /// Sends skipped shards, the fastest first, when too few others have answered
  /// or have an attempt in progress.
  void SendNeededSkippedShards(TimePoint aNow);

  /// Ends the exchange with a refusal; call only if nothing has been sent.
  /// `aReason` is the text of the reply, `aCause` that of the log.
  void Refuse(std::string_view aReason, std::string_view aCause);

  /// True while no further shard may be sent: the content may crash servers,
  /// and one attempt is in progress to find out.
  [[nodiscard]] bool IsHeld() const;

  /// Returns whether more may be sent under the current verdict on the content.
  /// Ends the exchange if nothing is running and nothing may be sent.
  bool ObeyVerdict(TimePoint aNow);

  /// Decides how to go on after servers broke off `aCount` of the attempts.
  /// Returns false if that ended the exchange.
  bool OnCut(unsigned aAttemptId, std::size_t aCount, TimePoint aNow);

  /// Keeps an attempt that its server left without an answer.
  void AddLostRun(const ShardAttempt& aAttempt, TimePoint aNow);
  /// Records the attempts without an answer if no shard was answered.
  void RecordLostRuns(UnansweredEnd aEnd, TimePoint aNow);
  /// Ends the exchange without sending more, with what was answered.
  void FinishCut(std::string_view aCause);

  /// Refuses a content that may not be sent; call only if nothing has been
  /// sent.
  void RefuseContent();

  /// Withdraws the attempts that wait for a connection, so that no more than
  /// one is sent once there are any.
  void WithdrawUnsentAttempts(TimePoint aNow);

  /// Makes the shards due that waited for the first answer.
  void OnShardAnswered();

  /// Sends the shard's request to one more server if the route, the retry
  /// budget and the servers allow it; returns whether it did.
  bool TrySend(std::size_t aShard, TimePoint aNow);

  /// Returns the server for the shard's next send, already charged to the retry
  /// budget. If no send is possible now, sets the next retry and returns null.
  std::shared_ptr<BackendServer> PrepareSend(std::size_t aShard,
                                             TimePoint aNow);

  /// Chooses the server for the next send within the route's maximum number of
  /// servers per shard; null if there is none.
  std::shared_ptr<BackendServer> ChooseServer(ShardState& aShard,
                                              TimePoint aNow);

  /// Chooses among the servers that may already have run the request.
  std::shared_ptr<BackendServer> ChooseAmongPossiblyRunBy(ShardState& aShard,
                                                          TimePoint aNow);

  /// Chooses among the shard's allowed servers, except those in `aExcluded`.
  std::shared_ptr<BackendServer> ChooseAllowedServer(ShardState& aShard,
                                                     ServerList aExcluded,
                                                     TimePoint aNow);

  /// Sends the shards whose best server is in another failure domain to
  /// instances there, as partial queries.
  void SendInitialBatches(TimePoint aNow);

  /// Returns an instance of the failure domain for a partial query over
  /// `aShards` shards; null if these should be sent to servers directly.
  std::shared_ptr<BackendServer> FindGatheringInstance(
    const FailureDomain& aDomain,
    std::size_t aShards,
    TimePoint aNow);

  /// Hedges the given shards. Shards whose next server is in another failure
  /// domain are sent through an instance there if enough time is left.
  void SendHedges(const std::vector<std::size_t>& aDue, TimePoint aNow);

  void DispatchBatch(Batch aBatch, TimePoint aNow);

  void OnBatchFinished(unsigned aAttemptId,
                       AttemptResult aResult,
                       AttemptFault aFault,
                       ResponseMessage* aResponse);

  /// Number of the batch's shards whose servers broke off at the instance that
  /// gathers them.
  [[nodiscard]] std::size_t CountCutShards(const Batch& aBatch, TimePoint aNow);

  /// Stops sending to the servers that the partial answer names as withheld.
  void ApplyWithheldServers(const ResponseMessage& aResponse, TimePoint aNow);

  /// True if the limit of one of the servers is why the shard may lack an
  /// answer.
  [[nodiscard]] static bool IsWithheld(const BatchShard& aShard,
                                       TimePoint aNow);

  /// Records the merged answer of a partial query; false if the response isn't
  /// a valid one.
  bool RecordMergedAnswer(const Batch& aBatch, ResponseMessage& aResponse);

  /// Charges a send to the group's retry budget; false if the budget is used
  /// up. Free until a send may have reached a server; a free send replaces the
  /// attempts in progress.
  bool TryAcquireRetry(ShardState& aShard, TimePoint aNow);

  void Dispatch(std::size_t aShard,
                const std::shared_ptr<BackendServer>& aServer,
                TimePoint aNow);

  void OnAttemptFinished(std::size_t aShard,
                         unsigned aAttemptId,
                         AttemptResult aResult,
                         AttemptFault aFault,
                         ResponseMessage* aResponse);

  /// Records a shard's answer; false if the response is a failure or has no
  /// signature.
  bool RecordAnswer(std::size_t aShard, ResponseMessage& aResponse);

  /// Detaches all attempts of the shard that are in progress.
  void DetachAttempts(ShardState& aShard, TimePoint aNow);

  /// Detaches all partial queries in progress; their connections close at
  /// `aUntil`, which cancels them at the gathering instances.
  void DetachBatches(TimePoint aUntil);

  /// Ends the exchange if it is complete, late or out of attempts; else sends
  /// due retries and hedges and arms the timer for the next step.
  void Advance();

  /// Sends due retries of shards without an attempt, and due hedges of shards
  /// with one.
  void SendDue(TimePoint aNow);

  void ArmTimer(TimePoint aWhen);

  /// Replies with the merged records of the answered shards.
  void FinishMerged();

  /// Returns the header lines with the signatures of the answered shards and
  /// the number of missing ones.
  [[nodiscard]] std::string EncodeCoverageHeaders();

  /// Fails the query because too few shards have answered.
  void FinishIncomplete(std::string_view aCause);

  /// True if a server may have received the request of any shard.
  [[nodiscard]] bool MayHaveRun() const;

  void Finish(CallerReply aReply, std::string_view aCause);

  void LogRequestEnd(unsigned aStatus,
                     std::string_view aCause,
                     Duration aElapsed);

  /// Ends all attempts and partial queries in progress.
  void Stop(TimePoint aNow);

  ExchangeContext mContext;
  RoutedRequest mRequest;
  ReplyHandler mReply;
  std::shared_ptr<ServerRequest> mServerRequest;
  /// From this time on, the reply is sent as soon as the required number of
  /// shards has answered.
  TimePoint mSoftDeadline;
  /// A query that can't be sent until then is refused: its caller can return
  /// when it can.
  TimePoint mLatestStart;
  /// This is a partial query for another instance.
  bool mIsPartial;
  /// The requesting instance has charged the first sends to its retry budget,
  /// so they earn no retries here.
  bool mIsHedge = false;
  ShardSet mShards;
  /// Partial queries in progress, by attempt id.
  std::map<unsigned, Batch> mBatches;
  /// Number of shards that must answer.
  std::size_t mRequiredShards = 1;
  unsigned mLastAttemptId = 0;
  unsigned mSendCount = 0;
  unsigned mDeniedRetries = 0;
  ContentPermit mPermit;
  QueryCaution mCaution;
  /// Attempts that go on after `TryRelease`.
  std::vector<ShardAttempt> mReleased;
  std::vector<LostRun> mLostRuns;
  /// When servers last broke off attempts.
  TimePoint mLastCutAt{};
  /// True during the first sends, so that a send that fails at once does not
  /// end the exchange before all shards were sent.
  bool mStarting = false;
  TimerQueue::Handle mTimer;
};

} // namespace bronzedeal::gateway
