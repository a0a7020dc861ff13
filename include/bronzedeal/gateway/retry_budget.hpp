#pragma once

#include "bronzedeal/types.hpp"

namespace bronzedeal::gateway {

/// Upper bound on retries and hedges, that is, on the attempts of a request
/// beyond its first one. It holds per server group for all instances together.
struct RetryLimits
{
  /// Retries allowed per first attempt.
  double ratio = 0.2;
  /// Further retries allowed in any window, by all instances together.
  double slackRetries = 50;
  Duration window = std::chrono::seconds(10);
};

/// This instance's share of the retries of one server group; a token bucket.
///
/// The bucket starts half full, because an earlier process of this instance may
/// have spent its share within the same window.
class RetryBudget
{
public:
  /// Counts the first attempt of a request, which earns a fraction of a retry.
  void OnFirstAttempt(const RetryLimits& aLimits,
                      unsigned aInstanceCount,
                      TimePoint aNow);

  /// Takes one token for a retry; returns false when less than one is left.
  [[nodiscard]] bool TryAcquire(const RetryLimits& aLimits,
                                unsigned aInstanceCount,
                                TimePoint aNow);

  [[nodiscard]] double Tokens() const noexcept { return mTokens; }

private:
  void Refill(const RetryLimits& aLimits,
              unsigned aInstanceCount,
              TimePoint aNow);

  /// Retries that may be sent now; negative until the first use.
  double mTokens = -1;
  /// First attempts per second; exponential moving average with a time constant
  /// of two seconds.
  double mFirstAttemptRate = 0;
  TimePoint mUpdatedAt{};
};

} // namespace bronzedeal::gateway
