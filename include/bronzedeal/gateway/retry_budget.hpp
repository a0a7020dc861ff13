#pragma once

#include "bronzedeal/types.hpp"

namespace bronzedeal::gateway {

/// Bound on the sends beyond the first of each request, which holds for one
/// server group over all instances together.
struct RetryLimits
{
  /// Repeats allowed per first send.
  double ratio = 0.2;
  /// Repeats allowed besides, in any window, over all instances.
  double slackRetries = 50;
  Duration window = std::chrono::seconds(10);
};

/// This instance's share of the repeats of one server group: a token bucket.
///
/// The bucket starts at half of its size, because the process may follow one
/// that has spent its share within the same window.
class RetryBudget
{
public:
  /// Counts one first send, which earns a fraction of a repeat.
  void OnFirstAttempt(const RetryLimits& aLimits,
                      unsigned aInstanceCount,
                      TimePoint aNow);

  /// Takes one repeat; false when the share is spent.
  [[nodiscard]] bool TryAcquire(const RetryLimits& aLimits,
                                unsigned aInstanceCount,
                                TimePoint aNow);

  [[nodiscard]] double Tokens() const noexcept { return mTokens; }

private:
  void Refill(const RetryLimits& aLimits,
              unsigned aInstanceCount,
              TimePoint aNow);

  double mTokens = -1;
  /// First sends per second, averaged over about two seconds.
  double mRate = 0;
  TimePoint mUpdated{};
};

} // namespace bronzedeal::gateway
