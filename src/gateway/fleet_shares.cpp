#include "bronzedeal/gateway/fleet_shares.hpp"

#include "bronzedeal/gateway/rendezvous.hpp"

#include <algorithm>
#include <limits>

namespace bronzedeal::gateway {

namespace {

/// Twice the longest time for which callers cache an address.
constexpr auto kServingRetention = std::chrono::seconds(12);
/// The share of a non-serving instance is that of a serving one divided by
/// this.
constexpr unsigned kNonServingDivisor = 8;
/// Number of serving instances assumed until the fleet is known: the largest
/// number that callers are usually sent to.
constexpr unsigned kAssumedServingCount = 12;

} // namespace

FleetShares::FleetShares(InstanceId aSelf)
  : mSelf(std::move(aSelf))
{
}

void FleetShares::Update(const std::vector<InstanceId>& aServing,
                         TimePoint aNow)
{
  for (const auto& it : aServing) {
    mLastServingAt[it] = aNow;
  }
  std::erase_if(mLastServingAt, [&](const auto& aEntry) {
    return aNow - aEntry.second > kServingRetention;
  });
  mIsServing = mLastServingAt.contains(mSelf);
  mIsFleetKnown = true;
}

unsigned FleetShares::Divisor() const noexcept
{
  const auto servingCount =
    mIsFleetKnown
      ? static_cast<unsigned>(std::max<std::size_t>(1, mLastServingAt.size()))
      : kAssumedServingCount;
  return mIsServing ? servingCount : kNonServingDivisor * servingCount;
}

double FleetShares::PhaseFor(const ServerId& aServer) const
{
  return mIsServing
           ? static_cast<double>(RankFor(aServer)) / Divisor()
           : static_cast<double>(RendezvousHash(aServer, mSelf)) /
               static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

unsigned FleetShares::RankFor(const ServerId& aServer) const
{
  if (!mIsServing) {
    return Divisor();
  }
  const auto ownHash = RendezvousHash(aServer, mSelf);
  return static_cast<unsigned>(std::count_if(
    mLastServingAt.begin(), mLastServingAt.end(), [&](const auto& aEntry) {
      return aEntry.first != mSelf &&
             RendezvousHash(aServer, aEntry.first) < ownHash;
    }));
}

} // namespace bronzedeal::gateway
