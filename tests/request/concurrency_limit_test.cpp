#include "bronzedeal/request/concurrency_limit.hpp"

#include <gtest/gtest.h>

namespace bronzedeal::request {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr Duration kTimeAllowed = milliseconds(1000);

// The limit must fall while queries run out of time, but the queries of a
// single burst must reduce it only once.
TEST(ConcurrencyLimit, DecreasesOncePerIntervalAndNotBelowTheMinimum)
{
  ConcurrencyLimit limit;
  const auto before = limit.Limit();
  limit.OnQueryFinished(LoadSignal::Overloaded, before, kStart);
  const auto afterOneDecrease = limit.Limit();
  EXPECT_LT(afterOneDecrease, before);
  limit.OnQueryFinished(
    LoadSignal::Overloaded, before, kStart + milliseconds(199));
  EXPECT_EQ(limit.Limit(), afterOneDecrease);
  auto now = kStart;
  for (int n = 0; n < 100; ++n) {
    now += milliseconds(200);
    limit.OnQueryFinished(LoadSignal::Overloaded, 1, now);
  }
  EXPECT_EQ(limit.Limit(), ConcurrencyLimit::Options{}.minimum);
}

// An unused limit must not rise, since it would admit the next burst unchecked.
// The configured maximum must hold.
TEST(ConcurrencyLimit, IncreasesOnlyWhileUsedAndUpToTheMaximum)
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

// A lost server must not count as overload; a slow query or a passed deadline
// must.
TEST(ConcurrencyLimit, ClassifiesResultsByLoad)
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
