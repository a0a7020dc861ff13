#include "bronzedeal/gateway/return_schedule.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

/// Bounds of the time after which a caller returns.
constexpr Duration kMinDelay = milliseconds(20);
constexpr Duration kMaxDelay = milliseconds(5000);

} // namespace

Duration ReturnSchedule::Next(Duration aWait,
                              Duration aInterval,
                              TimePoint aNow) noexcept
{
  const auto latest = aNow + kMaxDelay;
  const auto returnAt = std::min(
    std::max(mNextReturnAt, aNow + std::clamp(aWait, kMinDelay, kMaxDelay)),
    latest);
  mNextReturnAt = std::min(returnAt + std::min(aInterval, kMaxDelay), latest);
  return returnAt - aNow;
}

} // namespace bronzedeal::gateway
