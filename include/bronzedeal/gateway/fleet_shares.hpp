#pragma once

#include "bronzedeal/types.hpp"

#include <map>
#include <vector>

namespace bronzedeal::gateway {

/// Determines by how many instances the limits per server and per group are
/// divided.
///
/// The serving instances, those that callers are sent to, have equal shares.
/// The others take a small one for callers with an outdated address. An
/// instance counts as serving for some time after callers are no longer sent to
/// it, since callers cache addresses and it may still run behind a partition.
/// Reads no clock.
class FleetShares
{
public:
  explicit FleetShares(InstanceId aSelf);

  /// Records the instances that callers are sent to at `aNow`.
  void Update(const std::vector<InstanceId>& aServing, TimePoint aNow);

  /// True when callers are sent to this instance, or were within the retention
  /// time.
  [[nodiscard]] bool IsServing() const noexcept { return mIsServing; }

  /// The number by which this instance divides each limit; at least 1.
  [[nodiscard]] unsigned Divisor() const noexcept;

  /// Zero-based position of this instance among the serving ones in the
  /// rendezvous order of `aServer`; the divisor when this instance doesn't
  /// serve.
  [[nodiscard]] unsigned RankFor(const ServerId& aServer) const;

  /// A number from 0 to 1 for each instance, about evenly distributed over the
  /// fleet. Periodic work that the instances do for `aServer` starts with it,
  /// so that they don't all do it at the same time.
  [[nodiscard]] double PhaseFor(const ServerId& aServer) const;

private:
  InstanceId mSelf;
  /// The serving instances, and when each was last among those of an update.
  std::map<InstanceId, TimePoint> mLastServingAt;
  bool mIsServing = false;
  /// False until the first update. A process that has just started knows no
  /// other instance and must not take the whole of each limit.
  bool mIsFleetKnown = false;
};

} // namespace bronzedeal::gateway
