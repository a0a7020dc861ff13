#include "fanout_exchange.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// Fewest shards in another failure domain that an instance there gathers; for
/// fewer, the hop costs more than the bytes.
constexpr std::size_t kMinBatch = 2;
/// Shards of a partial query are sent to servers directly after this many times
/// the usual latency, and a little for the hop: by then the gathering instance
/// has asked a second server, and that one has answered.
constexpr double kBatchFactor = 3.5;
constexpr double kBatchHopMs = 8;
/// A gathering instance answers this long before the objective's margin.
constexpr auto kHopMargin = milliseconds(6);

} // namespace

void FanoutExchange::SendBatches(TimePoint aNow)
{
  BatchesByDomain foreign;
  const auto servers =
    std::min<std::size_t>(kMaxBatchServers, mRequest.route->maxAttempts);
  for (std::size_t n = 0; n < mShards.size(); ++n) {
    auto& shard = mShards[n];
    const auto best =
      mContext.servers.Best(*shard.group, mServerRequest->view, servers, aNow);
    if (best.empty() || best.front()->Cold(aNow) ||
        best.front()->Record().failureDomain ==
          Process().settings.failureDomain) {
      continue;
    }
    for (const auto& it : best) {
      shard.allowed.push_back(it.get());
    }
    foreign[best.front()->Record().failureDomain].push_back(
      { n, shard.allowed });
  }
  for (auto& [domain, shards] : foreign) {
    const auto peer = FindGatherer(domain, shards.size(), aNow);
    if (peer) {
      DispatchBatch(Batch{ peer, nullptr, std::move(shards), false }, aNow);
    } else {
      for (const auto& it : shards) {
        mShards[it.shard].allowed.clear();
      }
    }
  }
}

std::shared_ptr<BackendServer> FanoutExchange::FindGatherer(
  const FailureDomain& aDomain,
  std::size_t aShards,
  TimePoint aNow)
{
  return aShards >= kMinBatch ? mContext.peers.Find(aDomain, aNow) : nullptr;
}

void FanoutExchange::SendHedges(const std::vector<std::size_t>& aDue,
                                TimePoint aNow)
{
  const bool gather =
    !mIsPartial &&
    aNow + kHopMargin + FromMilliseconds(mServerRequest->view.typicalMs) <
      mSoftDeadline;
  BatchesByDomain foreign;
  for (const auto n : aDue) {
    const auto server = mReply ? PrepareSend(n, aNow) : nullptr;
    if (!server) {
      continue;
    }
    Process().metrics.Add(process::Counter::Hedges);
    const auto& domain = server->Record().failureDomain;
    if (gather && !mShards[n].batched && !server->Cold(aNow) &&
        domain != Process().settings.failureDomain) {
      foreign[domain].push_back({ n, { server.get() } });
    } else {
      Dispatch(n, server, aNow);
    }
  }
  for (auto& [domain, shards] : foreign) {
    if (!mReply) {
      return; // a send has ended the exchange
    }
    const auto peer = FindGatherer(domain, shards.size(), aNow);
    if (peer) {
      DispatchBatch(Batch{ peer, nullptr, std::move(shards), true }, aNow);
      continue;
    }
    for (const auto& it : shards) {
      const auto* server = it.servers.front();
      Dispatch(it.shard, mContext.servers.Find(server->Record().id), aNow);
    }
  }
}

void FanoutExchange::DispatchBatch(Batch aBatch, TimePoint aNow)
{
  PartialQuery query;
  query.topRecords = mRequest.route->topRecords;
  query.priority = mRequest.route->priority;
  query.repeated = aBatch.repeated;
  query.answerWithin = std::chrono::ceil<milliseconds>(
    std::max<Duration>(mSoftDeadline - kHopMargin - aNow, milliseconds(1)));
  query.objective = mRequest.route->objective;
  const auto slot = ++mSlots;
  ++mSends;
  const auto peer = aBatch.peer;
  for (const auto& it : aBatch.shards) {
    auto& shard = mShards[it.shard];
    PartialShard part{ shard.group->name, {} };
    for (const auto* server : it.servers) {
      part.servers.push_back(server->Record().id);
    }
    query.shards.push_back(std::move(part));
    shard.batched = true;
    shard.avoid.push_back(it.servers.front());
    shard.running.push_back(ShardAttempt{ peer, nullptr, slot });
    shard.hedgeAt =
      aNow + FromMilliseconds(kBatchHopMs +
                              kBatchFactor * mServerRequest->view.typicalMs);
  }
  auto request = std::make_shared<ServerRequest>(*mServerRequest);
  request->head.insert(request->head.find("\r\n") + 2,
                       EncodePartialQuery(query));
  Process().metrics.Add(process::Counter::PartialQueries);
  mBatches.emplace(slot, std::move(aBatch));
  auto attempt =
    peer->Send(request,
               [self = shared_from_this(),
                slot](auto aResult, auto aFault, ResponseMessage* aResponse) {
                 self->OnBatch(slot, aResult, aFault, aResponse);
               });
  const auto it = mBatches.find(slot);
  if (it != mBatches.end()) {
    it->second.attempt = std::move(attempt);
  }
}

void FanoutExchange::OnBatch(unsigned aSlot,
                             AttemptResult aResult,
                             AttemptFault aFault,
                             ResponseMessage* aResponse)
{
  const auto node = mBatches.extract(aSlot);
  if (!mReply || node.empty()) {
    return;
  }
  const auto& batch = node.mapped();
  for (const auto& it : batch.shards) {
    std::erase_if(mShards[it.shard].running,
                  [&](const auto& aIt) { return aIt.slot == aSlot; });
  }
  const bool taken =
    aResult == AttemptResult::Answered && TakeMerged(batch, *aResponse);
  if (!taken) {
    Process().log.Write(
      "partial_failed",
      { { "request", mRequest.caller.requestId },
        { "instance", batch.peer->Record().id },
        { "fault", Name(aFault) },
        { "shards", static_cast<std::int64_t>(batch.shards.size()) } });
  }
  const auto now = steady_clock::now();
  for (const auto& it : batch.shards) {
    auto& shard = mShards[it.shard];
    const bool asked =
      taken ? !shard.notAsked : aResult != AttemptResult::NotRun;
    shard.arrived = shard.arrived || asked;
    if (asked && batch.repeated) {
      shard.NoteRan(it.servers.front());
    }
    if (taken && shard.notAsked) {
      // That instance doesn't know the shard's servers.
      mContext.peers.Suspend(batch.peer->Record().id, now);
    }
    if (!shard.done && shard.running.empty()) {
      if (!asked) {
        shard.allowed.clear();
        shard.avoid.clear();
      }
      TrySend(it.shard, now);
    }
  }
  if (!mStarting) {
    Advance();
  }
}

bool FanoutExchange::TakeMerged(const Batch& aBatch, ResponseMessage& aResponse)
{
  const auto parts = DecodePartialParts(aResponse);
  std::vector<std::size_t> asked;
  for (const auto& it : aBatch.shards) {
    asked.push_back(it.shard);
  }
  std::vector<std::size_t> included;
  if (!parts || !mShards.TakeMerged(
                  asked, *parts, std::move(aResponse.body()), included)) {
    return false;
  }
  const auto now = steady_clock::now();
  for (const auto n : included) {
    ReleaseShard(mShards[n], now, false);
  }
  return true;
}

} // namespace bronzedeal::gateway
