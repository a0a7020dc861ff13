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
constexpr unsigned kMaxSends = 6;
/// A request that no server could be offered is refused after this part of
/// the objective.
constexpr int kRefuseShare = 5;
/// Between tries while no server may be used.
constexpr auto kRetryPause = milliseconds(60);
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
    , mGroup(aContext.servers.Group(aGroup))
    , mReply(std::move(aReply))
    , mServerRequest(MakeServerRequest(mContext, mRequest))
  {
  }

  void Start()
  {
    Process().timers.Cancel(mEnd);
    mEnd =
      Process().timers.At(mRequest.deadline - kAnswerMargin,
                          [self = shared_from_this()] { self->OnDeadline(); });
    mGroup.repeats.OnFirstAttempt(Process().settings.retryLimits,
                                  Process().fleetShares.Divisor(),
                                  steady_clock::now());
    Continue();
  }

  void Abandon() override
  {
    mReply = nullptr;
    Process().metrics.Add(process::Counter::CallersLeft);
    Stop(true);
  }

private:
  struct Running
  {
    std::shared_ptr<BackendServer> server;
    std::shared_ptr<Attempt> attempt;
  };

  gateway::Process& Process() { return mContext.process; }

  [[nodiscard]] bool Idempotent() const
  {
    return mRequest.route->repeatability == Repeatability::Idempotent;
  }

  /// Sends once more where the route, the budget and the servers allow it.
  /// Returns false when nothing was sent.
  bool TrySend()
  {
    const auto now = steady_clock::now();
    const bool repeat = mMayHaveRun > 0 || mArrivals > 0;
    // A failure that a server has answered is final once the route's number of
    // servers is used up; a broken connection isn't.
    const bool usedUp = mMayHaveRun >= mRequest.route->maxAttempts;
    if (mSends >= kMaxSends || (usedUp && mFailure) ||
        (mMayHaveRun > 0 && !Idempotent())) {
      mExhausted = true;
      return false;
    }
    if (usedUp && !mRunning.empty()) {
      return false;
    }
    const auto server = ChooseServer(usedUp, now);
    if (!server) {
      return false;
    }
    if (repeat && !mGroup.repeats.TryAcquire(Process().settings.retryLimits,
                                             Process().fleetShares.Divisor(),
                                             now)) {
      Process().metrics.Add(process::Counter::RepeatsDenied);
      ++mDenied;
      mExhausted = mRunning.empty();
      return false;
    }
    Dispatch(server, now);
    return true;
  }

  /// `aUsedUp`: only servers that may have run the request are left.
  std::shared_ptr<BackendServer> ChooseServer(bool aUsedUp, TimePoint aNow)
  {
    const auto& view = mServerRequest->view;
    if (aUsedUp) {
      return mContext.servers.Choose(mGroup, view, mGroup.AllBut(mRan), aNow);
    }
    auto server = mContext.servers.Choose(mGroup, view, mUsed, aNow);
    if (!server && mRunning.empty()) {
      // All have been used: one may have recovered.
      mUsed.clear();
      server = mContext.servers.Choose(mGroup, view, mUsed, aNow);
    }
    return server;
  }

  void Dispatch(const std::shared_ptr<BackendServer>& aServer, TimePoint aNow)
  {
    ++mSends;
    mUsed.push_back(aServer.get());
    // Counted before the send, since the result may come during it.
    ++mMayHaveRun;
    ++mArrivals;
    if (mSends > 1) {
      Process().metrics.Add(process::Counter::Retries);
    }
    const auto slot = ++mSlots;
    mRunning.emplace(slot, Running{ aServer, nullptr });
    auto attempt =
      aServer->Send(mServerRequest,
                    [self = shared_from_this(), slot](
                      auto aResult, auto aFault, ResponseMessage* aResponse) {
                      self->OnAttempt(slot, aResult, aFault, aResponse);
                    });
    const auto it = mRunning.find(slot);
    if (it != mRunning.end()) {
      it->second.attempt = std::move(attempt);
      ScheduleHedge(aNow);
    }
  }

  void ScheduleHedge(TimePoint aNow)
  {
    Process().timers.Cancel(mHedge);
    if (!Idempotent()) {
      return;
    }
    const double wait =
      std::max(kHedgeFactor * mServerRequest->view.typicalMs,
               kHedgeObjectiveShare * mServerRequest->view.objectiveMs);
    mHedge = Process().timers.At(
      aNow + std::chrono::duration_cast<Duration>(
               std::chrono::duration<double, std::milli>(wait)),
      [self = shared_from_this()] {
        self->mHedge = {};
        if (self->TrySend()) {
          self->Process().metrics.Add(process::Counter::Hedges);
        }
      });
  }

  void OnAttempt(unsigned aSlot,
                 AttemptResult aResult,
                 AttemptFault aFault,
                 ResponseMessage* aResponse)
  {
    const auto running = mRunning.extract(aSlot);
    if (!mReply) {
      return;
    }
    const auto& server = running.mapped().server;
    switch (aResult) {
      case AttemptResult::Answered:
        OnAnswer(running.mapped(), *aResponse);
        return;
      case AttemptResult::NotRun:
        --mMayHaveRun;
        if (aFault != AttemptFault::Refused &&
            aFault != AttemptFault::OtherServer) {
          --mArrivals;
        }
        break;
      case AttemptResult::Lost:
        mLost = true;
        mRan.push_back(server.get());
        break;
    }
    Process().log.Write("attempt_failed",
                        { { "request", mRequest.caller.requestId },
                          { "server", server->Record().id },
                          { "fault", Name(aFault) },
                          { "may_have_run", aResult == AttemptResult::Lost } });
    Continue();
  }

  void OnAnswer(const Running& aRunning, ResponseMessage& aResponse)
  {
    const auto& attempt = aRunning.attempt;
    if (attempt && !IsFailure(aResponse.result_int())) {
      mContext.latency.Add(*mRequest.route,
                           steady_clock::now() - attempt->sentAt);
    }
    if (IsFailure(aResponse.result_int())) {
      // Kept in case that no other server does better.
      mFailure = FailureReply(aResponse);
      if (Idempotent()) {
        Continue();
        return;
      }
      Finish(std::move(*mFailure), "server_failed");
      return;
    }
    Finish(ForwardedReply(aResponse), "answered");
  }

  /// Statuses that tell a caller that the request has not run.
  [[nodiscard]] static bool PromisesNotRun(unsigned aStatus)
  {
    return aStatus == 408 || aStatus == 429 || aStatus == 503;
  }

  [[nodiscard]] static bool IsFailure(unsigned aStatus)
  {
    return aStatus >= 500 || PromisesNotRun(aStatus);
  }

  /// The server's failure, unless its status would promise that the request has
  /// not run: only the notRun header proves that.
  [[nodiscard]] static CallerReply FailureReply(
    const ResponseMessage& aResponse)
  {
    return PromisesNotRun(aResponse.result_int())
             ? OwnReply(502, "the server failed")
             : ForwardedReply(aResponse);
  }

  void Continue()
  {
    if (TrySend() || !mRunning.empty()) {
      return;
    }
    if (mExhausted || (mLost && !Idempotent())) {
      FinishWithout("no_attempt_left");
      return;
    }
    const auto waited = steady_clock::now() - mRequest.caller.received;
    if (mArrivals == 0 && waited >= mRequest.route->objective / kRefuseShare) {
      // The caller does better to come back than to wait for a server here.
      FinishWithout("no_server");
      return;
    }
    mRetry = Process().timers.At(steady_clock::now() + kRetryPause,
                                 [self = shared_from_this()] {
                                   self->mRetry = {};
                                   self->Continue();
                                 });
  }

  void OnDeadline()
  {
    mEnd = {};
    FinishWithout("timeout");
  }

  void FinishWithout(std::string_view aCause)
  {
    if (!mReply) {
      return;
    }
    if (mFailure) {
      Finish(std::move(*mFailure), aCause);
    } else if (mMayHaveRun > 0 && !UnsentOnly()) {
      Finish(mRunning.empty() ? OwnReply(502, "the server broke off")
                              : OwnReply(504, "no server answered in time"),
             aCause);
    } else {
      Stop(false); // before the promise: an unsent attempt must not be sent
      Finish(RefusedReply("no server could take the request", kRetryAfter),
             aCause);
    }
  }

  [[nodiscard]] bool UnsentOnly() const
  {
    return !mLost &&
           std::all_of(mRunning.begin(), mRunning.end(), [](const auto& aIt) {
             return aIt.second.attempt && !aIt.second.attempt->sent;
           });
  }

  void Finish(CallerReply aReply, std::string_view aCause)
  {
    auto reply = std::exchange(mReply, nullptr);
    const auto took = steady_clock::now() - mRequest.caller.received;
    const bool ordinary =
      aReply.status < 500 && mSends <= 1 && took < mRequest.route->objective;
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
          { "sends", static_cast<std::int64_t>(mSends) },
          { "max_attempts",
            static_cast<std::int64_t>(mRequest.route->maxAttempts) },
          { "idempotent", Idempotent() },
          { "repeats_denied", static_cast<std::int64_t>(mDenied) },
          { "took_ms", Milliseconds(took) } });
    }
    Stop(false);
    reply(std::move(aReply));
  }

  void Stop(bool aCallerLeft)
  {
    Process().timers.Cancel(mEnd);
    Process().timers.Cancel(mHedge);
    Process().timers.Cancel(mRetry);
    const auto until = ReleaseTime(mRequest, aCallerLeft, steady_clock::now());
    for (auto& [slot, running] : std::exchange(mRunning, {})) {
      if (running.attempt) {
        running.server->Release(running.attempt, until);
      }
    }
  }

  ExchangeContext mContext;
  RoutedRequest mRequest;
  GroupState& mGroup;
  ReplyHandler mReply;
  std::shared_ptr<ServerRequest> mServerRequest;
  std::map<unsigned, Running> mRunning;
  UsedServers mUsed;
  /// Servers that broke off and may have run it.
  UsedServers mRan;
  std::optional<CallerReply> mFailure;
  unsigned mSlots = 0;
  unsigned mSends = 0;
  unsigned mDenied = 0;
  /// Attempts that no proof excludes from having run.
  unsigned mMayHaveRun = 0;
  /// Attempts that have reached a server, refused ones included.
  unsigned mArrivals = 0;
  bool mLost = false;
  bool mExhausted = false;
  TimerQueue::Handle mEnd;
  TimerQueue::Handle mHedge;
  TimerQueue::Handle mRetry;
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
