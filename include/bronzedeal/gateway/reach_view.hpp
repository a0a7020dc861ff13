#pragma once

#include "bronzedeal/gateway/peer_table.hpp"

#include <optional>
#include <vector>

namespace bronzedeal::gateway {

/// Instances that requests may be handed to.
struct HelperSet
{
  std::vector<InstanceId> instances;
  /// All of them take what is known of a request along with it.
  bool allTakeState = false;
};

/// Compares how much of the backend servers this instance reaches with what
/// others reach. Servers that are gone for all instances lower all values
/// alike; a lower value here means that the network separates this instance
/// from them.
///
/// Performs no I/O and reads no clock. Not thread-safe.
class ReachView
{
public:
  struct Options
  {
    /// An instance that reaches less than this fraction of what the best one
    /// reaches is cut off.
    double cutOffFraction = 0.5;
    /// Another instance must reach so many percentage points more.
    unsigned minAdvantage = 10;
    /// Others may learn of servers that are gone this much later.
    Duration confirmTime = milliseconds(600);
  };

  explicit ReachView(const Options& aOptions)
    : mOptions(aOptions)
  {
  }

  /// Compares `aSelf` with those of `aOthers` that may take requests of this
  /// instance.
  void Update(const PeerState& aSelf,
              const std::vector<PeerState>& aOthers,
              TimePoint aNow);

  /// True if others reach far more: no request should be tried here.
  [[nodiscard]] bool IsCutOff() const noexcept { return mIsCutOff; }

  /// The instances that may serve requests for which this one lacks servers,
  /// in no order.
  [[nodiscard]] const std::vector<InstanceId>& Helpers() const noexcept
  {
    return mHelpers;
  }

  /// The helpers that take the state of a request along with it; all of them
  /// if none does.
  [[nodiscard]] HelperSet PreferredHelpers() const;

private:
  Options mOptions;
  std::vector<InstanceId> mHelpers;
  std::vector<InstanceId> mHelpersWithState;
  std::optional<TimePoint> mLessSince;
  bool mIsCutOff = false;
};

/// Removes the instances that are cut off, compared with the one among the
/// serving instances that reaches the most. Callers shouldn't be sent to them.
void RemoveCutOff(std::vector<PeerState>& aInstances);

} // namespace bronzedeal::gateway
