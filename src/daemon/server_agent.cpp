#include "server_agent.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bronzedeal::daemon {

using connection::AttemptEnd;
using connection::AttemptOutcome;
using connection::SendError;
using connection::SendResult;
using version::WorkKind;
using SteadyClock = std::chrono::steady_clock;

namespace {

// A server that answers that it is draining gets no work for this long; the
// published list names it as leaving within that time.
constexpr std::chrono::seconds kDrainingPeriod{ 3 };
// Assumed until the server has answered a few times.
constexpr milliseconds kDefaultServiceTime{ 10 };

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusVersionMissing = 409;
constexpr unsigned kStatusCancelled = 499;
constexpr unsigned kStatusUnavailable = 503;

/// True when the answer states that the server did not run the request.
bool WasRefusedByServer(const SendResult& aResult)
{
  return aResult.status == kStatusUnavailable &&
         aResult.Header("x-outcome") == "not-run";
}

ResultCode ResultCodeOfAnswer(const SendResult& aResult, bool aNonRepeatable)
{
  if (aResult.status == kStatusOk) {
    return ResultCode::Ok;
  }
  if (WasRefusedByServer(aResult)) {
    return ResultCode::NotRunShed;
  }
  if (aResult.status == kStatusVersionMissing) {
    // The server looked the version up before it did anything.
    return aNonRepeatable ? ResultCode::NotRunShed
                          : ResultCode::ShardVersionMissing;
  }
  if (aNonRepeatable) {
    return ResultCode::OutcomeUnknown;
  }
  return aResult.status == kStatusCancelled ? ResultCode::ShardCancelled
                                            : ResultCode::ShardBadAnswer;
}

ResultCode ResultCodeOfError(const SendResult& aResult, bool aNonRepeatable)
{
  if (!aResult.byteWritten) {
    switch (aResult.error) {
      case SendError::CancelledUnsent:
      case SendError::Cancelled:
        return ResultCode::NotRunCancelled;
      case SendError::NoConnection:
      case SendError::Timeout:
        return ResultCode::NotRunDeadline;
      case SendError::PoolClosed:
        return ResultCode::NotRunNoOwner;
      default:
        return ResultCode::NotRunUnreachable;
    }
  }
  if (aNonRepeatable) {
    return ResultCode::OutcomeUnknown;
  }
  switch (aResult.error) {
    case SendError::Timeout:
      return ResultCode::ShardTimeout;
    case SendError::Cancelled:
      return ResultCode::ShardCancelled;
    case SendError::BadAnswer:
      return ResultCode::ShardBadAnswer;
    default:
      return ResultCode::ShardServerLost;
  }
}

AttemptOutcome LimiterOutcomeOfAnswer(const SendResult& aResult)
{
  if (WasRefusedByServer(aResult)) {
    return AttemptOutcome::Refused;
  }
  return aResult.status == kStatusCancelled ? AttemptOutcome::Cancelled
                                            : AttemptOutcome::Answered;
}

} // namespace

ServerAgent::ServerAgent(AgentEnvironment& aEnvironment,
                         const version::ServerInfo& aServer,
                         TimePoint aNow)
  : mEnvironment(aEnvironment)
  , mServer(aServer)
  , mMaxSubrequest(
      aEnvironment.snapshots.Load()->Content().limits.maxSubrequest)
  , mLimiter(LimiterOptions(), aNow)
  , mQueue(aEnvironment.snapshots.Load()->Content().limits.queuePerServer)
{
}

connection::LimiterOptions ServerAgent::LimiterOptions() const
{
  return { .slots = mServer.limits.slots,
           .coldAllowance = mServer.limits.coldAllowance,
           .warmCompletions = mServer.limits.warmCompletions,
           .rampEnabled = mEnvironment.coldRampEnabled };
}

connection::ServerPoolOptions ServerAgent::PoolOptions()
{
  connection::ServerPoolOptions options;
  options.address = mServer.address;
  // One connection per slot, one for each unconfirmed attempt of a slot, and
  // two for cancellations.
  options.maxConnections =
    std::min(mServer.limits.connections, 2 * mServer.limits.slots + 2);
  options.minConnections =
    std::min(options.maxConnections, mServer.limits.slots + 1);
  options.unconfirmedTimeout = mMaxSubrequest;
  options.seed = std::hash<std::string>{}(mServer.id);
  const auto weak = weak_from_this();
  options.onConnected = [weak] {
    if (const auto self = weak.lock()) {
      const std::lock_guard lock(self->mMutex);
      self->mLimiter.OnConnected(SteadyClock::now());
    }
  };
  options.onConnectionLost = [weak](bool /*aInFlight*/) {
    if (const auto self = weak.lock()) {
      self->OnConnectionLost();
    }
  };
  return options;
}

connection::ServiceEstimate ServerAgent::EstimateService() const
{
  return { mLimiter.MedianLatency().value_or(kDefaultServiceTime),
           mLimiter.Allowance() };
}

request::ServerLoad ServerAgent::CurrentLoad() const
{
  return { .inFlight = mLimiter.InFlight(),
           .queued = static_cast<std::uint32_t>(mQueue.size()),
           .allowance = mLimiter.Allowance(),
           .slots = mLimiter.Slots(),
           .leaving = mLimiter.IsDraining() };
}

ResultCode ServerAgent::CheckSend(const Attempt& aAttempt, TimePoint aNow) const
{
  const auto& context = *aAttempt.request.context;
  const auto snapshot = mEnvironment.snapshots.Load();
  // Takes the slice from the version in force: this check runs without the lock
  // before a send, and `mServer` gets a new version only at the next `Update`.
  const auto* server = snapshot->FindServer(aAttempt.request.server);
  if (server == nullptr) {
    return ResultCode::NotRunWithdrawn;
  }
  if (!mEnvironment.leases.MaySend(server->slice, aNow) ||
      mEnvironment.leases.IsHeld(server->id)) {
    return ResultCode::NotRunNoOwner;
  }
  if (aNow >= context.deadline) {
    return ResultCode::NotRunDeadline;
  }
  if (!snapshot->Permits(context.caller,
                         context.request,
                         aAttempt.request.shard,
                         aAttempt.request.server,
                         context.indexVersion)) {
    return ResultCode::NotRunWithdrawn;
  }
  if (mEnvironment.hooks.contentState(context.fingerprint) ==
      request::ContentState::Quarantined) {
    return ResultCode::NotRunQuarantined;
  }
  return ResultCode::Ok;
}

void ServerAgent::Execute(OwnerAttempt aAttempt,
                          OwnerExecutor::Handler aHandler)
{
  Deferred deferred;
  bool queued = false;
  {
    const std::lock_guard lock(mMutex);
    if (mIdByKey.contains(aAttempt.key)) {
      return;
    }
    const auto now = SteadyClock::now();
    auto attempt = std::make_shared<Attempt>();
    attempt->request = std::move(aAttempt);
    attempt->handler = std::move(aHandler);
    attempt->receivedAt = now;
    const auto& context = *attempt->request.context;
    // The work is counted before the check, so that a report of "complete"
    // never misses work that passed the check. It is counted under this
    // instance's version in force, which the check uses, not under that of the
    // instance that created the attempt.
    attempt->token =
      mEnvironment.ledger.Begin(mEnvironment.snapshots.Load()->Version(),
                                context.selector,
                                mServer.failureDomain,
                                WorkKind::Queued);
    const auto code = mLimiter.IsDraining() ? ResultCode::NotRunLeaving
                                            : CheckSend(*attempt, now);
    if (code != ResultCode::Ok) {
      Refuse(attempt, code, deferred);
    } else {
      const auto id = mNextId++;
      std::vector<connection::QueueEntry> notRun;
      mQueued.emplace(id, attempt);
      mIdByKey.emplace(attempt->request.key, id);
      mQueue.Push(
        { id, context.deadline, now }, EstimateService(), now, notRun);
      RefuseQueued(notRun, ResultCode::NotRunOverloaded, deferred);
      DequeueAttempts(now, deferred);
      queued = mQueue.size() > 0;
    }
  }
  RunDeferred(std::move(deferred));
  if (queued) {
    mEnvironment.onQueued();
  }
}

void ServerAgent::Refuse(const AttemptPtr& aAttempt,
                         ResultCode aCode,
                         Deferred& aDeferred)
{
  aAttempt->token.End();
  aDeferred.results.emplace_back(std::move(aAttempt->handler),
                                 OwnerResult{ aCode, {}, CurrentLoad(), {} });
}

void ServerAgent::RefuseQueued(
  const std::vector<connection::QueueEntry>& aEntries,
  ResultCode aCode,
  Deferred& aDeferred)
{
  for (const auto& it : aEntries) {
    const auto found = mQueued.find(it.id);
    if (found == mQueued.end()) {
      continue;
    }
    mIdByKey.erase(found->second->request.key);
    Refuse(found->second, aCode, aDeferred);
    mQueued.erase(found);
  }
}

void ServerAgent::DequeueAttempts(TimePoint aNow, Deferred& aDeferred)
{
  std::vector<connection::QueueEntry> notRun;
  while (mQueue.size() > 0 && mLimiter.TryAcquire(aNow)) {
    const auto entry = mQueue.Pop(EstimateService(), aNow, notRun);
    if (!entry) {
      mLimiter.Complete(AttemptOutcome::NotSent, {}, aNow);
      break;
    }
    const auto node = mQueued.extract(entry->id);
    mInFlight.emplace(entry->id, node.mapped());
    aDeferred.sends.push_back(node.mapped());
  }
  RefuseQueued(notRun, ResultCode::NotRunDeadline, aDeferred);
}

void ServerAgent::RunDeferred(Deferred aDeferred)
{
  for (const auto& it : aDeferred.sends) {
    Send(it);
  }
  for (auto& [handler, result] : aDeferred.results) {
    handler(std::move(result));
  }
}

void ServerAgent::Send(const AttemptPtr& aAttempt)
{
  const auto& context = *aAttempt->request.context;
  connection::SendRequest request;
  request.target = fmt::format("/v1/shards/{}/{}",
                               aAttempt->request.shard,
                               context.nonRepeatable ? "operations" : "search");
  const auto remaining = std::chrono::duration_cast<milliseconds>(
    context.deadline - SteadyClock::now());
  request.headers = {
    { "x-index-version", std::to_string(context.indexVersion) },
    { "x-deadline-ms",
      std::to_string(std::max<milliseconds::rep>(remaining.count(), 1)) },
    { "content-type", "application/json" },
  };
  const auto& key = aAttempt->request.key;
  request.requestId =
    fmt::format("{}.{}.{}", key.origin, key.incarnation, key.attempt);
  request.body = context.payload;
  request.deadline = context.deadline;

  std::shared_ptr<connection::ServerPool> pool;
  std::uint64_t id = 0;
  {
    const std::lock_guard lock(mMutex);
    EnsurePool();
    pool = mPool;
    id = mIdByKey.at(key);
  }
  request.maySend = [self = shared_from_this(), aAttempt] {
    const auto now = SteadyClock::now();
    const auto code = self->CheckSend(*aAttempt, now);
    aAttempt->refusalCode = code;
    if (code != ResultCode::Ok) {
      return false;
    }
    aAttempt->token.Change(aAttempt->request.isHedge ? WorkKind::Hedged
                                                     : WorkKind::InFlight);
    return true;
  };
  request.onResult =
    [self = shared_from_this(), id, aAttempt](SendResult&& aResult) {
      self->OnResult(id, aAttempt, std::move(aResult));
    };
  request.onEnded = [self = shared_from_this(), id, aAttempt](
                      AttemptEnd aEnd, Duration aLatency) {
    self->OnEnded(id, aAttempt, aEnd, aLatency);
  };
  const auto handle = pool->AsyncSend(std::move(request));
  const std::lock_guard lock(mMutex);
  aAttempt->handle = handle;
}

void ServerAgent::OnResult(std::uint64_t /*aId*/,
                           const AttemptPtr& aAttempt,
                           SendResult&& aResult)
{
  const bool nonRepeatable = aAttempt->request.context->nonRepeatable;
  OwnerResult result;
  if (aResult.error == SendError::None) {
    result.code = ResultCodeOfAnswer(aResult, nonRepeatable);
  } else if (aResult.error == SendError::Vetoed) {
    result.code = aAttempt->refusalCode;
  } else {
    result.code = ResultCodeOfError(aResult, nonRepeatable);
  }
  if (result.code == ResultCode::Ok ||
      result.code == ResultCode::ShardVersionMissing) {
    result.body = std::move(aResult.body);
  }
  std::vector<request::Fingerprint> suspectContents;
  OwnerExecutor::Handler handler;
  ServerId server;
  {
    const std::lock_guard lock(mMutex);
    const auto now = SteadyClock::now();
    if (aResult.error == SendError::None) {
      aAttempt->outcome = LimiterOutcomeOfAnswer(aResult);
      if (aResult.Header("x-reason") == "draining") {
        mDrainingUntil = now + kDrainingPeriod;
        mLimiter.SetDraining(true);
      }
    }
    if (aResult.error == SendError::Closed && aResult.byteWritten) {
      server = mServer.id;
      for (const auto& [id, attempt] : mInFlight) {
        suspectContents.push_back(attempt->request.context->fingerprint);
      }
      // The closed attempt itself may have left the table already.
      suspectContents.push_back(aAttempt->request.context->fingerprint);
    }
    if (aResult.error == SendError::Cancelled ||
        aResult.error == SendError::Timeout) {
      aAttempt->token.Change(WorkKind::Unconfirmed);
    }
    result.load = CurrentLoad();
    result.elapsed = now - aAttempt->receivedAt;
    handler = std::move(aAttempt->handler);
  }
  if (!suspectContents.empty()) {
    mEnvironment.hooks.onServerCrashed(suspectContents, server);
  }
  handler(std::move(result));
}

void ServerAgent::OnEnded(std::uint64_t aId,
                          const AttemptPtr& aAttempt,
                          AttemptEnd aEnd,
                          Duration aLatency)
{
  Deferred deferred;
  std::uint64_t resetsBefore = 0;
  {
    const std::lock_guard lock(mMutex);
    const auto now = SteadyClock::now();
    resetsBefore = mLimiter.ResetCount();
    switch (aEnd) {
      case AttemptEnd::NotSent:
        mLimiter.Complete(AttemptOutcome::NotSent, {}, now);
        break;
      case AttemptEnd::Answered: {
        // An answer after a timeout or cancellation has no stored outcome.
        const auto outcome = aAttempt->outcome == AttemptOutcome::Lost
                               ? AttemptOutcome::Cancelled
                               : aAttempt->outcome;
        mLimiter.Complete(outcome, aLatency, now);
        break;
      }
      case AttemptEnd::ConnectionLost:
      case AttemptEnd::GivenUp:
        mLimiter.Complete(AttemptOutcome::Lost, aLatency, now);
        break;
    }
    mInFlight.erase(aId);
    mIdByKey.erase(aAttempt->request.key);
    aAttempt->token.End();
    DequeueAttempts(now, deferred);
    ClosePoolIfDone();
  }
  ReportAllowanceReset(resetsBefore);
  RunDeferred(std::move(deferred));
}

void ServerAgent::OnConnectionLost()
{
  std::uint64_t resetsBefore = 0;
  {
    const std::lock_guard lock(mMutex);
    resetsBefore = mLimiter.ResetCount();
    mLimiter.OnConnectionLost(SteadyClock::now());
  }
  ReportAllowanceReset(resetsBefore);
}

void ServerAgent::ReportAllowanceReset(std::uint64_t aResetsBefore)
{
  ServerId server;
  std::string_view reason;
  {
    const std::lock_guard lock(mMutex);
    if (mLimiter.ResetCount() == aResetsBefore) {
      return;
    }
    server = mServer.id;
    reason = connection::Name(mLimiter.LastResetReason());
  }
  mEnvironment.hooks.onAllowanceReset(server, reason);
}

bool ServerAgent::Cancel(const AttemptKey& aKey)
{
  Deferred deferred;
  std::shared_ptr<connection::ServerPool> pool;
  connection::ServerPool::Handle handle = 0;
  {
    const std::lock_guard lock(mMutex);
    const auto it = mIdByKey.find(aKey);
    if (it == mIdByKey.end()) {
      return false;
    }
    const auto id = it->second;
    if (mQueue.Remove(id)) {
      RefuseQueued({ { id, {}, {} } }, ResultCode::NotRunCancelled, deferred);
    } else if (const auto found = mInFlight.find(id);
               found != mInFlight.end()) {
      pool = mPool;
      handle = found->second->handle;
    }
  }
  if (pool && handle != 0) {
    pool->Cancel(handle);
  }
  RunDeferred(std::move(deferred));
  return true;
}

bool ServerAgent::ExpireQueue(TimePoint aNow)
{
  Deferred deferred;
  bool hasQueued = false;
  {
    const std::lock_guard lock(mMutex);
    if (mLimiter.IsDraining() && !mListedAsLeaving && aNow >= mDrainingUntil) {
      mLimiter.SetDraining(false);
    }
    std::vector<connection::QueueEntry> notRun;
    if (mLimiter.IsDraining()) {
      mQueue.Clear(notRun);
      RefuseQueued(notRun, ResultCode::NotRunLeaving, deferred);
    } else {
      mQueue.RemoveExpired(EstimateService(), aNow, notRun);
      RefuseQueued(notRun, ResultCode::NotRunDeadline, deferred);
    }
    hasQueued = mQueue.size() > 0;
  }
  RunDeferred(std::move(deferred));
  return hasQueued;
}

void ServerAgent::Update(const version::ServerInfo& aServer,
                         const version::LimitsSpec& aLimits,
                         bool aMaySend,
                         TimePoint aNow)
{
  Deferred deferred;
  {
    const std::lock_guard lock(mMutex);
    const bool addressChanged = aServer.address != mServer.address;
    const bool limitsChanged = aServer.limits != mServer.limits;
    mServer = aServer;
    if (limitsChanged || addressChanged) {
      mLimiter.SetOptions(LimiterOptions(), aNow);
      if (mPool && !addressChanged) {
        const auto options = PoolOptions();
        mPool->SetConnectionLimits(options.maxConnections,
                                   options.minConnections);
      }
    }
    mMaxSubrequest = aLimits.maxSubrequest;
    mQueue.SetCapacity(aLimits.queuePerServer);
    if (addressChanged && mPool) {
      mPool->Close();
      mPool.reset();
      mLimiter.OnConnectionLost(aNow);
    }
    if (aMaySend && !mMaySend) {
      // Another instance may have used the server meanwhile.
      mLimiter.OnConnectionLost(aNow);
    }
    mMaySend = aMaySend;
    if (aMaySend) {
      // Connections are opened before the first request needs one.
      EnsurePool();
    } else {
      std::vector<connection::QueueEntry> notRun;
      mQueue.Clear(notRun);
      RefuseQueued(notRun, ResultCode::NotRunNoOwner, deferred);
      ClosePoolIfDone();
    }
  }
  RunDeferred(std::move(deferred));
}

void ServerAgent::Withdraw()
{
  Deferred deferred;
  {
    const std::lock_guard lock(mMutex);
    mMaySend = false;
    std::vector<connection::QueueEntry> notRun;
    mQueue.Clear(notRun);
    RefuseQueued(notRun, ResultCode::NotRunWithdrawn, deferred);
    ClosePoolIfDone();
  }
  RunDeferred(std::move(deferred));
}

void ServerAgent::EnsurePool()
{
  if (!mPool) {
    mPool = std::make_shared<connection::ServerPool>(mEnvironment.context,
                                                     PoolOptions());
  }
}

void ServerAgent::ClosePoolIfDone()
{
  if (!mMaySend && mInFlight.empty() && mPool) {
    mPool->Close();
    mPool.reset();
  }
}

void ServerAgent::SetLeaving(bool aLeaving)
{
  const std::lock_guard lock(mMutex);
  mListedAsLeaving = aLeaving;
  mLimiter.SetDraining(aLeaving || SteadyClock::now() < mDrainingUntil);
}

void ServerAgent::Close()
{
  std::shared_ptr<connection::ServerPool> pool;
  {
    const std::lock_guard lock(mMutex);
    mMaySend = false;
    pool = std::move(mPool);
  }
  if (pool) {
    pool->Close();
  }
}

SliceId ServerAgent::Slice() const
{
  const std::lock_guard lock(mMutex);
  return mServer.slice;
}

bool ServerAgent::IsIdle() const
{
  const std::lock_guard lock(mMutex);
  return mInFlight.empty() && mQueued.empty();
}

std::size_t ServerAgent::InFlightCount() const
{
  const std::lock_guard lock(mMutex);
  return mInFlight.size();
}

bool ServerAgent::IsDisposable() const
{
  const std::lock_guard lock(mMutex);
  return !mMaySend && mInFlight.empty() && mQueued.empty() && !mPool;
}

} // namespace bronzedeal::daemon
