#include "bronzedeal/gateway/cold_allowance.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

/// Part of the bound that is shared out; the rest covers instances whose views
/// of the fleet differ for a moment.
constexpr double kSharedOut = 0.6;
/// A window's sends may be delayed on their way; windows are longer than the
/// second of the bound so that two of them don't fall into one.
constexpr auto kWindow = milliseconds(2100);

} // namespace

unsigned ColdShare(const ColdLimits& aLimits,
                   unsigned aRank,
                   unsigned aInstances) noexcept
{
  const double bound =
    kSharedOut * (aLimits.rate * aLimits.overshoot + aLimits.slack);
  const auto count = static_cast<double>(std::max(1U, aInstances));
  if (bound >= count) {
    return static_cast<unsigned>(bound / count);
  }
  return static_cast<double>(aRank) + 1 <= bound ? 1 : 0;
}

bool ColdAllowance::TryTake(const ColdLimits& aLimits,
                            unsigned aRank,
                            unsigned aInstances,
                            TimePoint aNow)
{
  if (aNow - mWindow >= kWindow) {
    mWindow = aNow;
    mUsed = 0;
  }
  if (mUsed >= ColdShare(aLimits, aRank, aInstances)) {
    return false;
  }
  ++mUsed;
  return true;
}

} // namespace bronzedeal::gateway
