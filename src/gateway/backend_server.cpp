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
/// server; beyond this the server is taken for unreachable.
constexpr auto kConnectTimeout = milliseconds(400);
/// Requests that wait for a connection here; more are refused at once.
constexpr std::size_t kMaxQueued = 32;
/// Between attempts to reach an unreachable server; doubles up to the maximum.
constexpr auto kMinBackoff = milliseconds(200);
constexpr auto kMaxBackoff = milliseconds(2000);
/// An address that answers as another server is left alone for this long; by
/// then the metadata service has named the server's new state.
constexpr auto kMisdirected = milliseconds(3000);
/// A server that was full gets nothing more for this long: about the time in
/// which a slot becomes free.
constexpr auto kFullPause = milliseconds(15);
/// A connection that breaks after it was idle for longer was likely forgotten
/// by the server. For a while, none is used again that was idle for nearly as
/// long.
constexpr auto kLongRest = milliseconds(200);
constexpr double kRestShare = 0.7;
constexpr auto kRestMemory = std::chrono::seconds(15);
/// Largest response of a server that is read.
constexpr std::size_t kMaxResponseBody = std::size_t{ 16 } << 20;
/// Weight of a new sample in the moving averages.
constexpr double kSampleWeight = 0.25;
constexpr double kOutcomeWeight = 0.1;
/// A server that isn't used gives no samples: its slowness halves its distance
/// from the usual in this time, so that it is tried again.
constexpr double kForgetSeconds = 1.5;
/// Bounds of one sample of the slowness.
constexpr double kMinSlowness = 0.4;
constexpr double kMaxSlowness = 20;

constexpr std::array<std::string_view, 8> kFaultNames{
  "none",   "connect_failed", "refused", "other_server",
  "broken", "wrong_request",  "expired", "retired",
};

} // namespace

std::string_view Name(AttemptFault aFault) noexcept
{
  return kFaultNames.at(static_cast<std::size_t>(aFault));
}

BackendServer::BackendServer(Process& aProcess, ServerRecord aRecord)
  : mProcess(aProcess)
{
  Update(std::move(aRecord), steady_clock::now());
}

void BackendServer::Update(ServerRecord aRecord, TimePoint aNow)
{
  if (aRecord.coldLeft.count() > 0) {
    mColdUntil = std::max(mColdUntil, aNow + aRecord.coldLeft);
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

void BackendServer::SetConnectionShare(std::size_t aConnections) noexcept
{
  mConnectionShare = std::max<std::size_t>(1, aConnections);
}

bool BackendServer::Usable(TimePoint aNow) const noexcept
{
  return !mRetired && !mRecord.draining && mReachable &&
         mQueue.size() < kMaxQueued && aNow >= mMisdirectedUntil &&
         aNow >= mFullUntil;
}

bool BackendServer::Cold(TimePoint aNow) const noexcept
{
  return aNow < mColdUntil;
}

milliseconds BackendServer::ColdLeft(TimePoint aNow) const noexcept
{
  return std::chrono::ceil<milliseconds>(
    std::max(mColdUntil - aNow, Duration::zero()));
}

bool BackendServer::TakeAllowance(TimePoint aNow)
{
  if (!Cold(aNow)) {
    return true;
  }
  return mAllowance.TryAcquire(mProcess.settings.coldServerLimits,
                               mProcess.fleetShares.RankFor(mRecord.id),
                               mProcess.fleetShares.Divisor(),
                               aNow);
}

ReplicaView BackendServer::View(TimePoint aNow) const noexcept
{
  ReplicaView view;
  const double idle = std::chrono::duration<double>(aNow - mLastSample).count();
  const double kept = std::exp2(-idle / kForgetSeconds);
  view.slowness = 1 + (mSlowness - 1) * kept;
  view.failureRate = mFailureRate * kept;
  for (const auto& it : mInFlight) {
    view.oldestUnansweredMs =
      std::max(view.oldestUnansweredMs, Milliseconds(aNow - it->sentAt));
  }
  view.inFlight = static_cast<unsigned>(mInFlight.size());
  view.queued = static_cast<unsigned>(mQueue.size());
  view.slots = mRecord.slots;
  view.sameFailureDomain =
    mRecord.failureDomain == mProcess.settings.failureDomain;
  return view;
}

std::shared_ptr<Attempt> BackendServer::Send(
  std::shared_ptr<const ServerRequest> aRequest,
  Attempt::Handler aHandler)
{
  auto attempt = std::make_shared<Attempt>();
  attempt->request = std::move(aRequest);
  attempt->handler = std::move(aHandler);
  attempt->queuedAt = steady_clock::now();
  const auto later = std::find_if(mQueue.begin(), mQueue.end(), [&](auto& aIt) {
    return aIt->request->priority > attempt->request->priority;
  });
  mQueue.insert(later, attempt);
  Pump();
  return attempt;
}

void BackendServer::Release(const std::shared_ptr<Attempt>& aAttempt,
                            TimePoint aUntil)
{
  aAttempt->handler = nullptr;
  if (!aAttempt->sent) {
    std::erase(mQueue, aAttempt);
    return;
  }
  mProcess.timers.Cancel(aAttempt->expiry);
  if (aAttempt->connection) {
    aAttempt->expiry =
      mProcess.timers.At(aUntil, [self = shared_from_this(), aAttempt] {
        self->OnExpired(aAttempt);
      });
  }
}

void BackendServer::Retire()
{
  mRetired = true;
  FailQueued(AttemptFault::Retired);
  for (const auto& it : std::exchange(mIdle, {})) {
    it->Close();
  }
}

std::shared_ptr<ServerConnection> BackendServer::TakeIdle(TimePoint aNow)
{
  while (!mIdle.empty()) {
    auto connection = std::move(mIdle.back());
    mIdle.pop_back();
    const bool fresh =
      aNow >= mMaxRestUntil || connection->Rested(aNow) < mMaxRest;
    if (fresh && connection->Reusable(aNow)) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

void BackendServer::Pump()
{
  const auto now = steady_clock::now();
  while (!mQueue.empty()) {
    if (mQueue.front()->request->deadline <= now) {
      auto attempt = mQueue.front();
      mQueue.pop_front();
      Finish(attempt, AttemptResult::NotRun, AttemptFault::Expired, nullptr);
      continue;
    }
    const auto connection = TakeIdle(now);
    if (!connection) {
      break;
    }
    auto attempt = mQueue.front();
    mQueue.pop_front();
    Dispatch(attempt, connection);
  }
  while (mQueue.size() > mConnecting &&
         mInFlight.size() + mIdle.size() + mConnecting < mConnectionShare) {
    OpenConnection();
  }
}

void BackendServer::Warm()
{
  const bool connected =
    !mInFlight.empty() || !mIdle.empty() || mConnecting > 0;
  if (!connected && !mRetired && mReachable && !mRecord.draining) {
    OpenConnection();
  }
}

void BackendServer::OpenConnection()
{
  ++mConnecting;
  auto connection = std::make_shared<ServerConnection>(
    mProcess.context, mProcess.timers, kMaxResponseBody);
  mProcess.metrics.Add(process::Counter::ServerConnections);
  std::weak_ptr<ServerConnection> weak = connection;
  connection->OnIdleClose([self = weak_from_this(), weak] {
    if (const auto server = self.lock()) {
      std::erase(server->mIdle, weak.lock());
    }
  });
  connection->Connect(
    mRecord.address,
    kConnectTimeout,
    [self = shared_from_this(), connection](bool aOpen) {
      --self->mConnecting;
      if (!aOpen) {
        self->OnConnectFailed();
        return;
      }
      self->mBackoff = {};
      if (!self->mReachable) {
        self->mReachable = true;
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
      self->mIdle.push_back(connection);
      self->Pump();
    });
}

void BackendServer::OnConnectFailed()
{
  mProcess.metrics.Add(process::Counter::ServerConnectFailures);
  if (mRetired) {
    return;
  }
  // Open connections may still work where the server accepts no more of them.
  if (mInFlight.empty() && mIdle.empty()) {
    MarkUnreachable("connect");
  }
  if (!mReachable) {
    FailQueued(AttemptFault::ConnectFailed);
    ScheduleReconnect();
  } else {
    Pump();
  }
}

void BackendServer::MarkUnreachable(std::string_view aReason)
{
  if (mReachable) {
    mReachable = false;
    mUnreachableSince = steady_clock::now();
    mProcess.log.Write("server_unreachable",
                       { { "server", mRecord.id },
                         { "group", mRecord.group },
                         { "reason", aReason } });
  }
}

void BackendServer::ScheduleReconnect()
{
  if (mConnecting > 0) {
    return;
  }
  mBackoff = std::clamp<Duration>(mBackoff * 2, kMinBackoff, kMaxBackoff);
  mProcess.timers.At(steady_clock::now() + mBackoff, [self = weak_from_this()] {
    const auto server = self.lock();
    if (server && !server->mRetired && !server->mReachable &&
        server->mConnecting == 0) {
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
  const auto& names = mProcess.settings.headerNames;
  const auto& request = *aAttempt->request;
  aAttempt->sent = true;
  aAttempt->connection = aConnection;
  // Read again right before the send: the process may have been paused.
  aAttempt->sentAt = steady_clock::now();
  aAttempt->rested = aConnection->Rested(aAttempt->sentAt);
  const auto left =
    std::max<std::int64_t>(1,
                           std::chrono::duration_cast<milliseconds>(
                             request.deadline - aAttempt->sentAt)
                             .count());
  mInFlight.push_back(aAttempt);
  mProcess.metrics.Add(process::Counter::SubRequestsServed);
  if (mRecord.failureDomain != mProcess.settings.failureDomain) {
    mProcess.metrics.Add(process::Counter::SubRequestsCrossing);
  }
  aAttempt->expiry =
    mProcess.timers.At(request.deadline, [self = shared_from_this(), aAttempt] {
      self->OnExpired(aAttempt);
    });
  auto bytes = fmt::format("{}{}: {}\r\n{}: {}\r\n\r\n{}",
                           request.head,
                           names.timeLeft,
                           left,
                           names.expectedServer,
                           mRecord.id,
                           request.body);
  aConnection->Send(std::move(bytes),
                    request.headOnly,
                    [self = shared_from_this(),
                     aAttempt](SendResult aResult, ResponseMessage* aResponse) {
                      self->OnSendEnd(aAttempt, aResult, aResponse);
                    });
}

void BackendServer::CountLatency(const Attempt& aAttempt, TimePoint aNow)
{
  const double typical = std::max(0.5, aAttempt.request->view.typicalMs);
  const double sample = std::clamp(
    Milliseconds(aNow - aAttempt.sentAt) / typical, kMinSlowness, kMaxSlowness);
  const double current = View(aNow).slowness;
  mSlowness = current + kSampleWeight * (sample - current);
  mLastSample = aNow;
}

void BackendServer::CountOutcome(bool aFailed) noexcept
{
  mFailureRate += kOutcomeWeight * ((aFailed ? 1 : 0) - mFailureRate);
}

void BackendServer::OnSendEnd(const std::shared_ptr<Attempt>& aAttempt,
                              SendResult aResult,
                              ResponseMessage* aResponse)
{
  mProcess.timers.Cancel(aAttempt->expiry);
  std::erase(mInFlight, aAttempt);
  const auto connection = std::exchange(aAttempt->connection, nullptr);
  const auto now = steady_clock::now();
  if (aResult == SendResult::Broken) {
    CountOutcome(true);
    NoteForgotten(aAttempt->rested, now);
    Finish(aAttempt, AttemptResult::Lost, AttemptFault::Broken, nullptr);
    Pump();
    return;
  }
  const auto& names = mProcess.settings.headerNames;
  const auto id = (*aResponse)[names.requestId];
  const bool mismatched = !id.empty() && id != aAttempt->request->requestId;
  if (mismatched) {
    // A surplus response: the connection is out of step.
    connection->Close();
    CountOutcome(true);
    Finish(aAttempt, AttemptResult::Lost, AttemptFault::WrongRequest, nullptr);
    Pump();
    return;
  }
  if (connection->Reusable(now) && !mRetired) {
    mIdle.push_back(connection);
  }
  if (aResponse->result_int() == 421) {
    mMisdirectedUntil = now + kMisdirected;
    mProcess.log.Write("server_replaced",
                       { { "server", mRecord.id },
                         { "request", aAttempt->request->requestId } });
    Finish(aAttempt, AttemptResult::NotRun, AttemptFault::OtherServer, nullptr);
  } else if (aResponse->find(names.notRun) != aResponse->end()) {
    CountOutcome(true);
    mLastSample = now;
    mFullUntil = now + kFullPause;
    Finish(aAttempt, AttemptResult::NotRun, AttemptFault::Refused, aResponse);
  } else {
    CountOutcome(aResponse->result_int() >= 500);
    CountLatency(*aAttempt, now);
    Finish(aAttempt, AttemptResult::Answered, AttemptFault::None, aResponse);
  }
  Pump();
}

void BackendServer::NoteForgotten(Duration aRested, TimePoint aNow)
{
  if (aRested < kLongRest) {
    return;
  }
  const auto limit = std::chrono::duration_cast<Duration>(aRested * kRestShare);
  mMaxRest = aNow < mMaxRestUntil ? std::min(mMaxRest, limit) : limit;
  mMaxRestUntil = aNow + kRestMemory;
}

void BackendServer::OnExpired(const std::shared_ptr<Attempt>& aAttempt)
{
  // Unanswered until its end: the server hangs, or it works on it for longer
  // than anybody waits.
  aAttempt->expiry = {};
  CountLatency(*aAttempt, steady_clock::now());
  if (aAttempt->connection) {
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
