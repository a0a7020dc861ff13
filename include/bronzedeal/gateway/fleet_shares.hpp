#pragma once

#include "bronzedeal/types.hpp"

#include <map>
#include <vector>

namespace bronzedeal::gateway {

/// Among how many instances the limits per server and per group are shared.
///
/// Only the instances that callers are sent to have a share; the others take a
/// small one, for callers with an old address. An instance counts for a while
/// after it has left the serving ones, since callers keep addresses and it may
/// run behind a partition. Pure: no clock.
class FleetShares
{
public:
  explicit FleetShares(InstanceId aSelf);

  /// Takes the instances that callers are sent to now.
  void Update(const std::vector<InstanceId>& aServing, TimePoint aNow);

  /// Whether this instance is one of those or was a short while ago.
  [[nodiscard]] bool IsServing() const noexcept { return mSelfServes; }

  /// Number of instances to divide a limit by.
  [[nodiscard]] unsigned Divisor() const noexcept;

  /// Number of serving instances that come before this one for a server; the
  /// divisor where this one doesn't serve.
  [[nodiscard]] unsigned RankFor(const ServerId& aServer) const;

private:
  InstanceId mSelf;
  std::map<InstanceId, TimePoint> mServing;
  bool mSelfServes = false;
  /// False until the first update: a process that has just started must not
  /// take the whole of each limit because it has heard of nobody yet.
  bool mKnown = false;
};

} // namespace bronzedeal::gateway
