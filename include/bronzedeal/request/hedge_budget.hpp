#pragma once

#include <atomic>
#include <cstdint>

namespace bronzedeal::request {

/// Token bucket that limits hedges and retries to a share of the sub-requests
/// of all queries. Thread safe.
///
/// The tokens taken never exceed `initial + share * first attempts`. Unused
/// tokens are kept only up to the capacity, so that a quiet hour does not pay
/// for a burst.
class HedgeBudget
{
public:
  /// `aPercent` is the share of the first attempts, 0 to 100; 5 is the default
  /// of the configuration. `aCapacityTokens` bounds the bucket, which starts
  /// with `aInitialTokens`.
  explicit HedgeBudget(double aPercent = 5,
                       std::uint32_t aCapacityTokens = 256,
                       std::uint32_t aInitialTokens = 16) noexcept;

  /// Sets the share, from `limits.hedge_percent` of the configuration.
  void SetPercent(double aPercent) noexcept;

  /// Adds the tokens that this number of first attempts earns.
  void CreditAttempts(std::uint32_t aFirstAttempts) noexcept;
  /// Takes one token for a hedge or a retry; false when none is left.
  [[nodiscard]] bool TryTakeToken() noexcept;

  /// Whole tokens left.
  [[nodiscard]] std::uint32_t Tokens() const noexcept;

private:
  /// Tokens are counted in units, so that the share of one sub-request is an
  /// integer.
  static constexpr std::int64_t kUnitsPerToken = 10'000;

  std::atomic<std::int64_t> mUnitsPerAttempt;
  std::int64_t mCapacityUnits;
  std::atomic<std::int64_t> mTokenUnits;
};

} // namespace bronzedeal::request
