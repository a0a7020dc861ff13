#pragma once

#include "bronzedeal/types.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace bronzedeal::connection {

/// One attempt that waits for a slot of its server.
struct QueueEntry
{
  /// Unique among the entries of one queue.
  std::uint64_t id = 0;
  TimePoint deadline;
  TimePoint queuedAt;
};

/// How fast the server is expected to work the queue off.
struct ServiceEstimate
{
  /// Expected time from the send to the answer.
  Duration serviceTime{};
  /// Attempts that the server runs at a time; 0 counts as 1.
  unsigned concurrency = 1;
};

/// Bounded queue of one backend server, ordered by deadline. Entries whose
/// deadline can no longer be met are handed back as not run. A full queue sheds
/// the entry of the earliest deadline that the estimate shows to be missed;
/// with equal service times this keeps the largest number of entries that can
/// be served in time (Moore, Management Science 1968). Without such an entry
/// it refuses the new one.
///
/// Pure and not thread safe.
class ServerQueue
{
public:
  explicit ServerQueue(std::size_t aCapacity);

  /// Queues `aEntry` and appends every entry that leaves as not run, which may
  /// be `aEntry` itself, to `aNotRun`. True when `aEntry` is queued.
  bool Push(const QueueEntry& aEntry,
            const ServiceEstimate& aEstimate,
            TimePoint aNow,
            std::vector<QueueEntry>& aNotRun);
  /// Takes the entry of the earliest deadline that can still be met. Hopeless
  /// entries before it are appended to `aNotRun`.
  [[nodiscard]] std::optional<QueueEntry> Pop(const ServiceEstimate& aEstimate,
                                              TimePoint aNow,
                                              std::vector<QueueEntry>& aNotRun);
  /// Appends the entries whose deadline can't be met even if they were sent
  /// now.
  void RemoveExpired(const ServiceEstimate& aEstimate,
                     TimePoint aNow,
                     std::vector<QueueEntry>& aNotRun);
  /// Removes a cancelled entry; false when it is not queued.
  bool Remove(std::uint64_t aId);
  /// Removes all entries, for a server that leaves or a lease that ends.
  void Clear(std::vector<QueueEntry>& aNotRun);

  /// When `RemoveExpired` next has something to do.
  [[nodiscard]] std::optional<TimePoint> NextExpiry(
    const ServiceEstimate& aEstimate) const;
  [[nodiscard]] std::size_t size() const noexcept { return mEntries.size(); }
  [[nodiscard]] std::size_t Capacity() const noexcept { return mCapacity; }
  void SetCapacity(std::size_t aCapacity) noexcept { mCapacity = aCapacity; }

private:
  struct EarlierDeadline
  {
    bool operator()(const QueueEntry& aLeft, const QueueEntry& aRight) const;
  };
  using Entries = std::set<QueueEntry, EarlierDeadline>;

  [[nodiscard]] Entries::iterator FindFirstLate(
    const ServiceEstimate& aEstimate,
    TimePoint aNow) const;

  std::size_t mCapacity;
  Entries mEntries;
  std::unordered_map<std::uint64_t, Entries::iterator> mById;
};

} // namespace bronzedeal::connection
