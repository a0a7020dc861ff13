#include "bronzedeal/gateway/retry_budget.hpp"

#include <algorithm>
#include <cmath>

namespace bronzedeal::gateway {

namespace {

/// Part of the slack that is in the full bucket; an equal part flows in over a
/// window, so that both together stay below the slack.
constexpr double kSlackInBucket = 0.4;
/// Part of the ratio that first sends earn. With `kBurstSeconds` of it in the
/// bucket, 0.75 x 1.25 of the ratio is the most that a 10 s window can spend.
constexpr double kRatioEarned = 0.75;
constexpr double kBurstSeconds = 2.5;
/// Time constant of the rate of first sends, in seconds.
constexpr double kRateSeconds = 2.0;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void RetryBudget::Refill(const RetryLimits& aLimits,
                         unsigned aInstanceCount,
                         TimePoint aNow)
{
  const double share =
    kSlackInBucket * aLimits.slackRetries / std::max(1U, aInstanceCount);
  const double capacity =
    share + kRatioEarned * aLimits.ratio * mRate * kBurstSeconds;
  if (mTokens < 0) {
    mTokens = share / 2;
    mUpdated = aNow;
  }
  const double elapsed = std::max(0.0, Seconds(aNow - mUpdated));
  mTokens += share * elapsed / Seconds(aLimits.window);
  mTokens = std::min(mTokens, capacity);
  mRate *= std::exp(-elapsed / kRateSeconds);
  mUpdated = aNow;
}

void RetryBudget::OnFirstAttempt(const RetryLimits& aLimits,
                                 unsigned aInstanceCount,
                                 TimePoint aNow)
{
  Refill(aLimits, aInstanceCount, aNow);
  mRate += 1 / kRateSeconds;
  mTokens += kRatioEarned * aLimits.ratio;
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
