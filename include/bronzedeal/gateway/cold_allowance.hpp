#pragma once

#include "bronzedeal/types.hpp"

#include <deque>

namespace bronzedeal::gateway {

/// Bound on the requests that reach a cold server in one second, from all
/// instances together: `rate * overshoot + slack`.
struct ColdServerLimits
{
  double requestsPerSecond = 0;
  double overshootFactor = 1.5;
  double slackRequests = 5;
};

/// This instance's share of what a cold server bears.
///
/// Instances are ranked for each server by a hash of both ids. When the bound
/// is smaller than the number of instances, only the first ones may send, one
/// request in a window; otherwise each has an equal share.
class ColdAllowance
{
public:
  /// Takes one send; false when the share of the window is used or zero.
  [[nodiscard]] bool TryAcquire(const ColdServerLimits& aLimits,
                                unsigned aRank,
                                unsigned aInstanceCount,
                                TimePoint aNow);

private:
  /// Times of the sends within the window, oldest first.
  std::deque<TimePoint> mTaken;
};

/// Sends per window of the instance with this rank.
[[nodiscard]] unsigned ColdRequestsPerWindow(const ColdServerLimits& aLimits,
                                             unsigned aRank,
                                             unsigned aInstanceCount) noexcept;

} // namespace bronzedeal::gateway
