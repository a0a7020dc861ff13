#include "bronzedeal/gateway/answer_record.hpp"

namespace bronzedeal::gateway {

void AnswerRecord::OnAnswered(TimePoint aNow) noexcept
{
  mUnansweredCount = 0;
  mLastAnsweredAt = aNow;
}

void AnswerRecord::OnUnanswered(TimePoint aSentAt,
                                std::uint64_t aEpoch,
                                TimePoint aNow) noexcept
{
  if (aEpoch != mEpoch) {
    mEpoch = aEpoch;
    mUnansweredCount = 0;
  }
  mUnansweredCount = IsSilentSince(aSentAt, aNow) ? mOptions.maxUnanswered
                                                  : mUnansweredCount + 1;
  mLastUnansweredAt = aNow;
}

bool AnswerRecord::IsSilentSince(TimePoint aSentAt,
                                 TimePoint aNow) const noexcept
{
  return mLastAnsweredAt < aSentAt && aNow - aSentAt >= mOptions.maxSilence;
}

AnswerState AnswerRecord::State(std::optional<TimePoint> aOldestSentAt,
                                std::uint64_t aEpoch,
                                TimePoint aNow) const noexcept
{
  const bool isUnanswered = aEpoch == mEpoch &&
                            mUnansweredCount >= mOptions.maxUnanswered &&
                            aNow - mLastUnansweredAt < mOptions.silenceMemory;
  if (isUnanswered || (aOldestSentAt && IsSilentSince(*aOldestSentAt, aNow))) {
    return AnswerState::NotAnswering;
  }
  return mLastAnsweredAt != TimePoint{} &&
             aNow - mLastAnsweredAt < mOptions.answerMemory
           ? AnswerState::Answering
           : AnswerState::Unknown;
}

} // namespace bronzedeal::gateway
