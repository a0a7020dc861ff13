#include "bronzedeal/process/audit_trail.hpp"
#include "bronzedeal/process/fence.hpp"

#include <gtest/gtest.h>
#include <set>
#include <thread>
#include <vector>

namespace bronzedeal::process {
namespace {

TimePoint Ms(int aTime)
{
  return TimePoint(milliseconds(aTime));
}

// Guards against a trail that grows without limit, and against events that a
// reader misses or sees twice.
TEST(AuditTrail, KeepsLatestEventsAndReturnsThoseAfterASequence)
{
  AuditTrail trail("entry-0", 4);
  EXPECT_TRUE(trail.EventsAfter(0).empty());
  for (int i = 0; i < 6; ++i) {
    trail.Record({ AuditKind::ConfigAccepted, 7, std::to_string(i) }, 100);
  }
  EXPECT_EQ(trail.LastSequence(), 6U);
  const auto all = trail.EventsAfter(0);
  ASSERT_EQ(all.size(), 4U);
  EXPECT_EQ(all.front().sequence, 3U);
  EXPECT_EQ(all.back().detail, "5");
  EXPECT_EQ(all.back().instance, "entry-0");
  EXPECT_EQ(trail.EventsAfter(5).size(), 1U);
  EXPECT_EQ(trail.EventsAfter(3, 2).back().sequence, 5U);
  EXPECT_TRUE(trail.EventsAfter(6).empty());
  EXPECT_TRUE(trail.EventsAfter(99).empty());
}

// Guards against lost or duplicate sequence numbers with concurrent writers.
TEST(AuditTrail, IsThreadSafe)
{
  AuditTrail trail("entry-0");
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&] {
      for (int i = 0; i < 500; ++i) {
        trail.Record({ AuditKind::Other, 0, "" }, 0);
        (void)trail.EventsAfter(trail.LastSequence() / 2, 10);
      }
    });
  }
  for (auto& it : threads) {
    it.join();
  }
  const auto events = trail.EventsAfter(0);
  ASSERT_EQ(events.size(), 2000U);
  EXPECT_EQ(events.back().sequence, 2000U);
}

// Guards against two kinds with the same name, which reports could not tell
// apart.
TEST(AuditKind, NamesAreUnique)
{
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < kAuditKindCount; ++i) {
    EXPECT_TRUE(names.insert(NameOf(AuditKind(i))).second);
  }
  EXPECT_FALSE(names.contains("unknown"));
}

// Guards against an isolated instance that continues to work, a starting one
// that works before it has contacted its peers, and a fence that flaps.
TEST(Fence, IsLiftedOnlyWhileContactIsContinuous)
{
  Fence fence(Ms(0));
  EXPECT_TRUE(fence.IsFenced());
  EXPECT_FALSE(fence.Update({ 6, 6, 2, 2 }, Ms(0)));
  EXPECT_FALSE(fence.Update({ 6, 6, 3, 3 }, Ms(100)));
  EXPECT_FALSE(fence.Update({ 6, 6, 3, 3 }, Ms(599)));
  EXPECT_TRUE(fence.Update({ 6, 6, 3, 3 }, Ms(600)));
  EXPECT_FALSE(fence.IsFenced());
  EXPECT_TRUE(fence.Update({ 6, 6, 2, 2 }, Ms(700)));
  EXPECT_TRUE(fence.IsFenced());
  EXPECT_EQ(fence.ChangedAt(), Ms(700));
  fence.Update({ 6, 6, 3, 3 }, Ms(800));
  fence.Update({ 6, 6, 2, 2 }, Ms(900));
  fence.Update({ 6, 6, 3, 3 }, Ms(1000));
  EXPECT_FALSE(fence.Update({ 6, 6, 3, 3 }, Ms(1400)))
    << "contact must be continuous";
}

} // namespace
} // namespace bronzedeal::process
