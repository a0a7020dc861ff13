#pragma once

#include "bronzedeal/gateway/exchange.hpp"
#include "bronzedeal/gateway/partial_query.hpp"
#include "bronzedeal/gateway/shard_set.hpp"

#include <map>

namespace bronzedeal::gateway {

/// Servers that a gathering instance may use for a shard.
inline constexpr std::size_t kMaxServersPerBatchedShard = 2;

/// Milliseconds with fractions as a duration.
[[nodiscard]] inline Duration DurationFromMilliseconds(double aMs)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aMs));
}

/// A query over shards, or the part of one that this instance gathers for
/// another. What concerns other instances is in fanout_batches.cpp.
class FanoutExchange
  : public Exchange
  , public std::enable_shared_from_this<FanoutExchange>
{
public:
  /// `aPartial` is null for a caller's own query.
  FanoutExchange(const ExchangeContext& aContext,
                 RoutedRequest aRequest,
                 const PartialQuery* aPartial,
                 ReplyHandler aReply);

  void InitPartial(const PartialQuery& aPartial);

  void Start();

  void Cancel() override;

private:
  /// One shard of a partial query, and the servers that it may be sent to.
  struct BatchShard
  {
    std::size_t shard;
    ServerList servers;
  };

  /// A partial query at an instance in another failure domain.
  struct Batch
  {
    std::shared_ptr<BackendServer> peer;
    std::shared_ptr<Attempt> attempt;
    std::vector<BatchShard> shards;
    /// Servers have been asked for its shards before.
    bool isHedge = false;
  };

  using BatchesByDomain = std::map<FailureDomain, std::vector<BatchShard>>;

  /// Keeps 0.95 x 20 from counting as 20.
  static constexpr double kCoverageRounding = 1e-9;

  gateway::Process& Process() { return mContext.process; }

  std::size_t CountReachableShards(TimePoint aNow);

  /// Nothing has been sent.
  void Refuse(std::string_view aReason, std::string_view aCause);

  /// Sends the shard's request once more where the route, the budget and the
  /// servers allow it.
  bool TrySend(std::size_t aShard, TimePoint aNow);

  /// The server for the shard's next send, which the budget then allows; null
  /// when none is possible now.
  std::shared_ptr<BackendServer> PrepareSend(std::size_t aShard,
                                             TimePoint aNow);

  std::shared_ptr<BackendServer> ChooseServer(ShardState& aShard,
                                              TimePoint aNow);

  std::shared_ptr<BackendServer> ChooseAmongPossiblyRunBy(ShardState& aShard,
                                                          TimePoint aNow);

  std::shared_ptr<BackendServer> ChooseAllowedServer(ShardState& aShard,
                                                     ServerList aAvoid,
                                                     TimePoint aNow);

  /// Hands the shards whose best server is in another failure domain to
  /// instances there.
  void SendInitialBatches(TimePoint aNow);

  /// An instance of the domain that gathers so many shards; null when they are
  /// better asked from here.
  std::shared_ptr<BackendServer> FindGatheringInstance(
    const FailureDomain& aDomain,
    std::size_t aShards,
    TimePoint aNow);

  /// Asks second servers for the shards that are due. Those in another failure
  /// domain are asked through an instance there, where that leaves it time.
  void SendHedges(const std::vector<std::size_t>& aDue, TimePoint aNow);

  void DispatchBatch(Batch aBatch, TimePoint aNow);

  void OnBatchFinished(unsigned aAttemptId,
                       AttemptResult aResult,
                       AttemptFault aFault,
                       ResponseMessage* aResponse);

  /// Takes the merged records of a partial query; false when the answer is
  /// none.
  bool RecordMergedAnswer(const Batch& aBatch, ResponseMessage& aResponse);

  /// The first arrival is free; others draw on the group's repeats.
  bool TryAcquireRetry(ShardState& aShard, TimePoint aNow);

  void Dispatch(std::size_t aShard,
                const std::shared_ptr<BackendServer>& aServer,
                TimePoint aNow);

  void OnAttemptFinished(std::size_t aShard,
                         unsigned aAttemptId,
                         AttemptResult aResult,
                         AttemptFault aFault,
                         ResponseMessage* aResponse);

  /// Takes a shard's answer; false when it is none: a failure, or an answer
  /// without a signature.
  bool RecordAnswer(std::size_t aShard, ResponseMessage& aResponse);

  void DetachAttempts(ShardState& aShard,
                      TimePoint aNow,
                      bool aCallerDisconnected);

  /// Ends the exchange where that is due, and otherwise sends what is due.
  void Advance();

  /// Sends what is due: the first server of shards that had none, a second one
  /// of shards that wait.
  void SendDue(TimePoint aNow);

  void ArmTimer(TimePoint aWhen);

  void FinishMerged();

  [[nodiscard]] std::string EncodeCoverageHeaders();

  void FinishIncomplete(std::string_view aCause);

  void Finish(CallerReply aReply, std::string_view aCause);

  void LogRequestEnd(unsigned aStatus, std::string_view aCause, Duration aTook);

  void Stop(bool aCallerDisconnected);

  ExchangeContext mContext;
  RoutedRequest mRequest;
  ReplyHandler mReply;
  std::shared_ptr<ServerRequest> mServerRequest;
  /// From here on an answer with the least coverage leaves at once.
  TimePoint mSoftDeadline;
  /// It gathers a part of another instance's query.
  bool mIsPartial;
  /// The asking instance has paid for the sends from its share of repeats.
  bool mIsHedge = false;
  ShardSet mShards;
  std::map<unsigned, Batch> mBatches;
  std::size_t mRequiredShards = 1;
  unsigned mLastAttemptId = 0;
  unsigned mSendCount = 0;
  unsigned mDeniedRetries = 0;
  bool mStarting = false;
  TimerQueue::Handle mTimer;
};

} // namespace bronzedeal::gateway
