#pragma once

#include "bronzedeal/types.hpp"

#include <deque>

namespace bronzedeal::gateway {

/// Upper bound on the requests that all instances together send to a cold
/// server in any second: `requestsPerSecond * overshootFactor + slackRequests`.
struct ColdServerLimits
{
  double requestsPerSecond = 0;
  double overshootFactor = 1.5;
  double slackRequests = 5;
};

/// This instance's share of the requests that a cold server can take; a
/// sliding-window limiter.
///
/// Instances are ranked for each server by a hash of both ids (see
/// `FleetShares::RankFor`). When the bound is smaller than the number of
/// instances, only those with the lowest ranks may send, one request per window
/// each; otherwise all have equal shares.
class ColdAllowance
{
public:
  /// Counts one request; returns false when the share of the current window is
  /// used up or zero. `aRank` counts from 0.
  [[nodiscard]] bool TryAcquire(const ColdServerLimits& aLimits,
                                unsigned aRank,
                                unsigned aInstanceCount,
                                TimePoint aNow);

private:
  /// Times of the requests within the window, oldest first.
  std::deque<TimePoint> mSentAt;
};

/// Requests per window that the instance with this rank may send.
[[nodiscard]] unsigned ColdRequestsPerWindow(const ColdServerLimits& aLimits,
                                             unsigned aRank,
                                             unsigned aInstanceCount) noexcept;

} // namespace bronzedeal::gateway
