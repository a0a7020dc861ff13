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
  QueryAnswer TakeAnswer()
  {
    auto finish = Take<Finish>();
    EXPECT_EQ(finish.size(), 1U);
    return finish.empty() ? QueryAnswer{} : std::move(finish[0].answer);
  }
  /// Gives a service enough fast samples that its hedges start after 2 ms.
  void AddFastSamples(std::size_t aService)
  {
    auto& digest =
      digests.At(digests.FindOrAdd(fmt::format("svc-{:02}", aService)));
    for (int i = 0; i < 100; ++i) {
      digest.Add(std::chrono::microseconds(1500), kStart);
    }
  }
};

// Each shard must be included exactly once when all answer.
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
  const auto answer = TakeAnswer();
  EXPECT_EQ(answer.code, Ok);
  EXPECT_EQ(answer.included.size(), 3U);
  EXPECT_EQ(answer.coverage, 1);
  EXPECT_TRUE(answer.contentSucceeded);
  EXPECT_FALSE(run.NextTimer());
}

// A content that crashes its server must not reach a second server.
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
  const auto answer = TakeAnswer();
  EXPECT_EQ(answer.code, OutcomeUnknownLowCoverage);
  EXPECT_EQ(answer.missing.size(), 5U);
  EXPECT_FALSE(answer.contentSucceeded);
}

// The fan-out must follow the canary, and no canary must be sent when the
// feature is off.
TEST_F(QueryRunTest, OtherShardsAreSentAfterTheCanary)
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

// A canary that a server refused did not run; another shard must become the
// canary.
TEST_F(QueryRunTest, RefusedCanaryIsReplacedByAnotherShard)
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

// A straggler must be hedged on another server and cancelled when the hedge
// answers first, and its late answer must not be counted.
TEST_F(QueryRunTest, StragglerIsHedgedAndCancelled)
{
  AddFastSamples(0);
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
  EXPECT_EQ(TakeAnswer().hedges, 1U);
  run.OnResponse(first.attempt, Hits(), *due, actions);
  run.OnResponse(12345, Hits(), *due, actions);
  EXPECT_TRUE(actions.empty());
  for (const auto* name : { "svc-00-a", "svc-00-b" }) {
    EXPECT_EQ(chooser.InFlight(chooser.FindOrAdd(name, kStart)), 0U) << name;
  }
}

// A hedge must not be sent without a token, but must be sent when a token is
// added later.
TEST_F(QueryRunTest, HedgeWaitsForTheBudget)
{
  AddFastSamples(0);
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

// The configured multiple of the median must delay the hedge.
TEST_F(QueryRunTest, HedgeWaitsForTheMultipleOfTheMedian)
{
  AddFastSamples(0);
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

// Early hedges use tokens for shards that would have answered in time (measured
// p99 at fan-out 50: 89.0 ms instead of 64.8). The loss of a failure domain
// leaves many shards open, and hedges must then still be sent.
TEST_F(QueryRunTest, HedgesWaitUntilFewShardsAreOpen)
{
  for (std::size_t i = 0; i < 5; ++i) {
    AddFastSamples(i);
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

// A second hedge must be sent when it is configured, and only then.
TEST_F(QueryRunTest, SecondHedgeIsSentOnlyWhenConfigured)
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

// Hedges must not go to servers that the chooser avoids, such as leaving ones.
TEST_F(QueryRunTest, NoHedgeToAnAvoidedServer)
{
  AddFastSamples(0);
  for (const auto* name : { "svc-00-a", "svc-00-b" }) {
    chooser.SetLeaving(chooser.FindOrAdd(name, kStart), true);
  }
  QueryRun run(MakePlan(1, 2), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  EXPECT_EQ(Take<Dispatch>().size(), 1U)
    << "avoided servers are used when no others are left";
  run.OnTimer(kStart + milliseconds(5), actions);
  EXPECT_TRUE(Take<Dispatch>().empty());
}

// A refusal must not lose a shard that has another replica, and its retry must
// not cost a token, since no server ran anything.
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
  const auto answer = TakeAnswer();
  EXPECT_EQ(answer.code, NotRunShed) << "no server ran the query";
  EXPECT_EQ(answer.retries, 1U);
}

// Lost servers must not be retried without limit: the first retry needs a
// token, and the second lost server makes the content suspect.
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

// An answer from another index version must not be included, and the caller
// must learn that a restart may succeed.
TEST_F(QueryRunTest, OtherIndexVersionIsNeverUsed)
{
  QueryRun run(MakePlan(2, 1), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  const auto sent = Take<Dispatch>();
  run.OnResponse(sent[0].attempt, Hits(4), kStart, actions);
  EXPECT_FALSE(run.IsRestartWorthwhile(kStart));
  run.OnResponse(
    sent[1].attempt, Failure(ShardVersionMissing, 4), kStart, actions);
  const auto answer = TakeAnswer();
  EXPECT_TRUE(answer.included.empty());
  EXPECT_EQ(answer.missing.at(0).code, ShardVersionMissing);
  EXPECT_TRUE(answer.restartWorthwhile);
  EXPECT_EQ(answer.newestIndexVersion, 4U);
}

// A restart does not help when the servers lag behind, after a first restart,
// or without time left.
TEST_F(QueryRunTest, RestartIsOfferedOnlyWhenItCanSucceed)
{
  const auto isRestartOffered =
    [this](IndexVersion aHeldVersion, Duration aElapsed, bool aAllowed) {
      options.restartAllowed = aAllowed;
      QueryRun run(MakePlan(1, 1), options, budget, digests, chooser, kStart);
      run.Start(kStart, actions);
      run.OnResponse(Take<Dispatch>().at(0).attempt,
                     Failure(ShardVersionMissing, aHeldVersion),
                     kStart + aElapsed,
                     actions);
      return TakeAnswer().restartWorthwhile;
    };
  EXPECT_TRUE(isRestartOffered(0, {}, true));
  EXPECT_FALSE(isRestartOffered(2, {}, true));
  EXPECT_FALSE(isRestartOffered(4, milliseconds(490), true));
  EXPECT_FALSE(isRestartOffered(4, {}, false));
}

// A query must end at its deadline and report a shard that may still be
// running.
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
  const auto answer = TakeAnswer();
  EXPECT_EQ(answer.code, Partial);
  EXPECT_EQ(answer.missing.at(0).code, ShardTimeout);
}

// Work for a coverage that can't be reached must stop, and a query of which a
// shard ran must not be reported as "not run".
TEST_F(QueryRunTest, UnreachableCoverageEndsTheQuery)
{
  options.minCoverage = 0.75;
  auto plan = MakePlan(4, 1);
  plan.shards[0].replicas.clear();
  plan.shards[1].replicas.clear();
  QueryRun refused(plan, options, budget, digests, chooser, kStart);
  refused.Start(kStart, actions);
  EXPECT_TRUE(Take<Dispatch>().empty());
  EXPECT_EQ(TakeAnswer().code, NotRunLowCoverage);

  QueryRun run(MakePlan(4, 1), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  const auto sent = Take<Dispatch>();
  run.OnResponse(sent[0].attempt, Hits(), kStart, actions);
  run.OnResponse(sent[1].attempt, Failure(NotRunShed), kStart, actions);
  run.OnResponse(sent[2].attempt, Failure(NotRunShed), kStart, actions);
  EXPECT_EQ(Take<Cancel>().size(), 1U);
  EXPECT_EQ(TakeAnswer().code, OutcomeUnknownLowCoverage);
}

// The takeover of a slice relies on sub-requests that end within
// `limits.max_subrequest_ms`.
TEST_F(QueryRunTest, SubrequestIsBounded)
{
  options.deadline = kStart + std::chrono::seconds(5);
  options.hedgingEnabled = false;
  QueryRun run(MakePlan(1, 1), options, budget, digests, chooser, kStart);
  run.Start(kStart, actions);
  EXPECT_EQ(Take<Dispatch>().at(0).deadline, kStart + std::chrono::seconds(1));
  run.OnTimer(*run.NextTimer(), actions);
  EXPECT_EQ(Take<Cancel>().size(), 1U);
  EXPECT_EQ(TakeAnswer().missing.at(0).code, ShardTimeout);
}

// A query that its plan or the quarantine refused must not send sub-requests.
TEST_F(QueryRunTest, RefusedQueriesSendNothing)
{
  auto plan = MakePlan(2, 2);
  plan.code = NotRunDenied;
  QueryRun denied(plan, options, budget, digests, chooser, kStart);
  denied.Start(kStart, actions);
  EXPECT_TRUE(Take<Dispatch>().empty());
  EXPECT_EQ(TakeAnswer().code, NotRunDenied);

  options.contentState = ContentState::Quarantined;
  QueryRun crashed(MakePlan(2, 2), options, budget, digests, chooser, kStart);
  crashed.Start(kStart, actions);
  EXPECT_TRUE(Take<Dispatch>().empty());
  EXPECT_EQ(TakeAnswer().code, NotRunQuarantined);

  version::RoutePlan noShards;
  noShards.code = Ok;
  QueryRun empty(noShards, options, budget, digests, chooser, kStart);
  empty.Start(kStart, actions);
  EXPECT_EQ(TakeAnswer().code, Ok);
}

// Attempts must not count as in flight for ever after their caller has
// disconnected.
TEST_F(QueryRunTest, AbortAndDestructionEndAttempts)
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
  EXPECT_EQ(TakeAnswer().missing.at(0).code, ShardCancelled);
  EXPECT_EQ(chooser.InFlight(server), 0U);
}

} // namespace
} // namespace bronzedeal::request
