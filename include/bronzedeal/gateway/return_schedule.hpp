#pragma once

#include "bronzedeal/types.hpp"

namespace bronzedeal::gateway {

/// Decides when refused callers of one server group should return: one after
/// the other, at the rate at which the group accepts requests, instead of all
/// at once when the next one is accepted. Reads no clock.
class ReturnSchedule
{
public:
  /// Time after which the caller that is refused at `aNow` should return.
  /// `aWait` is the time until the group accepts a request, `aInterval` the
  /// time between two accepted ones.
  [[nodiscard]] Duration Next(Duration aWait,
                              Duration aInterval,
                              TimePoint aNow) noexcept;

private:
  /// The earliest time that no caller has been given.
  TimePoint mNextReturnAt{};
};

} // namespace bronzedeal::gateway
