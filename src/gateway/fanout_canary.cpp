#include "fanout_exchange.hpp"

#include <algorithm>

// How a query goes on when its content may crash the servers that run it.
namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// More lost runs of one query add nothing to the verdict on its content.
constexpr std::size_t kMaxLostRuns = 4;

} // namespace

bool FanoutExchange::IsHeld() const
{
  return mCaution.IsOneAtATime() &&
         std::any_of(mShards.begin(), mShards.end(), [](const auto& aIt) {
           return !aIt.attempts.empty();
         });
}

bool FanoutExchange::ObeyVerdict(TimePoint aNow)
{
  const auto verdict = VerdictOf(Process(), *mServerRequest, aNow);
  if (verdict == ContentVerdict::Free) {
    return true;
  }
  const bool isRunning =
    std::any_of(mShards.begin(), mShards.end(), [](const auto& aIt) {
      return aIt.HasSentAttempt();
    });
  const bool wasOneAtATime = mCaution.IsOneAtATime();
  const auto need =
    mCaution.OnVerdict(verdict, mPermit.trial != nullptr, isRunning);
  if (mCaution.IsOneAtATime() && !wasOneAtATime) {
    WithdrawUnsentAttempts(aNow);
  }
  if (need == QueryCaution::Need::Nothing) {
    return verdict != ContentVerdict::Quarantined;
  }
  mPermit = ObtainContentPermit(
    Process(), *mServerRequest->content, aNow, mRequest.deadline);
  if (!mPermit.refusedFor) {
    return true;
  }
  if (MayHaveRun()) {
    FinishCut("quarantined");
  } else {
    RefuseContent();
  }
  return false;
}

void FanoutExchange::WithdrawUnsentAttempts(TimePoint aNow)
{
  for (auto& shard : mShards) {
    std::erase_if(shard.attempts, [&](const auto& aIt) {
      if (!aIt.attempt || aIt.attempt->sent) {
        return false;
      }
      aIt.server->Detach(aIt.attempt, aNow);
      return true;
    });
    if (!shard.answered && shard.attempts.empty()) {
      shard.retryAt = std::min(shard.retryAt, aNow);
    }
  }
}

bool FanoutExchange::OnCut(unsigned aAttemptId,
                           std::size_t aCount,
                           TimePoint aNow)
{
  const bool wasOneAtATime = mCaution.IsOneAtATime();
  mLastCutAt = aNow;
  if (!mCaution.OnCut(aAttemptId, aCount)) {
    FinishCut("content_suspect");
    return false;
  }
  if (mCaution.IsOneAtATime() && !wasOneAtATime) {
    WithdrawUnsentAttempts(aNow);
  }
  return true;
}

void FanoutExchange::AddLostRun(const ShardAttempt& aAttempt, TimePoint aNow)
{
  // Of a part that another instance gathers, that one records the servers.
  if (aAttempt.attempt && aAttempt.attempt->sent &&
      !aAttempt.server->Record().isInstance &&
      mLostRuns.size() < kMaxLostRuns) {
    mLostRuns.push_back(
      { aAttempt.server->RunHash(), aAttempt.attempt->sentAt, aNow });
  }
}

void FanoutExchange::RecordLostRuns(UnansweredEnd aEnd, TimePoint aNow)
{
  if (mCaution.IsAnswered()) {
    return;
  }
  for (const auto& shard : mShards) {
    for (const auto& it : shard.attempts) {
      if (it.attempt && IsOverdue(*it.attempt, mRequest, aEnd, aNow)) {
        AddLostRun(it, aNow);
        it.server->OnUnanswered(*it.attempt, aNow);
      }
    }
  }
  auto& quarantine = Process().crashQuarantine;
  if (mCaution.IsContentSuspect()) {
    quarantine.OnUnanswered(*mServerRequest->content, mLastCutAt, aNow);
  }
  for (const auto& it : mLostRuns) {
    quarantine.OnCut(*mServerRequest->content, it, aNow);
  }
}

void FanoutExchange::FinishCut(std::string_view aCause)
{
  if (mIsPartial || mShards.AnsweredCount() >= mRequiredShards) {
    FinishMerged();
  } else {
    FinishIncomplete(aCause);
  }
}

void FanoutExchange::RefuseContent()
{
  Process().metrics.Add(process::Counter::QueriesRefused);
  Finish(RefusedReply("the request has crashed servers", *mPermit.refusedFor),
         "quarantined");
}

void FanoutExchange::OnShardAnswered()
{
  const bool wasOneAtATime = mCaution.IsOneAtATime();
  if (mShards.AnsweredCount() > 0) {
    mCaution.OnAnswered();
  }
  if (!wasOneAtATime || mCaution.IsOneAtATime()) {
    return;
  }
  const auto now = steady_clock::now();
  for (auto& it : mShards) {
    if (!it.answered && it.attempts.empty() && it.retryAt > now &&
        it.retryAt != TimePoint::max()) {
      it.retryAt = now;
    }
  }
}

} // namespace bronzedeal::gateway
