#include "bronzedeal/request/concurrency_limit.hpp"

#include <gtest/gtest.h>

namespace bronzedeal::request {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr Duration kTimeAllowed = milliseconds(1000);

// Guards against a limit that stays high while queries run out of time, and
// against one collapse by the queries of a single burst.
TEST(ConcurrencyLimit, FallsOncePerIntervalAndNotBelowTheLowest)
{
  ConcurrencyLimit limit;
  const auto before = limit.Limit();
  limit.OnQueryFinished(LoadSignal::Overloaded, before, kStart);
  const auto once = limit.Limit();
  EXPECT_LT(once, before);
  limit.OnQueryFinished(
    LoadSignal::Overloaded, before, kStart + milliseconds(199));
  EXPECT_EQ(limit.Limit(), once);
  auto now = kStart;
  for (int n = 0; n < 100; ++n) {
    now += milliseconds(200);
    limit.OnQueryFinished(LoadSignal::Overloaded, 1, now);
  }
  EXPECT_EQ(limit.Limit(), ConcurrencyLimit::Options{}.minimum);
}

// Guards against a limit that rises while it is not used, which would let the
// next burst in unchecked, and against one above the configured bound.
TEST(ConcurrencyLimit, RisesOnlyWhileUsedAndToTheConfiguredBound)
{
  ConcurrencyLimit limit;
  limit.SetMaximum(20);
  const auto initial = limit.Limit();
  for (int n = 0; n < 1000; ++n) {
    limit.OnQueryFinished(LoadSignal::Normal, 1, kStart);
  }
  EXPECT_EQ(limit.Limit(), initial);
  for (int n = 0; n < 1000; ++n) {
    limit.OnQueryFinished(LoadSignal::Normal, limit.Limit(), kStart);
  }
  EXPECT_EQ(limit.Limit(), 20U);
}

// Guards against a lost server that is taken for load, and load that is not.
TEST(ConcurrencyLimit, SignsOfLoad)
{
  const ConcurrencyLimit limit;
  EXPECT_EQ(limit.Classify(ResultCode::Ok, milliseconds(100), kTimeAllowed),
            LoadSignal::Normal);
  EXPECT_EQ(limit.Classify(ResultCode::Ok, milliseconds(600), kTimeAllowed),
            LoadSignal::Overloaded);
  EXPECT_EQ(
    limit.Classify(ResultCode::NotRunDeadline, milliseconds(100), kTimeAllowed),
    LoadSignal::Overloaded);
  EXPECT_EQ(limit.Classify(
              ResultCode::ShardServerLost, milliseconds(100), kTimeAllowed),
            LoadSignal::None);
}

} // namespace
} // namespace bronzedeal::request
