#include "bronzedeal/gateway/reach_view.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

/// The reach that an instance counts with if it states none.
constexpr unsigned kUnstatedReach = 100;

} // namespace

void ReachView::Update(const PeerState& aSelf,
                       const std::vector<PeerState>& aOthers,
                       TimePoint aNow)
{
  const unsigned ownReach = aSelf.reachPercent.value_or(kUnstatedReach);
  std::vector<InstanceId> helpers;
  std::vector<InstanceId> helpersWithState;
  unsigned best = 0;
  for (const auto& it : aOthers) {
    // An instance that callers aren't sent to has not tried its servers.
    const bool mayServe = it.address != aSelf.address && it.serving &&
                          it.ready && !it.leaving &&
                          it.capabilities.Has(PeerCapability::Handover);
    if (mayServe && it.reachPercent &&
        *it.reachPercent >= ownReach + mOptions.minAdvantage) {
      helpers.push_back(it.instance);
      if (it.capabilities.Has(PeerCapability::TakesHandoverState)) {
        helpersWithState.push_back(it.instance);
      }
      best = std::max(best, *it.reachPercent);
    }
  }
  if (helpers.empty()) {
    mLessSince.reset();
  } else if (!mLessSince) {
    mLessSince = aNow;
  }
  const bool isConfirmed =
    mLessSince && aNow - *mLessSince >= mOptions.confirmTime;
  mHelpers = isConfirmed ? std::move(helpers) : std::vector<InstanceId>();
  mHelpersWithState =
    isConfirmed ? std::move(helpersWithState) : std::vector<InstanceId>();
  mIsCutOff = isConfirmed && ownReach < mOptions.cutOffFraction * best;
}

HelperSet ReachView::PreferredHelpers() const
{
  return mHelpersWithState.empty() ? HelperSet{ mHelpers, false }
                                   : HelperSet{ mHelpersWithState, true };
}

void RemoveCutOff(std::vector<PeerState>& aInstances)
{
  unsigned best = 0;
  for (const auto& it : aInstances) {
    if (it.serving && it.reachPercent) {
      best = std::max(best, *it.reachPercent);
    }
  }
  std::erase_if(aInstances, [&](const auto& aIt) {
    return aIt.reachPercent.value_or(kUnstatedReach) <
           ReachView::Options{}.cutOffFraction * best;
  });
}

} // namespace bronzedeal::gateway
