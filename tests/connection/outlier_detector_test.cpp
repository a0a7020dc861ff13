#include "bronzedeal/connection/outlier_detector.hpp"

#include <gtest/gtest.h>

namespace bronzedeal::connection {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

// Guards against a shard without a usable replica because its last one was
// ejected.
TEST(OutlierDetector, LastReplicaStaysUsable)
{
  OutlierDetector detector;
  for (int i = 0; i < 5; ++i) {
    detector.RecordFailure(kStart);
  }
  EXPECT_FALSE(detector.IsUsable(1, kStart));
  EXPECT_TRUE(detector.IsUsable(0, kStart));
}

// Guards against a server that stays ejected after it recovered, and against
// one that returns to full use after its first ejection although it still
// fails.
TEST(OutlierDetector, EjectionTimeDoublesUntilASuccess)
{
  OutlierDetector detector;
  auto now = kStart;
  for (int i = 0; i < 5; ++i) {
    detector.RecordFailure(now);
  }
  now += milliseconds(500);
  EXPECT_TRUE(detector.IsUsable(1, now));
  detector.RecordFailure(now);
  EXPECT_FALSE(detector.IsUsable(1, now + milliseconds(999)));
  now += milliseconds(1000);
  EXPECT_TRUE(detector.IsUsable(1, now));
  detector.RecordSuccess(milliseconds(5), std::nullopt, now);
  detector.RecordFailure(now);
  EXPECT_TRUE(detector.IsUsable(1, now));
}

// Guards against a server that stays in use although it responds far more
// slowly than the other servers of its service.
TEST(OutlierDetector, SlowServerIsEjected)
{
  OutlierDetector detector;
  for (int i = 0; i < 15; ++i) {
    detector.RecordSuccess(milliseconds(60), milliseconds(10), kStart);
    EXPECT_TRUE(detector.IsUsable(1, kStart));
  }
  detector.RecordSuccess(milliseconds(60), milliseconds(10), kStart);
  EXPECT_FALSE(detector.IsUsable(1, kStart));
}

} // namespace
} // namespace bronzedeal::connection
