#include "bronzedeal/request/query_run.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace bronzedeal::request {

namespace {

using enum ResultCode;

/// Replicas of one shard that are used; further ones are ignored.
constexpr std::uint32_t kMaxReplicas = 32;
/// With fewer samples, the p95 of a service is not used.
constexpr std::uint32_t kMinLatencySamples = 20;
/// Tolerance of coverage comparisons, for the rounding of shares.
constexpr double kCoverageTolerance = 1e-9;

/// True when the code says that the server did not run the sub-request.
bool IsRefusal(ResultCode aCode) noexcept
{
  return IsNotRun(aCode) || aCode == ShardVersionMissing;
}

/// Decides which of two failures a missing shard reports: one that may have run
/// is not hidden by a later refusal, and a missing index version explains more
/// than another refusal.
int ReasonPriority(ResultCode aCode) noexcept
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
  , mIsSuspect(aOptions.contentState == ContentState::Suspect)
{
  mMaxOpenForHedges =
    std::max(aOptions.hedgeMinOpenShards,
             static_cast<std::uint32_t>(static_cast<double>(mShards.size()) *
                                        aOptions.hedgeOpenShare));
  mServerIndexes.reserve(mShards.size() * 2);
  mAttempts.reserve(mShards.size() + mShards.size() / 8 + 4);
  mTimers.reserve(mShards.size());
  for (std::size_t i = 0; i < mShards.size(); ++i) {
    const auto& replicas = mPlan.shards[i].replicas;
    auto& shard = mShards[i];
    shard.firstServerIndex = static_cast<std::uint32_t>(mServerIndexes.size());
    shard.replicaCount =
      std::min(static_cast<std::uint32_t>(replicas.size()), kMaxReplicas);
    for (std::uint32_t n = 0; n < shard.replicaCount; ++n) {
      mServerIndexes.push_back(mChooser.FindOrAdd(replicas[n].server, aNow));
    }
    if (shard.replicaCount > 0) {
      shard.digestIndex = mDigests.FindOrAdd(replicas.front().service);
    }
  }
}

QueryRun::~QueryRun()
{
  for (const auto& it : mAttempts) {
    if (it.isRunning) {
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
    } else if (mOptions.contentState == ContentState::Quarantined) {
      MarkMissing(i, NotRunQuarantined);
    } else if (mShards[i].replicaCount == 0) {
      MarkMissing(i, NotRunDenied);
    } else if (aNow >= mOptions.deadline) {
      MarkMissing(i, NotRunDeadline);
    }
  }
  // A query that can't reach its coverage must not put load on servers.
  if (IsCoverageUnreachable()) {
    FinishQuery(NotRunCancelled, ShardCancelled, aNow, aActions);
    return;
  }
  if (mIsSuspect || (mOptions.canaryEnabled &&
                     mOptions.contentState == ContentState::Unproven)) {
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
  const auto index = aAttempt - mOptions.firstAttemptId;
  if (mFinished || index >= mAttempts.size() || !mAttempts[index].isRunning) {
    return;
  }
  auto& attempt = mAttempts[index];
  const auto latency = aNow - attempt.sentAt;
  const auto shardIndex = attempt.shard;
  auto& shard = mShards[shardIndex];
  attempt.isRunning = false;
  --shard.runningAttempts;
  mChooser.OnAnswer(
    ServerOf(attempt), aResult.code, latency, aResult.load, aNow);
  if (aResult.code == Ok || aResult.code == ShardTimeout) {
    mDigests.At(shard.digestIndex).Add(latency, aNow);
  }
  if (!IsRefusal(aResult.code)) {
    mMayHaveRun = true;
  }
  if (aResult.code == Ok && aResult.indexVersion == mPlan.indexVersion) {
    AcceptHits(shardIndex, aResult, aNow, aActions);
  } else if (aResult.code == Ok || aResult.code == ShardVersionMissing) {
    mNewestIndexVersion = std::max(mNewestIndexVersion, aResult.indexVersion);
    HandleFailure(shardIndex, ShardVersionMissing, aNow, aActions);
  } else {
    HandleFailure(shardIndex, aResult.code, aNow, aActions);
  }
  Advance(aNow, aActions);
}

void QueryRun::OnTimer(TimePoint aNow, std::vector<QueryAction>& aActions)
{
  if (!mStarted || mFinished) {
    return;
  }
  if (aNow >= mOptions.deadline) {
    FinishQuery(NotRunDeadline, ShardTimeout, aNow, aActions);
    return;
  }
  while (!mTimers.empty() && mTimers.front().dueAt <= aNow) {
    std::pop_heap(mTimers.begin(), mTimers.end(), IsDueLater);
    const auto timer = mTimers.back();
    mTimers.pop_back();
    if (!IsTimerActive(timer)) {
      continue;
    }
    if (timer.attempt == kHedgeTimer) {
      SendHedge(timer.shard, aNow, aActions);
    } else {
      ExpireAttempt(timer.attempt, aNow, aActions);
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
                         : std::min(mTimers.front().dueAt, mOptions.deadline);
}

void QueryRun::Abort(TimePoint aNow, std::vector<QueryAction>& aActions)
{
  if (mStarted && !mFinished) {
    FinishQuery(NotRunCancelled, ShardCancelled, aNow, aActions);
  }
}

const version::Replica* QueryRun::TargetOf(AttemptId aAttempt) const noexcept
{
  const auto index = aAttempt - mOptions.firstAttemptId;
  if (index >= mAttempts.size()) {
    return nullptr;
  }
  const auto& attempt = mAttempts[index];
  return &mPlan.shards[attempt.shard].replicas[attempt.replica];
}

ReplicaChooser::Index QueryRun::ServerOf(const Attempt& aAttempt) const noexcept
{
  return mServerIndexes[mShards[aAttempt.shard].firstServerIndex +
                        aAttempt.replica];
}

bool QueryRun::SendAttempt(std::uint32_t aShard,
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
  const bool mayRepeatReplica =
    aReason == Reason::Hedge && shard.hedgeCount > 0;
  for (std::uint32_t n = 0; n < shard.replicaCount; ++n) {
    const auto server = mServerIndexes[shard.firstServerIndex + n];
    if ((!mayRepeatReplica && (shard.triedReplicas & (1U << n)) != 0) ||
        (aReason == Reason::Hedge && !mChooser.AllowsHedge(server, aNow))) {
      continue;
    }
    candidates[count] = server;
    positions[count++] = static_cast<std::uint8_t>(n);
  }
  if (count == 0) {
    return false;
  }
  if ((aReason == Reason::Hedge || aReason == Reason::RetryAfterFailure) &&
      !mBudget.TryTakeToken()) {
    return false;
  }
  const auto chosen = mChooser.Choose({ candidates.data(), count }, aNow);
  const std::uint32_t replica = positions[chosen];
  mChooser.OnDispatch(candidates[chosen]);
  shard.triedReplicas |= 1U << replica;
  mOpenShards += shard.state == ShardState::Waiting ? 1 : 0;
  shard.state = ShardState::Running;
  ++shard.runningAttempts;
  mHedgeCount += aReason == Reason::Hedge ? 1 : 0;
  mRetryCount +=
    aReason == Reason::RetryAfterRefusal || aReason == Reason::RetryAfterFailure
      ? 1
      : 0;

  const auto index = static_cast<std::uint32_t>(mAttempts.size());
  const auto deadline =
    std::min(mOptions.deadline, aNow + mOptions.maxSubrequestDuration);
  mAttempts.push_back({ aShard, replica, true, aNow, deadline });
  aActions.emplace_back(Dispatch{ mOptions.firstAttemptId + index,
                                  aShard,
                                  replica,
                                  aReason == Reason::Hedge,
                                  mIsSuspect || aShard == mCanaryShard,
                                  deadline });
  if (deadline < mOptions.deadline) {
    ArmTimer({ deadline, aShard, index });
  }
  shard.hedgeCount += aReason == Reason::Hedge ? 1 : 0;
  if (mOptions.hedgingEnabled && !mIsSuspect &&
      shard.hedgeCount < mOptions.maxHedgesPerShard &&
      (count > 1 || shard.hedgeCount > 0)) {
    ArmHedgeTimer(aShard, HedgeDelay(aShard, aNow), aNow);
  }
  return true;
}

void QueryRun::SendCanary(TimePoint aNow, std::vector<QueryAction>& aActions)
{
  const auto total = static_cast<std::uint32_t>(mShards.size());
  const auto start = mChooser.RandomBelow(total);
  for (std::uint32_t i = 0; i < total; ++i) {
    const auto shardIndex = (start + i) % total;
    if (mShards[shardIndex].state != ShardState::Waiting) {
      continue;
    }
    mCanaryShard = shardIndex;
    if (SendAttempt(shardIndex, Reason::First, aNow, aActions)) {
      mBudget.CreditAttempts(1);
      return;
    }
    mCanaryShard = kNoShard;
    MarkMissing(shardIndex, NotRunDeadline);
  }
}

void QueryRun::SendAll(TimePoint aNow, std::vector<QueryAction>& aActions)
{
  std::uint32_t sent = 0;
  for (std::uint32_t i = 0; i < mShards.size(); ++i) {
    if (mShards[i].state != ShardState::Waiting) {
      continue;
    }
    if (SendAttempt(i, Reason::First, aNow, aActions)) {
      ++sent;
    } else {
      MarkMissing(i, NotRunDeadline);
    }
  }
  mBudget.CreditAttempts(sent);
}

void QueryRun::MarkWaitingMissing(ResultCode aCode)
{
  for (std::uint32_t i = 0; i < mShards.size(); ++i) {
    if (mShards[i].state == ShardState::Waiting) {
      MarkMissing(i, aCode);
    }
  }
}

void QueryRun::AcceptHits(std::uint32_t aShard,
                          AttemptResult& aResult,
                          TimePoint aNow,
                          std::vector<QueryAction>& aActions)
{
  auto& shard = mShards[aShard];
  shard.state = ShardState::Included;
  --mOpenShards;
  shard.hits = std::move(aResult.hits);
  ++mIncludedShards;
  if (shard.runningAttempts > 0) {
    CancelShard(aShard, aNow, aActions);
  }
}

void QueryRun::HandleFailure(std::uint32_t aShard,
                             ResultCode aCode,
                             TimePoint aNow,
                             std::vector<QueryAction>& aActions)
{
  auto& shard = mShards[aShard];
  if (!shard.hasFailed ||
      ReasonPriority(aCode) >= ReasonPriority(shard.missingCode)) {
    shard.missingCode = aCode;
  }
  shard.hasFailed = true;

  bool canRetry = !mIsSuspect;
  auto reason = Reason::RetryAfterFailure;
  if (aCode == ShardServerLost) {
    ++mLostServerCount;
    // A proven content is not held responsible for the first lost server; an
    // unproven one is, and any content is from the second lost server on.
    if (mOptions.contentState != ContentState::Proven || mLostServerCount > 1) {
      mIsSuspect = true;
      canRetry = false;
      MarkWaitingMissing(NotRunQuarantined);
    }
  } else if (aCode == NotRunQuarantined) {
    mIsSuspect = true;
    canRetry = false;
    MarkWaitingMissing(NotRunQuarantined);
  } else if (static_cast<int>(aCode) / 100 == 1) {
    // The request itself is invalid, so other servers refuse it too.
    canRetry = false;
    MarkWaitingMissing(aCode);
  } else if (IsRefusal(aCode)) {
    reason = Reason::RetryAfterRefusal;
  }

  if (shard.runningAttempts > 0) {
    return;
  }
  if (!canRetry || !SendAttempt(aShard, reason, aNow, aActions)) {
    MarkMissing(aShard, shard.missingCode);
  }
}

void QueryRun::MarkMissing(std::uint32_t aShard, ResultCode aCode)
{
  auto& shard = mShards[aShard];
  mOpenShards -= shard.state == ShardState::Running ? 1 : 0;
  shard.state = ShardState::Missing;
  shard.missingCode = aCode;
  ++mMissingShards;
  mVersionMissingShards += aCode == ShardVersionMissing ? 1 : 0;
}

void QueryRun::SendHedge(std::uint32_t aShard,
                         TimePoint aNow,
                         std::vector<QueryAction>& aActions)
{
  auto& shard = mShards[aShard];
  const auto remaining = mOptions.deadline - aNow;
  if (remaining <= mDigests.At(shard.digestIndex).Median(aNow)) {
    return;
  }
  if (mOpenShards > mMaxOpenForHedges && !shard.isHedgeDeferred &&
      shard.hedgeCount == 0) {
    shard.isHedgeDeferred = true;
    mDeferredHedges.push_back(aShard);
    ArmHedgeTimer(
      aShard, shard.hedgeDelay * mOptions.hedgeDeferralFactor, aNow);
    return;
  }
  shard.isHedgeDeferred = false;
  if (!SendAttempt(aShard, Reason::Hedge, aNow, aActions)) {
    ArmHedgeTimer(aShard, shard.hedgeDelay * 2, aNow);
  }
}

void QueryRun::SendDeferredHedges(TimePoint aNow,
                                  std::vector<QueryAction>& aActions)
{
  for (const auto shardIndex : mDeferredHedges) {
    const auto& shard = mShards[shardIndex];
    if (shard.isHedgeDeferred &&
        IsTimerActive({ shard.hedgeDueAt, shardIndex, kHedgeTimer })) {
      SendHedge(shardIndex, aNow, aActions);
    }
  }
  mDeferredHedges.clear();
}

void QueryRun::ExpireAttempt(std::uint32_t aAttempt,
                             TimePoint aNow,
                             std::vector<QueryAction>& aActions)
{
  const auto shardIndex = mAttempts[aAttempt].shard;
  CancelAttempt(aAttempt, aNow, aActions);
  HandleFailure(shardIndex, ShardTimeout, aNow, aActions);
}

void QueryRun::CancelAttempt(std::uint32_t aAttempt,
                             TimePoint aNow,
                             std::vector<QueryAction>& aActions)
{
  auto& attempt = mAttempts[aAttempt];
  attempt.isRunning = false;
  auto& shard = mShards[attempt.shard];
  --shard.runningAttempts;
  mMayHaveRun = true;
  const auto waited = aNow - attempt.sentAt;
  mChooser.OnCancel(ServerOf(attempt), waited, aNow);
  mDigests.At(shard.digestIndex).Add(waited, aNow);
  aActions.emplace_back(Cancel{ mOptions.firstAttemptId + aAttempt });
}

void QueryRun::CancelShard(std::uint32_t aShard,
                           TimePoint aNow,
                           std::vector<QueryAction>& aActions)
{
  // Only shards with a second attempt in flight get here, so that a linear
  // search is rare enough.
  for (std::uint32_t i = 0; i < mAttempts.size(); ++i) {
    if (mAttempts[i].isRunning && mAttempts[i].shard == aShard) {
      CancelAttempt(i, aNow, aActions);
    }
  }
}

void QueryRun::Advance(TimePoint aNow, std::vector<QueryAction>& aActions)
{
  while (mCanaryShard != kNoShard && !mFinished) {
    const auto state = mShards[mCanaryShard].state;
    if (state == ShardState::Running) {
      break;
    }
    mCanaryShard = kNoShard;
    if (state == ShardState::Included) {
      SendAll(aNow, aActions);
    } else {
      SendCanary(aNow, aActions);
    }
  }
  if (!mDeferredHedges.empty() && mOpenShards <= mMaxOpenForHedges) {
    SendDeferredHedges(aNow, aActions);
  }
  if (mIncludedShards + mMissingShards == mShards.size() ||
      IsCoverageUnreachable()) {
    FinishQuery(NotRunCancelled, ShardCancelled, aNow, aActions);
    return;
  }
  while (!mTimers.empty() && !IsTimerActive(mTimers.front())) {
    std::pop_heap(mTimers.begin(), mTimers.end(), IsDueLater);
    mTimers.pop_back();
  }
}

bool QueryRun::IsCoverageUnreachable() const noexcept
{
  const auto total = static_cast<double>(mShards.size());
  return mMissingShards > 0 &&
         (total - mMissingShards) / total + kCoverageTolerance <
           std::max(mOptions.minCoverage, kCoverageTolerance * 2);
}

void QueryRun::FinishQuery(ResultCode aWaitingCode,
                           ResultCode aRunningCode,
                           TimePoint aNow,
                           std::vector<QueryAction>& aActions)
{
  for (std::uint32_t i = 0; i < mAttempts.size(); ++i) {
    if (mAttempts[i].isRunning) {
      CancelAttempt(i, aNow, aActions);
    }
  }
  for (std::uint32_t i = 0; i < mShards.size(); ++i) {
    if (mShards[i].state == ShardState::Waiting) {
      MarkMissing(i, aWaitingCode);
    } else if (mShards[i].state == ShardState::Running) {
      MarkMissing(i, aRunningCode);
    }
  }
  mFinished = true;
  mTimers.clear();

  QueryAnswer answer;
  answer.configVersion = mPlan.configVersion;
  answer.indexVersion = mPlan.indexVersion;
  answer.included.reserve(mIncludedShards);
  answer.missing.reserve(mMissingShards);
  for (std::uint32_t i = 0; i < mShards.size(); ++i) {
    auto& name = mPlan.shards[i].shard;
    if (mShards[i].state == ShardState::Included) {
      answer.included.push_back({ name, std::move(mShards[i].hits) });
    } else {
      answer.missing.push_back({ name, mShards[i].missingCode });
    }
  }
  answer.coverage = mShards.empty() ? 1
                                    : static_cast<double>(mIncludedShards) /
                                        static_cast<double>(mShards.size());
  answer.code = ResultCodeFor(answer);
  answer.restartWorthwhile = IsRestartWorthwhile(aNow);
  answer.newestIndexVersion = mNewestIndexVersion;
  answer.contentSucceeded = mIncludedShards > 0 && mLostServerCount == 0;
  answer.attempts = static_cast<std::uint32_t>(mAttempts.size());
  answer.hedges = mHedgeCount;
  answer.retries = mRetryCount;
  aActions.emplace_back(Finish{ std::move(answer) });
}

ResultCode QueryRun::ResultCodeFor(const QueryAnswer& aAnswer) const noexcept
{
  if (mPlan.code != Ok) {
    return mPlan.code;
  }
  if (aAnswer.missing.empty()) {
    return Ok;
  }
  if (mIncludedShards > 0 &&
      aAnswer.coverage + kCoverageTolerance >= mOptions.minCoverage) {
    return Partial;
  }
  if (mMayHaveRun) {
    return OutcomeUnknownLowCoverage;
  }
  // No shard ran; report the common code when all shards have the same one.
  const auto code = aAnswer.missing.front().code;
  const auto haveSameCode = std::all_of(
    aAnswer.missing.begin(),
    aAnswer.missing.end(),
    [code](const MissingShard& aShard) { return aShard.code == code; });
  return haveSameCode && IsNotRun(code) ? code : NotRunLowCoverage;
}

bool QueryRun::IsRestartWorthwhile(TimePoint aNow) const noexcept
{
  return mOptions.restartAllowed &&
         mVersionMissingShards > mShards.size() / 2 &&
         (mNewestIndexVersion == 0 ||
          mNewestIndexVersion > mPlan.indexVersion) &&
         mOptions.deadline - aNow >= mOptions.minRestartTime;
}

bool QueryRun::IsDueLater(const Timer& aLeft, const Timer& aRight) noexcept
{
  return aLeft.dueAt > aRight.dueAt;
}

void QueryRun::ArmTimer(const Timer& aTimer)
{
  mTimers.push_back(aTimer);
  std::push_heap(mTimers.begin(), mTimers.end(), IsDueLater);
}

void QueryRun::ArmHedgeTimer(std::uint32_t aShard,
                             Duration aDelay,
                             TimePoint aNow)
{
  auto& shard = mShards[aShard];
  shard.hedgeDelay = aDelay;
  shard.hedgeDueAt = aNow + aDelay;
  ArmTimer({ shard.hedgeDueAt, aShard, kHedgeTimer });
}

bool QueryRun::IsTimerActive(const Timer& aTimer) const noexcept
{
  if (aTimer.attempt != kHedgeTimer) {
    return mAttempts[aTimer.attempt].isRunning;
  }
  const auto& shard = mShards[aTimer.shard];
  const auto all =
    shard.replicaCount == kMaxReplicas ? ~0U : (1U << shard.replicaCount) - 1U;
  return aTimer.dueAt == shard.hedgeDueAt &&
         shard.state == ShardState::Running &&
         shard.hedgeCount < mOptions.maxHedgesPerShard &&
         shard.runningAttempts == shard.hedgeCount + 1 &&
         (shard.hedgeCount > 0 ? !shard.hasFailed
                               : shard.triedReplicas != all) &&
         !mIsSuspect;
}

Duration QueryRun::HedgeDelay(std::uint32_t aShard, TimePoint aNow)
{
  auto& digest = mDigests.At(mShards[aShard].digestIndex);
  const auto delay =
    digest.SampleCount(aNow) < kMinLatencySamples
      ? mOptions.initialHedgeDelay
      : std::max(digest.P95(aNow),
                 digest.Median(aNow) * mOptions.hedgeMedianFactor);
  return std::clamp(delay, mOptions.minHedgeDelay, mOptions.maxHedgeDelay);
}

} // namespace bronzedeal::request
