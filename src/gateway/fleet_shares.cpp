#include "bronzedeal/gateway/fleet_shares.hpp"

#include "bronzedeal/gateway/rendezvous.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

/// Twice the longest time that callers keep an address.
constexpr auto kMemory = std::chrono::seconds(12);
/// The share of an instance that doesn't serve is this part of the others'.
constexpr unsigned kIdleDivisor = 8;
/// Serving instances that are assumed until the fleet is known: the most that
/// callers are usually sent to.
constexpr unsigned kUnknownFleet = 12;

} // namespace

FleetShares::FleetShares(InstanceId aSelf)
  : mSelf(std::move(aSelf))
{
}

void FleetShares::Update(const std::vector<InstanceId>& aServing,
                         TimePoint aNow)
{
  for (const auto& it : aServing) {
    mServing[it] = aNow;
  }
  std::erase_if(mServing, [&](const auto& aEntry) {
    return aNow - aEntry.second > kMemory;
  });
  mSelfServes = mServing.contains(mSelf);
  mKnown = true;
}

unsigned FleetShares::Divisor() const noexcept
{
  const auto serving =
    mKnown ? static_cast<unsigned>(std::max<std::size_t>(1, mServing.size()))
           : kUnknownFleet;
  return mSelfServes ? serving : kIdleDivisor * serving;
}

unsigned FleetShares::RankFor(const ServerId& aServer) const
{
  if (!mSelfServes) {
    return Divisor();
  }
  const auto own = RendezvousHash(aServer, mSelf);
  return static_cast<unsigned>(
    std::count_if(mServing.begin(), mServing.end(), [&](const auto& aEntry) {
      return aEntry.first != mSelf &&
             RendezvousHash(aServer, aEntry.first) < own;
    }));
}

} // namespace bronzedeal::gateway
