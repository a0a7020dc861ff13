#include "bronzedeal/gateway/retry_budget.hpp"

#include <algorithm>
#include <cmath>

namespace bronzedeal::gateway {

namespace {

/// Fraction of the slack that a full bucket holds. The same amount is refilled
/// over one window, so that the sum stays below the slack.
constexpr double kBucketSlackFraction = 0.4;
/// Fraction of the ratio that first attempts earn. With `kBurstSeconds` of
/// earnings in the bucket, a 10 s window can spend at most 0.75 x 1.25 of the
/// ratio.
constexpr double kEarnedRatioFraction = 0.75;
constexpr double kBurstSeconds = 2.5;
/// Time constant of the average rate of first attempts.
constexpr double kRateTimeConstantSeconds = 2.0;

double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void RetryBudget::Refill(const RetryLimits& aLimits,
                         unsigned aInstanceCount,
                         TimePoint aNow)
{
  const double slackShare =
    kBucketSlackFraction * aLimits.slackRetries / std::max(1U, aInstanceCount);
  const double capacity = slackShare + kEarnedRatioFraction * aLimits.ratio *
                                         mFirstAttemptRate * kBurstSeconds;
  if (mTokens < 0) {
    mTokens = slackShare / 2;
    mUpdatedAt = aNow;
  }
  const double elapsedSeconds = std::max(0.0, ToSeconds(aNow - mUpdatedAt));
  mTokens += slackShare * elapsedSeconds / ToSeconds(aLimits.window);
  mTokens = std::min(mTokens, capacity);
  mFirstAttemptRate *= std::exp(-elapsedSeconds / kRateTimeConstantSeconds);
  mUpdatedAt = aNow;
}

void RetryBudget::OnFirstAttempt(const RetryLimits& aLimits,
                                 unsigned aInstanceCount,
                                 TimePoint aNow)
{
  Refill(aLimits, aInstanceCount, aNow);
  mFirstAttemptRate += 1 / kRateTimeConstantSeconds;
  mTokens += kEarnedRatioFraction * aLimits.ratio;
}

bool RetryBudget::TryAcquire(const RetryLimits& aLimits,
                             unsigned aInstanceCount,
                             TimePoint aNow)
{
  Refill(aLimits, aInstanceCount, aNow);
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

} // namespace bronzedeal::gateway
