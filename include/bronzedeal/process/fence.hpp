#pragma once

#include "bronzedeal/process/membership.hpp"

namespace bronzedeal::process {

/// Decides whether this instance is isolated and must accept no new work. It is
/// fenced while it has heard from fewer than half of the roster, itself
/// included, within the contact window (3 s). The reachability of the
/// configuration service plays no part. A starting or rejoining instance is
/// fenced until it has made contact.
class Fence
{
public:
  struct Options
  {
    /// Contact must hold continuously for this long before the fence is
    /// lifted, so that an instance at the threshold does not flap.
    Duration liftDelay = milliseconds(500);
  };

  explicit Fence(TimePoint aStart);
  Fence(TimePoint aStart, Options aOptions);

  /// To be called on each tick. Returns true when the fenced state changed.
  bool Update(const ContactCounts& aContact, TimePoint aNow);

  [[nodiscard]] bool IsFenced() const noexcept { return mFenced; }
  /// Time of the last change of the fenced state, at first the start.
  [[nodiscard]] TimePoint ChangedAt() const noexcept { return mChangedAt; }

private:
  Options mOptions;
  TimePoint mChangedAt;
  TimePoint mReachesHalfSince{};
  bool mReachesHalf = false;
  bool mFenced = true;
};

} // namespace bronzedeal::process
