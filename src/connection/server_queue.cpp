#include "bronzedeal/connection/server_queue.hpp"

#include <algorithm>
#include <tuple>

namespace bronzedeal::connection {

bool ServerQueue::EarlierDeadline::operator()(const QueueEntry& aLeft,
                                              const QueueEntry& aRight) const
{
  return std::tie(aLeft.deadline, aLeft.queuedAt, aLeft.id) <
         std::tie(aRight.deadline, aRight.queuedAt, aRight.id);
}

ServerQueue::ServerQueue(std::size_t aCapacity)
  : mCapacity(aCapacity)
{
}

bool ServerQueue::Push(const QueueEntry& aEntry,
                       const ServiceEstimate& aEstimate,
                       TimePoint aNow,
                       std::vector<QueueEntry>& aNotRun)
{
  RemoveExpired(aEstimate, aNow, aNotRun);
  if (mById.contains(aEntry.id)) {
    return false;
  }
  if (aNow + aEstimate.serviceTime > aEntry.deadline) {
    aNotRun.push_back(aEntry);
    return false;
  }
  mById.emplace(aEntry.id, mEntries.insert(aEntry).first);
  while (mEntries.size() > mCapacity) {
    const auto late = FindFirstLate(aEstimate, aNow);
    const auto shed = late == mEntries.end() ? aEntry : *late;
    aNotRun.push_back(shed);
    Remove(shed.id);
    if (shed.id == aEntry.id) {
      return false;
    }
  }
  return true;
}

std::optional<QueueEntry> ServerQueue::Pop(const ServiceEstimate& aEstimate,
                                           TimePoint aNow,
                                           std::vector<QueueEntry>& aNotRun)
{
  RemoveExpired(aEstimate, aNow, aNotRun);
  if (mEntries.empty()) {
    return std::nullopt;
  }
  const auto entry = *mEntries.begin();
  Remove(entry.id);
  return entry;
}

void ServerQueue::RemoveExpired(const ServiceEstimate& aEstimate,
                                TimePoint aNow,
                                std::vector<QueueEntry>& aNotRun)
{
  while (!mEntries.empty() &&
         aNow + aEstimate.serviceTime > mEntries.begin()->deadline) {
    aNotRun.push_back(*mEntries.begin());
    Remove(mEntries.begin()->id);
  }
}

bool ServerQueue::Remove(std::uint64_t aId)
{
  const auto it = mById.find(aId);
  if (it == mById.end()) {
    return false;
  }
  mEntries.erase(it->second);
  mById.erase(it);
  return true;
}

void ServerQueue::Clear(std::vector<QueueEntry>& aNotRun)
{
  aNotRun.insert(aNotRun.end(), mEntries.begin(), mEntries.end());
  mById.clear();
  mEntries.clear();
}

std::optional<TimePoint> ServerQueue::NextExpiry(
  const ServiceEstimate& aEstimate) const
{
  if (mEntries.empty()) {
    return std::nullopt;
  }
  return mEntries.begin()->deadline - aEstimate.serviceTime + Duration(1);
}

ServerQueue::Entries::iterator ServerQueue::FindFirstLate(
  const ServiceEstimate& aEstimate,
  TimePoint aNow) const
{
  const auto concurrency = std::max(aEstimate.concurrency, 1U);
  std::size_t n = 0;
  for (auto it = mEntries.begin(); it != mEntries.end(); ++it, ++n) {
    const auto rounds = static_cast<Duration::rep>(n / concurrency + 1);
    if (aNow + rounds * aEstimate.serviceTime > it->deadline) {
      return it;
    }
  }
  return mEntries.end();
}

} // namespace bronzedeal::connection
