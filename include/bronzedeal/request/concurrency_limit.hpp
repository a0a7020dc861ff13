#pragma once

#include "bronzedeal/result_code.hpp"
#include "bronzedeal/types.hpp"

#include <cstddef>

namespace bronzedeal::request {

/// What a finished query indicates about the load.
enum class LoadSignal
{
  /// The query got a complete answer and used only a small part of its allowed
  /// time.
  Normal,
  /// A queue was full, a deadline passed, or most of the allowed time was used.
  Overloaded,
  /// The result does not depend on load, such as a lost server.
  None,
};

/// Adapts the limit of queries in progress by additive increase and
/// multiplicative decrease (Chiu and Jain, Computer Networks 1989). Without it,
/// more queries run at a time than the servers can carry, and few of them get
/// an answer from every shard before the deadline. Not thread safe: the caller
/// synchronizes access.
class ConcurrencyLimit
{
public:
  struct Options
  {
    /// Lowest limit. With 2, bursts of a few queries were refused while a
    /// failure domain was out and single replicas with stragglers slowed
    /// queries down.
    std::size_t minimum = 8;
    /// Limit at the start.
    std::size_t initial = 16;
    /// Factor by which an overload signal reduces the limit.
    double decreaseFactor = 0.8;
    /// Shortest time between two decreases: queries that were admitted before
    /// the last decrease still show the previous load.
    Duration decreaseInterval = milliseconds(200);
    /// A query that used more than this share of the time from its admission to
    /// its deadline counts as overloaded.
    double overloadedTimeShare = 0.5;
  };

  ConcurrencyLimit();
  explicit ConcurrencyLimit(const Options& aOptions);

  /// Sets the highest limit, from `limits.queries_in_progress` of the
  /// configuration.
  void SetMaximum(std::size_t aMaximum) noexcept;

  /// Classifies a query that used `aTimeUsed` of the `aTimeAllowed` between its
  /// admission and its deadline. `aCode` is the code of a missing shard that
  /// indicates overload, if there is one, and otherwise the code of the query.
  [[nodiscard]] LoadSignal Classify(ResultCode aCode,
                                    Duration aTimeUsed,
                                    Duration aTimeAllowed) const noexcept;
  /// Adjusts the limit after a query that ended while `aInProgress` queries,
  /// itself included, were in progress.
  void OnQueryFinished(LoadSignal aSignal,
                       std::size_t aInProgress,
                       TimePoint aNow) noexcept;

  /// Queries that may be in progress now.
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

/// True for the codes that a server, an owner or a deadline produces under
/// load.
[[nodiscard]] constexpr bool IndicatesOverload(ResultCode aCode) noexcept
{
  return aCode == ResultCode::NotRunOverloaded ||
         aCode == ResultCode::NotRunDeadline ||
         aCode == ResultCode::NotRunShed || aCode == ResultCode::ShardTimeout;
}

} // namespace bronzedeal::request
