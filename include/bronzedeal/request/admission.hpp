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

/// Limits the queries in progress and queues the rest, with fair sharing
/// between keys (a customer, or a customer and a kind of request) and a
/// queueing delay controlled as in CoDel.
///
/// A free slot goes to the waiting key that has the fewest queries in progress,
/// so that a key with slow queries gets no larger share than others. No key
/// holds more than `maxKeyShare` of all slots, so that the other keys need not
/// wait for it. A query waits at most `interval`; once the queue of its key has
/// not been empty for a whole interval (a standing queue), it waits at most
/// `target`.
/// Not thread safe: the caller synchronizes access.
class Admission
{
public:
  /// Chosen by the caller of this class; unique among its queries.
  using QueryId = std::uint64_t;

  struct Options
  {
    /// Slots: queries in progress over all keys.
    std::size_t maxInProgress = 256;
    /// Share, 0 to 1, of `maxInProgress` and of `maxWaiting` that one key may
    /// hold.
    double maxKeyShare = 0.75;
    /// Waiting queries over all keys; further ones are refused.
    std::size_t maxWaiting = 256;
    /// Longest wait in a standing queue.
    Duration target = milliseconds(5);
    /// Longest wait of any query, and the time after which a queue that has not
    /// been empty counts as standing.
    Duration interval = milliseconds(100);
    /// Keys with queries waiting or in progress. Queries of further keys are
    /// refused; a key without queries is removed.
    std::size_t maxKeys = 1024;
  };

  /// Run the query now and call `OnQueryFinished` when it has ended.
  struct Admit
  {
    QueryId query;
  };
  /// Refuse the query with this code. The query did not run.
  struct Refuse
  {
    QueryId query;
    ResultCode code;
  };
  using Action = std::variant<Admit, Refuse>;

  Admission();
  explicit Admission(const Options& aOptions);

  /// Sets `maxInProgress`, from `limits.queries_in_progress` of the
  /// configuration. Queries in progress continue when the limit falls below
  /// their number.
  void SetLimit(std::size_t aLimit) noexcept;

  /// Adds a query and appends the decisions that are due, for this query or for
  /// others, to `aActions`. A query is refused with `NotRunDeadline` when its
  /// deadline has passed, and with `NotRunOverloaded` when a bound of `Options`
  /// is reached.
  void Submit(QueryId aQuery,
              std::string_view aKey,
              TimePoint aDeadline,
              TimePoint aNow,
              std::vector<Action>& aActions);
  /// To be called when an admitted query of the key has ended.
  void OnQueryFinished(std::string_view aKey,
                       TimePoint aNow,
                       std::vector<Action>& aActions);
  /// Refuses the queries that have waited too long.
  void OnTimer(TimePoint aNow, std::vector<Action>& aActions);
  /// When `OnTimer` is due; none while no query waits.
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
  /// The queries of one key.
  struct Queue
  {
    std::deque<WaitingQuery> waiting;
    std::size_t inProgress = 0;
    /// When the queue was last empty.
    TimePoint lastEmptyAt{};
    /// Sequence number of the last admission. Among keys with equally many
    /// queries in progress, the lowest number is served first.
    std::uint64_t lastAdmission = 0;
  };
  using Queues = std::map<std::string, Queue, std::less<>>;

  [[nodiscard]] std::size_t MaxInProgressPerKey() const noexcept;
  /// Time at which a waiting query is refused.
  [[nodiscard]] TimePoint RefusalTime(
    const Queue& aQueue,
    const WaitingQuery& aQuery) const noexcept;
  void RefuseExpired(TimePoint aNow, std::vector<Action>& aActions);
  /// Removes a key that has no queries.
  void EraseIfIdle(Queues::iterator aQueue);
  /// Admits waiting queries while slots are free.
  void AdmitWaiting(TimePoint aNow, std::vector<Action>& aActions);

  Options mOptions;
  Queues mQueues;
  std::size_t mInProgressCount = 0;
  std::size_t mWaitingCount = 0;
  std::uint64_t mAdmissions = 0;
};

} // namespace bronzedeal::request
