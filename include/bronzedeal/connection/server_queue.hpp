#pragma once

#include "bronzedeal/types.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace bronzedeal::connection {

/// An attempt that waits for a slot of its backend server.
struct QueueEntry
{
  /// Unique among the entries of one queue.
  std::uint64_t id = 0;
  TimePoint deadline;
  TimePoint queuedAt;
};

/// How fast the server is expected to serve the queue.
struct ServiceEstimate
{
  /// Expected time from the send to the response.
  Duration serviceTime{};
  /// Attempts that the server runs at a time; 0 counts as 1.
  unsigned concurrency = 1;
};

/// Bounded queue of one backend server, ordered by earliest deadline first.
/// Entries whose deadline can no longer be met are handed back as not run. A
/// full queue sheds the first entry that the estimate shows to miss its
/// deadline; with equal service times this keeps the largest number of entries
/// that can be served in time (Moore, Management Science 1968). When no entry
/// is estimated to be late, the queue refuses the new one.
///
/// Reads no clock and does no I/O. Not thread safe.
class ServerQueue
{
public:
  explicit ServerQueue(std::size_t aCapacity);

  /// Queues `aEntry` and appends every entry that is dropped, which may be
  /// `aEntry` itself, to `aNotRun`. True when `aEntry` is queued; an entry
  /// whose id is queued already is ignored.
  bool Push(const QueueEntry& aEntry,
            const ServiceEstimate& aEstimate,
            TimePoint aNow,
            std::vector<QueueEntry>& aNotRun);
  /// Removes and returns the entry with the earliest deadline that can still be
  /// met. The late entries before it are appended to `aNotRun`.
  [[nodiscard]] std::optional<QueueEntry> Pop(const ServiceEstimate& aEstimate,
                                              TimePoint aNow,
                                              std::vector<QueueEntry>& aNotRun);
  /// Removes the entries whose deadline would be missed even if they were sent
  /// now, and appends them to `aNotRun`.
  void RemoveExpired(const ServiceEstimate& aEstimate,
                     TimePoint aNow,
                     std::vector<QueueEntry>& aNotRun);
  /// Removes a cancelled entry; false when it is not queued.
  bool Remove(std::uint64_t aId);
  /// Removes all entries and appends them to `aNotRun`, for a server that
  /// leaves or a lease that ends.
  void Clear(std::vector<QueueEntry>& aNotRun);

  /// The earliest time at which `RemoveExpired` removes an entry; none for an
  /// empty queue.
  [[nodiscard]] std::optional<TimePoint> NextExpiry(
    const ServiceEstimate& aEstimate) const;
  [[nodiscard]] std::size_t size() const noexcept { return mEntries.size(); }
  [[nodiscard]] std::size_t Capacity() const noexcept { return mCapacity; }
  /// A lower capacity takes effect with the next `Push`.
  void SetCapacity(std::size_t aCapacity) noexcept { mCapacity = aCapacity; }

private:
  struct EarlierDeadline
  {
    bool operator()(const QueueEntry& aLeft, const QueueEntry& aRight) const;
  };
  using Entries = std::set<QueueEntry, EarlierDeadline>;

  /// The first entry that misses its deadline when the server runs the queue in
  /// order, `concurrency` entries at a time; the end when there is none.
  [[nodiscard]] Entries::iterator FindFirstLate(
    const ServiceEstimate& aEstimate,
    TimePoint aNow) const;

  std::size_t mCapacity;
  Entries mEntries;
  std::unordered_map<std::uint64_t, Entries::iterator> mById;
};

} // namespace bronzedeal::connection
