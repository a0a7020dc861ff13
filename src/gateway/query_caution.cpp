#include "bronzedeal/gateway/query_caution.hpp"

namespace bronzedeal::gateway {

namespace {

/// While no shard is answered, so many attempts that servers broke off may mean
/// that the content crashes servers.
constexpr std::size_t kMaxCutsBeforeAnswer = 2;

} // namespace

QueryCaution::Need QueryCaution::OnVerdict(ContentVerdict aVerdict,
                                           bool aHasTrial,
                                           bool aIsRunning) noexcept
{
  switch (aVerdict) {
    case ContentVerdict::Free:
      return Need::Nothing;
    case ContentVerdict::Suspect:
      if (mIsAnswered) {
        return Need::Nothing;
      }
      mIsOneAtATime = true;
      return aHasTrial || aIsRunning ? Need::Nothing : Need::Permit;
    case ContentVerdict::Quarantined:
      mIsOneAtATime = !mIsAnswered;
      return aIsRunning ? Need::Nothing : Need::Permit;
  }
  return Need::Nothing;
}

void QueryCaution::OnSent(unsigned aAttemptId) noexcept
{
  if (mIsOneAtATime) {
    mTrialAttemptId = aAttemptId;
  }
}

bool QueryCaution::OnCut(unsigned aAttemptId, std::size_t aCount) noexcept
{
  mCutCount += aCount;
  if (mIsAnswered) {
    return true;
  }
  mIsOneAtATime = mIsOneAtATime || mCutCount >= kMaxCutsBeforeAnswer;
  return aAttemptId != mTrialAttemptId;
}

void QueryCaution::OnAnswered() noexcept
{
  mIsAnswered = true;
  mIsOneAtATime = false;
}

bool QueryCaution::IsContentSuspect() const noexcept
{
  return !mIsAnswered && mCutCount >= kMaxCutsBeforeAnswer;
}

} // namespace bronzedeal::gateway
