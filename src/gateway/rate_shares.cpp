#include "bronzedeal/gateway/rate_shares.hpp"

#include <algorithm>
#include <utility>

namespace bronzedeal::gateway {

namespace {

/// Share of all serving instances; the others have the rest for callers with an
/// outdated address.
constexpr double kServingShare = 0.875;
/// Part of the serving instances' share that those in the server's failure
/// domain have.
constexpr double kSameDomainPart = 0.8;
/// Number of instances assumed until the fleet is known.
constexpr double kAssumedAliveCount = 100;

} // namespace

FleetView MakeFleetView(const std::vector<PeerState>& aAlive,
                        const std::vector<InstanceId>& aServing,
                        const InstanceId& aSelf)
{
  FleetView view;
  view.aliveCount = static_cast<unsigned>(aAlive.size());
  for (const auto& it : aAlive) {
    if (std::find(aServing.begin(), aServing.end(), it.instance) !=
        aServing.end()) {
      ++view.servingByDomain[it.failureDomain];
      view.isServing = view.isServing || it.instance == aSelf;
    }
  }
  return view;
}

RateShares::RateShares(FailureDomain aDomain)
  : mDomain(std::move(aDomain))
{
}

void RateShares::Update(FleetView aView)
{
  mView = std::move(aView);
  mServingCount = 0;
  for (const auto& [domain, count] : mView.servingByDomain) {
    mServingCount += count;
  }
  mIsFleetKnown = true;
}

double RateShares::ShareFor(const FailureDomain& aServerDomain) const
{
  if (!mIsFleetKnown) {
    return (1 - kServingShare) / kAssumedAliveCount;
  }
  if (!mView.isServing || mServingCount == 0) {
    const auto others =
      mView.aliveCount > mServingCount ? mView.aliveCount - mServingCount : 1;
    return (1 - kServingShare) / others;
  }
  const auto it = mView.servingByDomain.find(aServerDomain);
  const auto nearCount = it != mView.servingByDomain.end() ? it->second : 0;
  const auto distantCount = mServingCount - nearCount;
  const double serving = mView.aliveCount > mServingCount ? kServingShare : 1;
  if (nearCount == 0 || distantCount == 0) {
    return serving / mServingCount;
  }
  return aServerDomain == mDomain
           ? serving * kSameDomainPart / nearCount
           : serving * (1 - kSameDomainPart) / distantCount;
}

} // namespace bronzedeal::gateway
