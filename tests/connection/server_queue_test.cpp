#include "bronzedeal/connection/server_queue.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <vector>

namespace bronzedeal::connection {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr ServiceEstimate kEstimate{ milliseconds(10), 1 };

QueueEntry MakeEntry(std::uint64_t aId, int aDeadlineMs)
{
  return { aId, kStart + milliseconds(aDeadlineMs), kStart };
}

// Guards against an overloaded queue that keeps serving entries which then miss
// their deadlines one after the other. It must shed the first entry that is
// estimated to be late.
TEST(ServerQueue, FullQueueShedsTheFirstLateEntry)
{
  ServerQueue queue(3);
  std::vector<QueueEntry> notRun;
  EXPECT_TRUE(queue.Push(MakeEntry(1, 12), kEstimate, kStart, notRun));
  EXPECT_TRUE(queue.Push(MakeEntry(2, 15), kEstimate, kStart, notRun));
  EXPECT_TRUE(queue.Push(MakeEntry(3, 100), kEstimate, kStart, notRun));
  EXPECT_TRUE(queue.Push(MakeEntry(4, 90), kEstimate, kStart, notRun));
  ASSERT_EQ(notRun.size(), 1U);
  EXPECT_EQ(notRun[0].id, 2U);
  EXPECT_FALSE(queue.Push(MakeEntry(5, 200), kEstimate, kStart, notRun));
  EXPECT_EQ(notRun.back().id, 5U);
}

// Guards against an entry that is queued but never returned, returned twice,
// taken too late to meet its deadline, or taken out of order, and against a
// queue above its capacity.
RC_GTEST_PROP(ServerQueue, EveryEntryLeavesExactlyOnce, ())
{
  const auto capacity = *rc::gen::inRange<std::size_t>(0, 8);
  ServerQueue queue(capacity);
  auto now = kStart;
  std::uint64_t id = 0;
  std::map<std::uint64_t, QueueEntry> expectedEntries;
  const auto steps = *rc::gen::inRange(1, 200);
  for (int i = 0; i < steps; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 6));
    const ServiceEstimate estimate{ milliseconds(*rc::gen::inRange(0, 12)),
                                    *rc::gen::inRange(0U, 3U) };
    std::vector<QueueEntry> notRun;
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1: {
        const QueueEntry entry{ ++id,
                                now + milliseconds(*rc::gen::inRange(-2, 60)),
                                now };
        expectedEntries.emplace(entry.id, entry);
        const bool queued = queue.Push(entry, estimate, now, notRun);
        const auto reported =
          std::count_if(notRun.begin(), notRun.end(), [&](const auto& aEntry) {
            return aEntry.id == entry.id;
          });
        RC_ASSERT(reported == (queued ? 0 : 1));
        break;
      }
      case 2: {
        const auto entry = queue.Pop(estimate, now, notRun);
        if (entry) {
          RC_ASSERT(now + estimate.serviceTime <= entry->deadline);
          RC_ASSERT(expectedEntries.erase(entry->id) == 1U);
        }
        for (const auto& it : notRun) {
          RC_ASSERT(expectedEntries.erase(it.id) == 1U);
        }
        notRun.clear();
        if (entry) {
          for (const auto& it : expectedEntries) {
            RC_ASSERT(it.second.deadline >= entry->deadline);
          }
        }
        break;
      }
      case 3:
        queue.RemoveExpired(estimate, now, notRun);
        if (const auto next = queue.NextExpiry(estimate)) {
          RC_ASSERT(*next > now);
        }
        break;
      default: {
        const auto removedId = *rc::gen::inRange<std::uint64_t>(0, id + 1);
        RC_ASSERT(queue.Remove(removedId) ==
                  (expectedEntries.erase(removedId) == 1U));
      }
    }
    for (const auto& it : notRun) {
      RC_ASSERT(expectedEntries.erase(it.id) == 1U);
    }
    RC_ASSERT(queue.size() == expectedEntries.size());
    RC_ASSERT(queue.size() <= capacity);
  }
}

} // namespace
} // namespace bronzedeal::connection
