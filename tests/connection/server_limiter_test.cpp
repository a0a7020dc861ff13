#include "bronzedeal/connection/server_limiter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace bronzedeal::connection {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

/// Completes `aCount` attempts of `aLatency` one after the other.
void Complete(ServerLimiter& aLimiter,
              unsigned aCount,
              Duration aLatency,
              TimePoint& aNow,
              AttemptOutcome aOutcome = AttemptOutcome::Answered)
{
  for (unsigned i = 0; i < aCount; ++i) {
    aNow += milliseconds(1);
    ASSERT_TRUE(aLimiter.TryAcquire(aNow));
    aNow += aLatency;
    aLimiter.Complete(aOutcome, aLatency, aNow);
  }
}

constexpr LimiterOptions kOptions{ .slots = 6,
                                   .coldAllowance = 1,
                                   .warmCompletions = 8 };

ServerLimiter Warm(TimePoint& aNow)
{
  ServerLimiter limiter(kOptions, aNow);
  Complete(limiter, 64, milliseconds(5), aNow);
  EXPECT_EQ(limiter.Allowance(), 6U);
  return limiter;
}

// Guards against a ramp that skips a step or exceeds the slots.
TEST(ServerLimiter, DoublesAfterEachRoundOfCompletions)
{
  auto now = kStart;
  ServerLimiter limiter(kOptions, now);
  for (const unsigned n : { 1U, 2U, 4U, 6U, 6U }) {
    EXPECT_EQ(limiter.Allowance(), n);
    Complete(limiter, 8, milliseconds(5), now);
  }
}

// Guards against a cold server that is taken for a warm one because it refuses
// and answers normally in turn: only its owner sends to it, so a refusal within
// the slots is proof.
TEST(ServerLimiter, FallsBackOnTheFirstRefusal)
{
  auto now = kStart;
  auto limiter = Warm(now);
  Complete(limiter, 1, milliseconds(21), now);
  EXPECT_FALSE(limiter.IsCold());
  Complete(limiter, 1, milliseconds(1), now, AttemptOutcome::Refused);
  EXPECT_EQ(limiter.Allowance(), 1U);
  EXPECT_EQ(limiter.LastResetReason(), ResetReason::Refusals);
}

// Guards against a server that turned cold keeping its full allowance.
TEST(ServerLimiter, FallsBackOnEachKindOfEvidence)
{
  auto now = kStart;
  auto limiter = Warm(now);
  Complete(limiter, 1, milliseconds(1), now, AttemptOutcome::Refused);
  EXPECT_EQ(limiter.Allowance(), 1U);
  EXPECT_EQ(limiter.LastResetReason(), ResetReason::Refusals);

  limiter = Warm(now);
  Complete(limiter, 2, milliseconds(21), now);
  EXPECT_FALSE(limiter.IsCold());
  Complete(limiter, 1, milliseconds(21), now);
  EXPECT_EQ(limiter.Allowance(), 1U);
  EXPECT_EQ(limiter.LastResetReason(), ResetReason::SlowAnswers);

  limiter = Warm(now);
  limiter.OnConnectionLost(now);
  EXPECT_EQ(limiter.Allowance(), 1U);
  Complete(limiter, 8, milliseconds(5), now);
  EXPECT_EQ(limiter.Allowance(), 2U);
  limiter.OnConnected(now);
  EXPECT_EQ(limiter.Allowance(), 1U);
  EXPECT_EQ(limiter.LastResetReason(), ResetReason::Reconnect);
}

// Guards against answers of the former, warm process raising the allowance of
// the cold one.
TEST(ServerLimiter, AttemptsSentBeforeTheFallBackDoNotCount)
{
  auto now = kStart;
  ServerLimiter limiter({ .slots = 8, .coldAllowance = 8 }, now);
  now += milliseconds(1);
  for (int i = 0; i < 8; ++i) {
    ASSERT_TRUE(limiter.TryAcquire(now));
  }
  limiter.SetOptions({ .slots = 8, .coldAllowance = 1 }, now);
  limiter.OnConnectionLost(now + milliseconds(1));
  now += milliseconds(5);
  for (int i = 0; i < 8; ++i) {
    limiter.Complete(AttemptOutcome::Answered, milliseconds(5), now);
  }
  EXPECT_EQ(limiter.Allowance(), 1U);
}

// Guards against work being sent to a server that leaves.
TEST(ServerLimiter, DrainingTakesNoNewWork)
{
  auto now = kStart;
  auto limiter = Warm(now);
  ASSERT_TRUE(limiter.TryAcquire(now));
  limiter.SetDraining(true);
  EXPECT_FALSE(limiter.TryAcquire(now));
  EXPECT_EQ(limiter.InFlight(), 1U);
}

// Guards, over random histories, against more in flight than the allowance,
// an allowance above the slots, and a ramp without enough evidence sent since
// the last change.
RC_GTEST_PROP(ServerLimiter, KeepsItsBounds, ())
{
  const LimiterOptions options{
    .slots = *rc::gen::inRange(1U, 12U),
    .coldAllowance = *rc::gen::inRange(0U, 14U),
    .warmCompletions = *rc::gen::inRange(1U, 5U),
  };
  auto now = kStart;
  ServerLimiter limiter(options, now);
  std::vector<TimePoint> sent;
  TimePoint changedAt = now;
  unsigned evidence = 0;
  const auto steps = *rc::gen::inRange(1, 300);
  for (int i = 0; i < steps; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 4));
    const auto allowance = limiter.Allowance();
    const auto resetCount = limiter.ResetCount();
    const auto action = *rc::gen::inRange(0, 24);
    if (action < 10) {
      const auto before = limiter.InFlight();
      const bool taken = limiter.TryAcquire(now);
      RC_ASSERT(taken == (before < allowance));
      if (taken) {
        sent.push_back(now);
      }
    } else if (action < 22 && !sent.empty()) {
      const auto n = *rc::gen::inRange<std::size_t>(0, sent.size());
      const auto outcome = *rc::gen::weightedElement<AttemptOutcome>(
        { { 12, AttemptOutcome::Answered },
          { 2, AttemptOutcome::Refused },
          { 1, AttemptOutcome::Cancelled },
          { 1, AttemptOutcome::NotSent },
          { 1, AttemptOutcome::Lost } });
      if (outcome == AttemptOutcome::Answered && sent[n] > changedAt) {
        ++evidence;
      }
      limiter.Complete(outcome, now - sent[n], now);
      sent.erase(sent.begin() + static_cast<std::ptrdiff_t>(n));
    } else if (action == 22) {
      limiter.OnConnectionLost(now);
    } else if (action == 23) {
      limiter.OnConnected(now);
    }
    RC_ASSERT(limiter.InFlight() == sent.size());
    RC_ASSERT(limiter.Allowance() <= options.slots);
    RC_ASSERT(limiter.Allowance() >= 1U);
    if (limiter.Allowance() > allowance) {
      RC_ASSERT(limiter.Allowance() <= 2 * allowance);
      RC_ASSERT(evidence >= options.warmCompletions);
    }
    if (limiter.Allowance() != allowance ||
        limiter.ResetCount() != resetCount) {
      changedAt = now;
      evidence = 0;
    }
  }
}

} // namespace
} // namespace bronzedeal::connection
