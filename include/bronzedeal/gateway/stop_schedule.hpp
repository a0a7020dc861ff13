#pragma once

#include "bronzedeal/types.hpp"

namespace bronzedeal::gateway {

/// The times of a planned stop. They count from when the platform sent the
/// signal, since it ends the process after the grace time from then on.
///
/// Performs no I/O and reads no clock.
class StopSchedule
{
public:
  /// `aSignalledAt` is the earliest time at which the signal may have been
  /// sent.
  StopSchedule(TimePoint aSignalledAt, Duration aGrace) noexcept;

  /// New connections are accepted until this time, because callers keep
  /// addresses for a while.
  [[nodiscard]] TimePoint AcceptUntil() const noexcept { return mAcceptUntil; }

  /// Requests that are still in progress at this time are answered with what is
  /// known of them.
  [[nodiscard]] TimePoint ConcludeAt() const noexcept { return mConcludeAt; }

  /// The process exits at this time at the latest.
  [[nodiscard]] TimePoint ExitAt() const noexcept { return mExitAt; }

private:
  TimePoint mAcceptUntil;
  TimePoint mExitAt;
  TimePoint mConcludeAt;
};

} // namespace bronzedeal::gateway
