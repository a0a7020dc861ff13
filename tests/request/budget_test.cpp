#include "bronzedeal/request/hedge_budget.hpp"
#include "bronzedeal/request/latency_digest.hpp"
#include "bronzedeal/request/replica_chooser.hpp"

#include "support.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace bronzedeal::request {
namespace {

using std::chrono::microseconds;

// Hedges must not exceed the share, tokens must not exceed the capacity, and
// concurrent threads must not lose or duplicate tokens.
TEST(HedgeBudget, TakesOnlyTheConfiguredShare)
{
  HedgeBudget budget(5, 100, 0);
  EXPECT_FALSE(budget.TryTakeToken());
  budget.CreditAttempts(19);
  EXPECT_FALSE(budget.TryTakeToken());
  budget.CreditAttempts(1);
  EXPECT_TRUE(budget.TryTakeToken());
  EXPECT_FALSE(budget.TryTakeToken());
  budget.CreditAttempts(1'000'000);
  EXPECT_EQ(budget.Tokens(), 100U);
  budget.SetPercent(0);
  while (budget.TryTakeToken()) {
  }
  budget.CreditAttempts(1'000'000);
  EXPECT_EQ(budget.Tokens(), 0U);

  HedgeBudget shared(5, 10'000, 0);
  std::atomic<int> taken = 0;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < 20'000; ++n) {
        shared.CreditAttempts(1);
        taken += shared.TryTakeToken() ? 1 : 0;
      }
    });
  }
  for (auto& it : threads) {
    it.join();
  }
  EXPECT_EQ(taken + static_cast<int>(shared.Tokens()), 4000);
}

// Quantiles must stay within the documented error, and old slow samples must be
// dropped.
TEST(LatencyDigest, EstimatesQuantilesAndDropsOldSamples)
{
  LatencyDigest digest(std::chrono::seconds(5));
  EXPECT_EQ(digest.P95(kStart), Duration{});
  for (int i = 1; i <= 1000; ++i) {
    digest.Add(microseconds(i * 100), kStart);
  }
  const auto isNear = [](Duration aValue, Duration aTrue) {
    return std::abs(std::chrono::duration<double>(aValue - aTrue).count()) <=
           0.07 * std::chrono::duration<double>(aTrue).count();
  };
  EXPECT_TRUE(isNear(digest.Median(kStart), milliseconds(50)));
  EXPECT_TRUE(isNear(digest.P95(kStart), milliseconds(95)));
  const auto later = kStart + std::chrono::seconds(21);
  EXPECT_EQ(digest.SampleCount(later), 0U);
  digest.Add(milliseconds(2), later);
  EXPECT_TRUE(isNear(digest.P95(later), milliseconds(2)));
  digest.Add(std::chrono::hours(1), later);
  digest.Add(-milliseconds(1), later);
  EXPECT_EQ(digest.SampleCount(later), 3U);
}

// The slow answers of the first 5 s must not affect the p95 once windows of
// fast answers have replaced them.
TEST(LatencyDigest, FollowsAChangeOfLatency)
{
  LatencyDigest digest(std::chrono::seconds(1));
  for (int s = 0; s < 10; ++s) {
    for (int i = 0; i < 200; ++i) {
      digest.Add(s < 5 ? milliseconds(80) : milliseconds(4),
                 kStart + std::chrono::seconds(s));
    }
  }
  EXPECT_LT(digest.P95(kStart + std::chrono::seconds(9)), milliseconds(5));
}

struct ChooserTest : public ::testing::Test
{
  ReplicaChooser chooser{ std::mt19937_64(7) };
  std::vector<ReplicaChooser::Index> pair{ chooser.FindOrAdd("a", kStart),
                                           chooser.FindOrAdd("b", kStart) };

  /// How many of 1000 choices go to the second server.
  int SecondServerChoices(TimePoint aNow)
  {
    int n = 0;
    for (int i = 0; i < 1000; ++i) {
      n += chooser.Choose(pair, aNow) == 1 ? 1 : 0;
    }
    return n;
  }
  void Answer(std::size_t aServer,
              ResultCode aCode,
              const ServerLoad& aLoad = {},
              Duration aLatency = milliseconds(2))
  {
    chooser.OnDispatch(pair[aServer]);
    chooser.OnAnswer(pair[aServer], aCode, aLatency, aLoad, kStart);
  }
};

// Two equal servers must both be chosen.
TEST_F(ChooserTest, EqualServersGetEqualShares)
{
  EXPECT_NEAR(SecondServerChoices(kStart), 500, 80);
}

// The instance's own observations must count, but a server that has recovered
// must not stay avoided.
TEST_F(ChooserTest, AvoidsBusyAndSlowServersUntilTheDataIsOld)
{
  chooser.OnDispatch(pair[0]);
  EXPECT_EQ(SecondServerChoices(kStart), 1000);
  chooser.OnCancel(pair[0], {}, kStart);
  Answer(0, ResultCode::Ok, {}, milliseconds(40));
  Answer(1, ResultCode::Ok);
  EXPECT_EQ(SecondServerChoices(kStart), 1000);
  const auto later = kStart + std::chrono::seconds(30);
  chooser.OnDispatch(pair[1]);
  chooser.OnAnswer(pair[1], ResultCode::Ok, milliseconds(2), {}, later);
  EXPECT_EQ(SecondServerChoices(later), 0)
    << "an old latency must lose its weight";
}

// With a mean instead of a median, a single straggler drives all instances to
// the other replica (measured: worse than random choice at 70% load).
TEST_F(ChooserTest, OneStragglerDoesNotShiftTheChoices)
{
  for (int i = 0; i < 20; ++i) {
    Answer(0, ResultCode::Ok, {}, milliseconds(4));
    Answer(1, ResultCode::Ok, {}, milliseconds(5));
  }
  Answer(0, ResultCode::Ok, {}, milliseconds(80));
  EXPECT_EQ(SecondServerChoices(kStart), 0);
}

// Old load reports must lose their effect.
TEST_F(ChooserTest, AttachedLoadDecays)
{
  Answer(0, ResultCode::Ok, { 6, 0, 8, 8, false });
  Answer(1, ResultCode::Ok, { 0, 0, 8, 8, false });
  EXPECT_EQ(SecondServerChoices(kStart), 1000);
  chooser.OnDispatch(pair[1]);
  EXPECT_EQ(SecondServerChoices(kStart), 1000);
  EXPECT_EQ(SecondServerChoices(kStart + std::chrono::seconds(1)), 0);
}

// A server that refuses work must be avoided, but not for ever.
TEST_F(ChooserTest, AvoidsRefusingServers)
{
  for (const auto code : { ResultCode::NotRunShed,
                           ResultCode::NotRunNoOwner,
                           ResultCode::NotRunLeaving,
                           ResultCode::ShardServerLost }) {
    Answer(0, code);
    EXPECT_EQ(SecondServerChoices(kStart), 1000) << Describe(code).name;
    EXPECT_FALSE(chooser.AllowsHedge(pair[0], kStart));
    const auto later = kStart + std::chrono::seconds(5);
    EXPECT_LT(SecondServerChoices(later), 1000) << Describe(code).name;
    EXPECT_TRUE(chooser.AllowsHedge(pair[0], later));
  }
  Answer(0, ResultCode::Ok, { 2, 8, 2, 2, false });
  EXPECT_FALSE(chooser.AllowsHedge(pair[0], kStart)) << "its queue is full";
  chooser.SetHasOwner(pair[0], false);
  EXPECT_EQ(SecondServerChoices(kStart + std::chrono::seconds(5)), 1000);
}

// The last replica must not be excluded.
TEST_F(ChooserTest, LeastAvoidedServerIsChosenWhenAllAreAvoided)
{
  chooser.SetLeaving(pair[0], true);
  chooser.SetHasOwner(pair[1], false);
  EXPECT_EQ(SecondServerChoices(kStart), 1000);
  EXPECT_EQ(chooser.Choose(std::span(pair).first(1), kStart), 0U);
}

// A cold server must not get all of the work, nor so little that it stays cold,
// nor more than its allowance.
TEST_F(ChooserTest, ColdServerIsKeptBusyUpToItsAllowance)
{
  Answer(1, ResultCode::Ok, { 0, 0, 1, 2, false });
  EXPECT_FALSE(chooser.AllowsHedge(pair[1], kStart));
  const auto choicesWhileIdle = SecondServerChoices(kStart);
  EXPECT_GT(choicesWhileIdle, 400);
  EXPECT_LT(choicesWhileIdle, 600);
  Answer(1, ResultCode::Ok, { 1, 0, 1, 2, false });
  EXPECT_EQ(SecondServerChoices(kStart), 0);
}

// The index of a removed server must not be given to another one while a query
// may still hold it, but the table must not grow for ever.
TEST_F(ChooserTest, IndexOfARemovedServerIsReusedAfterADelay)
{
  const std::vector<ServerId> kept{ "a" };
  chooser.RetainOnly(kept, kStart);
  EXPECT_EQ(chooser.size(), 1U);
  EXPECT_NE(chooser.FindOrAdd("c", kStart + std::chrono::seconds(59)), pair[1]);
  EXPECT_EQ(chooser.FindOrAdd("d", kStart + std::chrono::seconds(60)), pair[1]);
}

} // namespace
} // namespace bronzedeal::request
