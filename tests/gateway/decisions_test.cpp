#include "bronzedeal/gateway/address_picker.hpp"
#include "bronzedeal/gateway/cold_allowance.hpp"
#include "bronzedeal/gateway/fleet_shares.hpp"
#include "bronzedeal/gateway/peer_table.hpp"
#include "bronzedeal/gateway/record_merge.hpp"
#include "bronzedeal/gateway/replica_cost.hpp"
#include "bronzedeal/gateway/retry_budget.hpp"
#include "bronzedeal/gateway/route_table.hpp"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bronzedeal::gateway {

namespace {

TimePoint At(std::int64_t aMs)
{
  return TimePoint{} + std::chrono::hours(1) + milliseconds(aMs);
}

boost::asio::ip::address Ip(unsigned aLast)
{
  return boost::asio::ip::make_address("10.0.0." + std::to_string(aLast));
}

PeerState Peer(unsigned aNumber)
{
  PeerState state;
  state.address = Ip(aNumber);
  state.instance = "gw-" + std::to_string(aNumber);
  state.incarnation = 1000;
  return state;
}

} // namespace

// Guards against a request that goes by a shorter prefix than the longest.
TEST(RouteTable, SelectsTheLongestPrefixOfTheHost)
{
  RouteConfig config;
  for (const auto* prefix : { "/a/", "/a/b/" }) {
    Route route;
    route.name = prefix;
    route.host = "h";
    route.prefix = prefix;
    config.routes.push_back(route);
  }
  const RouteTable table(config);
  EXPECT_EQ(table.FindRoute("h:80", "/a/b/c?x=/")->name, "/a/b/");
  EXPECT_EQ(table.FindRoute("h", "/a/x")->name, "/a/");
  EXPECT_EQ(table.FindRoute("h", "/a"), nullptr);
  EXPECT_EQ(table.FindRoute("other", "/a/x"), nullptr);
}

// Guards against repeats beyond the bound in any window, with each instance
// spending as much as its share allows and one restart in between.
RC_GTEST_PROP(RetryBudget, InstancesStayBelowTheBoundTogether, ())
{
  const RetryLimits limits;
  const auto instances = *rc::gen::inRange(1U, 20U);
  const auto perSecond = *rc::gen::inRange(0, 40);
  std::vector<RetryBudget> budgets(instances);
  std::deque<std::pair<std::int64_t, double>> window;
  const auto restart = *rc::gen::inRange(0, 20'000);
  for (std::int64_t ms = 0; ms < 25'000; ms += 50) {
    if (ms / 50 == restart / 50) {
      budgets.front() = RetryBudget();
    }
    double firsts = 0;
    double repeats = 0;
    for (auto& it : budgets) {
      if (perSecond > 0 && ms % (1000 / perSecond / 50 * 50 + 50) == 0) {
        it.OnFirstAttempt(limits, instances, At(ms));
        ++firsts;
      }
      while (it.TryAcquire(limits, instances, At(ms))) {
        ++repeats;
      }
    }
    window.emplace_back(ms, repeats - limits.ratio * firsts);
    while (window.front().first <= ms - 10'000) {
      window.pop_front();
    }
    double sum = 0;
    for (const auto& [when, value] : window) {
      sum += value;
    }
    RC_ASSERT(sum <= limits.slackRetries);
  }
}

// Guards against more requests to a cold server in one second than it bears,
// summed over all instances, whatever their number.
RC_GTEST_PROP(ColdAllowance, InstancesStayBelowTheBoundTogether, ())
{
  ColdServerLimits limits;
  limits.requestsPerSecond = *rc::gen::inRange(0, 40);
  const auto instances = *rc::gen::inRange(1U, 100U);
  std::vector<ColdAllowance> allowances(instances);
  std::deque<std::pair<std::int64_t, unsigned>> window;
  for (std::int64_t ms = 0; ms < 6000; ms += 20) {
    unsigned sent = 0;
    for (unsigned n = 0; n < instances; ++n) {
      while (allowances[n].TryAcquire(limits, n, instances, At(ms))) {
        ++sent;
      }
    }
    window.emplace_back(ms, sent);
    while (window.front().first <= ms - 1000) {
      window.pop_front();
    }
    unsigned sum = 0;
    for (const auto& [when, count] : window) {
      sum += count;
    }
    RC_ASSERT(sum <= limits.requestsPerSecond * limits.overshootFactor +
                       limits.slackRequests);
  }
}

// Guards against sends at the end of one window that meet those at the start of
// the next one (up to twice the share within a second).
TEST(ColdAllowance, CountsSendsInAnySecond)
{
  ColdServerLimits limits;
  limits.requestsPerSecond = 40;
  ColdAllowance allowance;
  unsigned sent = 0;
  EXPECT_TRUE(allowance.TryAcquire(limits, 0, 1, At(0)));
  for (std::int64_t ms = 1200; ms < 2000; ms += 10) {
    while (allowance.TryAcquire(limits, 0, 1, At(ms))) {
      ++sent;
    }
  }
  EXPECT_LE(sent,
            limits.requestsPerSecond * limits.overshootFactor +
              limits.slackRequests);
}

// Guards against answers from another domain while the near server is sound,
// and against waiting for a near server that is paused.
TEST(ReplicaCost, PrefersTheNearServerUntilItStalls)
{
  const RequestProfile request{ 15, 120 };
  ReplicaStats near;
  ReplicaStats far;
  far.sameFailureDomain = false;
  EXPECT_LT(ReplicaCost(near, request), ReplicaCost(far, request));
  near.oldestUnansweredMs = 60;
  near.inFlight = 1;
  EXPECT_TRUE(IsStalled(near, request));
  EXPECT_GT(ReplicaCost(near, request), ReplicaCost(far, request));
}

// Guards against a slow or failing server keeping its share of the work.
TEST(ReplicaCost, AvoidsSlowAndFailingServers)
{
  const RequestProfile request{ 15, 120 };
  const ReplicaStats usual;
  ReplicaStats slow;
  slow.relativeLatency = 8;
  ReplicaStats failing;
  failing.failureRate = 0.4;
  EXPECT_GT(ReplicaCost(slow, request), ReplicaCost(usual, request));
  EXPECT_GT(ReplicaCost(failing, request), ReplicaCost(usual, request));
}

// Guards against an instance that has ended being named to callers.
TEST(PeerTable, ForgetsAnInstanceWhoseHeartbeatStops)
{
  PeerTable table(Peer(1), {});
  auto other = Peer(2);
  other.heartbeat = 5;
  other.serving = true;
  table.Merge({ other }, At(0));
  EXPECT_EQ(table.AliveInstances(At(100)).size(), 2U);
  // The same heartbeat from a third instance is no sign of life.
  table.Merge({ other }, At(1900));
  EXPECT_EQ(table.AliveInstances(At(2100)).size(), 1U);
}

// Guards against an instance being ignored after a restart with a clock that
// jumped back.
TEST(PeerTable, OutrunsItsFormerIncarnation)
{
  PeerTable table(Peer(1), {});
  auto former = Peer(1);
  former.incarnation = 5000;
  former.heartbeat = 77;
  table.Merge({ former }, At(0));
  EXPECT_GT(table.Self().incarnation, 5000U);
}

// Guards against two groups of instances that never find each other again.
TEST(PeerTable, AsksASeedThatIsNotAlive)
{
  std::minstd_rand random(1);
  PeerTable table(Peer(1), {});
  auto other = Peer(2);
  other.heartbeat = 1;
  table.Merge({ other }, At(0));
  EXPECT_EQ(table.PickUnreachableSeed({ Ip(1), Ip(2), Ip(3) }, At(0), random),
            Ip(3));
  EXPECT_FALSE(table.PickUnreachableSeed({ Ip(1), Ip(2) }, At(0), random));
}

// Guards against limits that are shared among instances that callers don't use,
// and against a share that grows at once when an instance falls silent.
TEST(FleetShares, DividesAmongTheServingInstances)
{
  FleetShares shares("a");
  shares.Update({ "a", "b", "c" }, At(0));
  EXPECT_TRUE(shares.IsServing());
  EXPECT_EQ(shares.Divisor(), 3U);
  shares.Update({ "a" }, At(5000));
  EXPECT_EQ(shares.Divisor(), 3U);
  shares.Update({ "a" }, At(13'000));
  EXPECT_EQ(shares.Divisor(), 1U);
  FleetShares idle("d");
  idle.Update({ "a", "b" }, At(0));
  EXPECT_FALSE(idle.IsServing());
  EXPECT_GT(idle.Divisor(), 2U);
}

// Guards against 61 instances that start together each taking the whole of a
// limit before they have heard of the others (35,035 connections reset after a
// loss of power, gaonsan-hide-grown, trouble-2).
TEST(FleetShares, TakesASmallShareUntilTheFleetIsKnown)
{
  FleetShares shares("a");
  EXPECT_FALSE(shares.IsServing());
  EXPECT_GE(shares.Divisor(), 12U);
  shares.Update({ "a" }, At(0));
  EXPECT_TRUE(shares.IsServing());
  EXPECT_EQ(shares.Divisor(), 1U);
}

// Guards against two instances with the same place in the order of a server.
TEST(FleetShares, RanksServingInstancesWithoutTies)
{
  const std::vector<InstanceId> all{ "a", "b", "c", "d" };
  std::vector<unsigned> ranks;
  for (const auto& it : all) {
    FleetShares shares(it);
    shares.Update(all, At(0));
    ranks.push_back(shares.RankFor("s-1"));
  }
  std::sort(ranks.begin(), ranks.end());
  EXPECT_EQ(ranks, (std::vector<unsigned>{ 0, 1, 2, 3 }));
}

// Guards against instances that don't learn of each other in a few rounds.
RC_GTEST_PROP(PeerTable, NewsReachesAllThroughOneSeed, ())
{
  std::minstd_rand random(*rc::gen::inRange(1U, 1'000'000U));
  constexpr unsigned kInstances = 20;
  std::vector<PeerTable> tables;
  for (unsigned n = 0; n < kInstances; ++n) {
    tables.emplace_back(Peer(n), PeerTable::Options{});
  }
  constexpr int kRounds = 40;
  for (int round = 0; round < kRounds; ++round) {
    for (auto& it : tables) {
      const auto now = At(std::int64_t{ 300 } * round);
      const auto digest = it.NextDigest(true, now, random);
      auto targets = it.PickTargets(1, 1, now, random);
      if (const auto seed = it.PickUnreachableSeed({ Ip(0) }, now, random)) {
        targets.push_back(*seed);
      }
      for (const auto& target : targets) {
        tables[target.to_v4().to_bytes()[3]].Merge(digest, now);
      }
    }
  }
  for (const auto& it : tables) {
    RC_ASSERT(
      it.AliveInstances(At(std::int64_t{ 300 } * (kRounds - 1))).size() ==
      kInstances);
  }
}

// Guards against a started instance that waits for rounds of gossip until it
// knows the fleet: it is answered at once, and only the first time.
TEST(PeerTable, TellsNewcomers)
{
  PeerTable table(Peer(1), PeerTable::Options{});
  EXPECT_TRUE(table.IsNewIncarnation(Peer(2)));
  EXPECT_FALSE(table.IsNewIncarnation(Peer(1)));
  table.Merge({ Peer(2) }, At(0));
  EXPECT_FALSE(table.IsNewIncarnation(Peer(2)));
  auto restarted = Peer(2);
  ++restarted.incarnation;
  EXPECT_TRUE(table.IsNewIncarnation(restarted));
}

// Guards against a datagram of another sender or version being half applied.
TEST(PeerTable, RefusesDatagramsThatAreNotWellFormed)
{
  std::vector<PeerState> states;
  EXPECT_TRUE(DecodePeers(EncodePeers({ Peer(1), Peer(2) }), states));
  EXPECT_EQ(states.size(), 2U);
  for (const auto* text : { "",
                            "{}",
                            "[1]",
                            "[[\"x\"]]",
                            R"([["x","a","b",1,1,1.0,1,100]])",
                            R"([["127.0.0.1","a","b",1,1,1.0,"1",100]])" }) {
    states.clear();
    EXPECT_FALSE(DecodePeers(text, states)) << text;
  }
}

// Guards against callers being sent where all answers cross domains, and
// against too few instances for the work.
TEST(PickAddresses, PrefersInstancesNearTheServers)
{
  std::vector<AddressCandidate> candidates;
  for (unsigned n = 1; n <= 8; ++n) {
    candidates.push_back({ Ip(n), n <= 5 ? 1.0 : 0.0, 0.25, true });
  }
  const auto near = PickAddresses(candidates);
  EXPECT_EQ(near, (std::vector{ Ip(1), Ip(2), Ip(3), Ip(4), Ip(5) }));
  candidates.erase(candidates.begin(), candidates.begin() + 3);
  EXPECT_EQ(PickAddresses(candidates).size(), 5U);
}

// Guards against wide queries on the weak instances of an unequal fleet, and
// against too little strength when the strong ones are gone.
TEST(PickAddresses, PrefersStrongInstances)
{
  std::vector<AddressCandidate> candidates;
  for (unsigned n = 0; n < 61; ++n) {
    candidates.push_back({ Ip(n), 1, n < 6 ? 0.5 : 0.12, true });
  }
  EXPECT_EQ(PickAddresses(candidates).size(), 6U);
  candidates.erase(candidates.begin(), candidates.begin() + 6);
  const auto weak = PickAddresses(candidates);
  EXPECT_GE(weak.size(), 11U);
  EXPECT_LE(weak.size(), 16U);
}

// Guards against instances that can't serve yet being named while others can.
TEST(PickAddresses, LeavesOutInstancesThatAreNotReady)
{
  EXPECT_EQ(PickAddresses({ { Ip(1), 1, 1, false }, { Ip(2), 0, 1, true } }),
            std::vector{ Ip(2) });
  EXPECT_EQ(PickAddresses({ { Ip(1), 1, 1, false } }).size(), 1U);
}

// Guards against callers being sent to instances that a partition keeps from
// most servers while others reach them (zones-apart, 0.57 on gaonsan-hide).
TEST(PickAddresses, PrefersInstancesThatReachTheServers)
{
  EXPECT_EQ(PickAddresses(
              { { Ip(1), 1, 1, true, false }, { Ip(2), 0, 1, true, true } }),
            std::vector{ Ip(2) });
  EXPECT_EQ(PickAddresses({ { Ip(1), 1, 1, true, false } }).size(), 1U);
}

// Guards against an instance behind a partition forgetting the other side at
// once, and against one that ended being remembered for long.
TEST(PeerTable, RemembersLostInstancesForAWhile)
{
  PeerTable table(Peer(1), PeerTable::Options{});
  auto other = Peer(2);
  other.serving = true;
  table.Merge({ other }, At(0));
  EXPECT_TRUE(table.RecentlyLost(At(1000)).empty());
  EXPECT_EQ(table.RecentlyLost(At(3000)).size(), 1U);
  EXPECT_TRUE(table.RecentlyLost(At(5000)).empty());
}

// Guards against an answer that isn't the greatest records, compared as bytes.
RC_GTEST_PROP(MergeTopRecords, EqualsASortOfAllRecords, ())
{
  const auto bodies = *rc::gen::container<std::vector<std::string>>(
    rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
  const auto count = *rc::gen::inRange<std::size_t>(0, 20);
  std::vector<std::string_view> views(bodies.begin(), bodies.end());
  std::vector<std::string> records;
  for (const auto& it : bodies) {
    for (std::size_t at = 0; at + kRecordBytes <= it.size();
         at += kRecordBytes) {
      records.push_back(it.substr(at, kRecordBytes));
    }
  }
  std::sort(records.begin(), records.end(), std::greater<>());
  records.resize(std::min(records.size(), count));
  std::string expected;
  for (const auto& it : records) {
    expected += it;
  }
  RC_ASSERT(MergeTopRecords(views, count) == expected);
}

} // namespace bronzedeal::gateway
