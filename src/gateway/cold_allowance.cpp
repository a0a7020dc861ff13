#include "bronzedeal/gateway/cold_allowance.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

/// Fraction of the bound that is distributed; the rest covers instances whose
/// views of the fleet differ briefly.
constexpr double kDistributedFraction = 0.8;
/// Length of the sliding window. Longer than the second of the bound, since the
/// network delays requests differently.
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

bool ColdAllowance::CanSend(const ColdServerLimits& aLimits,
                            unsigned aRank,
                            unsigned aInstanceCount,
                            TimePoint aNow,
                            std::size_t aPending) const
{
  const auto sent =
    std::count_if(mSentAt.begin(), mSentAt.end(), [&](const auto aSentAt) {
      return aNow - aSentAt < kWindow;
    });
  return static_cast<std::size_t>(sent) + aPending <
         ColdRequestsPerWindow(aLimits, aRank, aInstanceCount);
}

void ColdAllowance::OnSend(TimePoint aNow)
{
  while (!mSentAt.empty() && aNow - mSentAt.front() >= kWindow) {
    mSentAt.pop_front();
  }
  mSentAt.push_back(aNow);
}

} // namespace bronzedeal::gateway
