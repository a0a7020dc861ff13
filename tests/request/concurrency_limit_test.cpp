#include "bronzedeal/request/concurrency_limit.hpp"

#include <gtest/gtest.h>

namespace bronzedeal::request {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr Duration kGiven = milliseconds(1000);

// Guards against a limit that stays high while queries run out of time, and
// against one collapse by the queries of a single burst.
TEST(ConcurrencyLimit, FallsOncePerIntervalAndNotBelowTheLowest)
{
  ConcurrencyLimit limit;
  const auto before = limit.Limit();
  limit.Finished(LoadSign::Overloaded, before, kStart);
  const auto once = limit.Limit();
  EXPECT_LT(once, before);
  limit.Finished(LoadSign::Overloaded, before, kStart + milliseconds(199));
  EXPECT_EQ(limit.Limit(), once);
  auto now = kStart;
  for (int n = 0; n < 100; ++n) {
    now += milliseconds(200);
    limit.Finished(LoadSign::Overloaded, 1, now);
  }
  EXPECT_EQ(limit.Limit(), ConcurrencyLimit::Options{}.lowest);
}

// Guards against a limit that rises while it is not used, which would let the
// next burst in unchecked, and against one above the configured bound.
TEST(ConcurrencyLimit, RisesOnlyWhileUsedAndToTheConfiguredBound)
{
  ConcurrencyLimit limit;
  limit.SetHighest(20);
  const auto first = limit.Limit();
  for (int n = 0; n < 1000; ++n) {
    limit.Finished(LoadSign::Fine, 1, kStart);
  }
  EXPECT_EQ(limit.Limit(), first);
  for (int n = 0; n < 1000; ++n) {
    limit.Finished(LoadSign::Fine, limit.Limit(), kStart);
  }
  EXPECT_EQ(limit.Limit(), 20U);
}

// Guards against a lost server that is taken for load, and load that is not.
TEST(ConcurrencyLimit, SignsOfLoad)
{
  const ConcurrencyLimit limit;
  EXPECT_EQ(limit.SignOf(ResultCode::Ok, milliseconds(100), kGiven),
            LoadSign::Fine);
  EXPECT_EQ(limit.SignOf(ResultCode::Ok, milliseconds(600), kGiven),
            LoadSign::Overloaded);
  EXPECT_EQ(limit.SignOf(ResultCode::NotRunDeadline, milliseconds(100), kGiven),
            LoadSign::Overloaded);
  EXPECT_EQ(
    limit.SignOf(ResultCode::ShardServerLost, milliseconds(100), kGiven),
    LoadSign::None);
}

} // namespace
} // namespace bronzedeal::request
