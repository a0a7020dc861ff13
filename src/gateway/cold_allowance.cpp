#include "bronzedeal/gateway/cold_allowance.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

/// Fraction of the bound that is distributed; the rest covers instances whose
/// views of the fleet differ briefly.
constexpr double kDistributedFraction = 0.8;
/// Length of the sliding window. Longer than the second of the bound, since a
/// request may wait briefly for a connection.
constexpr auto kWindow = milliseconds(1250);

} // namespace

unsigned ColdRequestsPerWindow(const ColdServerLimits& aLimits,
                               unsigned aRank,
                               unsigned aInstanceCount) noexcept
{
  const double bound = kDistributedFraction *
                       (aLimits.requestsPerSecond * aLimits.overshootFactor +
                        aLimits.slackRequests);
  const auto instanceCount = static_cast<double>(std::max(1U, aInstanceCount));
  if (bound >= instanceCount) {
    return static_cast<unsigned>(bound / instanceCount);
  }
  return static_cast<double>(aRank) + 1 <= bound ? 1 : 0;
}

bool ColdAllowance::TryAcquire(const ColdServerLimits& aLimits,
                               unsigned aRank,
                               unsigned aInstanceCount,
                               TimePoint aNow)
{
  while (!mSentAt.empty() && aNow - mSentAt.front() >= kWindow) {
    mSentAt.pop_front();
  }
  if (mSentAt.size() >= ColdRequestsPerWindow(aLimits, aRank, aInstanceCount)) {
    return false;
  }
  mSentAt.push_back(aNow);
  return true;
}

} // namespace bronzedeal::gateway
