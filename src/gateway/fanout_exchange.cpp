#include "bronzedeal/gateway/exchange.hpp"
#include "bronzedeal/gateway/record_merge.hpp"

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

Duration FromMilliseconds(double aMs)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aMs));
}

class FanoutExchange
  : public Exchange
  , public std::enable_shared_from_this<FanoutExchange>
{
public:
  FanoutExchange(const ExchangeContext& aContext,
                 RoutedRequest aRequest,
                 ReplyHandler aReply)
    : mContext(aContext)
    , mRequest(std::move(aRequest))
    , mReply(std::move(aReply))
    , mServerRequest(MakeServerRequest(mContext, mRequest))
    , mSoftDeadline(std::min(mRequest.caller.received +
                               mRequest.route->objective - kObjectiveMargin,
                             mRequest.deadline - kAnswerMargin))
  {
    const auto& shards = mRequest.route->shards;
    mNeeded = std::max<std::size_t>(
      1,
      static_cast<std::size_t>(std::ceil(mRequest.route->minCoverage *
                                           static_cast<double>(shards.size()) -
                                         kRounding)));
    mShards.reserve(shards.size());
    for (const auto& it : shards) {
      mShards.push_back(Shard{ &mContext.servers.Group(it) });
    }
  }

  void Start()
  {
    const auto now = steady_clock::now();
    if (Reachable(now) < mNeeded) {
      Refuse();
      return;
    }
    const auto instances = Process().shares.Divisor();
    for (auto& it : mShards) {
      it.group->repeats.OnFirstSend(Process().settings.repeats, instances, now);
    }
    mStarting = true;
    for (std::size_t n = 0; n < mShards.size(); ++n) {
      TrySend(n, now);
    }
    mStarting = false;
    Advance();
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
    unsigned slot = 0;
  };

  struct Shard
  {
    GroupState* group;
    std::vector<Running> running;
    /// Servers that may have run the request.
    UsedServers ran;
    /// Servers that the next try leaves out.
    UsedServers avoid;
    unsigned sends = 0;
    bool arrived = false;
    bool done = false;
    /// No send is possible before this.
    TimePoint retryAt{};
    TimePoint hedgeAt = TimePoint::max();
    std::string body;
    std::string signature;
  };

  /// Keeps 0.95 x 20 from counting as 20.
  static constexpr double kRounding = 1e-9;

  gateway::Process& Process() { return mContext.process; }

  std::size_t Reachable(TimePoint aNow)
  {
    return static_cast<std::size_t>(
      std::count_if(mShards.begin(), mShards.end(), [&](const auto& it) {
        return mContext.servers.HasUsable(*it.group, aNow);
      }));
  }

  void Refuse()
  {
    Process().metrics.Add(process::Counter::QueriesRefused);
    Finish(RefusedReply("too few shards have a server", kRetryAfter),
           "no_servers");
  }

  /// Sends the shard's request once more where the route, the budget and the
  /// servers allow it.
  bool TrySend(std::size_t aShard, TimePoint aNow)
  {
    auto& shard = mShards[aShard];
    shard.hedgeAt = TimePoint::max();
    if (shard.sends >= kMaxSends) {
      shard.retryAt = TimePoint::max();
      return false;
    }
    auto server = ChooseServer(shard, aNow);
    if (!server || !TakeRepeat(shard, aNow)) {
      shard.retryAt = aNow + kRetryPause;
      shard.hedgeAt = shard.retryAt;
      return false;
    }
    Dispatch(aShard, server, aNow);
    return true;
  }

  std::shared_ptr<BackendServer> ChooseServer(Shard& aShard, TimePoint aNow)
  {
    // Once the route's number of servers is used up, only those may be asked
    // again.
    if (aShard.ran.size() + aShard.running.size() >=
        mRequest.route->maxAttempts) {
      return aShard.running.empty() ? AgainToRan(aShard, aNow) : nullptr;
    }
    auto server = mContext.servers.Choose(
      *aShard.group, mServerRequest->view, aShard.avoid, aNow);
    if (!server && aShard.running.empty()) {
      aShard.avoid.clear();
      server = mContext.servers.Choose(
        *aShard.group, mServerRequest->view, aShard.avoid, aNow);
    }
    return server;
  }

  std::shared_ptr<BackendServer> AgainToRan(Shard& aShard, TimePoint aNow)
  {
    UsedServers others;
    for (const auto& it : aShard.group->servers) {
      const auto ran =
        std::find(aShard.ran.begin(), aShard.ran.end(), it.get());
      if (ran == aShard.ran.end()) {
        others.push_back(it.get());
      }
    }
    return mContext.servers.Choose(
      *aShard.group, mServerRequest->view, others, aNow);
  }

  /// The first arrival is free; others draw on the group's repeats.
  bool TakeRepeat(Shard& aShard, TimePoint aNow)
  {
    const bool sent = std::any_of(
      aShard.running.begin(), aShard.running.end(), [](const auto& it) {
        return it.attempt == nullptr || it.attempt->sent;
      });
    if (!aShard.arrived && !sent) {
      // Nothing has left for a server yet: this send replaces the others.
      ReleaseShard(aShard, aNow, false);
      return true;
    }
    if (aShard.group->repeats.TryTake(
          Process().settings.repeats, Process().shares.Divisor(), aNow)) {
      return true;
    }
    Process().metrics.Add(process::Counter::RepeatsDenied);
    ++mDenied;
    return false;
  }

  void Dispatch(std::size_t aShard,
                const std::shared_ptr<BackendServer>& aServer,
                TimePoint aNow)
  {
    auto& shard = mShards[aShard];
    ++shard.sends;
    ++mSends;
    const auto slot = ++mSlots;
    shard.avoid.push_back(aServer.get());
    shard.running.push_back(Running{ aServer, nullptr, slot });
    auto attempt =
      aServer->Send(mServerRequest,
                    [self = shared_from_this(), aShard, slot](
                      auto aResult, auto aFault, ResponseMessage* aResponse) {
                      self->OnAttempt(aShard, slot, aResult, aFault, aResponse);
                    });
    const auto it = FindRunning(shard, slot);
    if (it != shard.running.end()) {
      it->attempt = std::move(attempt);
      shard.hedgeAt =
        aNow + FromMilliseconds(std::max(
                 kHedgeFloorMs, kHedgeFactor * mServerRequest->view.typicalMs));
    }
  }

  static std::vector<Running>::iterator FindRunning(Shard& aShard,
                                                    unsigned aSlot)
  {
    return std::find_if(aShard.running.begin(),
                        aShard.running.end(),
                        [&](const auto& it) { return it.slot == aSlot; });
  }

  void OnAttempt(std::size_t aShard,
                 unsigned aSlot,
                 AttemptResult aResult,
                 AttemptFault aFault,
                 ResponseMessage* aResponse)
  {
    auto& shard = mShards[aShard];
    const auto it = FindRunning(shard, aSlot);
    if (!mReply || it == shard.running.end()) {
      return;
    }
    const auto running = std::move(*it);
    shard.running.erase(it);
    if (aResult != AttemptResult::NotRun) {
      NoteRan(shard, running.server.get());
    }
    if (aResult != AttemptResult::NotRun || aFault == AttemptFault::Refused ||
        aFault == AttemptFault::OtherServer) {
      shard.arrived = true;
    }
    if (aResult == AttemptResult::Answered && TakePart(shard, *aResponse)) {
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

  static void NoteRan(Shard& aShard, const BackendServer* aServer)
  {
    if (std::find(aShard.ran.begin(), aShard.ran.end(), aServer) ==
        aShard.ran.end()) {
      aShard.ran.push_back(aServer);
    }
  }

  /// Takes a shard's answer; false when it is none: a failure, or an answer
  /// without a signature.
  bool TakePart(Shard& aShard, ResponseMessage& aResponse)
  {
    const auto signature = aResponse[Process().settings.headers.signature];
    if (aResponse.result_int() / 100 != 2 || signature.empty()) {
      return false;
    }
    aShard.signature = std::string(signature);
    aShard.body = std::move(aResponse.body());
    aShard.done = true;
    ++mDone;
    return true;
  }

  void ReleaseShard(Shard& aShard, TimePoint aNow, bool aCallerLeft)
  {
    for (const auto& it : std::exchange(aShard.running, {})) {
      if (it.attempt) {
        it.server->Release(it.attempt,
                           ReleaseTime(mRequest, aCallerLeft, aNow));
      }
    }
  }

  /// Ends the exchange where that is due, and otherwise sends what is due.
  void Advance()
  {
    if (!mReply) {
      return;
    }
    const auto now = steady_clock::now();
    if (mDone == mShards.size() || (mDone >= mNeeded && now >= mSoftDeadline)) {
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
    bool waiting = false;
    bool possible = false;
    for (std::size_t n = 0; n < mShards.size(); ++n) {
      auto& shard = mShards[n];
      if (shard.done) {
        continue;
      }
      if (shard.hedgeAt <= now && !shard.running.empty()) {
        if (TrySend(n, now)) {
          Process().metrics.Add(process::Counter::Hedges);
        }
      } else if (shard.running.empty() && shard.retryAt <= now) {
        TrySend(n, now);
      }
      waiting = waiting || !shard.running.empty();
      possible = possible || shard.retryAt != TimePoint::max();
      next = std::min(next, NextTime(shard));
    }
    if (!waiting && mDone >= mNeeded) {
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

  static TimePoint NextTime(const Shard& aShard)
  {
    return aShard.running.empty() ? aShard.retryAt : aShard.hedgeAt;
  }

  void ArmTimer(TimePoint aWhen)
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

  void FinishMerged()
  {
    CallerReply reply;
    std::vector<std::string_view> bodies;
    bodies.reserve(mShards.size());
    std::string signatures;
    for (const auto& it : mShards) {
      if (it.done) {
        bodies.emplace_back(it.body);
        signatures += signatures.empty() ? "" : ", ";
        signatures += it.signature;
      }
    }
    const auto& names = Process().settings.headers;
    const auto missing = mShards.size() - mDone;
    reply.headers = fmt::format("{}: {}\r\n{}: {}\r\n",
                                names.partSignatures,
                                signatures,
                                names.missingShards,
                                missing);
    reply.body = MergeGreatest(bodies, mRequest.route->topRecords);
    Process().metrics.Add(missing == 0 ? process::Counter::QueriesWhole
                                       : process::Counter::QueriesPartial);
    Finish(std::move(reply), "merged");
  }

  void FinishShort(std::string_view aCause)
  {
    Process().metrics.Add(process::Counter::QueriesFailed);
    const bool ran =
      std::any_of(mShards.begin(), mShards.end(), [](const auto& it) {
        return it.done || !it.ran.empty() || it.arrived ||
               std::any_of(
                 it.running.begin(), it.running.end(), [](const auto& running) {
                   return running.attempt && running.attempt->sent;
                 });
      });
    Finish(ran ? OwnReply(504, "too few shards answered in time")
               : RefusedReply("too few shards have a server", kRetryAfter),
           aCause);
  }

  void Finish(CallerReply aReply, std::string_view aCause)
  {
    auto reply = std::exchange(mReply, nullptr);
    const auto took = steady_clock::now() - mRequest.caller.received;
    Process().metrics.ObserveQuery(Milliseconds(took) / 1000);
    if (mDone != mShards.size() || took >= mRequest.route->objective) {
      LogEnd(aReply.status, aCause, took);
    }
    Stop(false);
    reply(std::move(aReply));
  }

  void LogEnd(unsigned aStatus, std::string_view aCause, Duration aTook)
  {
    // The first few missing shards tell which servers to look at.
    constexpr std::size_t kShownShards = 4;
    std::string missing;
    std::size_t shown = 0;
    for (const auto& it : mShards) {
      if (!it.done && shown++ < kShownShards) {
        missing += it.group->name + ' ';
      }
    }
    Process().log.Write(
      "request_end",
      { { "request", mRequest.caller.requestId },
        { "route", mRequest.route->name },
        { "version", static_cast<std::int64_t>(mRequest.table->Version()) },
        { "status", static_cast<std::int64_t>(aStatus) },
        { "cause", aCause },
        { "shards", static_cast<std::int64_t>(mShards.size()) },
        { "done", static_cast<std::int64_t>(mDone) },
        { "missing", missing },
        { "sends", static_cast<std::int64_t>(mSends) },
        { "repeats_denied", static_cast<std::int64_t>(mDenied) },
        { "typical_ms", mServerRequest->view.typicalMs },
        { "took_ms", Milliseconds(aTook) } });
  }

  void Stop(bool aCallerLeft)
  {
    Process().timers.Cancel(mTimer);
    const auto now = steady_clock::now();
    for (auto& it : mShards) {
      ReleaseShard(it, now, aCallerLeft);
    }
  }

  ExchangeContext mContext;
  RoutedRequest mRequest;
  ReplyHandler mReply;
  std::shared_ptr<ServerRequest> mServerRequest;
  /// From here on an answer with the least coverage leaves at once.
  TimePoint mSoftDeadline;
  std::vector<Shard> mShards;
  std::size_t mNeeded = 1;
  std::size_t mDone = 0;
  unsigned mSlots = 0;
  unsigned mSends = 0;
  unsigned mDenied = 0;
  bool mStarting = false;
  TimerQueue::Handle mTimer;
};

} // namespace

std::shared_ptr<Exchange> StartFanoutExchange(const ExchangeContext& aContext,
                                              RoutedRequest aRequest,
                                              ReplyHandler aReply)
{
  auto exchange = std::make_shared<FanoutExchange>(
    aContext, std::move(aRequest), std::move(aReply));
  exchange->Start();
  return exchange;
}

} // namespace bronzedeal::gateway
