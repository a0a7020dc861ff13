#include "bronzedeal/gateway/metadata_history.hpp"
#include "bronzedeal/gateway/server_record.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bronzedeal::gateway::test {

namespace {

using Verdict = MetadataHistory::Verdict;

TimePoint At(std::int64_t aMs)
{
  return TimePoint{} + std::chrono::hours(1) + milliseconds(aMs);
}

} // namespace

// Guards against a new history that isn't noticed, or is noticed for each topic
// again, and against states of a former history that another instance relays.
TEST(MetadataHistory, TellsNewAndFormerHistories)
{
  MetadataHistory history;
  unsigned notices = 0;
  history.OnNewHistory([&] { ++notices; });
  EXPECT_EQ(history.OnReply(std::nullopt, false, At(0)), Verdict::Current);
  EXPECT_EQ(history.OnReply(1, false, At(0)), Verdict::Current);
  EXPECT_FALSE(history.IsSettling(At(0)));
  EXPECT_EQ(history.OnReply(2, false, At(100)), Verdict::New);
  EXPECT_EQ(history.OnReply(2, true, At(200)), Verdict::Current);
  EXPECT_EQ(history.OnReply(1, true, At(200)), Verdict::Former);
  EXPECT_EQ(history.OnReply(3, true, At(200)), Verdict::New);
  EXPECT_EQ(notices, 2U);
}

// Guards against an instance that accepts nothing from the service any more,
// because it counts its histories anew.
TEST(MetadataHistory, FollowsAServiceWhoseEraFalls)
{
  MetadataHistory history;
  (void)history.OnReply(7, false, At(0));
  EXPECT_EQ(history.OnReply(1, false, At(100)), Verdict::New);
  EXPECT_EQ(history.OnReply(1, false, At(200)), Verdict::Current);
}

// Guards against known states that are given up before the entries of a copy
// are written again (about two seconds), or kept for longer than the 4 s after
// which an instance must follow the service.
TEST(MetadataHistory, SettlesAfterTheTimeForWritingAgain)
{
  MetadataHistory history;
  (void)history.OnReply(1, false, At(0));
  (void)history.OnReply(2, false, At(1000));
  EXPECT_TRUE(history.IsSettling(At(3000)));
  EXPECT_FALSE(history.IsSettling(At(5000)));
  (void)history.OnReply(3, false, At(6000));
  EXPECT_TRUE(history.IsSettling(At(8000)));
}

// Guards against an order of a server's records in which two records are each
// older than the other.
RC_GTEST_PROP(IsOlder, OrdersTheRecordsOfAServer, ())
{
  const auto record = [] {
    ServerRecord out;
    out.startedAtMs = *rc::gen::inRange<std::uint64_t>(0, 3);
    out.sequence = *rc::gen::inRange<std::uint64_t>(0, 5);
    return out;
  };
  const auto first = record();
  const auto second = record();
  RC_ASSERT(!(IsOlder(first, second) && IsOlder(second, first)));
  RC_ASSERT(!IsOlder(first, first));
  if (first.startedAtMs < second.startedAtMs) {
    RC_ASSERT(IsOlder(first, second));
  }
}

} // namespace bronzedeal::gateway::test
