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
/// A free place goes to the keys in turn, and no key holds more than a share
/// of all places, so that one key with slow queries leaves places to others. A
/// query waits at most `interval`; while a key's queue has not been empty for
/// an interval (standing queue), at most `target`.
/// Not thread safe: guarded by the caller.
class Admission
{
public:
  /// Chosen by the caller to name a query.
  using QueryId = std::uint64_t;

  struct Options
  {
    std::size_t limit = 256;
    /// Share of the places that one key may hold, 0 to 1.
    double maxShare = 0.75;
    std::size_t maxWaiting = 256;
    Duration target = milliseconds(5);
    Duration interval = milliseconds(100);
    /// Keys without queries are forgotten; further keys are refused.
    std::size_t maxKeys = 1024;
  };

  /// Run the query now; `Finished` must follow.
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

  void Offer(QueryId aQuery,
             std::string_view aKey,
             TimePoint aDeadline,
             TimePoint aNow,
             std::vector<Action>& aActions);
  /// An admitted query of the key ended.
  void Finished(std::string_view aKey,
                TimePoint aNow,
                std::vector<Action>& aActions);
  /// Refuses queries that have waited too long.
  void OnTimer(TimePoint aNow, std::vector<Action>& aActions);
  [[nodiscard]] std::optional<TimePoint> NextTimer() const noexcept;

  [[nodiscard]] std::size_t InProgress() const noexcept { return mInProgress; }
  [[nodiscard]] std::size_t Waiting() const noexcept { return mWaiting; }

private:
  struct Entry
  {
    QueryId query;
    TimePoint since;
    TimePoint deadline;
  };
  struct Queue
  {
    std::deque<Entry> entries;
    std::size_t inProgress = 0;
    /// When the queue was last empty.
    TimePoint emptyAt{};
    /// Round of the last admission; the key with the lowest one is next.
    std::uint64_t turn = 0;
  };
  using Queues = std::map<std::string, Queue, std::less<>>;

  [[nodiscard]] std::size_t KeyLimit() const noexcept;
  /// When an entry of the queue is refused.
  [[nodiscard]] TimePoint RefuseAt(const Queue& aQueue,
                                   const Entry& aEntry) const noexcept;
  void Expire(TimePoint aNow, std::vector<Action>& aActions);
  /// Removes a key without queries.
  void Forget(Queues::iterator aQueue);
  void Fill(TimePoint aNow, std::vector<Action>& aActions);

  Options mOptions;
  Queues mQueues;
  std::size_t mInProgress = 0;
  std::size_t mWaiting = 0;
  std::uint64_t mTurn = 0;
};

} // namespace bronzedeal::request
