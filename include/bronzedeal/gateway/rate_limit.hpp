#pragma once

#include "bronzedeal/types.hpp"

#include <optional>
#include <string_view>

namespace bronzedeal::gateway {

/// Parses the request rate that a server states in its answers, in requests per
/// second: a decimal number of at least 0. Nothing if it is malformed.
[[nodiscard]] std::optional<double> ParseRequestRate(
  std::string_view aText) noexcept;

/// The request rate that a server accepts from all instances together, as long
/// as its answers state one, and this instance's share of it: a token bucket.
/// Reads no clock.
///
/// Every request to the server takes a token right before it is sent, whatever
/// its kind.
///
/// ```cpp
/// limit.OnStated(20, share, 0, now);
/// if (limit.CanSend(share, now)) {
///   limit.OnSend(share, now);
/// }
/// ```
class RateLimit
{
public:
  /// Applies an answer that states this rate, in requests per second, of which
  /// this instance has `aShare` (0 to 1). When the limit begins, the bucket
  /// holds `aPhase` tokens (0 to 1); different values at different instances
  /// spread their first sends.
  void OnStated(double aRequestsPerSecond,
                double aShare,
                double aPhase,
                TimePoint aNow) noexcept;

  /// Applies an answer without a rate to a request sent at `aSentAt`. It ends
  /// the limit unless the request was already on its way when the rate was last
  /// stated: answers on different connections may overtake each other.
  void OnNotStated(TimePoint aSentAt) noexcept;

  /// Counts a request that is being sent and takes its token. `aShare` here and
  /// below is this instance's share (0 to 1) of the rate.
  void OnSend(double aShare, TimePoint aNow) noexcept;

  /// Requests per second; nothing while the server states no limit.
  [[nodiscard]] std::optional<double> RequestsPerSecond() const noexcept
  {
    return mRequestsPerSecond;
  }

  /// True if a request may be sent besides `aPending` others that wait to be
  /// sent.
  [[nodiscard]] bool CanSend(double aShare,
                             TimePoint aNow,
                             std::size_t aPending = 0) const noexcept;

  /// Time until a request may be sent; 0 if one may be sent now.
  [[nodiscard]] Duration TimeUntilSend(double aShare,
                                       TimePoint aNow) const noexcept;

  /// Requests per second that this instance has sent; exponential moving
  /// average over about four seconds.
  [[nodiscard]] double SendRate(TimePoint aNow) const noexcept;

  /// Requests per second that this instance may send while there is a limit.
  [[nodiscard]] double RefillRate(double aShare) const noexcept;

private:
  [[nodiscard]] double Tokens(double aShare, TimePoint aNow) const noexcept;

  std::optional<double> mRequestsPerSecond;
  TimePoint mStatedAt{};
  double mTokens = 0;
  TimePoint mTokensAt{};
  double mSendRate = 0;
  TimePoint mSendRateAt{};
};

} // namespace bronzedeal::gateway
