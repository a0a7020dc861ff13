#include "fanout_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// A shard is asked a second time after this many times the usual latency:
/// about the 99th percentile of sound servers, whose speeds differ by 1.6.
constexpr double kHedgeFactor = 2.2;
constexpr double kHedgeFloorMs = 8;
/// A complete enough answer leaves this long before the objective, which counts
/// from the caller's connect: network both ways, writing, and late wake-ups.
constexpr auto kObjectiveMargin = milliseconds(10);
constexpr auto kAnswerMargin = milliseconds(30);
/// Sends that a shard may take in all, those included that servers refused.
constexpr unsigned kMaxSends = 6;
/// Between tries of shards without a usable server.
constexpr auto kRetryPause = milliseconds(50);
constexpr auto kRetryAfter = milliseconds(100);

} // namespace

FanoutExchange::FanoutExchange(const ExchangeContext& aContext,
                               RoutedRequest aRequest,
                               const PartialQuery* aPartial,
                               ReplyHandler aReply)
  : mContext(aContext)
  , mRequest(std::move(aRequest))
  , mReply(std::move(aReply))
  , mServerRequest(MakeServerRequest(mContext, mRequest))
  , mSoftDeadline(std::min(mRequest.caller.received +
                             mRequest.route->objective - kObjectiveMargin,
                           mRequest.deadline - kAnswerMargin))
  , mIsPartial(aPartial != nullptr)
{
  if (aPartial != nullptr) {
    InitPartial(*aPartial);
    return;
  }
  const auto& shards = mRequest.route->shards;
  mNeeded = std::max<std::size_t>(
    1,
    static_cast<std::size_t>(std::ceil(mRequest.route->minCoverage *
                                         static_cast<double>(shards.size()) -
                                       kRounding)));
  for (const auto& it : shards) {
    mShards.Add(ShardState{ .group = &mContext.servers.Group(it) });
  }
}

void FanoutExchange::InitPartial(const PartialQuery& aPartial)
{
  // The asking instance decides what coverage is enough.
  mNeeded = 0;
  mIsRepeat = aPartial.repeated;
  mSoftDeadline = mRequest.caller.received + aPartial.answerWithin;
  for (const auto& it : aPartial.shards) {
    ShardState shard{ .group = &mContext.servers.Group(it.group) };
    for (const auto& id : it.servers) {
      if (const auto server = mContext.servers.Find(id)) {
        shard.allowed.push_back(server.get());
      }
    }
    if (shard.allowed.empty()) {
      // Only the asking instance knows the servers, so it sends itself.
      shard.sends = kMaxSends;
    }
    mShards.Add(std::move(shard));
  }
}

void FanoutExchange::Start()
{
  const auto now = steady_clock::now();
  if (Reachable(now) < mNeeded) {
    Refuse("too few shards have a server", "no_servers");
    return;
  }
  if (now >= mRequest.deadline - kAnswerMargin) {
    Refuse("too little time is left", "no_time");
    return;
  }
  mStarting = true;
  if (!mIsPartial) {
    SendBatches(now);
  }
  for (std::size_t n = 0; n < mShards.size(); ++n) {
    if (mShards[n].running.empty() && !mShards[n].done) {
      if (!mIsRepeat) {
        mShards[n].group->repeats.OnFirstAttempt(
          Process().settings.retryLimits, Process().fleetShares.Divisor(), now);
      }
      TrySend(n, now);
    }
  }
  mStarting = false;
  Advance();
}

void FanoutExchange::Abandon()
{
  mReply = nullptr;
  Process().metrics.Add(process::Counter::CallersLeft);
  Stop(true);
}

std::size_t FanoutExchange::Reachable(TimePoint aNow)
{
  return static_cast<std::size_t>(
    std::count_if(mShards.begin(), mShards.end(), [&](const auto& aIt) {
      return mContext.servers.HasUsable(*aIt.group, aNow);
    }));
}

void FanoutExchange::Refuse(std::string_view aReason, std::string_view aCause)
{
  Process().metrics.Add(process::Counter::QueriesRefused);
  Finish(RefusedReply(aReason, kRetryAfter), aCause);
}

bool FanoutExchange::TrySend(std::size_t aShard, TimePoint aNow)
{
  const auto server = PrepareSend(aShard, aNow);
  if (server) {
    Dispatch(aShard, server, aNow);
  }
  return server != nullptr;
}

std::shared_ptr<BackendServer> FanoutExchange::PrepareSend(std::size_t aShard,
                                                           TimePoint aNow)
{
  auto& shard = mShards[aShard];
  shard.hedgeAt = TimePoint::max();
  if (shard.sends >= kMaxSends) {
    shard.retryAt = TimePoint::max();
    return nullptr;
  }
  auto server = ChooseServer(shard, aNow);
  if (!server || !TakeRepeat(shard, aNow)) {
    shard.retryAt = aNow + kRetryPause;
    shard.hedgeAt = shard.retryAt;
    return nullptr;
  }
  return server;
}

std::shared_ptr<BackendServer> FanoutExchange::ChooseServer(ShardState& aShard,
                                                            TimePoint aNow)
{
  // Once the route's number of servers is used up, only those may be asked
  // again.
  if (aShard.ran.size() + aShard.running.size() >=
      mRequest.route->maxAttempts) {
    return aShard.running.empty() ? AgainToRan(aShard, aNow) : nullptr;
  }
  auto server = Choose(aShard, aShard.avoid, aNow);
  if (!server && aShard.OnlyGathered()) {
    aShard.avoid.clear();
    server = Choose(aShard, {}, aNow);
  }
  return server;
}

std::shared_ptr<BackendServer> FanoutExchange::AgainToRan(ShardState& aShard,
                                                          TimePoint aNow)
{
  return mContext.servers.Choose(*aShard.group,
                                 mServerRequest->view,
                                 aShard.group->AllBut(aShard.ran),
                                 aNow);
}

std::shared_ptr<BackendServer> FanoutExchange::Choose(ShardState& aShard,
                                                      UsedServers aAvoid,
                                                      TimePoint aNow)
{
  if (!aShard.allowed.empty()) {
    const auto others = aShard.group->AllBut(aShard.allowed);
    aAvoid.insert(aAvoid.end(), others.begin(), others.end());
  }
  return mContext.servers.Choose(
    *aShard.group, mServerRequest->view, aAvoid, aNow);
}

bool FanoutExchange::TakeRepeat(ShardState& aShard, TimePoint aNow)
{
  if (!aShard.arrived && !aShard.HasLeft()) {
    // Nothing has left for a server yet: this send replaces the others.
    ReleaseShard(aShard, aNow, false);
    return true;
  }
  if (aShard.group->repeats.TryAcquire(Process().settings.retryLimits,
                                       Process().fleetShares.Divisor(),
                                       aNow)) {
    return true;
  }
  Process().metrics.Add(process::Counter::RepeatsDenied);
  ++mDenied;
  return false;
}

void FanoutExchange::Dispatch(std::size_t aShard,
                              const std::shared_ptr<BackendServer>& aServer,
                              TimePoint aNow)
{
  auto& shard = mShards[aShard];
  ++shard.sends;
  ++mSends;
  const auto slot = ++mSlots;
  shard.avoid.push_back(aServer.get());
  shard.running.push_back(ShardAttempt{ aServer, nullptr, slot });
  auto attempt =
    aServer->Send(mServerRequest,
                  [self = shared_from_this(), aShard, slot](
                    auto aResult, auto aFault, ResponseMessage* aResponse) {
                    self->OnAttempt(aShard, slot, aResult, aFault, aResponse);
                  });
  const auto it = shard.FindRunning(slot);
  if (it != shard.running.end()) {
    it->attempt = std::move(attempt);
    shard.hedgeAt =
      aNow + FromMilliseconds(std::max(
               kHedgeFloorMs, kHedgeFactor * mServerRequest->view.typicalMs));
  }
}

void FanoutExchange::OnAttempt(std::size_t aShard,
                               unsigned aSlot,
                               AttemptResult aResult,
                               AttemptFault aFault,
                               ResponseMessage* aResponse)
{
  auto& shard = mShards[aShard];
  const auto it = shard.FindRunning(aSlot);
  if (!mReply || it == shard.running.end()) {
    return;
  }
  const auto running = std::move(*it);
  shard.running.erase(it);
  if (aResult != AttemptResult::NotRun) {
    shard.NoteRan(running.server.get());
  }
  if (aResult != AttemptResult::NotRun || aFault == AttemptFault::Refused ||
      aFault == AttemptFault::OtherServer) {
    shard.arrived = true;
  }
  if (aResult == AttemptResult::Answered && TakePart(aShard, *aResponse)) {
    if (running.attempt) {
      mContext.latency.Add(*mRequest.route,
                           steady_clock::now() - running.attempt->sentAt);
    }
    ReleaseShard(shard, steady_clock::now(), false);
  } else {
    Process().log.Write(
      "attempt_failed",
      { { "request", mRequest.caller.requestId },
        { "server", running.server->Record().id },
        { "fault", Name(aFault) },
        { "status",
          static_cast<std::int64_t>(
            aResponse != nullptr ? aResponse->result_int() : 0) } });
    TrySend(aShard, steady_clock::now());
  }
  if (!mStarting) {
    Advance();
  }
}

bool FanoutExchange::TakePart(std::size_t aShard, ResponseMessage& aResponse)
{
  const auto signature = aResponse[Process().settings.headerNames.signature];
  if (aResponse.result_int() / 100 != 2 || signature.empty()) {
    return false;
  }
  mShards.TakePart(aShard, std::string(signature), std::move(aResponse.body()));
  return true;
}

void FanoutExchange::ReleaseShard(ShardState& aShard,
                                  TimePoint aNow,
                                  bool aCallerLeft)
{
  for (const auto& it : std::exchange(aShard.running, {})) {
    if (it.attempt) {
      it.server->Release(it.attempt, ReleaseTime(mRequest, aCallerLeft, aNow));
    }
  }
}

void FanoutExchange::Advance()
{
  if (!mReply) {
    return;
  }
  const auto now = steady_clock::now();
  if (mShards.Complete() ||
      (mShards.Done() >= mNeeded && now >= mSoftDeadline)) {
    FinishMerged();
    return;
  }
  if (now >= mRequest.deadline - kAnswerMargin) {
    FinishShort("timeout");
    return;
  }
  auto next = mRequest.deadline - kAnswerMargin;
  if (now < mSoftDeadline) {
    next = std::min(next, mSoftDeadline);
  }
  SendDue(now);
  if (!mReply) {
    return; // a send has ended the exchange
  }
  bool waiting = false;
  bool possible = false;
  for (const auto& shard : mShards) {
    if (shard.done) {
      continue;
    }
    waiting = waiting || !shard.running.empty();
    possible = possible || shard.retryAt != TimePoint::max();
    next = std::min(next, shard.NextTime());
  }
  if (!waiting && mShards.Done() >= mNeeded) {
    // The rest has no server that may be asked now.
    FinishMerged();
    return;
  }
  if (!waiting && !possible) {
    FinishShort("no_attempt_left");
    return;
  }
  ArmTimer(next);
}

void FanoutExchange::SendDue(TimePoint aNow)
{
  std::vector<std::size_t> hedges;
  for (std::size_t n = 0; n < mShards.size(); ++n) {
    const auto& shard = mShards[n];
    if (shard.done) {
      continue;
    }
    if (shard.hedgeAt <= aNow && !shard.running.empty()) {
      hedges.push_back(n);
    } else if (shard.running.empty() && shard.retryAt <= aNow) {
      TrySend(n, aNow);
    }
  }
  SendHedges(hedges, aNow);
}

void FanoutExchange::ArmTimer(TimePoint aWhen)
{
  if (mTimer.id != 0 && mTimer.when == aWhen) {
    return;
  }
  Process().timers.Cancel(mTimer);
  mTimer = Process().timers.At(aWhen, [self = shared_from_this()] {
    self->mTimer = {};
    self->Advance();
  });
}

void FanoutExchange::FinishMerged()
{
  CallerReply reply;
  reply.headers =
    mIsPartial ? EncodePartialParts(mShards.Parts()) : CoverageHeaders();
  reply.body = mShards.Merge(mRequest.route->topRecords);
  if (!mIsPartial) {
    Process().metrics.Add(mShards.Complete()
                            ? process::Counter::QueriesWhole
                            : process::Counter::QueriesPartial);
  }
  Finish(std::move(reply), "merged");
}

std::string FanoutExchange::CoverageHeaders()
{
  const auto& names = Process().settings.headerNames;
  return fmt::format("{}: {}\r\n{}: {}\r\n",
                     names.partSignatures,
                     mShards.Signatures(),
                     names.missingShards,
                     mShards.size() - mShards.Done());
}

void FanoutExchange::FinishShort(std::string_view aCause)
{
  Process().metrics.Add(process::Counter::QueriesFailed);
  const bool gathered =
    std::any_of(mBatches.begin(), mBatches.end(), [](const auto& aIt) {
      return aIt.second.attempt && aIt.second.attempt->sent;
    });
  const bool ran = gathered || mShards.AnyMayHaveArrived();
  Finish(ran ? OwnReply(504, "too few shards answered in time")
             : RefusedReply("too few shards have a server", kRetryAfter),
         aCause);
}

void FanoutExchange::Finish(CallerReply aReply, std::string_view aCause)
{
  auto reply = std::exchange(mReply, nullptr);
  const auto took = steady_clock::now() - mRequest.caller.received;
  if (!mIsPartial) {
    Process().metrics.ObserveQuery(Milliseconds(took) / 1000);
  }
  if (!mShards.Complete() || took >= mRequest.route->objective) {
    LogEnd(aReply.status, aCause, took);
  }
  Stop(false);
  reply(std::move(aReply));
}

void FanoutExchange::LogEnd(unsigned aStatus,
                            std::string_view aCause,
                            Duration aTook)
{
  Process().log.Write(
    mIsPartial ? "partial_end" : "request_end",
    { { "request", mRequest.caller.requestId },
      { "route", mRequest.route->name },
      { "version", static_cast<std::int64_t>(mRequest.version) },
      { "status", static_cast<std::int64_t>(aStatus) },
      { "cause", aCause },
      { "shards", static_cast<std::int64_t>(mShards.size()) },
      { "done", static_cast<std::int64_t>(mShards.Done()) },
      { "missing", mShards.Missing() },
      { "sends", static_cast<std::int64_t>(mSends) },
      { "repeats_denied", static_cast<std::int64_t>(mDenied) },
      { "typical_ms", mServerRequest->view.typicalMs },
      { "took_ms", Milliseconds(aTook) } });
}

void FanoutExchange::Stop(bool aCallerLeft)
{
  Process().timers.Cancel(mTimer);
  const auto now = steady_clock::now();
  for (auto& it : mShards) {
    ReleaseShard(it, now, aCallerLeft);
  }
  for (const auto& [slot, batch] : std::exchange(mBatches, {})) {
    if (batch.attempt) {
      batch.peer->Release(batch.attempt,
                          ReleaseTime(mRequest, aCallerLeft, now));
    }
  }
}

std::shared_ptr<Exchange> StartFanoutExchange(const ExchangeContext& aContext,
                                              RoutedRequest aRequest,
                                              ReplyHandler aReply)
{
  auto exchange = std::make_shared<FanoutExchange>(
    aContext, std::move(aRequest), nullptr, std::move(aReply));
  exchange->Start();
  return exchange;
}

std::shared_ptr<Exchange> StartPartialExchange(const ExchangeContext& aContext,
                                               CallerRequest aRequest,
                                               const PartialQuery& aQuery,
                                               ReplyHandler aReply)
{
  auto route = std::make_shared<Route>();
  // Keeps the usual latency of partial queries with one objective.
  route->name = fmt::format("partial/{}", aQuery.objective.count());
  route->objective = aQuery.objective;
  route->maxAttempts = kMaxBatchServers;
  route->priority = aQuery.priority;
  route->topRecords = aQuery.topRecords;
  RoutedRequest request;
  request.deadline = aRequest.callerDeadline.value_or(
    aRequest.received + aQuery.answerWithin + kAnswerMargin);
  request.caller = std::move(aRequest);
  request.route = std::move(route);
  auto exchange = std::make_shared<FanoutExchange>(
    aContext, std::move(request), &aQuery, std::move(aReply));
  exchange->Start();
  return exchange;
}

} // namespace bronzedeal::gateway
