#pragma once

#include "bronzedeal/result_code.hpp"
#include "bronzedeal/types.hpp"

#include <cstddef>

namespace bronzedeal::request {

/// How a finished query speaks about the load.
enum class LoadSignal
{
  /// Whole, in a small part of its time.
  Normal,
  /// A queue was full, a deadline passed, or most of the time was used up.
  Overloaded,
  /// Says nothing, as a lost server does.
  None,
};

/// Additive increase and multiplicative decreaseFactor of the queries in
/// progress (Chiu and Jain, Computer Networks 1989). Without it, more queries
/// than the servers can carry run at a time and few get every shard before the
/// deadline. Not thread safe: guarded by the caller.
class ConcurrencyLimit
{
public:
  struct Options
  {
    /// With 2, bursts of a few queries were refused while a failure domain was
    /// out and single replicas with stragglers made queries slow.
    std::size_t minimum = 8;
    std::size_t initial = 16;
    double decreaseFactor = 0.8;
    /// The limit falls at most once in this time: queries that were admitted
    /// before the last fall still show the former load.
    Duration decreaseInterval = milliseconds(200);
    /// Share of a query's time, from admission to deadline, from which it
    /// counts as overloaded.
    double overloadedTimeShare = 0.5;
  };

  ConcurrencyLimit();
  explicit ConcurrencyLimit(const Options& aOptions);

  /// Follows `limits.queries_in_progress` of a new configuration.
  void SetMaximum(std::size_t aMaximum) noexcept;

  /// `aTimeUsed` of the `aTimeAllowed` time passed from admission to the end.
  /// `aCode` is that of a missing shard which speaks of load, if there is one,
  /// else that of the query.
  [[nodiscard]] LoadSignal Classify(ResultCode aCode,
                                    Duration aTimeUsed,
                                    Duration aTimeAllowed) const noexcept;
  /// A query ended while `aInProgress` were in progress, itself included.
  void OnQueryFinished(LoadSignal aSignal,
                       std::size_t aInProgress,
                       TimePoint aNow) noexcept;

  [[nodiscard]] std::size_t Limit() const noexcept
  {
    return static_cast<std::size_t>(mLimit);
  }

private:
  Options mOptions;
  double mLimit;
  double mMaximum = 256;
  TimePoint mLastDecrease{};
};

/// True for the codes that a server, an owner or a deadline gives under load.
[[nodiscard]] constexpr bool IndicatesOverload(ResultCode aCode) noexcept
{
  return aCode == ResultCode::NotRunOverloaded ||
         aCode == ResultCode::NotRunDeadline ||
         aCode == ResultCode::NotRunShed || aCode == ResultCode::ShardTimeout;
}

} // namespace bronzedeal::request
