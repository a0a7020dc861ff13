#pragma once

#include "bronzedeal/process/membership.hpp"

namespace bronzedeal::process {

/// Decides whether this instance is cut off and must take no new work: it has
/// heard from fewer than half of the roster, itself included, within 3 s. The
/// reachability of the configuration service plays no part. A fresh or
/// rejoining instance is fenced until it has made contact.
class Fence
{
public:
  struct Options
  {
    /// Contact must hold this long before a fence is lifted, so that an
    /// instance at the threshold does not alternate.
    Duration liftDelay = milliseconds(500);
  };

  explicit Fence(TimePoint aStart);
  Fence(TimePoint aStart, Options aOptions);

  /// To be called with each tick. Returns true when the state changed.
  bool Update(const ContactCounts& aContact, TimePoint aNow);

  [[nodiscard]] bool IsFenced() const noexcept { return mFenced; }
  /// Time of the last change.
  [[nodiscard]] TimePoint ChangedAt() const noexcept { return mSince; }

private:
  Options mOptions;
  TimePoint mSince;
  TimePoint mGoodSince{};
  bool mGood = false;
  bool mFenced = true;
};

} // namespace bronzedeal::process
