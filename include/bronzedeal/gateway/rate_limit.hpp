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
/// as its answers state one. Reads no clock.
class RateLimit
{
public:
  /// Applies an answer that states this rate, in requests per second.
  void OnStated(double aRequestsPerSecond, TimePoint aNow) noexcept;

  /// Applies an answer without a rate to a request sent at `aSentAt`. It ends
  /// the limit unless the request was already on its way when the rate was last
  /// stated: answers on different connections may overtake each other.
  void OnNotStated(TimePoint aSentAt) noexcept;

  /// Counts a request that is being sent.
  void OnSend(TimePoint aNow) noexcept;

  /// Requests per second; nothing while the server states no limit.
  [[nodiscard]] std::optional<double> RequestsPerSecond() const noexcept
  {
    return mRequestsPerSecond;
  }

  /// Requests per second that this instance has sent; exponential moving
  /// average over about four seconds.
  [[nodiscard]] double SendRate(TimePoint aNow) const noexcept;

private:
  std::optional<double> mRequestsPerSecond;
  TimePoint mStatedAt{};
  double mSendRate = 0;
  TimePoint mSendRateAt{};
};

} // namespace bronzedeal::gateway
