#include "bronzedeal/gateway/event_lag.hpp"

namespace bronzedeal::gateway {

namespace {

/// A gap of up to so many intervals is regular.
constexpr int kRegularIntervals = 2;

} // namespace

EventLag::EventLag(Duration aInterval, TimePoint aStart) noexcept
  : mMaxRegularGap(kRegularIntervals * aInterval)
  , mPreviousTick(aStart)
  , mLastTick(aStart)
{
}

void EventLag::OnTick(TimePoint aNow) noexcept
{
  mPreviousTick = mLastTick;
  mLastTick = aNow;
}

TimePoint EventLag::EarliestArrival(TimePoint aNow) const noexcept
{
  if (aNow - mLastTick > mMaxRegularGap) {
    return mLastTick;
  }
  // The first tick after a gap may come before the events of the gap.
  return mLastTick - mPreviousTick > mMaxRegularGap ? mPreviousTick : aNow;
}

} // namespace bronzedeal::gateway
