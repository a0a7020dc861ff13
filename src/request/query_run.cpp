#include "bronzedeal/request/query_run.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace bronzedeal::request {

namespace {

using enum ResultCode;

/// Replicas of one shard that are used; the rest is ignored.
constexpr std::uint32_t kMaxReplicas = 32;
/// Samples below which the p95 of a service is not trusted.
constexpr std::uint32_t kMinSamples = 20;
/// Slack of coverage comparisons, for the rounding of shares.
constexpr double kEpsilon = 1e-9;

/// True when the code says that the server did not run the sub-request.
bool Refuses(ResultCode aCode) noexcept
{
  return IsNotRun(aCode) || aCode == ShardVersionMissing;
}

/// Which of two reasons a missing shard reports: one that may have run is never
/// hidden by a later refusal, and a missing version explains more than one.
int Rank(ResultCode aCode) noexcept
{
  if (aCode == ShardVersionMissing) {
    return 1;
  }
  return IsNotRun(aCode) ? 0 : 2;
}

} // namespace

QueryRun::QueryRun(version::RoutePlan aPlan,
                   const QueryOptions& aOptions,
                   HedgeBudget& aBudget,
                   LatencyDigests& aDigests,
                   ReplicaChooser& aChooser,
                   TimePoint aNow)
  : mPlan(std::move(aPlan))
  , mOptions(aOptions)
  , mBudget(aBudget)
  , mDigests(aDigests)
  , mChooser(aChooser)
  , mShards(mPlan.shards.size())
  , mSuspect(aOptions.content == ContentState::Suspect)
{
  mMaxOpen =
    std::max(aOptions.minOpenShards,
             static_cast<std::uint32_t>(static_cast<double>(mShards.size()) *
                                        aOptions.openShare));
  mServers.reserve(mShards.size() * 2);
  mAttempts.reserve(mShards.size() + mShards.size() / 8 + 4);
  mTimers.reserve(mShards.size());
  for (std::size_t i = 0; i < mShards.size(); ++i) {
    const auto& replicas = mPlan.shards[i].replicas;
    auto& shard = mShards[i];
    shard.firstReplica = static_cast<std::uint32_t>(mServers.size());
    shard.replicas =
      std::min(static_cast<std::uint32_t>(replicas.size()), kMaxReplicas);
    for (std::uint32_t n = 0; n < shard.replicas; ++n) {
      mServers.push_back(mChooser.IndexOf(replicas[n].server, aNow));
    }
    if (shard.replicas > 0) {
      shard.digest = mDigests.IndexOf(replicas.front().service);
    }
  }
}

QueryRun::~QueryRun()
{
  for (const auto& it : mAttempts) {
    if (it.running) {
      mChooser.OnCancel(ServerOf(it), {}, it.sentAt);
    }
  }
}

void QueryRun::Start(TimePoint aNow, std::vector<QueryAction>& aActions)
{
  if (mStarted) {
    return;
  }
  mStarted = true;
  for (std::uint32_t i = 0; i < mShards.size(); ++i) {
    if (mPlan.code != Ok) {
      MarkMissing(i, mPlan.code);
    } else if (mOptions.content == ContentState::Quarantined) {
      MarkMissing(i, NotRunQuarantined);
    } else if (mShards[i].replicas == 0) {
      MarkMissing(i, NotRunDenied);
    } else if (aNow >= mOptions.deadline) {
      MarkMissing(i, NotRunDeadline);
    }
  }
  // Without this check a query that can't reach its coverage would still put
  // load on servers.
  if (Unreachable()) {
    End(NotRunCancelled, ShardCancelled, aNow, aActions);
    return;
  }
  if (mSuspect ||
      (mOptions.canary && mOptions.content == ContentState::Unproven)) {
    SendCanary(aNow, aActions);
  } else {
    SendAll(aNow, aActions);
  }
  Advance(aNow, aActions);
}

void QueryRun::OnResponse(AttemptId aAttempt,
                          AttemptResult aResult,
                          TimePoint aNow,
                          std::vector<QueryAction>& aActions)
{
  const auto index = aAttempt - mOptions.firstAttempt;
  if (mFinished || index >= mAttempts.size() || !mAttempts[index].running) {
    return;
  }
  auto& attempt = mAttempts[index];
  const auto latency = aNow - attempt.sentAt;
  const auto number = attempt.shard;
  auto& shard = mShards[number];
  attempt.running = false;
  --shard.running;
  mChooser.OnAnswer(
    ServerOf(attempt), aResult.code, latency, aResult.load, aNow);
  if (aResult.code == Ok || aResult.code == ShardTimeout) {
    mDigests.At(shard.digest).Add(latency, aNow);
  }
  if (!Refuses(aResult.code)) {
    mMayHaveRun = true;
  }
  if (aResult.code == Ok && aResult.indexVersion == mPlan.indexVersion) {
    Include(number, aResult, aNow, aActions);
  } else if (aResult.code == Ok || aResult.code == ShardVersionMissing) {
    mNewestIndexVersion = std::max(mNewestIndexVersion, aResult.indexVersion);
    Fail(number, ShardVersionMissing, aNow, aActions);
  } else {
    Fail(number, aResult.code, aNow, aActions);
  }
  Advance(aNow, aActions);
}

void QueryRun::OnTimer(TimePoint aNow, std::vector<QueryAction>& aActions)
{
  if (!mStarted || mFinished) {
    return;
  }
  if (aNow >= mOptions.deadline) {
    End(NotRunDeadline, ShardTimeout, aNow, aActions);
    return;
  }
  while (!mTimers.empty() && mTimers.front().at <= aNow) {
    std::pop_heap(mTimers.begin(), mTimers.end(), Later);
    const auto timer = mTimers.back();
    mTimers.pop_back();
    if (!Live(timer)) {
      continue;
    }
    if (timer.attempt == kHedge) {
      Hedge(timer.shard, aNow, aActions);
    } else {
      Expire(timer.attempt, aNow, aActions);
    }
  }
  Advance(aNow, aActions);
}

std::optional<TimePoint> QueryRun::NextTimer() const noexcept
{
  if (!mStarted || mFinished) {
    return std::nullopt;
  }
  return mTimers.empty() ? mOptions.deadline
                         : std::min(mTimers.front().at, mOptions.deadline);
}

void QueryRun::Abort(TimePoint aNow, std::vector<QueryAction>& aActions)
{
  if (mStarted && !mFinished) {
    End(NotRunCancelled, ShardCancelled, aNow, aActions);
  }
}

const version::Replica* QueryRun::TargetOf(AttemptId aAttempt) const noexcept
{
  const auto index = aAttempt - mOptions.firstAttempt;
  if (index >= mAttempts.size()) {
    return nullptr;
  }
  const auto& attempt = mAttempts[index];
  return &mPlan.shards[attempt.shard].replicas[attempt.replica];
}

ReplicaChooser::Index QueryRun::ServerOf(const Attempt& aAttempt) const noexcept
{
  return mServers[mShards[aAttempt.shard].firstReplica + aAttempt.replica];
}

bool QueryRun::Send(std::uint32_t aShard,
                    Reason aReason,
                    TimePoint aNow,
                    std::vector<QueryAction>& aActions)
{
  auto& shard = mShards[aShard];
  if (aNow >= mOptions.deadline || mAttempts.size() >= kMaxAttempts) {
    return false;
  }
  std::array<ReplicaChooser::Index, kMaxReplicas> candidates{};
  std::array<std::uint8_t, kMaxReplicas> positions{};
  std::size_t count = 0;
  const bool again = aReason == Reason::Hedge && shard.hedges > 0;
  for (std::uint32_t n = 0; n < shard.replicas; ++n) {
    const auto server = mServers[shard.firstReplica + n];
    if ((!again && (shard.tried & (1U << n)) != 0) ||
        (aReason == Reason::Hedge && !mChooser.AllowsHedge(server, aNow))) {
      continue;
    }
    candidates[count] = server;
    positions[count++] = static_cast<std::uint8_t>(n);
  }
  if (count == 0) {
    return false;
  }
  if ((aReason == Reason::Hedge || aReason == Reason::Lost) &&
      !mBudget.TrySpend()) {
    return false;
  }
  const auto chosen = mChooser.Choose({ candidates.data(), count }, aNow);
  const std::uint32_t replica = positions[chosen];
  mChooser.OnDispatch(candidates[chosen]);
  shard.tried |= 1U << replica;
  mOpen += shard.state == ShardState::Waiting ? 1 : 0;
  shard.state = ShardState::Running;
  ++shard.running;
  mHedges += aReason == Reason::Hedge ? 1 : 0;
  mRetries += aReason == Reason::Refused || aReason == Reason::Lost ? 1 : 0;

  const auto index = static_cast<std::uint32_t>(mAttempts.size());
  const auto deadline =
    std::min(mOptions.deadline, aNow + mOptions.maxSubrequest);
  mAttempts.push_back({ aShard, replica, true, aNow, deadline });
  aActions.emplace_back(Dispatch{ mOptions.firstAttempt + index,
                                  aShard,
                                  replica,
                                  aReason == Reason::Hedge,
                                  mSuspect || aShard == mCanary,
                                  deadline });
  if (deadline < mOptions.deadline) {
    Arm({ deadline, aShard, index });
  }
  shard.hedges += aReason == Reason::Hedge ? 1 : 0;
  if (mOptions.hedging && !mSuspect && shard.hedges < mOptions.hedgesPerShard &&
      (count > 1 || shard.hedges > 0)) {
    ArmHedge(aShard, HedgeDelay(aShard, aNow), aNow);
  }
  return true;
}

void QueryRun::SendCanary(TimePoint aNow, std::vector<QueryAction>& aActions)
{
  const auto total = static_cast<std::uint32_t>(mShards.size());
  const auto start = mChooser.Random(total);
  for (std::uint32_t i = 0; i < total; ++i) {
    const auto number = (start + i) % total;
    if (mShards[number].state != ShardState::Waiting) {
      continue;
    }
    mCanary = number;
    if (Send(number, Reason::First, aNow, aActions)) {
      mBudget.Earn(1);
      return;
    }
    mCanary = kNone;
    MarkMissing(number, NotRunDeadline);
  }
}

void QueryRun::SendAll(TimePoint aNow, std::vector<QueryAction>& aActions)
{
  std::uint32_t sent = 0;
  for (std::uint32_t i = 0; i < mShards.size(); ++i) {
    if (mShards[i].state != ShardState::Waiting) {
      continue;
    }
    if (Send(i, Reason::First, aNow, aActions)) {
      ++sent;
    } else {
      MarkMissing(i, NotRunDeadline);
    }
  }
  mBudget.Earn(sent);
}

void QueryRun::StopWaiting(ResultCode aCode)
{
  for (std::uint32_t i = 0; i < mShards.size(); ++i) {
    if (mShards[i].state == ShardState::Waiting) {
      MarkMissing(i, aCode);
    }
  }
}

void QueryRun::Include(std::uint32_t aShard,
                       AttemptResult& aResult,
                       TimePoint aNow,
                       std::vector<QueryAction>& aActions)
{
  auto& shard = mShards[aShard];
  shard.state = ShardState::Included;
  --mOpen;
  shard.hits = std::move(aResult.hits);
  ++mIncluded;
  if (shard.running > 0) {
    CancelShard(aShard, aNow, aActions);
  }
}

void QueryRun::Fail(std::uint32_t aShard,
                    ResultCode aCode,
                    TimePoint aNow,
                    std::vector<QueryAction>& aActions)
{
  auto& shard = mShards[aShard];
  if (!shard.failed || Rank(aCode) >= Rank(shard.code)) {
    shard.code = aCode;
  }
  shard.failed = true;

  bool retry = !mSuspect;
  auto reason = Reason::Lost;
  if (aCode == ShardServerLost) {
    ++mLost;
    // The first lost server is put down to the server when the content ran well
    // recently; otherwise, and from the second on, to the content.
    if (mOptions.content != ContentState::Proven || mLost > 1) {
      mSuspect = true;
      retry = false;
      StopWaiting(NotRunQuarantined);
    }
  } else if (aCode == NotRunQuarantined) {
    mSuspect = true;
    retry = false;
    StopWaiting(NotRunQuarantined);
  } else if (static_cast<int>(aCode) / 100 == 1) {
    // The request itself is invalid, so other servers refuse it too.
    retry = false;
    StopWaiting(aCode);
  } else if (Refuses(aCode)) {
    reason = Reason::Refused;
  }

  if (shard.running > 0) {
    return;
  }
  if (!retry || !Send(aShard, reason, aNow, aActions)) {
    MarkMissing(aShard, shard.code);
  }
}

void QueryRun::MarkMissing(std::uint32_t aShard, ResultCode aCode)
{
  auto& shard = mShards[aShard];
  mOpen -= shard.state == ShardState::Running ? 1 : 0;
  shard.state = ShardState::Missing;
  shard.code = aCode;
  ++mMissing;
  mVersionMissing += aCode == ShardVersionMissing ? 1 : 0;
}

void QueryRun::Hedge(std::uint32_t aShard,
                     TimePoint aNow,
                     std::vector<QueryAction>& aActions)
{
  auto& shard = mShards[aShard];
  const auto remaining = mOptions.deadline - aNow;
  if (remaining <= mDigests.At(shard.digest).Median(aNow)) {
    return;
  }
  if (mOpen > mMaxOpen && !shard.deferred && shard.hedges == 0) {
    shard.deferred = true;
    mDeferred.push_back(aShard);
    ArmHedge(aShard, shard.hedgeDelay * mOptions.hedgeDeferral, aNow);
    return;
  }
  shard.deferred = false;
  if (!Send(aShard, Reason::Hedge, aNow, aActions)) {
    ArmHedge(aShard, shard.hedgeDelay * 2, aNow);
  }
}

void QueryRun::SendDeferred(TimePoint aNow, std::vector<QueryAction>& aActions)
{
  for (const auto number : mDeferred) {
    const auto& shard = mShards[number];
    if (shard.deferred && Live({ shard.hedgeAt, number, kHedge })) {
      Hedge(number, aNow, aActions);
    }
  }
  mDeferred.clear();
}

void QueryRun::Expire(std::uint32_t aAttempt,
                      TimePoint aNow,
                      std::vector<QueryAction>& aActions)
{
  const auto number = mAttempts[aAttempt].shard;
  CancelAttempt(aAttempt, aNow, aActions);
  Fail(number, ShardTimeout, aNow, aActions);
}

void QueryRun::CancelAttempt(std::uint32_t aAttempt,
                             TimePoint aNow,
                             std::vector<QueryAction>& aActions)
{
  auto& attempt = mAttempts[aAttempt];
  attempt.running = false;
  auto& shard = mShards[attempt.shard];
  --shard.running;
  mMayHaveRun = true;
  const auto waited = aNow - attempt.sentAt;
  mChooser.OnCancel(ServerOf(attempt), waited, aNow);
  mDigests.At(shard.digest).Add(waited, aNow);
  aActions.emplace_back(Cancel{ mOptions.firstAttempt + aAttempt });
}

void QueryRun::CancelShard(std::uint32_t aShard,
                           TimePoint aNow,
                           std::vector<QueryAction>& aActions)
{
  // Only shards with a hedge in flight get here, so the search is rare.
  for (std::uint32_t i = 0; i < mAttempts.size(); ++i) {
    if (mAttempts[i].running && mAttempts[i].shard == aShard) {
      CancelAttempt(i, aNow, aActions);
    }
  }
}

void QueryRun::Advance(TimePoint aNow, std::vector<QueryAction>& aActions)
{
  while (mCanary != kNone && !mFinished) {
    const auto state = mShards[mCanary].state;
    if (state == ShardState::Running) {
      break;
    }
    mCanary = kNone;
    if (state == ShardState::Included) {
      SendAll(aNow, aActions);
    } else {
      SendCanary(aNow, aActions);
    }
  }
  if (!mDeferred.empty() && mOpen <= mMaxOpen) {
    SendDeferred(aNow, aActions);
  }
  if (mIncluded + mMissing == mShards.size() || Unreachable()) {
    End(NotRunCancelled, ShardCancelled, aNow, aActions);
    return;
  }
  while (!mTimers.empty() && !Live(mTimers.front())) {
    std::pop_heap(mTimers.begin(), mTimers.end(), Later);
    mTimers.pop_back();
  }
}

bool QueryRun::Unreachable() const noexcept
{
  const auto total = static_cast<double>(mShards.size());
  return mMissing > 0 && (total - mMissing) / total + kEpsilon <
                           std::max(mOptions.minCoverage, kEpsilon * 2);
}

void QueryRun::End(ResultCode aWaiting,
                   ResultCode aRunning,
                   TimePoint aNow,
                   std::vector<QueryAction>& aActions)
{
  for (std::uint32_t i = 0; i < mAttempts.size(); ++i) {
    if (mAttempts[i].running) {
      CancelAttempt(i, aNow, aActions);
    }
  }
  for (std::uint32_t i = 0; i < mShards.size(); ++i) {
    if (mShards[i].state == ShardState::Waiting) {
      MarkMissing(i, aWaiting);
    } else if (mShards[i].state == ShardState::Running) {
      MarkMissing(i, aRunning);
    }
  }
  mFinished = true;
  mTimers.clear();

  QueryAnswer answer;
  answer.configVersion = mPlan.configVersion;
  answer.indexVersion = mPlan.indexVersion;
  answer.included.reserve(mIncluded);
  answer.missing.reserve(mMissing);
  for (std::uint32_t i = 0; i < mShards.size(); ++i) {
    auto& name = mPlan.shards[i].shard;
    if (mShards[i].state == ShardState::Included) {
      answer.included.push_back({ name, std::move(mShards[i].hits) });
    } else {
      answer.missing.push_back({ name, mShards[i].code });
    }
  }
  answer.ratio = mShards.empty() ? 1
                                 : static_cast<double>(mIncluded) /
                                     static_cast<double>(mShards.size());
  answer.code = CodeOf(answer);
  answer.restartWorthwhile = RestartWorthwhile(aNow);
  answer.newestIndexVersion = mNewestIndexVersion;
  answer.contentSucceeded = mIncluded > 0 && mLost == 0;
  answer.attempts = static_cast<std::uint32_t>(mAttempts.size());
  answer.hedges = mHedges;
  answer.retries = mRetries;
  aActions.emplace_back(Finish{ std::move(answer) });
}

ResultCode QueryRun::CodeOf(const QueryAnswer& aAnswer) const noexcept
{
  if (mPlan.code != Ok) {
    return mPlan.code;
  }
  if (aAnswer.missing.empty()) {
    return Ok;
  }
  if (mIncluded > 0 && aAnswer.ratio + kEpsilon >= mOptions.minCoverage) {
    return Partial;
  }
  if (mMayHaveRun) {
    return OutcomeUnknownLowCoverage;
  }
  // Nothing ran: name the reason when all shards share it.
  const auto code = aAnswer.missing.front().code;
  const auto same = std::all_of(
    aAnswer.missing.begin(),
    aAnswer.missing.end(),
    [code](const MissingShard& aShard) { return aShard.code == code; });
  return same && IsNotRun(code) ? code : NotRunLowCoverage;
}

bool QueryRun::RestartWorthwhile(TimePoint aNow) const noexcept
{
  return mOptions.mayRestart && mVersionMissing > mShards.size() / 2 &&
         (mNewestIndexVersion == 0 ||
          mNewestIndexVersion > mPlan.indexVersion) &&
         mOptions.deadline - aNow >= mOptions.minRestartTime;
}

bool QueryRun::Later(const Timer& aLeft, const Timer& aRight) noexcept
{
  return aLeft.at > aRight.at;
}

void QueryRun::Arm(const Timer& aTimer)
{
  mTimers.push_back(aTimer);
  std::push_heap(mTimers.begin(), mTimers.end(), Later);
}

void QueryRun::ArmHedge(std::uint32_t aShard, Duration aDelay, TimePoint aNow)
{
  auto& shard = mShards[aShard];
  shard.hedgeDelay = aDelay;
  shard.hedgeAt = aNow + aDelay;
  Arm({ shard.hedgeAt, aShard, kHedge });
}

bool QueryRun::Live(const Timer& aTimer) const noexcept
{
  if (aTimer.attempt != kHedge) {
    return mAttempts[aTimer.attempt].running;
  }
  const auto& shard = mShards[aTimer.shard];
  const auto all =
    shard.replicas == kMaxReplicas ? ~0U : (1U << shard.replicas) - 1U;
  return aTimer.at == shard.hedgeAt && shard.state == ShardState::Running &&
         shard.hedges < mOptions.hedgesPerShard &&
         shard.running == shard.hedges + 1 &&
         (shard.hedges > 0 ? !shard.failed : shard.tried != all) && !mSuspect;
}

Duration QueryRun::HedgeDelay(std::uint32_t aShard, TimePoint aNow)
{
  auto& digest = mDigests.At(mShards[aShard].digest);
  const auto delay =
    digest.Count(aNow) < kMinSamples
      ? mOptions.initialHedgeDelay
      : std::max(digest.P95(aNow), digest.Median(aNow) * mOptions.hedgeMedians);
  return std::clamp(delay, mOptions.minHedgeDelay, mOptions.maxHedgeDelay);
}

} // namespace bronzedeal::request
