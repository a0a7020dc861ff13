#include "bronzedeal/gateway/cold_allowance.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

/// Part of the bound that is shared out; the rest covers instances whose views
/// of the fleet differ for a moment.
constexpr double kSharedOut = 0.8;
/// An instance's sends within any such time are its share. Longer than the
/// second of the bound, since a send may wait a little for a connection.
constexpr auto kWindow = milliseconds(1250);

} // namespace

unsigned ColdRequestsPerWindow(const ColdServerLimits& aLimits,
                               unsigned aRank,
                               unsigned aInstanceCount) noexcept
{
  const double bound =
    kSharedOut * (aLimits.requestsPerSecond * aLimits.overshootFactor +
                  aLimits.slackRequests);
  const auto count = static_cast<double>(std::max(1U, aInstanceCount));
  if (bound >= count) {
    return static_cast<unsigned>(bound / count);
  }
  return static_cast<double>(aRank) + 1 <= bound ? 1 : 0;
}

bool ColdAllowance::TryAcquire(const ColdServerLimits& aLimits,
                               unsigned aRank,
                               unsigned aInstanceCount,
                               TimePoint aNow)
{
  while (!mTaken.empty() && aNow - mTaken.front() >= kWindow) {
    mTaken.pop_front();
  }
  if (mTaken.size() >= ColdRequestsPerWindow(aLimits, aRank, aInstanceCount)) {
    return false;
  }
  mTaken.push_back(aNow);
  return true;
}

} // namespace bronzedeal::gateway
