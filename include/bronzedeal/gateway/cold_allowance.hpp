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
  /// True if a request may be sent besides `aPending` others that wait to be
  /// sent: the share of the current window isn't used up. `aRank` counts from
  /// 0.
  [[nodiscard]] bool CanSend(const ColdServerLimits& aLimits,
                             unsigned aRank,
                             unsigned aInstanceCount,
                             TimePoint aNow,
                             std::size_t aPending = 0) const;

  /// Counts a request that is being sent.
  void OnSend(TimePoint aNow);

private:
  /// Times of the last requests, oldest first.
  std::deque<TimePoint> mSentAt;
};

/// Requests per window that the instance with this rank may send.
[[nodiscard]] unsigned ColdRequestsPerWindow(const ColdServerLimits& aLimits,
                                             unsigned aRank,
                                             unsigned aInstanceCount) noexcept;

} // namespace bronzedeal::gateway
