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

QueueEntry Entry(std::uint64_t aId, int aDeadlineMs)
{
  return { aId, kStart + milliseconds(aDeadlineMs), kStart };
}

// Guards against an overloaded queue that works on entries which then all miss
// their deadlines one after the other: it sheds the first entry that is late.
TEST(ServerQueue, FullQueueShedsTheEarliestHopelessEntry)
{
  ServerQueue queue(3);
  std::vector<QueueEntry> notRun;
  EXPECT_TRUE(queue.Push(Entry(1, 12), kEstimate, kStart, notRun));
  EXPECT_TRUE(queue.Push(Entry(2, 15), kEstimate, kStart, notRun));
  EXPECT_TRUE(queue.Push(Entry(3, 100), kEstimate, kStart, notRun));
  EXPECT_TRUE(queue.Push(Entry(4, 90), kEstimate, kStart, notRun));
  ASSERT_EQ(notRun.size(), 1U);
  EXPECT_EQ(notRun[0].id, 2U);
  EXPECT_FALSE(queue.Push(Entry(5, 200), kEstimate, kStart, notRun));
  EXPECT_EQ(notRun.back().id, 5U);
}

// Guards against an entry that is queued but never reported, reported twice,
// sent past the time at which its deadline can be met, or sent out of order,
// and against a queue above its capacity.
RC_GTEST_PROP(ServerQueue, EveryEntryLeavesOnce, ())
{
  const auto capacity = *rc::gen::inRange<std::size_t>(0, 8);
  ServerQueue queue(capacity);
  auto now = kStart;
  std::uint64_t id = 0;
  std::map<std::uint64_t, QueueEntry> inside;
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
        inside.emplace(entry.id, entry);
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
          RC_ASSERT(inside.erase(entry->id) == 1U);
        }
        for (const auto& it : notRun) {
          RC_ASSERT(inside.erase(it.id) == 1U);
        }
        notRun.clear();
        if (entry) {
          for (const auto& it : inside) {
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
        const auto gone = *rc::gen::inRange<std::uint64_t>(0, id + 1);
        RC_ASSERT(queue.Remove(gone) == (inside.erase(gone) == 1U));
      }
    }
    for (const auto& it : notRun) {
      RC_ASSERT(inside.erase(it.id) == 1U);
    }
    RC_ASSERT(queue.size() == inside.size());
    RC_ASSERT(queue.size() <= capacity);
  }
}

} // namespace
} // namespace bronzedeal::connection
