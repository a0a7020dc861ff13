#include "bronzedeal/gateway/backend_server.hpp"

#include "bronzedeal/gateway/process.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// Opening a connection takes a few network delays and up to 6 ms at the
/// server. After this timeout the server counts as unreachable.
constexpr auto kConnectTimeout = milliseconds(400);
/// With this many attempts waiting for a connection, the server is not usable
/// for more.
constexpr std::size_t kMaxQueuedAttempts = 32;
/// Delay between connection attempts to an unreachable server; doubles up to
/// the maximum.
constexpr auto kMinReconnectDelay = milliseconds(200);
constexpr auto kMaxReconnectDelay = milliseconds(2000);
/// A server whose address answered as another server is not used for this long.
/// By then the metadata service has reported its new state.
constexpr auto kMisdirectedPause = milliseconds(3000);
/// A server that refused a request because it was full is not used for this
/// long: about the time until a slot becomes free.
constexpr auto kRefusedPause = milliseconds(15);
/// If a connection fails that had been idle for longer than this, the server
/// has likely dropped it silently. For `kReusableIdleLimitDuration`,
/// connections are then reused only below a fraction of that idle time.
constexpr auto kMinDroppedIdleTime = milliseconds(200);
constexpr double kReusableIdleFraction = 0.7;
constexpr auto kReusableIdleLimitDuration = std::chrono::seconds(15);
/// How long after its deadline a request may come again, from another instance
/// whose deadline is a little later.
constexpr auto kCarriedMargin = milliseconds(2000);
/// Maximum size of a server's response body.
constexpr std::size_t kMaxResponseBodyBytes = std::size_t{ 16 } << 20;

/// In the order of `AttemptFault`.
constexpr std::array<std::string_view, 10> kFaultNames{
  "none",          "connect_failed", "refused", "other_server", "broken",
  "wrong_request", "expired",        "retired", "rate_limited", "quarantined",
};

} // namespace

ContentVerdict VerdictOf(const Process& aProcess,
                         const ServerRequest& aRequest,
                         TimePoint aNow)
{
  return aRequest.content
           ? aProcess.crashQuarantine.VerdictOf(*aRequest.content, aNow)
           : ContentVerdict::Free;
}

std::string_view Name(AttemptFault aFault) noexcept
{
  return kFaultNames.at(static_cast<std::size_t>(aFault));
}

std::int64_t ConnectionNumberOf(
  const std::shared_ptr<Attempt>& aAttempt) noexcept
{
  return aAttempt ? static_cast<std::int64_t>(aAttempt->connectionNumber) : 0;
}

double SentForMs(const std::shared_ptr<Attempt>& aAttempt) noexcept
{
  return aAttempt && aAttempt->sent
           ? Milliseconds(steady_clock::now() - aAttempt->sentAt)
           : 0;
}

BackendServer::BackendServer(Process& aProcess, ServerRecord aRecord)
  : mProcess(aProcess)
{
  Update(std::move(aRecord), steady_clock::now());
  if (!mRecord.isInstance) {
    mProcess.linkEvidence.OnServerAdded();
  }
}

BackendServer::~BackendServer()
{
  if (mRateLimit.RequestsPerSecond()) {
    mProcess.metrics.Add(process::Gauge::ServersLimiting, -1);
  }
}

void BackendServer::Update(ServerRecord aRecord, TimePoint aNow)
{
  if (aRecord.remainingColdTime.count() > 0) {
    mColdUntil = std::max(mColdUntil, aNow + aRecord.remainingColdTime);
  }
  mRecord = std::move(aRecord);
  if (mRecord.draining) {
    DropQueued();
  }
}

void BackendServer::DropQueued()
{
  FailQueued(AttemptFault::Retired);
}

void BackendServer::SetMaxConnections(std::size_t aMaxConnections) noexcept
{
  mMaxConnections = std::max<std::size_t>(1, aMaxConnections);
}

bool BackendServer::IsAvailable(TimePoint aNow) const noexcept
{
  return !mRetired && !mRecord.draining && !mAnnouncements.IsLeaving() &&
         mReachable && mQueue.size() < kMaxQueuedAttempts &&
         aNow >= mMisdirectedUntil && aNow >= mRefusingUntil;
}

bool BackendServer::IsUsable(TimePoint aNow) const
{
  return IsAvailable(aNow) && aNow >= mWithheldUntil &&
         mAnnouncements.MaySend(mInFlight.size() + mQueue.size(), aNow) &&
         (!mRateLimit.RequestsPerSecond() ||
          mRateLimit.CanSend(RateShare(), aNow, mQueue.size()));
}

bool BackendServer::IsReachable() const noexcept
{
  return mReachable;
}

Duration BackendServer::TimeUntilSend(TimePoint aNow) const
{
  const auto withheld = std::max(
    { mWithheldUntil - aNow, mAnnouncements.TimeUntilSend(aNow), Duration{} });
  return mRateLimit.RequestsPerSecond()
           ? std::max(withheld, mRateLimit.TimeUntilSend(RateShare(), aNow))
           : withheld;
}

std::optional<double> BackendServer::AllowedRate() const
{
  return mRateLimit.RequestsPerSecond()
           ? std::optional(mRateLimit.RefillRate(RateShare()))
           : std::nullopt;
}

void BackendServer::WithholdFor(Duration aTime, TimePoint aNow) noexcept
{
  mWithheldUntil = std::max(mWithheldUntil, aNow + aTime);
}

double BackendServer::RateShare() const
{
  return mProcess.rateShares.ShareFor(mRecord.failureDomain);
}

bool BackendServer::IsCold(TimePoint aNow) const noexcept
{
  return aNow < mColdUntil;
}

milliseconds BackendServer::RemainingColdTime(TimePoint aNow) const noexcept
{
  return std::chrono::ceil<milliseconds>(
    std::max(mColdUntil - aNow, Duration::zero()));
}

bool BackendServer::HasColdAllowance(TimePoint aNow, std::size_t aPending) const
{
  return !IsCold(aNow) ||
         mAllowance.CanSend(mProcess.settings.coldServerLimits,
                            mProcess.fleetShares.RankFor(mRecord.id),
                            mProcess.fleetShares.Divisor(),
                            aNow,
                            aPending);
}

bool BackendServer::MaySendNow(TimePoint aNow) const
{
  const bool isBelowLimit =
    !mRateLimit.RequestsPerSecond() || mRateLimit.CanSend(RateShare(), aNow);
  return isBelowLimit && HasColdAllowance(aNow, 0) &&
         mAnnouncements.MaySend(mInFlight.size(), aNow);
}

std::shared_ptr<Attempt> BackendServer::Send(
  std::shared_ptr<const ServerRequest> aRequest,
  Attempt::Handler aHandler)
{
  auto attempt = std::make_shared<Attempt>();
  attempt->request = std::move(aRequest);
  attempt->handler = std::move(aHandler);
  attempt->queuedAt = steady_clock::now();
  const auto firstLessUrgent =
    std::find_if(mQueue.begin(), mQueue.end(), [&](auto& aIt) {
      return aIt->request->priority > attempt->request->priority;
    });
  mQueue.insert(firstLessUrgent, attempt);
  ProcessQueue();
  return attempt;
}

void BackendServer::Detach(const std::shared_ptr<Attempt>& aAttempt,
                           TimePoint aUntil)
{
  aAttempt->handler = nullptr;
  if (!aAttempt->sent) {
    std::erase(mQueue, aAttempt);
    return;
  }
  mProcess.timers.Cancel(aAttempt->expiryTimer);
  if (aAttempt->connection) {
    aAttempt->expiryTimer =
      mProcess.timers.Schedule(aUntil, [self = shared_from_this(), aAttempt] {
        self->OnExpired(aAttempt);
      });
  }
}

void BackendServer::Retire(RemovedRun aRun)
{
  if (aRun == RemovedRun::HasEnded && !mRecord.draining) {
    OnEnded(steady_clock::now());
  }
  if (!mRetired) {
    const auto now = steady_clock::now();
    LogAnnouncementEnd("leaving", mAnnouncements.LeavingSince(), now);
    LogAnnouncementEnd("retry_after", mAnnouncements.TurningAwaySince(), now);
  }
  if (!mRecord.isInstance && !mRetired) {
    if (!mReachable) {
      mProcess.linkEvidence.OnServerReachable();
    }
    mProcess.linkEvidence.OnServerRemoved();
  }
  mRetired = true;
  FailQueued(AttemptFault::Retired);
  for (const auto& it : std::exchange(mIdleConnections, {})) {
    it->Close();
  }
}

bool BackendServer::IsReusable(const ServerConnection& aConnection,
                               TimePoint aNow) const
{
  const bool idleTimeAllowed = aNow >= mMaxReusableIdleUntil ||
                               aConnection.IdleTime(aNow) < mMaxReusableIdle;
  return idleTimeAllowed && aConnection.IsReusable(aNow) &&
         !aConnection.Carried().IsFull();
}

std::shared_ptr<ServerConnection> BackendServer::TakeIdleConnection(
  const ServerRequest& aRequest,
  TimePoint aNow)
{
  for (auto n = mIdleConnections.size(); n > 0; --n) {
    const auto it =
      mIdleConnections.begin() + static_cast<std::ptrdiff_t>(n - 1);
    auto connection = *it;
    if (!IsReusable(*connection, aNow)) {
      mIdleConnections.erase(it);
      connection->Close();
    } else if (!connection->Carried().Contains(aRequest.requestId)) {
      mIdleConnections.erase(it);
      return connection;
    }
  }
  return nullptr;
}

AttemptFault BackendServer::FaultBeforeSend(const Attempt& aAttempt,
                                            TimePoint aNow) const
{
  if (aAttempt.request->deadline <= aNow) {
    return AttemptFault::Expired;
  }
  return VerdictOf(mProcess, *aAttempt.request, aNow) ==
             ContentVerdict::Quarantined
           ? AttemptFault::Quarantined
           : AttemptFault::None;
}

void BackendServer::ProcessQueue()
{
  const auto now = steady_clock::now();
  std::size_t n = 0;
  while (n < mQueue.size()) {
    const auto attempt = mQueue[n];
    const auto position = mQueue.begin() + static_cast<std::ptrdiff_t>(n);
    if (const auto fault = FaultBeforeSend(*attempt, now);
        fault != AttemptFault::None) {
      mQueue.erase(position);
      Finish(attempt, AttemptResult::NotRun, fault, nullptr);
      n = 0; // The handler may have changed the queue.
      continue;
    }
    if (!MaySendNow(now)) {
      FailQueued(AttemptFault::RateLimited);
      return;
    }
    if (const auto connection = TakeIdleConnection(*attempt->request, now)) {
      mQueue.erase(position);
      Dispatch(attempt, connection);
    } else if (mIdleConnections.empty()) {
      break;
    } else {
      ++n;
    }
  }
  OpenConnectionsForQueue(now);
}

void BackendServer::FailUncarriedQueued()
{
  const auto mayCarry = [](const ServerConnection& aConnection,
                           const Attempt& aAttempt) {
    return !aConnection.Carried().Contains(aAttempt.request->requestId);
  };
  const auto mayBeCarried = [&](const auto& aAttempt) {
    return std::any_of(
             mIdleConnections.begin(),
             mIdleConnections.end(),
             [&](const auto& aIt) { return mayCarry(*aIt, *aAttempt); }) ||
           std::any_of(
             mInFlight.begin(), mInFlight.end(), [&](const auto& aIt) {
               return mayCarry(*aIt->connection, *aAttempt);
             });
  };
  std::vector<std::shared_ptr<Attempt>> failed;
  std::copy_if(mQueue.begin(),
               mQueue.end(),
               std::back_inserter(failed),
               [&](const auto& aIt) { return !mayBeCarried(aIt); });
  std::erase_if(mQueue, [&](const auto& aIt) { return !mayBeCarried(aIt); });
  for (const auto& it : failed) {
    Finish(it, AttemptResult::NotRun, AttemptFault::ConnectFailed, nullptr);
  }
}

void BackendServer::OpenConnectionsForQueue(TimePoint aNow)
{
  while (mQueue.size() > mConnectingCount) {
    if (MayOpenConnection(aNow)) {
      OpenConnection();
      continue;
    }
    const bool isPausing = aNow < mNextConnectAt;
    if (mIdleConnections.empty() || isPausing) {
      return;
    }
    const auto connection = mIdleConnections.front();
    mIdleConnections.erase(mIdleConnections.begin());
    connection->Close();
  }
}

bool BackendServer::MayOpenConnection(TimePoint aNow) const noexcept
{
  const auto openCount = mInFlight.size() + mIdleConnections.size();
  const auto count = openCount + mConnectingCount;
  return count < mMaxConnections &&
         (openCount == 0 || aNow >= mNextConnectAt) &&
         (count == 0 || mProcess.serverConnections.HasRoom());
}

bool BackendServer::Preconnect()
{
  if (HasConnection() || mRetired || !mReachable || mRecord.draining ||
      mAnnouncements.IsLeaving()) {
    return false;
  }
  OpenConnection();
  return true;
}

bool BackendServer::HasConnection() const noexcept
{
  return !mInFlight.empty() || !mIdleConnections.empty() ||
         mConnectingCount > 0;
}

void BackendServer::OpenConnection()
{
  ++mConnectingCount;
  auto connection =
    std::make_shared<ServerConnection>(mProcess.context,
                                       mProcess.timers,
                                       mProcess.responseMemory,
                                       mProcess.serverConnections,
                                       kMaxResponseBodyBytes);
  mProcess.metrics.Add(process::Counter::ServerConnections);
  std::weak_ptr<ServerConnection> weak = connection;
  connection->SetIdleCloseHandler([self = weak_from_this(), weak] {
    if (const auto server = self.lock()) {
      std::erase(server->mIdleConnections, weak.lock());
      server->ProbeAfterCut();
    }
  });
  connection->SetInterimHandler(
    [self = weak_from_this()](const ResponseMessage& aResponse) {
      if (const auto server = self.lock()) {
        const auto now = steady_clock::now();
        server->ApplyAnnouncements(aResponse, {}, now, now);
      }
    });
  connection->Connect(
    mRecord.address,
    kConnectTimeout,
    [self = shared_from_this(), connection, begunAt = steady_clock::now()](
      bool aOpen) {
      --self->mConnectingCount;
      if (!aOpen) {
        self->OnConnectFailed(begunAt);
        return;
      }
      self->mReconnectDelay = {};
      self->mCutRuns.ForgetLinks();
      if (!self->mReachable) {
        self->SetReachable(true);
        self->mProcess.log.Write(
          "server_reachable",
          { { "server", self->mRecord.id },
            { "away_ms",
              Milliseconds(steady_clock::now() - self->mUnreachableSince) } });
      }
      if (self->mRetired) {
        connection->Close();
        return;
      }
      self->mIdleConnections.push_back(connection);
      self->ProcessQueue();
    });
}

void BackendServer::OnConnectFailed(TimePoint aBegunAt)
{
  mProcess.metrics.Add(process::Counter::ServerConnectFailures);
  if (mRetired) {
    return;
  }
  // A server that accepts no more connections may still serve the open ones.
  if (mInFlight.empty() && mIdleConnections.empty()) {
    MarkUnreachable("connect");
    OnRefusedAfterCut(aBegunAt);
  }
  if (!mReachable) {
    FailQueued(AttemptFault::ConnectFailed);
    ScheduleReconnect();
    return;
  }
  FailUncarriedQueued();
  mNextConnectAt = steady_clock::now() + kMinReconnectDelay;
  mProcess.timers.Schedule(mNextConnectAt, [self = weak_from_this()] {
    if (const auto server = self.lock()) {
      server->ProcessQueue();
    }
  });
}

void BackendServer::MarkUnreachable(std::string_view aReason)
{
  if (mReachable) {
    SetReachable(false);
    mUnreachableSince = steady_clock::now();
    mProcess.log.Write("server_unreachable",
                       { { "server", mRecord.id },
                         { "group", mRecord.group },
                         { "reason", aReason } });
  }
}

void BackendServer::SetReachable(bool aReachable)
{
  mReachable = aReachable;
  if (mRecord.isInstance || mRetired) {
    return;
  }
  if (aReachable) {
    mProcess.linkEvidence.OnServerReachable();
  } else {
    mProcess.linkEvidence.OnServerUnreachable();
  }
}

void BackendServer::ScheduleReconnect()
{
  if (mConnectingCount > 0) {
    return;
  }
  mReconnectDelay = std::clamp<Duration>(
    mReconnectDelay * 2, kMinReconnectDelay, kMaxReconnectDelay);
  mProcess.timers.Schedule(
    steady_clock::now() + mReconnectDelay, [self = weak_from_this()] {
      const auto server = self.lock();
      if (server && !server->mRetired && !server->mReachable &&
          server->mConnectingCount == 0) {
        server->OpenConnection();
      }
    });
}

void BackendServer::FailQueued(AttemptFault aFault)
{
  for (const auto& it : std::exchange(mQueue, {})) {
    Finish(it, AttemptResult::NotRun, aFault, nullptr);
  }
}

void BackendServer::Dispatch(
  const std::shared_ptr<Attempt>& aAttempt,
  const std::shared_ptr<ServerConnection>& aConnection)
{
  const auto& headerNames = mProcess.settings.headerNames;
  const auto& request = *aAttempt->request;
  aAttempt->sent = true;
  aAttempt->connection = aConnection;
  aAttempt->connectionNumber = aConnection->Number();
  // Read the clock right before the send: the process may have been paused
  // since the last reading.
  aAttempt->sentAt = steady_clock::now();
  aAttempt->idleTimeBeforeSend = aConnection->IdleTime(aAttempt->sentAt);
  const auto timeLeftMs =
    std::max<std::int64_t>(1,
                           std::chrono::duration_cast<milliseconds>(
                             request.deadline - aAttempt->sentAt)
                             .count());
  aConnection->Carried().Add(
    request.requestId, request.deadline + kCarriedMargin, aAttempt->sentAt);
  mInFlight.push_back(aAttempt);
  mRateLimit.OnSend(RateShare(), aAttempt->sentAt);
  if (IsCold(aAttempt->sentAt)) {
    mAllowance.OnSend(aAttempt->sentAt);
  }
  mProcess.metrics.Add(process::Counter::SubRequestsServed);
  if (mRecord.failureDomain != mProcess.settings.failureDomain) {
    mProcess.metrics.Add(process::Counter::SubRequestsCrossing);
  }
  aAttempt->expiryTimer = mProcess.timers.Schedule(
    request.deadline,
    [self = shared_from_this(), aAttempt] { self->OnExpired(aAttempt); });
  auto head = fmt::format("{}{}: {}\r\n{}: {}\r\n\r\n",
                          request.head,
                          headerNames.timeLeft,
                          timeLeftMs,
                          headerNames.expectedServer,
                          mRecord.id);
  aConnection->Send(std::move(head),
                    request.body,
                    request.isHeadRequest,
                    [self = shared_from_this(),
                     aAttempt](SendResult aResult, ResponseMessage* aResponse) {
                      self->OnSendFinished(aAttempt, aResult, aResponse);
                    });
}

void BackendServer::OnSendFinished(const std::shared_ptr<Attempt>& aAttempt,
                                   SendResult aResult,
                                   ResponseMessage* aResponse)
{
  mProcess.timers.Cancel(aAttempt->expiryTimer);
  std::erase(mInFlight, aAttempt);
  const auto connection = std::exchange(aAttempt->connection, nullptr);
  const auto now = steady_clock::now();
  if (aResult == SendResult::Broken) {
    mAnswers.OnUnanswered(aAttempt->sentAt, mProcess.linkEvidence.Epoch(), now);
    AddOutcomeSample(true, now);
    LimitReusableIdleTime(aAttempt->idleTimeBeforeSend, now);
    if (!aAttempt->abandoned) {
      AddCutRun(*aAttempt, true, now);
    }
    Finish(
      aAttempt, AttemptResult::OutcomeUnknown, AttemptFault::Broken, nullptr);
    ProcessQueue();
    ProbeAfterCut();
    return;
  }
  const auto& headerNames = mProcess.settings.headerNames;
  if (!IsOfRequest(*aResponse, *aAttempt)) {
    // These bytes belong to no request or to another one: responses on this
    // connection no longer match the requests.
    connection->Close();
    AddOutcomeSample(true, now);
    Finish(aAttempt,
           AttemptResult::OutcomeUnknown,
           AttemptFault::WrongRequest,
           nullptr);
    ProcessQueue();
    return;
  }
  OnAnswer(*aAttempt, now);
  if (aResponse->result_int() != 421) {
    ApplyAnnouncements(
      *aResponse, aAttempt->request->requestId, aAttempt->sentAt, now);
  }
  if (connection->IsReusable(now) && !mRetired) {
    mIdleConnections.push_back(connection);
  }
  if (aResponse->result_int() != 421 && !mRecord.isInstance) {
    ApplyStatedRate(*aResponse, aAttempt->sentAt, now);
  }
  if (aResponse->result_int() == 421) {
    OnEnded(now);
    mMisdirectedUntil = now + kMisdirectedPause;
    mProcess.log.Write("server_replaced",
                       { { "server", mRecord.id },
                         { "request", aAttempt->request->requestId } });
    Finish(aAttempt, AttemptResult::NotRun, AttemptFault::OtherServer, nullptr);
  } else if (aResponse->find(headerNames.notRun) != aResponse->end()) {
    AddOutcomeSample(true, now);
    mRefusingUntil = now + kRefusedPause;
    Finish(aAttempt, AttemptResult::NotRun, AttemptFault::Refused, aResponse);
  } else {
    if (ProvesRun(*aResponse, headerNames)) {
      // The expected server has answered. An error may come from another one.
      mCutRuns.OnAnswered(aAttempt->sentAt);
    }
    AddOutcomeSample(aResponse->result_int() >= 500, now);
    AddLatencySample(aAttempt->request->profile, now - aAttempt->sentAt, now);
    Finish(aAttempt, AttemptResult::Answered, AttemptFault::None, aResponse);
  }
  ProcessQueue();
}

void BackendServer::LimitReusableIdleTime(Duration aIdleTime, TimePoint aNow)
{
  if (aIdleTime < kMinDroppedIdleTime) {
    return;
  }
  const auto limit =
    std::chrono::duration_cast<Duration>(aIdleTime * kReusableIdleFraction);
  mMaxReusableIdle =
    aNow < mMaxReusableIdleUntil ? std::min(mMaxReusableIdle, limit) : limit;
  mMaxReusableIdleUntil = aNow + kReusableIdleLimitDuration;
}

bool BackendServer::IsOfRequest(const ResponseMessage& aResponse,
                                const Attempt& aAttempt) const
{
  const auto id = aResponse[mProcess.settings.headerNames.requestId];
  if (!id.empty() || !mRecord.isInstance) {
    return id == aAttempt.request->requestId;
  }
  // Instances of former versions state no id. Others state none if they can't
  // read the request; such an answer is the last one on its connection.
  return !mRecord.statesRequestId || !aResponse.keep_alive();
}

void BackendServer::OnExpired(const std::shared_ptr<Attempt>& aAttempt)
{
  // No response by the deadline: the server hangs, or works on the request for
  // longer than the caller waits.
  aAttempt->expiryTimer = {};
  const auto now = steady_clock::now();
  AddLatencySample(aAttempt->request->profile, now - aAttempt->sentAt, now);
  if (now >= aAttempt->request->deadline) {
    OnUnanswered(*aAttempt, now);
  }
  if (aAttempt->connection) {
    aAttempt->abandoned = true;
    aAttempt->connection->Close();
  }
}

void BackendServer::Finish(const std::shared_ptr<Attempt>& aAttempt,
                           AttemptResult aResult,
                           AttemptFault aFault,
                           ResponseMessage* aResponse)
{
  if (aAttempt->handler) {
    std::exchange(aAttempt->handler, nullptr)(aResult, aFault, aResponse);
  }
}

} // namespace bronzedeal::gateway
