#include "bronzedeal/gateway/backend_server.hpp"

#include "bronzedeal/gateway/process.hpp"

#include <algorithm>

// The connections to a server, and the attempts that wait for one.
namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// Opening a connection takes a few network delays and up to 6 ms at the
/// server. After this timeout the server counts as unreachable.
constexpr auto kConnectTimeout = milliseconds(400);
/// Delay between connection attempts to an unreachable server; doubles up to
/// the maximum.
constexpr auto kMinReconnectDelay = milliseconds(200);
constexpr auto kMaxReconnectDelay = milliseconds(2000);
/// If a connection fails that had been idle for longer than this, the server
/// has likely dropped it silently. For `kReusableIdleLimitDuration`,
/// connections are then reused only below a fraction of that idle time.
constexpr auto kMinDroppedIdleTime = milliseconds(200);
constexpr double kReusableIdleFraction = 0.7;
constexpr auto kReusableIdleLimitDuration = std::chrono::seconds(15);
/// Maximum size of a server's response body.
constexpr std::size_t kMaxResponseBodyBytes = std::size_t{ 16 } << 20;

} // namespace

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

} // namespace bronzedeal::gateway
