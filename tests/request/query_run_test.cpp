#include "support.hpp"

#include <gtest/gtest.h>

namespace bronzedeal::request {
namespace {

using enum ResultCode;

class QueryRunTest
  : public ::testing::Test
  , public QueryFixture
{
protected:
  QueryAnswer Answer()
  {
    auto finish = Take<Finish>();
    EXPECT_EQ(finish.size(), 1U);
    return finish.empty() ? QueryAnswer{} : std::move(finish[0].answer);
  }
  /// Gives a service enough fast samples that its hedges start after 2 ms.
  void WarmDigest(std::size_t aService)
  {
    auto& digest =
      digests.At(digests.FindOrAdd(fmt::format("svc-{:02}", aService)));
    for (int i = 0; i < 100; ++i) {
      digest.Add(std::chrono::microseconds(1500), kStart);
    }
  }
};

// Guards against a lost or doubled shard in the plain case.
TEST_F(QueryRunTest, AllShardsAnswer)
{
  QueryRun run(MakePlan(3, 2), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  const auto sent = Take<Dispatch>();
  ASSERT_EQ(sent.size(), 3U);
  for (const auto& it : sent) {
    EXPECT_EQ(it.deadline, options.deadline);
    EXPECT_FALSE(it.isHedge || it.isCanary);
    run.OnResponse(it.attempt, Hits(), kStart + milliseconds(2), actions);
  }
  const auto answer = Answer();
  EXPECT_EQ(answer.code, Ok);
  EXPECT_EQ(answer.included.size(), 3U);
  EXPECT_EQ(answer.coverage, 1);
  EXPECT_TRUE(answer.contentSucceeded);
  EXPECT_FALSE(run.NextTimer());
}

// Guards against a crashing content that reaches more than one server.
TEST_F(QueryRunTest, CanaryRunsAloneAndStopsTheQueryWhenItsServerIsLost)
{
  options.contentState = ContentState::Unproven;
  QueryRun run(MakePlan(5, 2), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  const auto sent = Take<Dispatch>();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_TRUE(sent[0].isCanary);
  run.OnResponse(sent[0].attempt, Failure(ShardServerLost), kStart, actions);
  EXPECT_TRUE(Take<Dispatch>().empty());
  const auto answer = Answer();
  EXPECT_EQ(answer.code, OutcomeUnknownLowCoverage);
  EXPECT_EQ(answer.missing.size(), 5U);
  EXPECT_FALSE(answer.contentSucceeded);
}

// Guards against a fan-out that never follows its canary, and against a canary
// that is sent when the feature is off.
TEST_F(QueryRunTest, ShardsFollowTheCanary)
{
  options.contentState = ContentState::Unproven;
  QueryRun run(MakePlan(5, 2), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  auto sent = Take<Dispatch>();
  run.OnResponse(sent.at(0).attempt, Hits(), kStart, actions);
  EXPECT_EQ(Take<Dispatch>().size(), 4U);

  options.canaryEnabled = false;
  QueryRun plain(MakePlan(5, 2), options, budget, digests, chooser, kStart);
  plain.Start(kStart, actions);
  EXPECT_EQ(Take<Dispatch>().size(), 5U);
}

// Guards against a canary that a refusing server ends although it never ran.
TEST_F(QueryRunTest, RefusedCanaryMovesOn)
{
  options.contentState = ContentState::Unproven;
  QueryRun run(MakePlan(3, 1), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  const auto first = Take<Dispatch>().at(0);
  run.OnResponse(first.attempt, Failure(NotRunShed), kStart, actions);
  const auto second = Take<Dispatch>();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_TRUE(second[0].isCanary);
  EXPECT_NE(second[0].shard, first.shard);
}

// Guards against a straggler that is not hedged, a hedge to the same server, a
// loser that keeps running, and a late loser's answer that is counted.
TEST_F(QueryRunTest, StragglerIsHedgedAndTheLoserCancelled)
{
  WarmDigest(0);
  QueryRun run(MakePlan(1, 2), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  const auto first = Take<Dispatch>().at(0);
  const auto due = run.NextTimer();
  ASSERT_TRUE(due);
  EXPECT_LT(*due, kStart + milliseconds(2));
  EXPECT_GE(*due, kStart + milliseconds(1));
  run.OnTimer(*due, actions);
  const auto hedge = Take<Dispatch>();
  ASSERT_EQ(hedge.size(), 1U);
  EXPECT_TRUE(hedge[0].isHedge);
  EXPECT_NE(hedge[0].replica, first.replica);
  run.OnResponse(hedge[0].attempt, Hits(), *due, actions);
  const auto cancelled = Take<Cancel>();
  ASSERT_EQ(cancelled.size(), 1U);
  EXPECT_EQ(cancelled[0].attempt, first.attempt);
  EXPECT_EQ(Answer().hedges, 1U);
  run.OnResponse(first.attempt, Hits(), *due, actions);
  run.OnResponse(12345, Hits(), *due, actions);
  EXPECT_TRUE(actions.empty());
  for (const auto* name : { "svc-00-a", "svc-00-b" }) {
    EXPECT_EQ(chooser.InFlight(chooser.FindOrAdd(name, kStart)), 0U) << name;
  }
}

// Guards against hedges without a token, and against a hedge that is given up
// although a token comes later.
TEST_F(QueryRunTest, HedgeWaitsForTheBudget)
{
  WarmDigest(0);
  while (budget.TryTakeToken()) {
  }
  QueryRun run(MakePlan(1, 2), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  EXPECT_EQ(Take<Dispatch>().size(), 1U);
  run.OnTimer(kStart + milliseconds(2), actions);
  EXPECT_TRUE(Take<Dispatch>().empty());
  budget.CreditAttempts(20);
  run.OnTimer(*run.NextTimer(), actions);
  EXPECT_EQ(Take<Dispatch>().size(), 1U);
}

// Guards against a hedge that ignores the multiple of the median.
TEST_F(QueryRunTest, HedgeWaitsForTheMultipleOfTheMedian)
{
  WarmDigest(0);
  options.hedgeMedianFactor = 4;
  QueryRun run(MakePlan(1, 2), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  Take<Dispatch>();
  const auto due = run.NextTimer();
  ASSERT_TRUE(due);
  const auto digest =
    digests.FindOrAdd(run.Plan().shards[0].replicas[0].service);
  const auto median = digests.At(digest).Median(kStart);
  EXPECT_GT(median, Duration::zero());
  EXPECT_EQ(*due, kStart + 4 * median);
}

// Guards against tokens for shards that would have answered in time (measured
// p99 at fan-out 50: 89.0 ms instead of 64.8), and against a lost failure
// domain that leaves so many shards open that no hedge is ever sent.
TEST_F(QueryRunTest, HedgesGoToTheLastShards)
{
  for (std::size_t i = 0; i < 5; ++i) {
    WarmDigest(i);
  }
  for (const bool answered : { true, false }) {
    QueryRun run(MakePlan(5, 2), options, budget, digests, chooser, kStart);
    run.Start(kStart, actions);
    const auto sent = Take<Dispatch>();
    run.OnTimer(kStart + milliseconds(2), actions);
    EXPECT_TRUE(Take<Dispatch>().empty());
    if (answered) {
      for (int i = 0; i < 2; ++i) {
        run.OnResponse(
          sent[i].attempt, Hits(), kStart + milliseconds(2), actions);
      }
      EXPECT_EQ(Take<Dispatch>().size(), 3U);
    }
    run.OnTimer(kStart + milliseconds(10), actions);
    EXPECT_EQ(Take<Dispatch>().size(), answered ? 0U : 5U);
    actions.clear();
  }
}

// Guards against a second hedge that was not asked for, and against one that
// never comes when it was.
TEST_F(QueryRunTest, SecondHedgeIsAnOption)
{
  for (const std::uint32_t hedges : { 1U, 2U }) {
    options.maxHedgesPerShard = hedges;
    QueryRun run(MakePlan(1, 2), options, budget, digests, chooser, kStart);
    run.Start(kStart, actions);
    for (int ms = 50; ms < 450; ms += 50) {
      run.OnTimer(kStart + milliseconds(ms), actions);
    }
    EXPECT_EQ(Take<Dispatch>().size(), 1 + hedges);
    actions.clear();
  }
}

// Guards against hedges to servers that are cold, leaving or saturated.
TEST_F(QueryRunTest, NoHedgeToAnAvoidedServer)
{
  WarmDigest(0);
  for (const auto* name : { "svc-00-a", "svc-00-b" }) {
    chooser.SetLeaving(chooser.FindOrAdd(name, kStart), true);
  }
  QueryRun run(MakePlan(1, 2), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  EXPECT_EQ(Take<Dispatch>().size(), 1U) << "the last replicas stay in use";
  run.OnTimer(kStart + milliseconds(5), actions);
  EXPECT_TRUE(Take<Dispatch>().empty());
}

// Guards against a refusal that loses a shard while a replica is left, and
// against a retry that costs budget although no server ran anything.
TEST_F(QueryRunTest, RefusalIsRetriedOnceWithoutBudget)
{
  while (budget.TryTakeToken()) {
  }
  QueryRun run(MakePlan(1, 2), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  const auto first = Take<Dispatch>().at(0);
  run.OnResponse(first.attempt, Failure(NotRunNoOwner), kStart, actions);
  const auto second = Take<Dispatch>();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second[0].replica, first.replica);
  run.OnResponse(second[0].attempt, Failure(NotRunShed), kStart, actions);
  const auto answer = Answer();
  EXPECT_EQ(answer.code, NotRunShed) << "truthful: no server ran it";
  EXPECT_EQ(answer.retries, 1U);
}

// Guards against lost servers that are retried without limit: the first needs a
// token, and the second makes the content suspect.
TEST_F(QueryRunTest, LostServerIsRetriedOnceWithinTheBudget)
{
  QueryRun run(MakePlan(3, 2), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  const auto sent = Take<Dispatch>();
  const auto tokens = budget.Tokens();
  run.OnResponse(sent[0].attempt, Failure(ShardServerLost), kStart, actions);
  EXPECT_EQ(Take<Dispatch>().size(), 1U);
  EXPECT_EQ(budget.Tokens(), tokens - 1);
  run.OnResponse(sent[1].attempt, Failure(ShardServerLost), kStart, actions);
  EXPECT_TRUE(Take<Dispatch>().empty());
  run.OnTimer(kStart + milliseconds(400), actions);
  EXPECT_TRUE(Take<Dispatch>().empty()) << "a suspect content is not hedged";
}

// Guards against an answer of another index version in the result, and against
// a restart that nobody is told of.
TEST_F(QueryRunTest, OtherIndexVersionIsNeverUsed)
{
  QueryRun run(MakePlan(2, 1), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  const auto sent = Take<Dispatch>();
  run.OnResponse(sent[0].attempt, Hits(4), kStart, actions);
  EXPECT_FALSE(run.IsRestartWorthwhile(kStart));
  run.OnResponse(
    sent[1].attempt, Failure(ShardVersionMissing, 4), kStart, actions);
  const auto answer = Answer();
  EXPECT_TRUE(answer.included.empty());
  EXPECT_EQ(answer.missing.at(0).code, ShardVersionMissing);
  EXPECT_TRUE(answer.restartWorthwhile);
  EXPECT_EQ(answer.newestIndexVersion, 4U);
}

// Guards against restarts that can't help: servers that lag behind, a second
// restart, and no time left.
TEST_F(QueryRunTest, RestartOnlyWhenItCanHelp)
{
  const auto restarts = [this](IndexVersion aHeld, Duration aAt, bool aMay) {
    options.restartAllowed = aMay;
    QueryRun run(MakePlan(1, 1), options, budget, digests, chooser, kStart);
    run.Start(kStart, actions);
    run.OnResponse(Take<Dispatch>().at(0).attempt,
                   Failure(ShardVersionMissing, aHeld),
                   kStart + aAt,
                   actions);
    return Answer().restartWorthwhile;
  };
  EXPECT_TRUE(restarts(0, {}, true));
  EXPECT_FALSE(restarts(2, {}, true));
  EXPECT_FALSE(restarts(4, milliseconds(490), true));
  EXPECT_FALSE(restarts(4, {}, false));
}

// Guards against a query that outlives its deadline or hides a shard that may
// still be running.
TEST_F(QueryRunTest, DeadlineEndsTheQuery)
{
  options.hedgingEnabled = false;
  QueryRun run(MakePlan(2, 2), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  const auto sent = Take<Dispatch>();
  run.OnResponse(sent[0].attempt, Hits(), kStart, actions);
  EXPECT_EQ(run.NextTimer(), options.deadline);
  run.OnTimer(options.deadline, actions);
  EXPECT_EQ(Take<Cancel>().size(), 1U);
  const auto answer = Answer();
  EXPECT_EQ(answer.code, Partial);
  EXPECT_EQ(answer.missing.at(0).code, ShardTimeout);
}

// Guards against work for a coverage that can't be reached, and against
// "not run" for a query of which a shard ran.
TEST_F(QueryRunTest, UnreachableCoverageEndsTheQuery)
{
  options.minCoverage = 0.75;
  auto plan = MakePlan(4, 1);
  plan.shards[0].replicas.clear();
  plan.shards[1].replicas.clear();
  QueryRun none(plan, options, budget, digests, chooser, kStart);
  none.Start(kStart, actions);
  EXPECT_TRUE(Take<Dispatch>().empty());
  EXPECT_EQ(Answer().code, NotRunLowCoverage);

  QueryRun run(MakePlan(4, 1), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  const auto sent = Take<Dispatch>();
  run.OnResponse(sent[0].attempt, Hits(), kStart, actions);
  run.OnResponse(sent[1].attempt, Failure(NotRunShed), kStart, actions);
  run.OnResponse(sent[2].attempt, Failure(NotRunShed), kStart, actions);
  EXPECT_EQ(Take<Cancel>().size(), 1U);
  EXPECT_EQ(Answer().code, OutcomeUnknownLowCoverage);
}

// Guards against sub-requests that run past `limits.max_subrequest_ms`, on
// which the takeover of a slice relies.
TEST_F(QueryRunTest, SubrequestIsBounded)
{
  options.deadline = kStart + std::chrono::seconds(5);
  options.hedgingEnabled = false;
  QueryRun run(MakePlan(1, 1), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  EXPECT_EQ(Take<Dispatch>().at(0).deadline, kStart + std::chrono::seconds(1));
  run.OnTimer(*run.NextTimer(), actions);
  EXPECT_EQ(Take<Cancel>().size(), 1U);
  EXPECT_EQ(Answer().missing.at(0).code, ShardTimeout);
}

// Guards against sub-requests of queries that a plan or the quarantine refused.
TEST_F(QueryRunTest, RefusedPlansSendNothing)
{
  auto plan = MakePlan(2, 2);
  plan.code = NotRunDenied;
  QueryRun denied(plan, options, budget, digests, chooser, kStart);
  denied.Start(kStart, actions);
  EXPECT_TRUE(Take<Dispatch>().empty());
  EXPECT_EQ(Answer().code, NotRunDenied);

  options.contentState = ContentState::Quarantined;
  QueryRun crashed(MakePlan(2, 2), options, budget, digests, chooser, kStart);
  crashed.Start(kStart, actions);
  EXPECT_TRUE(Take<Dispatch>().empty());
  EXPECT_EQ(Answer().code, NotRunQuarantined);

  version::RoutePlan noShards;
  noShards.code = Ok;
  QueryRun empty(noShards, options, budget, digests, chooser, kStart);
  empty.Start(kStart, actions);
  EXPECT_EQ(Answer().code, Ok);
}

// Guards against attempts that count as in flight for ever after their caller
// has gone.
TEST_F(QueryRunTest, AbortAndDestructionGiveBackAttempts)
{
  const auto server = chooser.FindOrAdd("svc-00-a", kStart);
  {
    QueryRun run(MakePlan(1, 1), options, budget, digests, chooser, kStart);
    run.Start(kStart, actions);
    EXPECT_EQ(chooser.InFlight(server), 1U);
  }
  EXPECT_EQ(chooser.InFlight(server), 0U);
  QueryRun run(MakePlan(1, 1), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  run.Abort(kStart, actions);
  EXPECT_EQ(Answer().missing.at(0).code, ShardCancelled);
  EXPECT_EQ(chooser.InFlight(server), 0U);
}

} // namespace
} // namespace bronzedeal::request
