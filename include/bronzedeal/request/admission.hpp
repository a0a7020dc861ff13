#pragma once

#include "bronzedeal/result_code.hpp"
#include "bronzedeal/types.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bronzedeal::request {

/// Bounds the queries in progress, fairly between keys (a customer, or a
/// customer and a kind of request), with controlled delay of those that wait.
///
/// A free place goes to the waiting key that holds the fewest places, so that a
/// key with slow queries gets no larger share than others; no key holds more
/// than `maxKeyShare` of all places, so that others need not wait for it. A
/// query waits at most `interval`; while a key's queue has not been empty for
/// an interval (standingSince queue), at most `target`. Not thread safe:
/// guarded by the caller.
class Admission
{
public:
  /// Chosen by the caller to name a query.
  using QueryId = std::uint64_t;

  struct Options
  {
    std::size_t maxInProgress = 256;
    /// Share of the places that one key may hold, 0 to 1.
    double maxKeyShare = 0.75;
    std::size_t maxWaiting = 256;
    Duration target = milliseconds(5);
    Duration interval = milliseconds(100);
    /// Keys without queries are forgotten; further keys are refused.
    std::size_t maxKeys = 1024;
  };

  /// Run the query now; `OnQueryFinished` must follow.
  struct Admit
  {
    QueryId query;
  };
  /// Refuse the query; it did not run.
  struct Refuse
  {
    QueryId query;
    ResultCode code;
  };
  using Action = std::variant<Admit, Refuse>;

  Admission();
  explicit Admission(const Options& aOptions);

  /// Follows `limits.queries_in_progress` of a new configuration.
  void SetLimit(std::size_t aLimit) noexcept;

  void Submit(QueryId aQuery,
              std::string_view aKey,
              TimePoint aDeadline,
              TimePoint aNow,
              std::vector<Action>& aActions);
  /// An admitted query of the key ended.
  void OnQueryFinished(std::string_view aKey,
                       TimePoint aNow,
                       std::vector<Action>& aActions);
  /// Refuses queries that have waited too long.
  void OnTimer(TimePoint aNow, std::vector<Action>& aActions);
  [[nodiscard]] std::optional<TimePoint> NextTimer() const noexcept;

  [[nodiscard]] std::size_t InProgressCount() const noexcept
  {
    return mInProgressCount;
  }
  [[nodiscard]] std::size_t WaitingCount() const noexcept
  {
    return mWaitingCount;
  }

private:
  struct WaitingQuery
  {
    QueryId id;
    TimePoint waitingSince;
    TimePoint deadline;
  };
  struct Queue
  {
    std::deque<WaitingQuery> waiting;
    std::size_t inProgress = 0;
    /// When the queue was last empty.
    TimePoint lastEmptyAt{};
    /// Number of the last admission; the lowest goes first among equals.
    std::uint64_t lastAdmission = 0;
  };
  using Queues = std::map<std::string, Queue, std::less<>>;

  [[nodiscard]] std::size_t MaxInProgressPerKey() const noexcept;
  /// When an entry of the queue is refused.
  [[nodiscard]] TimePoint RefusalTime(
    const Queue& aQueue,
    const WaitingQuery& aQuery) const noexcept;
  void RefuseExpired(TimePoint aNow, std::vector<Action>& aActions);
  /// Removes a key without queries.
  void EraseIfIdle(Queues::iterator aQueue);
  void AdmitWaiting(TimePoint aNow, std::vector<Action>& aActions);

  Options mOptions;
  Queues mQueues;
  std::size_t mInProgressCount = 0;
  std::size_t mWaitingCount = 0;
  std::uint64_t mAdmissions = 0;
};

} // namespace bronzedeal::request
