#include "bronzedeal/gateway/backend_server.hpp"

#include "bronzedeal/gateway/process.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// With this many attempts waiting for a connection, the server is not usable
/// for more.
constexpr std::size_t kMaxQueuedAttempts = 32;
/// A server whose address answered as another server is not used for this long.
/// By then the metadata service has reported its new state.
constexpr auto kMisdirectedPause = milliseconds(3000);
/// A server that refused a request because it was full is not used for this
/// long: about the time until a slot becomes free.
constexpr auto kRefusedPause = milliseconds(15);
/// How long after its deadline a request may come again, from another instance
/// whose deadline is a little later.
constexpr auto kCarriedMargin = milliseconds(2000);
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
      OnProvenRun(*aAttempt, *connection, now);
    }
    AddOutcomeSample(aResponse->result_int() >= 500, now);
    AddLatencySample(aAttempt->request->profile, now - aAttempt->sentAt, now);
    Finish(aAttempt, AttemptResult::Answered, AttemptFault::None, aResponse);
  }
  ProcessQueue();
}

bool BackendServer::IsOfRequest(const ResponseMessage& aResponse,
                                const Attempt& aAttempt) const
{
  const auto id = aResponse[mProcess.settings.headerNames.requestId];
  if (id == aAttempt.request->requestId) {
    return true;
  }
  // Instances of former versions state no id. Others state none if they can't
  // read the request; such an answer is the last one on its connection.
  return id.empty() && mRecord.isInstance &&
         (!mRecord.statesRequestId || !aResponse.keep_alive());
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
