#include "bronzedeal/gateway/exchange.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// An idempotent request is hedged after this multiple of the median latency,
/// but not before this fraction of the objective.
constexpr double kHedgeFactor = 2.5;
constexpr double kMinHedgeObjectiveFraction = 0.4;
/// Maximum number of sends of one request, including those that servers
/// refused.
constexpr unsigned kMaxSendsPerRequest = 6;
/// A request that no server has run is refused after the objective divided
/// by this.
constexpr int kRefusalObjectiveDivisor = 5;
/// Delay before the next try while no server is usable.
constexpr auto kNoServerRetryDelay = milliseconds(60);
/// Value of Retry-After in a refusal for another reason than servers' limits.
constexpr auto kRetryAfter = milliseconds(100);

/// A request to one server group: retried if the outcome permits it, and hedged
/// if the route is idempotent.
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
    , mMaxServers(mRequest.isTrial ? 1 : mRequest.route->maxAttempts)
  {
    AddServersUsedElsewhere();
  }

  void Start()
  {
    mPermit = ObtainContentPermit(Process(),
                                  *mServerRequest->content,
                                  steady_clock::now(),
                                  mRequest.deadline);
    if (mPermit.refusedFor) {
      Finish(
        RefusedReply("the request has crashed servers", *mPermit.refusedFor),
        "quarantined");
      return;
    }
    Process().timers.Cancel(mDeadlineTimer);
    mDeadlineTimer = Process().timers.Schedule(
      mRequest.deadline - kAnswerMargin,
      [self = shared_from_this()] { self->OnDeadline(); });
    if (mUsedElsewhereCount == 0) {
      mGroup.retryBudget.OnFirstAttempt(Process().settings.retryLimits,
                                        Process().fleetShares.Divisor(),
                                        steady_clock::now());
    }
    SendOrFinish();
  }

  void Conclude() override { FinishWithoutAnswer("stopping"); }

  void Cancel() override
  {
    if (!mReleased.empty()) {
      const auto until = LateResponseDeadline(mRequest, steady_clock::now());
      for (const auto& it : std::exchange(mReleased, {})) {
        it.server->Detach(it.attempt, until);
      }
      return;
    }
    mReply = nullptr;
    Process().metrics.Add(process::Counter::CallersLeft);
    RecordCuts(UnansweredEnd::CallerLeft);
    Stop();
  }

  bool TryRelease() override
  {
    if (!mReply || mServerFailure) {
      return false;
    }
    mReply = nullptr;
    for (auto& [attemptId, running] : std::exchange(mAttempts, {})) {
      running.server->Detach(running.attempt,
                             ReleasedAttemptDeadline(mRequest));
      if (running.attempt->sent) {
        mReleased.push_back(std::move(running));
      } else {
        RemoveUsedServer(*running.server);
      }
    }
    Stop();
    return true;
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

  /// Counts the servers that may have run the request at the instance that
  /// handed it over.
  void AddServersUsedElsewhere()
  {
    if (!mRequest.usedServers) {
      return;
    }
    mUsedElsewhereCount = static_cast<unsigned>(mRequest.usedServers->size());
    mMayHaveRunCount = mUsedElsewhereCount;
    for (const auto& id : mRequest.usedServers->Of(mGroup.name)) {
      if (const auto server = mContext.servers.Find(id)) {
        mTriedServers.push_back(server.get());
        mPossiblyRunBy.push_back(server.get());
      }
    }
  }

  void RemoveUsedServer(const BackendServer& aServer)
  {
    if (mRequest.usedServers) {
      mRequest.usedServers->Remove(mGroup.name, aServer.Record().id);
    }
  }

  /// Sends the request to one more server if the route, the retry budget and
  /// the servers allow it; returns whether it did.
  bool TrySend()
  {
    const auto now = steady_clock::now();
    const bool isRetry = mMayHaveRunCount > 0 || mReachedServerCount > 0;
    // Once the route's maximum number of servers is reached, an error response
    // is final; after broken connections the same servers may be retried.
    // An at-most-once request is not sent again once it may have run.
    const bool serverLimitReached = mMayHaveRunCount >= mMaxServers;
    if (mSendCount >= kMaxSendsPerRequest ||
        (serverLimitReached && mServerFailure) ||
        (mMayHaveRunCount > 0 && !IsIdempotent())) {
      mAttemptsExhausted = true;
      return false;
    }
    if (serverLimitReached && (mRequest.isTrial || !mAttempts.empty())) {
      mAttemptsExhausted = mAttempts.empty();
      return false;
    }
    const auto verdict = VerdictOf(Process(), *mServerRequest, now);
    if (verdict == ContentVerdict::Quarantined ||
        (verdict == ContentVerdict::Suspect && mMayHaveRunCount > 0)) {
      mRetryAfter = std::max(mRetryAfter,
                             Process().crashQuarantine.TimeUntilTrial(
                               *mServerRequest->content, now));
      mAttemptsExhausted = mAttempts.empty();
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

  /// If the route's maximum number of servers is reached, chooses only among
  /// the servers that may have run the request.
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
      // All servers have been tried; one may have recovered since.
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
    if (mRequest.usedServers) {
      mRequest.usedServers->Add(mGroup.name, aServer->Record().id);
    }
    // Count before the send, because the result may arrive during the call.
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
    const double hedgeDelayMs = std::max(
      kHedgeFactor * mServerRequest->profile.medianLatencyMs,
      kMinHedgeObjectiveFraction * mServerRequest->profile.objectiveMs);
    mHedgeTimer = Process().timers.Schedule(
      aNow + std::chrono::duration_cast<Duration>(
               std::chrono::duration<double, std::milli>(hedgeDelayMs)),
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
        RemoveUsedServer(*server);
        --mMayHaveRunCount;
        if (aFault != AttemptFault::Refused &&
            aFault != AttemptFault::OtherServer) {
          --mReachedServerCount;
        }
        break;
      case AttemptResult::OutcomeUnknown:
        mOutcomeUnknown = true;
        mPossiblyRunBy.push_back(server.get());
        AddCut(running.mapped(), steady_clock::now());
        break;
    }
    Process().log.Write(
      "attempt_failed",
      { { "request", mRequest.caller.requestId },
        { "server", server->Record().id },
        { "content", ToHex(*mServerRequest->content) },
        { "fault", Name(aFault) },
        { "may_have_run", aResult == AttemptResult::OutcomeUnknown },
        { "connection", ConnectionNumberOf(running.mapped().attempt) },
        { "sent_ms", SentForMs(running.mapped().attempt) } });
    SendOrFinish();
  }

  void OnAnswer(const RunningAttempt& aRunning, ResponseMessage& aResponse)
  {
    const auto& attempt = aRunning.attempt;
    if (ProvesRun(aResponse, Process().settings.headerNames)) {
      Process().crashQuarantine.OnAnswered(*mServerRequest->content,
                                           steady_clock::now());
    }
    if (attempt && !IsFailure(aResponse.result_int())) {
      mContext.latency.AddSample(*mRequest.route,
                                 steady_clock::now() - attempt->sentAt);
    }
    if (aResponse.result_int() / 100 == 2 &&
        aResponse[Process().settings.headerNames.signature].empty()) {
      // Bytes that prove nothing of a server's work are no success.
      mServerFailure = TextReply(502, "the server's answer is not signed");
      SendOrFinish();
      return;
    }
    if (IsFailure(aResponse.result_int())) {
      // Reply with this failure only if no other server succeeds.
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

  [[nodiscard]] static bool IsFailure(unsigned aStatus)
  {
    return aStatus >= 500 || ImpliesNotRun(aStatus);
  }

  /// Returns the server's response, or a 502 if its status would imply that the
  /// request has not run: only the notRun header proves that.
  [[nodiscard]] static CallerReply FailureReply(
    const ResponseMessage& aResponse)
  {
    return ImpliesNotRun(aResponse.result_int())
             ? TextReply(502, "the server failed")
             : ForwardedReply(aResponse);
  }

  /// Sends again if possible. If nothing can be sent and no attempt is in
  /// progress, ends the exchange or schedules the next try.
  void SendOrFinish()
  {
    if (TrySend() || !mAttempts.empty()) {
      return;
    }
    if (mAttemptsExhausted || (mOutcomeUnknown && !IsIdempotent())) {
      FinishWithoutAnswer("no_attempt_left");
      return;
    }
    const auto now = steady_clock::now();
    const auto maxWait = mRequest.caller.receivedAt +
                         mRequest.route->objective / kRefusalObjectiveDivisor -
                         now;
    const auto limitWait = mContext.servers.TimeUntilSend(mGroup, now);
    const bool isTooLate =
      limitWait && now + *limitWait >= mRequest.deadline - kAnswerMargin;
    if (isTooLate ||
        (mMayHaveRunCount == 0 && limitWait && *limitWait >= maxWait)) {
      // No other server may become usable before, and the request has not run.
      mRetryAfter = mContext.servers.ScheduleReturn(mGroup, *limitWait, now);
      FinishWithoutAnswer("rate_limited");
      return;
    }
    if (mReachedServerCount == 0 && maxWait <= Duration::zero()) {
      // A retry by the caller succeeds sooner than waiting here for a server.
      FinishWithoutAnswer("no_server");
      return;
    }
    const auto delay = std::min<Duration>(
      kNoServerRetryDelay, limitWait.value_or(kNoServerRetryDelay));
    mRetryTimer =
      Process().timers.Schedule(now + delay, [self = shared_from_this()] {
        self->mRetryTimer = {};
        self->SendOrFinish();
      });
  }

  void OnDeadline()
  {
    mDeadlineTimer = {};
    FinishWithoutAnswer("timeout");
  }

  /// Ends the exchange without a successful answer: with the kept failure of a
  /// server, with 502 or 504 if the request may have run, else with a refusal.
  void FinishWithoutAnswer(std::string_view aCause)
  {
    if (!mReply) {
      return;
    }
    if (mServerFailure) {
      RecordCuts(UnansweredEnd::Concluded);
      Finish(std::move(*mServerFailure), aCause);
    } else if (mMayHaveRunCount > 0 && !NoAttemptSent()) {
      RecordCuts(UnansweredEnd::Concluded);
      Finish(mAttempts.empty() ? TextReply(502, "the server broke off")
                               : TextReply(504, "no server answered in time"),
             aCause);
    } else {
      // Detach the unsent attempts first: a refusal promises that the request
      // has not run, so none of them may be sent later.
      Stop();
      Finish(RefusedReply("no server could take the request", mRetryAfter),
             aCause);
    }
  }

  void AddCut(const RunningAttempt& aRunning, TimePoint aCutAt)
  {
    if (aRunning.attempt && aRunning.attempt->sent) {
      mCuts.push_back(
        { aRunning.server->RunHash(), aRunning.attempt->sentAt, aCutAt });
    }
  }

  /// Records that no server has proven to have run the request to its end.
  void RecordCuts(UnansweredEnd aEnd)
  {
    const auto now = steady_clock::now();
    for (const auto& [id, running] : mAttempts) {
      if (running.attempt && IsOverdue(*running.attempt, mRequest, aEnd, now)) {
        AddCut(running, now);
        running.server->OnUnanswered(*running.attempt, now);
      }
    }
    for (const auto& it : mCuts) {
      Process().crashQuarantine.OnCut(*mServerRequest->content, it, now);
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
    const auto elapsed = steady_clock::now() - mRequest.caller.receivedAt;
    const bool isOrdinary = aReply.status < 500 && mSendCount <= 1 &&
                            elapsed < mRequest.route->objective;
    Process().metrics.ObserveQuery(Milliseconds(elapsed) / 1000);
    if (!isOrdinary) {
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
          { "took_ms", Milliseconds(elapsed) } });
    }
    Stop();
    reply(std::move(aReply));
  }

  void Stop()
  {
    Process().timers.Cancel(mDeadlineTimer);
    Process().timers.Cancel(mHedgeTimer);
    Process().timers.Cancel(mRetryTimer);
    const auto until = LateResponseDeadline(mRequest, steady_clock::now());
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
  ContentPermit mPermit;
  std::map<unsigned, RunningAttempt> mAttempts;
  /// Attempts that go on after `TryRelease`.
  std::vector<RunningAttempt> mReleased;
  /// Number of servers that may run the request.
  unsigned mMaxServers;
  /// Number of servers that may have run the request before it came here.
  unsigned mUsedElsewhereCount = 0;
  ServerList mTriedServers;
  /// Servers whose connection broke and that may have run the request.
  ServerList mPossiblyRunBy;
  /// Runs that servers left without an answer.
  std::vector<LostRun> mCuts;
  std::optional<CallerReply> mServerFailure;
  unsigned mLastAttemptId = 0;
  unsigned mSendCount = 0;
  unsigned mDeniedRetries = 0;
  /// Number of attempts that may have run.
  unsigned mMayHaveRunCount = 0;
  /// Number of attempts that may have reached a server, refused ones included.
  unsigned mReachedServerCount = 0;
  /// Time after which the caller should return if it is refused.
  Duration mRetryAfter = kRetryAfter;
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
