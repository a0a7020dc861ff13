#include "bronzedeal/gateway/exchange.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// An idempotent request goes to a second server after this many times its
/// usual latency, and not before this part of the objective.
constexpr double kHedgeFactor = 2.5;
constexpr double kHedgeObjectiveShare = 0.4;
/// Sends that a request may take in all, those included that servers refused.
constexpr unsigned kMaxSendsPerRequest = 6;
/// A request that no server could be offered is refused after this part of
/// the objective.
constexpr int kRefusalObjectiveDivisor = 5;
/// Between tries while no server may be used.
constexpr auto kNoServerRetryDelay = milliseconds(60);
/// The final answer leaves this long before the caller's end.
constexpr auto kAnswerMargin = milliseconds(30);
/// When a refused caller should come back.
constexpr auto kRetryAfter = milliseconds(100);

class SingleExchange
  : public Exchange
  , public std::enable_shared_from_this<SingleExchange>
{
public:
  SingleExchange(const ExchangeContext& aContext,
                 RoutedRequest aRequest,
                 const std::string& aGroup,
                 ReplyHandler aReply)
    : mContext(aContext)
    , mRequest(std::move(aRequest))
    , mGroup(aContext.servers.FindOrCreateGroup(aGroup))
    , mReply(std::move(aReply))
    , mServerRequest(MakeServerRequest(mContext, mRequest))
  {
  }

  void Start()
  {
    Process().timers.Cancel(mDeadlineTimer);
    mDeadlineTimer = Process().timers.Schedule(
      mRequest.deadline - kAnswerMargin,
      [self = shared_from_this()] { self->OnDeadline(); });
    mGroup.retryBudget.OnFirstAttempt(Process().settings.retryLimits,
                                      Process().fleetShares.Divisor(),
                                      steady_clock::now());
    SendOrFinish();
  }

  void Cancel() override
  {
    mReply = nullptr;
    Process().metrics.Add(process::Counter::CallersLeft);
    Stop(true);
  }

private:
  struct RunningAttempt
  {
    std::shared_ptr<BackendServer> server;
    std::shared_ptr<Attempt> attempt;
  };

  gateway::Process& Process() { return mContext.process; }

  [[nodiscard]] bool IsIdempotent() const
  {
    return mRequest.route->repeatability == Repeatability::Idempotent;
  }

  /// Sends once more where the route, the budget and the servers allow it.
  /// Returns false when nothing was sent.
  bool TrySend()
  {
    const auto now = steady_clock::now();
    const bool isRetry = mMayHaveRunCount > 0 || mReachedServerCount > 0;
    // A failure that a server has answered is final once the route's number of
    // servers is used up; a broken connection isn't.
    const bool serverLimitReached =
      mMayHaveRunCount >= mRequest.route->maxAttempts;
    if (mSendCount >= kMaxSendsPerRequest ||
        (serverLimitReached && mServerFailure) ||
        (mMayHaveRunCount > 0 && !IsIdempotent())) {
      mAttemptsExhausted = true;
      return false;
    }
    if (serverLimitReached && !mAttempts.empty()) {
      return false;
    }
    const auto server = ChooseServer(serverLimitReached, now);
    if (!server) {
      return false;
    }
    if (isRetry &&
        !mGroup.retryBudget.TryAcquire(Process().settings.retryLimits,
                                       Process().fleetShares.Divisor(),
                                       now)) {
      Process().metrics.Add(process::Counter::RepeatsDenied);
      ++mDeniedRetries;
      mAttemptsExhausted = mAttempts.empty();
      return false;
    }
    Dispatch(server, now);
    return true;
  }

  /// `aUsedUp`: only servers that may have run the request are left.
  std::shared_ptr<BackendServer> ChooseServer(bool aServerLimitReached,
                                              TimePoint aNow)
  {
    const auto& profile = mServerRequest->profile;
    if (aServerLimitReached) {
      return mContext.servers.ChooseServer(
        mGroup, profile, mGroup.ServersExcept(mPossiblyRunBy), aNow);
    }
    auto server =
      mContext.servers.ChooseServer(mGroup, profile, mTriedServers, aNow);
    if (!server && mAttempts.empty()) {
      // All have been used: one may have recovered.
      mTriedServers.clear();
      server =
        mContext.servers.ChooseServer(mGroup, profile, mTriedServers, aNow);
    }
    return server;
  }

  void Dispatch(const std::shared_ptr<BackendServer>& aServer, TimePoint aNow)
  {
    ++mSendCount;
    mTriedServers.push_back(aServer.get());
    // Counted before the send, since the result may come during it.
    ++mMayHaveRunCount;
    ++mReachedServerCount;
    if (mSendCount > 1) {
      Process().metrics.Add(process::Counter::Retries);
    }
    const auto attemptId = ++mLastAttemptId;
    mAttempts.emplace(attemptId, RunningAttempt{ aServer, nullptr });
    auto attempt = aServer->Send(
      mServerRequest,
      [self = shared_from_this(),
       attemptId](auto aResult, auto aFault, ResponseMessage* aResponse) {
        self->OnAttemptFinished(attemptId, aResult, aFault, aResponse);
      });
    const auto it = mAttempts.find(attemptId);
    if (it != mAttempts.end()) {
      it->second.attempt = std::move(attempt);
      ScheduleHedge(aNow);
    }
  }

  void ScheduleHedge(TimePoint aNow)
  {
    Process().timers.Cancel(mHedgeTimer);
    if (!IsIdempotent()) {
      return;
    }
    const double wait =
      std::max(kHedgeFactor * mServerRequest->profile.medianLatencyMs,
               kHedgeObjectiveShare * mServerRequest->profile.objectiveMs);
    mHedgeTimer = Process().timers.Schedule(
      aNow + std::chrono::duration_cast<Duration>(
               std::chrono::duration<double, std::milli>(wait)),
      [self = shared_from_this()] {
        self->mHedgeTimer = {};
        if (self->TrySend()) {
          self->Process().metrics.Add(process::Counter::Hedges);
        }
      });
  }

  void OnAttemptFinished(unsigned aAttemptId,
                         AttemptResult aResult,
                         AttemptFault aFault,
                         ResponseMessage* aResponse)
  {
    const auto running = mAttempts.extract(aAttemptId);
    if (!mReply) {
      return;
    }
    const auto& server = running.mapped().server;
    switch (aResult) {
      case AttemptResult::Answered:
        OnAnswer(running.mapped(), *aResponse);
        return;
      case AttemptResult::NotRun:
        --mMayHaveRunCount;
        if (aFault != AttemptFault::Refused &&
            aFault != AttemptFault::OtherServer) {
          --mReachedServerCount;
        }
        break;
      case AttemptResult::OutcomeUnknown:
        mOutcomeUnknown = true;
        mPossiblyRunBy.push_back(server.get());
        break;
    }
    Process().log.Write(
      "attempt_failed",
      { { "request", mRequest.caller.requestId },
        { "server", server->Record().id },
        { "fault", Name(aFault) },
        { "may_have_run", aResult == AttemptResult::OutcomeUnknown } });
    SendOrFinish();
  }

  void OnAnswer(const RunningAttempt& aRunning, ResponseMessage& aResponse)
  {
    const auto& attempt = aRunning.attempt;
    if (attempt && !IsFailure(aResponse.result_int())) {
      mContext.latency.AddSample(*mRequest.route,
                                 steady_clock::now() - attempt->sentAt);
    }
    if (IsFailure(aResponse.result_int())) {
      // Kept in case that no other server does better.
      mServerFailure = FailureReply(aResponse);
      if (IsIdempotent()) {
        SendOrFinish();
        return;
      }
      Finish(std::move(*mServerFailure), "server_failed");
      return;
    }
    Finish(ForwardedReply(aResponse), "answered");
  }

  /// Statuses that tell a caller that the request has not run.
  [[nodiscard]] static bool ImpliesNotRun(unsigned aStatus)
  {
    return aStatus == 408 || aStatus == 429 || aStatus == 503;
  }

  [[nodiscard]] static bool IsFailure(unsigned aStatus)
  {
    return aStatus >= 500 || ImpliesNotRun(aStatus);
  }

  /// The server's failure, unless its status would promise that the request has
  /// not run: only the notRun header proves that.
  [[nodiscard]] static CallerReply FailureReply(
    const ResponseMessage& aResponse)
  {
    return ImpliesNotRun(aResponse.result_int())
             ? TextReply(502, "the server failed")
             : ForwardedReply(aResponse);
  }

  void SendOrFinish()
  {
    if (TrySend() || !mAttempts.empty()) {
      return;
    }
    if (mAttemptsExhausted || (mOutcomeUnknown && !IsIdempotent())) {
      FinishWithoutAnswer("no_attempt_left");
      return;
    }
    const auto waited = steady_clock::now() - mRequest.caller.receivedAt;
    if (mReachedServerCount == 0 &&
        waited >= mRequest.route->objective / kRefusalObjectiveDivisor) {
      // The caller does better to come back than to wait for a server here.
      FinishWithoutAnswer("no_server");
      return;
    }
    mRetryTimer = Process().timers.Schedule(
      steady_clock::now() + kNoServerRetryDelay, [self = shared_from_this()] {
        self->mRetryTimer = {};
        self->SendOrFinish();
      });
  }

  void OnDeadline()
  {
    mDeadlineTimer = {};
    FinishWithoutAnswer("timeout");
  }

  void FinishWithoutAnswer(std::string_view aCause)
  {
    if (!mReply) {
      return;
    }
    if (mServerFailure) {
      Finish(std::move(*mServerFailure), aCause);
    } else if (mMayHaveRunCount > 0 && !NoAttemptSent()) {
      Finish(mAttempts.empty() ? TextReply(502, "the server broke off")
                               : TextReply(504, "no server answered in time"),
             aCause);
    } else {
      Stop(false); // before the promise: an unsent attempt must not be sent
      Finish(RefusedReply("no server could take the request", kRetryAfter),
             aCause);
    }
  }

  [[nodiscard]] bool NoAttemptSent() const
  {
    return !mOutcomeUnknown &&
           std::all_of(mAttempts.begin(), mAttempts.end(), [](const auto& aIt) {
             return aIt.second.attempt && !aIt.second.attempt->sent;
           });
  }

  void Finish(CallerReply aReply, std::string_view aCause)
  {
    auto reply = std::exchange(mReply, nullptr);
    const auto took = steady_clock::now() - mRequest.caller.receivedAt;
    const bool ordinary = aReply.status < 500 && mSendCount <= 1 &&
                          took < mRequest.route->objective;
    Process().metrics.ObserveQuery(Milliseconds(took) / 1000);
    if (!ordinary) {
      Process().log.Write(
        "request_end",
        { { "request", mRequest.caller.requestId },
          { "route", mRequest.route->name },
          { "version", static_cast<std::int64_t>(mRequest.version) },
          { "status", static_cast<std::int64_t>(aReply.status) },
          { "cause", aCause },
          { "group", mGroup.name },
          { "sends", static_cast<std::int64_t>(mSendCount) },
          { "max_attempts",
            static_cast<std::int64_t>(mRequest.route->maxAttempts) },
          { "idempotent", IsIdempotent() },
          { "repeats_denied", static_cast<std::int64_t>(mDeniedRetries) },
          { "took_ms", Milliseconds(took) } });
    }
    Stop(false);
    reply(std::move(aReply));
  }

  void Stop(bool aCallerDisconnected)
  {
    Process().timers.Cancel(mDeadlineTimer);
    Process().timers.Cancel(mHedgeTimer);
    Process().timers.Cancel(mRetryTimer);
    const auto until =
      LateResponseDeadline(mRequest, aCallerDisconnected, steady_clock::now());
    for (auto& [attemptId, running] : std::exchange(mAttempts, {})) {
      if (running.attempt) {
        running.server->Detach(running.attempt, until);
      }
    }
  }

  ExchangeContext mContext;
  RoutedRequest mRequest;
  GroupState& mGroup;
  ReplyHandler mReply;
  std::shared_ptr<ServerRequest> mServerRequest;
  std::map<unsigned, RunningAttempt> mAttempts;
  ServerList mTriedServers;
  /// Servers that broke off and may have run it.
  ServerList mPossiblyRunBy;
  std::optional<CallerReply> mServerFailure;
  unsigned mLastAttemptId = 0;
  unsigned mSendCount = 0;
  unsigned mDeniedRetries = 0;
  /// Attempts that no proof excludes from having run.
  unsigned mMayHaveRunCount = 0;
  /// Attempts that have reached a server, refused ones included.
  unsigned mReachedServerCount = 0;
  bool mOutcomeUnknown = false;
  bool mAttemptsExhausted = false;
  TimerQueue::Handle mDeadlineTimer;
  TimerQueue::Handle mHedgeTimer;
  TimerQueue::Handle mRetryTimer;
};

} // namespace

std::shared_ptr<Exchange> StartSingleExchange(const ExchangeContext& aContext,
                                              RoutedRequest aRequest,
                                              const std::string& aGroup,
                                              ReplyHandler aReply)
{
  auto exchange = std::make_shared<SingleExchange>(
    aContext, std::move(aRequest), aGroup, std::move(aReply));
  exchange->Start();
  return exchange;
}

} // namespace bronzedeal::gateway
