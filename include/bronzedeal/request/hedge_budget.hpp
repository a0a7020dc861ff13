#pragma once

#include <atomic>
#include <cstdint>

namespace bronzedeal::request {

/// Token bucket that limits hedges and retries to a share of the sub-requests
/// of all queries. Thread safe.
///
/// Tokens used never exceed `initial + share * (sub-requests creditUnits)`;
/// unused ones are kept up to the capacity only, so that a quiet hour does not
/// pay for a burst.
class HedgeBudget
{
public:
  /// `aPercent` of the sub-requests, 0 to 100; 5 is the configuration's
  /// default. `aCapacityTokens` and `aInitialTokens` in units.
  explicit HedgeBudget(double aPercent = 5,
                       std::uint32_t aCapacityTokens = 256,
                       std::uint32_t aInitialTokens = 16) noexcept;

  /// Follows `limits.hedge_percent` of a new configuration.
  void SetPercent(double aPercent) noexcept;

  /// Adds the share of `aFirstAttempts` first attempts.
  void CreditAttempts(std::uint32_t aFirstAttempts) noexcept;
  /// Takes one token for a hedge or a retry; false when there is none.
  [[nodiscard]] bool TryTakeToken() noexcept;

  /// Whole units left.
  [[nodiscard]] std::uint32_t Tokens() const noexcept;

private:
  /// Parts of a token, so that a share of one sub-request is an integer.
  static constexpr std::int64_t kUnitsPerToken = 10'000;

  std::atomic<std::int64_t> mUnitsPerAttempt;
  std::int64_t mCapacityUnits;
  std::atomic<std::int64_t> mTokenUnits;
};

} // namespace bronzedeal::request
