#pragma once

#include "bronzedeal/types.hpp"

namespace bronzedeal::gateway {

/// Bounds how long an event may have waited until the event loop handled it.
///
/// The loop ticks at a regular interval. A gap between two ticks means that the
/// process was paused, or too busy, and that an event handled right after it
/// may have come at its beginning.
///
/// Performs no I/O and reads no clock. Not thread-safe.
class EventLag
{
public:
  EventLag(Duration aInterval, TimePoint aStart) noexcept;

  void OnTick(TimePoint aNow) noexcept;

  /// The earliest time at which an event that is handled now may have come.
  [[nodiscard]] TimePoint EarliestArrival(TimePoint aNow) const noexcept;

private:
  Duration mMaxRegularGap;
  TimePoint mPreviousTick;
  TimePoint mLastTick;
};

} // namespace bronzedeal::gateway
