#include "bronzedeal/connection/server_limiter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace bronzedeal::connection {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

/// Runs `aCount` attempts of `aLatency` one after the other.
void RunAttempts(ServerLimiter& aLimiter,
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

/// A limiter whose allowance has reached `slots`. Its median latency is 5 ms,
/// so attempts of more than 20 ms are slow.
ServerLimiter WarmLimiter(TimePoint& aNow)
{
  ServerLimiter limiter(kOptions, aNow);
  RunAttempts(limiter, 64, milliseconds(5), aNow);
  EXPECT_EQ(limiter.Allowance(), 6U);
  return limiter;
}

// Guards against an allowance that skips a step of its doubling or exceeds the
// slots.
TEST(ServerLimiter, AllowanceDoublesAfterWarmCompletions)
{
  auto now = kStart;
  ServerLimiter limiter(kOptions, now);
  for (const unsigned n : { 1U, 2U, 4U, 6U, 6U }) {
    EXPECT_EQ(limiter.Allowance(), n);
    RunAttempts(limiter, 8, milliseconds(5), now);
  }
}

// Guards against a cold server that keeps its full allowance because it
// alternates between refusals and normal responses. Only its owner sends to it,
// so a single refusal within the slots proves that it is cold.
TEST(ServerLimiter, FirstRefusalResetsTheAllowance)
{
  auto now = kStart;
  auto limiter = WarmLimiter(now);
  RunAttempts(limiter, 1, milliseconds(21), now);
  EXPECT_FALSE(limiter.IsCold());
  RunAttempts(limiter, 1, milliseconds(1), now, AttemptOutcome::Refused);
  EXPECT_EQ(limiter.Allowance(), 1U);
  EXPECT_EQ(limiter.LastResetReason(), ResetReason::Refusals);
}

// Guards against a server that became cold, for instance by a restart, but
// keeps its full allowance.
TEST(ServerLimiter, RefusalSlowResponsesAndLostConnectionReset)
{
  auto now = kStart;
  auto limiter = WarmLimiter(now);
  RunAttempts(limiter, 1, milliseconds(1), now, AttemptOutcome::Refused);
  EXPECT_EQ(limiter.Allowance(), 1U);
  EXPECT_EQ(limiter.LastResetReason(), ResetReason::Refusals);

  limiter = WarmLimiter(now);
  RunAttempts(limiter, 2, milliseconds(21), now);
  EXPECT_FALSE(limiter.IsCold());
  RunAttempts(limiter, 1, milliseconds(21), now);
  EXPECT_EQ(limiter.Allowance(), 1U);
  EXPECT_EQ(limiter.LastResetReason(), ResetReason::SlowAnswers);

  limiter = WarmLimiter(now);
  limiter.OnConnectionLost(now);
  EXPECT_EQ(limiter.Allowance(), 1U);
  RunAttempts(limiter, 8, milliseconds(5), now);
  EXPECT_EQ(limiter.Allowance(), 2U);
  limiter.OnConnected(now);
  EXPECT_EQ(limiter.Allowance(), 1U);
  EXPECT_EQ(limiter.LastResetReason(), ResetReason::Reconnect);
}

// Guards against responses of the previous, warm server process that raise the
// allowance of the new, cold one.
TEST(ServerLimiter, AttemptsSentBeforeTheResetDoNotCount)
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

// Guards against new attempts on a server that is leaving.
TEST(ServerLimiter, DrainingServerTakesNoNewAttempts)
{
  auto now = kStart;
  auto limiter = WarmLimiter(now);
  ASSERT_TRUE(limiter.TryAcquire(now));
  limiter.SetDraining(true);
  EXPECT_FALSE(limiter.TryAcquire(now));
  EXPECT_EQ(limiter.InFlight(), 1U);
}

// Guards, over random histories, against more attempts in flight than the
// allowance, an allowance above the slots, and an allowance that is raised
// without enough responses to attempts sent since its last change.
RC_GTEST_PROP(ServerLimiter, StaysWithinAllowanceAndSlots, ())
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
  unsigned countedCompletions = 0;
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
        ++countedCompletions;
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
      RC_ASSERT(countedCompletions >= options.warmCompletions);
    }
    if (limiter.Allowance() != allowance ||
        limiter.ResetCount() != resetCount) {
      changedAt = now;
      countedCompletions = 0;
    }
  }
}

} // namespace
} // namespace bronzedeal::connection
