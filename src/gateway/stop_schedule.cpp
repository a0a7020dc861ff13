#include "bronzedeal/gateway/stop_schedule.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

/// Callers cache an address answer for its TTL, some for three times that.
constexpr Duration kAcceptTime = std::chrono::seconds(3);
/// The process exits a sixth of the grace time before it would be killed.
constexpr int kExitMarginDivisor = 6;
/// Requests that are still in progress are answered so long before the exit.
constexpr Duration kConcludeMargin = milliseconds(200);

} // namespace

StopSchedule::StopSchedule(TimePoint aSignalledAt, Duration aGrace) noexcept
  : mAcceptUntil(aSignalledAt + std::min(kAcceptTime, aGrace / 2))
  , mExitAt(aSignalledAt + aGrace - aGrace / kExitMarginDivisor)
  , mConcludeAt(mExitAt - kConcludeMargin)
{
}

} // namespace bronzedeal::gateway
