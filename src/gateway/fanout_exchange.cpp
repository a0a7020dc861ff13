#include "fanout_exchange.hpp"

#include "bronzedeal/gateway/record_merge.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// A shard is hedged after this multiple of the median latency: about the 99th
/// percentile of healthy servers, whose speeds differ by a factor of 1.6.
constexpr double kHedgeFactor = 2.2;
constexpr double kMinHedgeDelayMs = 8;
/// An answer with enough coverage is sent so long before the objective that it
/// reaches the caller in time. Besides the network, this margin covers the
/// merge, the write and late wake-ups.
constexpr auto kSoftDeadlineMargin = milliseconds(5);
/// A query starts at the latest when the objective divided by this has passed;
/// until then it waits for servers' limits.
constexpr int kStartObjectiveDivisor = 5;
/// Maximum number of sends of one shard, including those that servers refused.
constexpr unsigned kMaxSendsPerShard = 6;
/// An answer with more than this multiple of the records that the merge needs
/// is reduced to these at once.
constexpr std::size_t kMaxUnmergedRatio = 4;
/// Delay before the next try for a shard without a usable server.
constexpr auto kNoServerRetryDelay = milliseconds(50);

} // namespace

FanoutExchange::FanoutExchange(const ExchangeContext& aContext,
                               RoutedRequest aRequest,
                               const PartialQuery* aPartial,
                               ReplyHandler aReply)
  : mContext(aContext)
  , mRequest(std::move(aRequest))
  , mReply(std::move(aReply))
  , mServerRequest(MakeServerRequest(mContext, mRequest))
  , mSoftDeadline(std::min(mRequest.caller.receivedAt +
                             mRequest.route->objective -
                             mRequest.caller.networkDelay - kSoftDeadlineMargin,
                           mRequest.deadline - kAnswerMargin))
  , mIsPartial(aPartial != nullptr)
{
  if (aPartial != nullptr) {
    InitPartial(*aPartial);
    return;
  }
  const auto& shards = mRequest.route->shards;
  mRequiredShards = RequiredShardCount(*mRequest.route);
  for (const auto& it : shards) {
    ShardState shard{ .group = &mContext.servers.FindOrCreateGroup(it) };
    AddServersUsedElsewhere(shard);
    mShards.Add(std::move(shard));
  }
}

void FanoutExchange::InitPartial(const PartialQuery& aPartial)
{
  // The requesting instance decides which coverage is sufficient.
  mRequiredShards = 0;
  mIsHedge = aPartial.isHedge;
  mSoftDeadline = mRequest.caller.receivedAt + aPartial.answerTimeout;
  for (const auto& it : aPartial.shards) {
    auto* group = mContext.servers.FindGroup(it.group);
    if (group == nullptr) {
      continue; // The requesting instance sends the request itself.
    }
    ShardState shard{ .group = group };
    for (const auto& id : it.servers) {
      if (const auto server = mContext.servers.Find(id)) {
        shard.allowedServers.push_back(server.get());
      }
    }
    if (shard.allowedServers.empty()) {
      // Only the requesting instance knows these servers: send nothing, so that
      // it sends the request itself.
      shard.sendCount = kMaxSendsPerShard;
    }
    mShards.Add(std::move(shard));
  }
}

void FanoutExchange::Start()
{
  const auto now = steady_clock::now();
  mLatestStart = mRequest.caller.receivedAt +
                 mRequest.route->objective / kStartObjectiveDivisor;
  if (!mPermit.trial) {
    mPermit = ObtainContentPermit(
      Process(), *mServerRequest->content, now, mRequest.deadline);
  }
  if (mPermit.refusedFor) {
    RefuseContent();
    return;
  }
  std::ignore =
    mCaution.OnVerdict(mPermit.verdict, mPermit.trial != nullptr, false);
  if (mRequest.isTrial) {
    mCaution.BeginOneAtATime();
  }
  if (CountReachableShards(now) < mRequiredShards) {
    const auto wait = TimeUntilEnoughShards(now);
    if (wait && now + wait->first < mLatestStart) {
      mTimer = Process().timers.Schedule(now + wait->first,
                                         [self = shared_from_this()] {
                                           self->mTimer = {};
                                           self->Start();
                                         });
      return;
    }
    Refuse("too few shards have a server",
           wait ? "rate_limited" : "no_servers");
    return;
  }
  if (now >= mRequest.deadline - kAnswerMargin) {
    Refuse("too little time is left", "no_time");
    return;
  }
  mStarting = true;
  if (!mIsPartial) {
    SkipLateShards(now);
    if (!mCaution.IsOneAtATime()) {
      SendInitialBatches(now);
    }
  }
  for (std::size_t n = 0; n < mShards.size(); ++n) {
    if (mShards[n].attempts.empty() && !mShards[n].answered &&
        !mShards[n].skipped) {
      if (!mIsHedge && !mShards[n].reachedServer) {
        mShards[n].group->retryBudget.OnFirstAttempt(
          Process().settings.retryLimits, Process().fleetShares.Divisor(), now);
      }
      TrySend(n, now);
    }
  }
  mStarting = false;
  Advance();
}

void FanoutExchange::Conclude()
{
  if (!mReply) {
    return;
  }
  if (mShards.AnsweredCount() >= mRequiredShards) {
    FinishMerged();
  } else {
    FinishIncomplete("stopping");
  }
}

void FanoutExchange::Cancel()
{
  const auto now = steady_clock::now();
  if (!mReleased.empty()) {
    for (const auto& it : std::exchange(mReleased, {})) {
      it.server->Detach(it.attempt, LateResponseDeadline(mRequest, now));
    }
    return;
  }
  mReply = nullptr;
  Process().metrics.Add(process::Counter::CallersLeft);
  RecordLostRuns(UnansweredEnd::CallerLeft, now);
  // The gathering instance grants its attempts the time to finish, so its
  // connection closes at once: the time counts once for all hops.
  DetachBatches(now);
  Stop(now);
}

std::size_t FanoutExchange::CountReachableShards(TimePoint aNow)
{
  return static_cast<std::size_t>(
    std::count_if(mShards.begin(), mShards.end(), [&](const auto& aIt) {
      return mContext.servers.HasUsableServer(*aIt.group, aNow);
    }));
}

void FanoutExchange::Refuse(std::string_view aReason, std::string_view aCause)
{
  Process().metrics.Add(process::Counter::QueriesRefused);
  Finish(RefusedReply(aReason, RefusalDelay(steady_clock::now())), aCause);
}

bool FanoutExchange::TrySend(std::size_t aShard, TimePoint aNow)
{
  if (!mReply || !ObeyVerdict(aNow)) {
    mShards[aShard].retryAt = aNow + kNoServerRetryDelay;
    return false;
  }
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
  if (shard.sendCount >= kMaxSendsPerShard) {
    shard.retryAt = TimePoint::max();
    return nullptr;
  }
  auto server = IsHeld() ? nullptr : ChooseServer(shard, aNow);
  if (!server || !TryAcquireRetry(shard, aNow)) {
    shard.retryAt = aNow + kNoServerRetryDelay;
    shard.hedgeAt = shard.retryAt;
    return nullptr;
  }
  return server;
}

std::shared_ptr<BackendServer> FanoutExchange::ChooseServer(ShardState& aShard,
                                                            TimePoint aNow)
{
  // Once the route's maximum number of servers is reached, only the servers
  // that may have run the request are used again.
  if (aShard.UsedServerCount() >= mRequest.route->maxAttempts) {
    return aShard.attempts.empty() ? ChooseAmongPossiblyRunBy(aShard, aNow)
                                   : nullptr;
  }
  auto server = ChooseAllowedServer(aShard, aShard.excludedServers, aNow);
  if (!server && aShard.AllAttemptsBatched()) {
    aShard.excludedServers.clear();
    server = ChooseAllowedServer(aShard, {}, aNow);
  }
  return server;
}

std::shared_ptr<BackendServer> FanoutExchange::ChooseAmongPossiblyRunBy(
  ShardState& aShard,
  TimePoint aNow)
{
  return mContext.servers.ChooseServer(
    *aShard.group,
    mServerRequest->profile,
    aShard.group->ServersExcept(aShard.possiblyRunBy),
    aNow);
}

std::shared_ptr<BackendServer> FanoutExchange::ChooseAllowedServer(
  ShardState& aShard,
  ServerList aExcluded,
  TimePoint aNow)
{
  if (!aShard.allowedServers.empty()) {
    const auto others = aShard.group->ServersExcept(aShard.allowedServers);
    aExcluded.insert(aExcluded.end(), others.begin(), others.end());
  }
  return mContext.servers.ChooseServer(
    *aShard.group, mServerRequest->profile, aExcluded, aNow);
}

bool FanoutExchange::TryAcquireRetry(ShardState& aShard, TimePoint aNow)
{
  if (!aShard.reachedServer && !aShard.HasSentAttempt()) {
    // No attempt has been sent yet: this send replaces the queued ones.
    DetachAttempts(aShard, aNow);
    return true;
  }
  if (aShard.group->retryBudget.TryAcquire(Process().settings.retryLimits,
                                           Process().fleetShares.Divisor(),
                                           aNow)) {
    return true;
  }
  Process().metrics.Add(process::Counter::RepeatsDenied);
  ++mDeniedRetries;
  return false;
}

void FanoutExchange::Dispatch(std::size_t aShard,
                              const std::shared_ptr<BackendServer>& aServer,
                              TimePoint aNow)
{
  auto& shard = mShards[aShard];
  ++shard.sendCount;
  ++mSendCount;
  const auto attemptId = ++mLastAttemptId;
  mCaution.OnSent(attemptId);
  shard.excludedServers.push_back(aServer.get());
  AddUsedServer(shard, *aServer);
  shard.attempts.push_back(ShardAttempt{ aServer, nullptr, attemptId });
  auto attempt = aServer->Send(
    mServerRequest,
    [self = shared_from_this(), aShard, attemptId](
      auto aResult, auto aFault, ResponseMessage* aResponse) {
      self->OnAttemptFinished(aShard, attemptId, aResult, aFault, aResponse);
    });
  const auto it = shard.FindAttempt(attemptId);
  if (it != shard.attempts.end()) {
    it->attempt = std::move(attempt);
    shard.hedgeAt =
      aNow + DurationFromMilliseconds(std::max(
               kMinHedgeDelayMs,
               kHedgeFactor * mServerRequest->profile.medianLatencyMs));
  }
}

void FanoutExchange::OnAttemptFinished(std::size_t aShard,
                                       unsigned aAttemptId,
                                       AttemptResult aResult,
                                       AttemptFault aFault,
                                       ResponseMessage* aResponse)
{
  auto& shard = mShards[aShard];
  const auto it = shard.FindAttempt(aAttemptId);
  if (!mReply || it == shard.attempts.end()) {
    return;
  }
  const auto running = std::move(*it);
  shard.attempts.erase(it);
  if (aResult != AttemptResult::NotRun) {
    shard.AddPossiblyRunBy(running.server.get());
  } else {
    RemoveUsedServer(shard, *running.server);
  }
  if (aResult != AttemptResult::NotRun || aFault == AttemptFault::Refused ||
      aFault == AttemptFault::OtherServer) {
    shard.reachedServer = true;
  }
  if (aResult == AttemptResult::Answered && RecordAnswer(aShard, *aResponse)) {
    if (running.attempt) {
      mContext.latency.AddSample(*mRequest.route,
                                 steady_clock::now() - running.attempt->sentAt);
    }
    DetachAttempts(shard, steady_clock::now());
  } else {
    Process().log.Write(
      "attempt_failed",
      { { "request", mRequest.caller.requestId },
        { "server", running.server->Record().id },
        { "content", ToHex(*mServerRequest->content) },
        { "fault", Name(aFault) },
        { "status",
          static_cast<std::int64_t>(
            aResponse != nullptr ? aResponse->result_int() : 0) },
        { "connection", ConnectionNumberOf(running.attempt) },
        { "sent_ms", SentForMs(running.attempt) } });
    const auto now = steady_clock::now();
    if (aFault == AttemptFault::Broken) {
      AddLostRun(running, now);
      if (!OnCut(aAttemptId, 1, now)) {
        return;
      }
    }
    TrySend(aShard, now);
  }
  if (!mStarting) {
    Advance();
  }
}

bool FanoutExchange::RecordAnswer(std::size_t aShard,
                                  ResponseMessage& aResponse)
{
  const auto signature = aResponse[Process().settings.headerNames.signature];
  if (aResponse.result_int() / 100 != 2 || signature.empty()) {
    return false;
  }
  auto records = std::move(aResponse.body());
  const auto topRecords = mRequest.route->topRecords;
  if (records.size() > kMaxUnmergedRatio * topRecords * kRecordBytes) {
    records = MergeTopRecords({ records }, topRecords);
  }
  mShards.RecordAnswer(aShard, std::string(signature), std::move(records));
  OnShardAnswered();
  return true;
}

void FanoutExchange::DetachAttempts(ShardState& aShard, TimePoint aNow)
{
  for (const auto& it : std::exchange(aShard.attempts, {})) {
    if (it.attempt) {
      it.server->Detach(it.attempt, LateResponseDeadline(mRequest, aNow));
    }
  }
}

void FanoutExchange::Advance()
{
  if (!mReply) {
    return;
  }
  const auto now = steady_clock::now();
  if (mShards.IsComplete() ||
      (mShards.AnsweredCount() >= mRequiredShards && now >= mSoftDeadline)) {
    FinishMerged();
    return;
  }
  if (now >= mRequest.deadline - kAnswerMargin) {
    FinishIncomplete("timeout");
    return;
  }
  auto nextStepAt = mRequest.deadline - kAnswerMargin;
  if (now < mSoftDeadline) {
    nextStepAt = std::min(nextStepAt, mSoftDeadline);
  }
  ObeyVerdict(now);
  SendDue(now);
  SendNeededSkippedShards(now);
  if (!mReply) {
    return; // A send has ended the exchange.
  }
  bool attemptInProgress = false;
  bool retryPossible = false;
  for (const auto& shard : mShards) {
    if (shard.answered || shard.skipped) {
      continue;
    }
    attemptInProgress = attemptInProgress || !shard.attempts.empty();
    retryPossible = retryPossible || shard.retryAt != TimePoint::max();
    nextStepAt = std::min(nextStepAt, shard.NextActionTime());
  }
  if (!attemptInProgress && mShards.AnsweredCount() >= mRequiredShards) {
    // No usable server is left for the unanswered shards.
    FinishMerged();
    return;
  }
  if (!attemptInProgress && !retryPossible) {
    FinishIncomplete("no_attempt_left");
    return;
  }
  if (LimitsPreventCoverage(now) ||
      (!attemptInProgress && MustWaitTooLong(now))) {
    FinishIncomplete("rate_limited");
    return;
  }
  ArmTimer(nextStepAt);
}

void FanoutExchange::SendDue(TimePoint aNow)
{
  std::vector<std::size_t> hedges;
  for (std::size_t n = 0; n < mShards.size(); ++n) {
    const auto& shard = mShards[n];
    if (shard.answered || shard.skipped) {
      continue;
    }
    if (shard.hedgeAt <= aNow && !shard.attempts.empty()) {
      hedges.push_back(n);
    } else if (shard.attempts.empty() && shard.retryAt <= aNow) {
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
  mTimer = Process().timers.Schedule(aWhen, [self = shared_from_this()] {
    self->mTimer = {};
    self->Advance();
  });
}

void FanoutExchange::FinishMerged()
{
  CallerReply reply;
  reply.headers =
    mIsPartial ? EncodeShardResults(mShards.ShardResults()) +
                   EncodeWithheldServers(WithheldServers(steady_clock::now()))
               : EncodeCoverageHeaders();
  reply.body = mShards.MergeRecords(mRequest.route->topRecords);
  if (!mIsPartial) {
    if (mShards.IsComplete()) {
      Process().crashQuarantine.OnAnswered(*mServerRequest->content,
                                           steady_clock::now());
    }
    Process().metrics.Add(mShards.IsComplete()
                            ? process::Counter::QueriesWhole
                            : process::Counter::QueriesPartial);
  }
  Finish(std::move(reply), "merged");
}

std::string FanoutExchange::EncodeCoverageHeaders()
{
  const auto& names = Process().settings.headerNames;
  return fmt::format("{}: {}\r\n{}: {}\r\n",
                     names.partSignatures,
                     mShards.Signatures(),
                     names.missingShards,
                     mShards.size() - mShards.AnsweredCount());
}

bool FanoutExchange::MayHaveRun() const
{
  const bool batchSent =
    std::any_of(mBatches.begin(), mBatches.end(), [](const auto& aIt) {
      return aIt.second.attempt && aIt.second.attempt->sent;
    });
  return batchSent || mShards.AnyMayHaveRun();
}

void FanoutExchange::FinishIncomplete(std::string_view aCause)
{
  Process().metrics.Add(process::Counter::QueriesFailed);
  Finish(MayHaveRun() ? TextReply(504, "too few shards answered in time")
                      : RefusedReply("too few shards have a server",
                                     RefusalDelay(steady_clock::now())),
         aCause);
}

void FanoutExchange::Finish(CallerReply aReply, std::string_view aCause)
{
  auto reply = std::exchange(mReply, nullptr);
  const auto now = steady_clock::now();
  RecordLostRuns(UnansweredEnd::Concluded, now);
  const auto elapsed = now - mRequest.caller.receivedAt;
  if (!mIsPartial) {
    Process().metrics.ObserveQuery(Milliseconds(elapsed) / 1000);
  }
  if (!mShards.IsComplete() || elapsed >= mRequest.route->objective) {
    LogRequestEnd(aReply.status, aCause, elapsed);
  }
  Stop(now);
  reply(std::move(aReply));
}

void FanoutExchange::LogRequestEnd(unsigned aStatus,
                                   std::string_view aCause,
                                   Duration aElapsed)
{
  Process().log.Write(
    mIsPartial ? "partial_end" : "request_end",
    { { "request", mRequest.caller.requestId },
      { "route", mRequest.route->name },
      { "version", static_cast<std::int64_t>(mRequest.version) },
      { "status", static_cast<std::int64_t>(aStatus) },
      { "cause", aCause },
      { "shards", static_cast<std::int64_t>(mShards.size()) },
      { "done", static_cast<std::int64_t>(mShards.AnsweredCount()) },
      { "missing", mShards.MissingShardNames() },
      { "sends", static_cast<std::int64_t>(mSendCount) },
      { "repeats_denied", static_cast<std::int64_t>(mDeniedRetries) },
      { "typical_ms", mServerRequest->profile.medianLatencyMs },
      { "took_ms", Milliseconds(aElapsed) } });
}

void FanoutExchange::Stop(TimePoint aNow)
{
  Process().timers.Cancel(mTimer);
  for (auto& it : mShards) {
    DetachAttempts(it, aNow);
  }
  DetachBatches(LateResponseDeadline(mRequest, aNow));
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
  // Partial queries with the same objective share one latency estimate.
  route->name = fmt::format("partial/{}", aQuery.objective.count());
  route->objective = aQuery.objective;
  route->maxAttempts = kMaxServersPerBatchedShard;
  route->priority = aQuery.priority;
  route->topRecords = aQuery.topRecords;
  RoutedRequest request;
  request.deadline =
    std::min(aRequest.callerDeadline.value_or(
               aRequest.receivedAt + aQuery.answerTimeout + kAnswerMargin),
             aRequest.receivedAt + kMaxPartialTime);
  request.caller = std::move(aRequest);
  request.route = std::move(route);
  auto exchange = std::make_shared<FanoutExchange>(
    aContext, std::move(request), &aQuery, std::move(aReply));
  exchange->Start();
  return exchange;
}

} // namespace bronzedeal::gateway
