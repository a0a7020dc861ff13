#pragma once

#include "bronzedeal/types.hpp"

#include <optional>
#include <string_view>

namespace bronzedeal::gateway {

/// Parses a Retry-After value in seconds, with or without a fraction. Times
/// above an hour count as an hour. Nothing if the value is negative or no
/// number.
[[nodiscard]] std::optional<Duration> ParseRetryAfter(
  std::string_view aText) noexcept;

/// What one run of a server has announced in its answers: that it is about to
/// leave, and when it accepts requests again. Decides when requests may be sent
/// to it.
///
/// Performs no I/O and reads no clock. Not thread-safe.
class ServerAnnouncements
{
public:
  struct Answer
  {
    TimePoint sentAt{};
    bool leaving = false;
    /// Set when the server has turned the request away for so long.
    std::optional<Duration> retryAfter;
  };

  /// Records what an answer announces. To the end of this run, a server that
  /// leaves gets nothing. Of several times to come again the last to end holds,
  /// unless an answer to a later request shortens it.
  void OnAnswer(const Answer& aAnswer, TimePoint aNow) noexcept;

  [[nodiscard]] bool IsLeaving() const noexcept
  {
    return mLeavingSince.has_value();
  }

  /// When the server announced that it leaves; nothing if it has not.
  [[nodiscard]] std::optional<TimePoint> LeavingSince() const noexcept
  {
    return mLeavingSince;
  }

  /// When the server began to turn requests away for a time; nothing once it
  /// has accepted one that was sent later.
  [[nodiscard]] std::optional<TimePoint> TurningAwaySince() const noexcept
  {
    return mTurningAwaySince;
  }

  /// True if a request may be sent while `aInFlight` others are in progress at
  /// the server. When the announced time has passed, one at a time may be sent
  /// until one is not turned away.
  [[nodiscard]] bool MaySend(std::size_t aInFlight,
                             TimePoint aNow) const noexcept;

  /// Time until the server accepts requests again; 0 if it does now. Doesn't
  /// hold for a server that leaves.
  [[nodiscard]] Duration TimeUntilSend(TimePoint aNow) const noexcept;

private:
  std::optional<TimePoint> mLeavingSince;
  std::optional<TimePoint> mTurningAwaySince;
  /// When the server last turned a request away, and until when.
  TimePoint mTurnedAwayAt{};
  TimePoint mTurnedAwayUntil{};
};

} // namespace bronzedeal::gateway
