#include "fanout_exchange.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// Minimum number of shards of a partial query. For fewer shards, the extra hop
/// costs more than the saved bytes.
constexpr std::size_t kMinBatchShards = 2;
/// Shards of a partial query are hedged after this multiple of the median
/// latency, plus an allowance for the hop. By then the gathering instance has
/// hedged itself, and the second server has answered.
constexpr double kBatchHedgeFactor = 3.5;
constexpr double kBatchHedgeExtraMs = 8;
/// A gathering instance replies this long before the soft deadline of the
/// requesting one.
constexpr auto kPeerHopMargin = milliseconds(6);

} // namespace

void FanoutExchange::SendInitialBatches(TimePoint aNow)
{
  BatchesByDomain shardsByDomain;
  const auto maxServers = std::min<std::size_t>(kMaxServersPerBatchedShard,
                                                mRequest.route->maxAttempts);
  for (std::size_t n = 0; n < mShards.size(); ++n) {
    auto& shard = mShards[n];
    if (shard.skipped || shard.reachedServer) {
      continue;
    }
    auto bestServers = mContext.servers.BestServers(
      *shard.group, mServerRequest->profile, maxServers, aNow);
    if (bestServers.empty() || bestServers.front()->IsCold(aNow) ||
        bestServers.front()->Record().failureDomain ==
          Process().settings.failureDomain) {
      continue;
    }
    for (const auto& it : bestServers) {
      shard.allowedServers.push_back(it.get());
    }
    const auto domain = bestServers.front()->Record().failureDomain;
    shardsByDomain[domain].push_back({ n, std::move(bestServers) });
  }
  for (auto& [domain, shards] : shardsByDomain) {
    const auto peer = FindGatheringInstance(domain, shards.size(), aNow);
    if (peer) {
      DispatchBatch(Batch{ peer, nullptr, std::move(shards), aNow, false },
                    aNow);
    } else {
      for (const auto& it : shards) {
        mShards[it.shard].allowedServers.clear();
      }
    }
  }
}

std::shared_ptr<BackendServer> FanoutExchange::FindGatheringInstance(
  const FailureDomain& aDomain,
  std::size_t aShards,
  TimePoint aNow)
{
  return aShards >= kMinBatchShards
           ? mContext.peers.FindLeastBusy(aDomain, aNow)
           : nullptr;
}

void FanoutExchange::SendHedges(const std::vector<std::size_t>& aDue,
                                TimePoint aNow)
{
  const bool mayBatch =
    !mIsPartial &&
    aNow + kPeerHopMargin +
        DurationFromMilliseconds(mServerRequest->profile.medianLatencyMs) <
      mSoftDeadline;
  BatchesByDomain shardsByDomain;
  for (const auto n : aDue) {
    const auto server = mReply ? PrepareSend(n, aNow) : nullptr;
    if (!server) {
      continue;
    }
    Process().metrics.Add(process::Counter::Hedges);
    const auto& domain = server->Record().failureDomain;
    if (mayBatch && !mShards[n].wasBatched && !server->IsCold(aNow) &&
        domain != Process().settings.failureDomain) {
      shardsByDomain[domain].push_back({ n, { server } });
    } else {
      Dispatch(n, server, aNow);
    }
  }
  for (auto& [domain, shards] : shardsByDomain) {
    if (!mReply) {
      return; // A send has ended the exchange.
    }
    const auto peer = FindGatheringInstance(domain, shards.size(), aNow);
    if (peer) {
      DispatchBatch(Batch{ peer, nullptr, std::move(shards), aNow, true },
                    aNow);
      continue;
    }
    for (const auto& it : shards) {
      Dispatch(it.shard, it.servers.front(), aNow);
    }
  }
}

void FanoutExchange::DispatchBatch(Batch aBatch, TimePoint aNow)
{
  PartialQuery query;
  query.topRecords = mRequest.route->topRecords;
  query.priority = mRequest.route->priority;
  query.isHedge = aBatch.isHedge;
  query.answerTimeout = std::chrono::ceil<milliseconds>(
    std::max<Duration>(mSoftDeadline - kPeerHopMargin - aNow, milliseconds(1)));
  query.objective = mRequest.route->objective;
  const auto attemptId = ++mLastAttemptId;
  ++mSendCount;
  const auto peer = aBatch.peer;
  for (const auto& it : aBatch.shards) {
    auto& shard = mShards[it.shard];
    PartialShard partialShard{ shard.group->name, {} };
    for (const auto& server : it.servers) {
      partialShard.servers.push_back(server->Record().id);
      AddUsedServer(shard, *server);
    }
    query.shards.push_back(std::move(partialShard));
    shard.wasBatched = true;
    shard.excludedServers.push_back(it.servers.front().get());
    shard.attempts.push_back(ShardAttempt{ peer, nullptr, attemptId });
    shard.hedgeAt =
      aNow + DurationFromMilliseconds(
               kBatchHedgeExtraMs +
               kBatchHedgeFactor * mServerRequest->profile.medianLatencyMs);
  }
  auto request = std::make_shared<ServerRequest>(*mServerRequest);
  request->content.reset();
  request->head.insert(request->head.find("\r\n") + 2,
                       EncodePartialQuery(query));
  Process().metrics.Add(process::Counter::PartialQueries);
  mBatches.emplace(attemptId, std::move(aBatch));
  auto attempt =
    peer->Send(request,
               [self = shared_from_this(), attemptId](
                 auto aResult, auto aFault, ResponseMessage* aResponse) {
                 self->OnBatchFinished(attemptId, aResult, aFault, aResponse);
               });
  const auto it = mBatches.find(attemptId);
  if (it != mBatches.end()) {
    it->second.attempt = std::move(attempt);
  }
}

void FanoutExchange::OnBatchFinished(unsigned aAttemptId,
                                     AttemptResult aResult,
                                     AttemptFault aFault,
                                     ResponseMessage* aResponse)
{
  const auto node = mBatches.extract(aAttemptId);
  if (!mReply || node.empty()) {
    return;
  }
  const auto& batch = node.mapped();
  for (const auto& it : batch.shards) {
    std::erase_if(mShards[it.shard].attempts,
                  [&](const auto& aIt) { return aIt.attemptId == aAttemptId; });
  }
  const bool isValidAnswer =
    aResult == AttemptResult::Answered && RecordMergedAnswer(batch, *aResponse);
  if (!isValidAnswer) {
    Process().log.Write(
      "partial_failed",
      { { "request", mRequest.caller.requestId },
        { "instance", batch.peer->Record().id },
        { "fault", Name(aFault) },
        { "shards", static_cast<std::int64_t>(batch.shards.size()) } });
  }
  const auto now = steady_clock::now();
  if (isValidAnswer) {
    ApplyWithheldServers(*aResponse, now);
  }
  const auto cutCount = isValidAnswer ? CountCutShards(batch, now) : 0;
  if (cutCount > 0 && !OnCut(aAttemptId, cutCount, now)) {
    return;
  }
  for (const auto& it : batch.shards) {
    auto& shard = mShards[it.shard];
    const bool mayHaveReachedServer =
      isValidAnswer ? !shard.skippedByPeer : aResult != AttemptResult::NotRun;
    if (!mayHaveReachedServer) {
      for (const auto& server : it.servers) {
        RemoveUsedServer(shard, *server);
      }
    }
    shard.reachedServer = shard.reachedServer || mayHaveReachedServer;
    shard.mayHaveRunAtPeer = shard.mayHaveRunAtPeer || mayHaveReachedServer;
    if (mayHaveReachedServer && batch.isHedge) {
      shard.AddPossiblyRunBy(it.servers.front().get());
    }
    if (isValidAnswer && mayHaveReachedServer && !shard.answered) {
      it.servers.front()->OnUnansweredPartial(
        mServerRequest->profile, now - batch.sentAt, now);
    }
    if (isValidAnswer && shard.skippedByPeer && !IsWithheld(it, now)) {
      // The instance does not know the shard's servers.
      mContext.peers.Suspend(batch.peer->Record().id, now);
    }
    if (!shard.answered && shard.attempts.empty()) {
      if (!mayHaveReachedServer) {
        shard.allowedServers.clear();
        shard.excludedServers.clear();
      }
      TrySend(it.shard, now);
    }
  }
  if (!mStarting) {
    Advance();
  }
}

std::size_t FanoutExchange::CountCutShards(const Batch& aBatch, TimePoint aNow)
{
  if (aNow >= mSoftDeadline - kPeerHopMargin) {
    return 0; // The instance has given up on slow servers.
  }
  return static_cast<std::size_t>(std::count_if(
    aBatch.shards.begin(), aBatch.shards.end(), [&](const auto& aIt) {
      const auto& shard = mShards[aIt.shard];
      return !shard.answered && !shard.skippedByPeer;
    }));
}

bool FanoutExchange::RecordMergedAnswer(const Batch& aBatch,
                                        ResponseMessage& aResponse)
{
  const auto parts = DecodeShardResults(aResponse);
  std::vector<std::size_t> batchShards;
  for (const auto& it : aBatch.shards) {
    batchShards.push_back(it.shard);
  }
  std::vector<std::size_t> included;
  if (!parts || !mShards.RecordMergedAnswer(
                  batchShards, *parts, std::move(aResponse.body()), included)) {
    return false;
  }
  const auto now = steady_clock::now();
  for (const auto n : included) {
    DetachAttempts(mShards[n], now);
  }
  OnShardAnswered();
  return true;
}

void FanoutExchange::DetachBatches(TimePoint aUntil)
{
  for (const auto& [attemptId, batch] : std::exchange(mBatches, {})) {
    if (batch.attempt) {
      batch.peer->Detach(batch.attempt, aUntil);
    }
  }
}

} // namespace bronzedeal::gateway
