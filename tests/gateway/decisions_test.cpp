#include "bronzedeal/gateway/address_picker.hpp"
#include "bronzedeal/gateway/cold_allowance.hpp"
#include "bronzedeal/gateway/fleet_shares.hpp"
#include "bronzedeal/gateway/listener_limits.hpp"
#include "bronzedeal/gateway/memory_budget.hpp"
#include "bronzedeal/gateway/peer_table.hpp"
#include "bronzedeal/gateway/record_merge.hpp"
#include "bronzedeal/gateway/replica_cost.hpp"
#include "bronzedeal/gateway/retry_budget.hpp"
#include "bronzedeal/gateway/route_table.hpp"
#include "bronzedeal/gateway/shard_selection.hpp"

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

// Guards against a request that follows a route whose prefix is not the longest
// that matches.
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

// Guards against more retries than the bound in any window, when each instance
// uses its whole share and one of them restarts.
RC_GTEST_PROP(RetryBudget, AllInstancesTogetherStayBelowTheBound, ())
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
    double firstAttempts = 0;
    double retries = 0;
    for (auto& it : budgets) {
      if (perSecond > 0 && ms % (1000 / perSecond / 50 * 50 + 50) == 0) {
        it.OnFirstAttempt(limits, instances, At(ms));
        ++firstAttempts;
      }
      while (it.TryAcquire(limits, instances, At(ms))) {
        ++retries;
      }
    }
    window.emplace_back(ms, retries - limits.ratio * firstAttempts);
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

// Guards against more requests to a cold server than its bound in any second,
// summed over any number of instances.
RC_GTEST_PROP(ColdAllowance, AllInstancesTogetherStayBelowTheBound, ())
{
  ColdServerLimits limits;
  limits.requestsPerSecond = *rc::gen::inRange(0, 40);
  const auto instances = *rc::gen::inRange(1U, 100U);
  std::vector<ColdAllowance> allowances(instances);
  std::deque<std::pair<std::int64_t, unsigned>> window;
  for (std::int64_t ms = 0; ms < 6000; ms += 20) {
    unsigned sent = 0;
    for (unsigned n = 0; n < instances; ++n) {
      while (allowances[n].CanSend(limits, n, instances, At(ms))) {
        allowances[n].OnSend(At(ms));
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

// Guards against up to twice the share within one second, which comes about
// when requests at the end of a window are followed by those at the start of
// the next one.
TEST(ColdAllowance, StaysBelowTheBoundAcrossWindows)
{
  ColdServerLimits limits;
  limits.requestsPerSecond = 40;
  ColdAllowance allowance;
  unsigned sent = 0;
  EXPECT_TRUE(allowance.CanSend(limits, 0, 1, At(0)));
  allowance.OnSend(At(0));
  for (std::int64_t ms = 1200; ms < 2000; ms += 10) {
    while (allowance.CanSend(limits, 0, 1, At(ms))) {
      allowance.OnSend(At(ms));
      ++sent;
    }
  }
  EXPECT_LE(sent,
            limits.requestsPerSecond * limits.overshootFactor +
              limits.slackRequests);
}

// Guards against answers from another failure domain while the server of the
// own one is healthy, and against waiting for the latter while it is paused.
TEST(ReplicaCost, PrefersTheSameDomainUntilItStalls)
{
  const RequestProfile request{ 15, 120 };
  ReplicaStats sameDomain;
  ReplicaStats otherDomain;
  otherDomain.sameFailureDomain = false;
  EXPECT_LT(ReplicaCost(sameDomain, request),
            ReplicaCost(otherDomain, request));
  sameDomain.oldestUnansweredMs = 60;
  sameDomain.inFlight = 1;
  EXPECT_TRUE(IsStalled(sameDomain, request));
  EXPECT_GT(ReplicaCost(sameDomain, request),
            ReplicaCost(otherDomain, request));
}

// Guards against a slow or failing server that keeps its share of the requests.
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

// Guards against many endless responses that together exceed the memory, and
// against small responses that fail because of them.
TEST(MemoryBudget, BoundsAllResponsesTogetherAndPassesSmallOnes)
{
  constexpr std::size_t kLimit = std::size_t{ 20 } << 20;
  MemoryBudget memory({ .totalBytes = kLimit });
  std::deque<MemoryBudget::Charge> endless;
  std::vector<bool> open(50, true);
  for (std::size_t n = 0; n < open.size(); ++n) {
    endless.emplace_back(memory);
  }
  std::size_t peak = 0;
  for (int round = 0; round < 2000; ++round) {
    for (std::size_t n = 0; n < open.size(); ++n) {
      if (open[n] && !endless[n].TryGrow(16'384)) {
        endless[n].Release();
        open[n] = false;
      }
    }
    peak = std::max(peak, memory.UsedBytes());
    MemoryBudget::Charge small(memory);
    ASSERT_TRUE(small.TryGrow(3000));
  }
  EXPECT_LT(peak, kLimit);
  EXPECT_EQ(std::count(open.begin(), open.end(), true), 0);
  EXPECT_EQ(memory.UsedBytes(), 0U);
}

// Guards against a message whose bytes are counted twice, or stay counted.
TEST(MemoryBudget, FollowsTheSizeOfAMessage)
{
  MemoryBudget memory({ .totalBytes = 4000, .smallBytes = 100 });
  MemoryBudget::Charge charge(memory);
  EXPECT_TRUE(charge.TryResize(600));
  EXPECT_TRUE(charge.TryResize(50));
  EXPECT_EQ(memory.UsedBytes(), 50U);
  EXPECT_FALSE(charge.TryResize(3000));
  EXPECT_TRUE(charge.TryResize(0));
  EXPECT_EQ(memory.UsedBytes(), 0U);
}

// Guards against ports whose clients could together hold what the instance
// needs for servers.
TEST(ListenerLimits, LeaveRoomForServers)
{
  constexpr std::size_t kMemoryBytes = std::size_t{ 160 } << 20;
  constexpr std::size_t kDescriptors = 4100;
  std::size_t memoryBytes = 0;
  std::size_t connections = 0;
  for (const auto it : { ListenerRole::Callers,
                         ListenerRole::Instances,
                         ListenerRole::Addresses,
                         ListenerRole::Readiness,
                         ListenerRole::Metrics }) {
    const auto limits = LimitsFor(it, kMemoryBytes, kDescriptors);
    memoryBytes += limits.memory.totalBytes;
    connections += limits.maxConnections;
  }
  EXPECT_LE(memoryBytes, kMemoryBytes / 2);
  EXPECT_LE(connections, kDescriptors * 3 / 4);
}

// Guards against queries that all wait for the same overloaded shards (scale-1
// of ondt-devis-large: six of 87 shards had slow servers only, and each query
// waited for its deadline although 83 answers suffice).
TEST(SelectSkippedShards, SkipsLateShardsAsFarAsTheCoverageAllows)
{
  std::minstd_rand random(1);
  std::vector<double> expected(87, 11.0);
  EXPECT_TRUE(SelectSkippedShards(expected, 90, 4, random).empty());
  expected[3] = 150;
  EXPECT_EQ(SelectSkippedShards(expected, 90, 4, random),
            (std::vector<std::size_t>{ 3 }));
  EXPECT_TRUE(SelectSkippedShards(expected, 90, 0, random).empty());
  std::vector<unsigned> skipCounts(87);
  constexpr unsigned kQueries = 600;
  for (std::size_t n = 0; n < 6; ++n) {
    expected[n] = 150;
  }
  for (unsigned n = 0; n < kQueries; ++n) {
    const auto skipped = SelectSkippedShards(expected, 90, 4, random);
    ASSERT_EQ(skipped.size(), 4U);
    for (const auto it : skipped) {
      ++skipCounts[it];
    }
  }
  // Each of the six gets about a third of the queries.
  for (std::size_t n = 0; n < 6; ++n) {
    EXPECT_GT(skipCounts[n], kQueries / 2);
    EXPECT_LT(skipCounts[n], kQueries * 5 / 6);
  }
}

// Guards against callers being sent to an instance that has ended.
TEST(PeerTable, ForgetsAnInstanceWhoseHeartbeatStops)
{
  PeerTable table(Peer(1), {});
  auto other = Peer(2);
  other.heartbeat = 5;
  other.serving = true;
  table.Merge({ other }, At(0));
  EXPECT_EQ(table.AliveInstances(At(100)).size(), 2U);
  // The same heartbeat, forwarded by a third instance, must not extend the
  // timeout.
  table.Merge({ other }, At(1900));
  EXPECT_EQ(table.AliveInstances(At(2100)).size(), 1U);
}

// Guards against a table full of instances that no longer exist, or never did,
// which would keep out each new one.
TEST(PeerTable, ReplacesSilentInstancesWhenItIsFull)
{
  PeerTable table(Peer(1), {});
  for (unsigned n = 0; n < 5000; ++n) {
    auto invented = Peer(2);
    invented.address = boost::asio::ip::address_v4(0x0b000000 + n);
    table.Merge({ invented }, At(n / 1000));
  }
  const auto full = table.AliveInstances(At(10)).size();
  EXPECT_LT(full, 5000U);
  table.Merge({ Peer(2) }, At(10));
  EXPECT_EQ(table.AliveInstances(At(10)).size(), full);
  table.Merge({ Peer(2), Peer(3) }, At(7000));
  EXPECT_EQ(table.AliveInstances(At(7000)).size(), 3U);
}

// Guards against an instance that the others ignore after a restart, because
// its clock was set back and its new incarnation is lower.
TEST(PeerTable, RaisesItsIncarnationAboveAFormerRun)
{
  PeerTable table(Peer(1), {});
  auto former = Peer(1);
  former.incarnation = 5000;
  former.heartbeat = 77;
  table.Merge({ former }, At(0));
  EXPECT_GT(table.Self().incarnation, 5000U);
}

// Guards against two separated groups of instances that never find each other
// again.
TEST(PeerTable, PicksASeedThatIsNotAlive)
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

// Guards against limits that are divided among instances that callers don't
// use, and against a share that grows as soon as an instance stops serving,
// while callers may still use it.
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
  FleetShares nonServing("d");
  nonServing.Update({ "a", "b" }, At(0));
  EXPECT_FALSE(nonServing.IsServing());
  EXPECT_GT(nonServing.Divisor(), 2U);
}

// Guards against instances that start together and each take the whole of a
// limit before they know the others. With 61 instances after a power loss,
// servers reset 35,035 connections.
TEST(FleetShares, TakesASmallShareUntilTheFleetIsKnown)
{
  FleetShares shares("a");
  EXPECT_FALSE(shares.IsServing());
  EXPECT_GE(shares.Divisor(), 12U);
  shares.Update({ "a" }, At(0));
  EXPECT_TRUE(shares.IsServing());
  EXPECT_EQ(shares.Divisor(), 1U);
}

// Guards against two instances with the same rank for a server.
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

// Guards against instances that don't learn of each other within 40 rounds.
RC_GTEST_PROP(PeerTable, AllInstancesLearnOfEachOtherThroughOneSeed, ())
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

// Guards against a started instance that knows the fleet only after several
// gossip rounds: its first datagram must be recognized as such, so that it is
// answered at once, and no later one.
TEST(PeerTable, RecognizesNewIncarnations)
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

// Guards against a datagram from another sender or version that is accepted in
// part.
TEST(PeerTable, RejectsMalformedDatagrams)
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

// Guards against callers being sent to instances whose answers all come from
// other failure domains, and against too few instances for the load.
TEST(PickAddresses, PrefersInstancesInTheDomainOfTheServers)
{
  std::vector<AddressCandidate> candidates;
  for (unsigned n = 1; n <= 8; ++n) {
    candidates.push_back({ Ip(n), n <= 5 ? 1.0 : 0.0, 0.25, true });
  }
  const auto picked = PickAddresses(candidates);
  EXPECT_EQ(picked, (std::vector{ Ip(1), Ip(2), Ip(3), Ip(4), Ip(5) }));
  candidates.erase(candidates.begin(), candidates.begin() + 3);
  EXPECT_EQ(PickAddresses(candidates).size(), 5U);
}

// Guards against fan-out queries on the small instances of a mixed fleet, and
// against too few cores when the large ones are gone.
TEST(PickAddresses, PrefersInstancesWithManyCores)
{
  std::vector<AddressCandidate> candidates;
  for (unsigned n = 0; n < 61; ++n) {
    candidates.push_back({ Ip(n), 1, n < 6 ? 0.5 : 0.12, true });
  }
  EXPECT_EQ(PickAddresses(candidates).size(), 6U);
  candidates.erase(candidates.begin(), candidates.begin() + 6);
  const auto pickedSmall = PickAddresses(candidates);
  EXPECT_GE(pickedSmall.size(), 11U);
  EXPECT_LE(pickedSmall.size(), 16U);
}

// Guards against a fleet of which each instance reads the metadata service at
// its start, because it knows few others yet (ondt-devis-large: 195 instances,
// four calls each).
TEST(IsStrongInstance, TellsInstancesThatWaitForAReader)
{
  EXPECT_TRUE(IsStrongInstance(0.5, 0.5));
  EXPECT_TRUE(IsStrongInstance(0.25, 0.5));
  EXPECT_FALSE(IsStrongInstance(0.12, 0.5));
}

// Guards against failure domains without a serving instance, whose shards are
// fetched whole from other domains, and whose instances all read the metadata
// service: on ondt-devis-large, the 12 strong instances with the lowest
// addresses left out two of six domains.
TEST(PickAddresses, SpreadsEqualInstancesOverTheDomains)
{
  std::vector<AddressCandidate> candidates;
  for (unsigned n = 0; n < 18; ++n) {
    candidates.push_back(
      { Ip(n), 1, 0.5, true, true, "fd-" + std::to_string(n / 3) });
  }
  std::map<FailureDomain, unsigned> countByDomain;
  for (const auto& it : PickAddresses(candidates)) {
    const auto found =
      std::find_if(candidates.begin(), candidates.end(), [&](const auto& aIt) {
        return aIt.address == it;
      });
    ++countByDomain[found->failureDomain];
  }
  EXPECT_EQ(countByDomain.size(), 6U);
  for (const auto& [domain, count] : countByDomain) {
    EXPECT_EQ(count, 2U) << domain;
  }
}

// Guards against callers being sent to instances that can't serve yet while
// others can.
TEST(PickAddresses, LeavesOutInstancesThatAreNotReady)
{
  EXPECT_EQ(PickAddresses({ { Ip(1), 1, 1, false }, { Ip(2), 0, 1, true } }),
            std::vector{ Ip(2) });
  EXPECT_EQ(PickAddresses({ { Ip(1), 1, 1, false } }).size(), 1U);
}

// Guards against callers being sent to instances that a partition separates
// from most servers while other instances reach them (measured 0.57 in a run
// with partitioned zones).
TEST(PickAddresses, PrefersInstancesThatReachTheServers)
{
  EXPECT_EQ(PickAddresses(
              { { Ip(1), 1, 1, true, false }, { Ip(2), 0, 1, true, true } }),
            std::vector{ Ip(2) });
  EXPECT_EQ(PickAddresses({ { Ip(1), 1, 1, true, false } }).size(), 1U);
}

// Guards against an instance that forgets the other side of a partition at
// once, and against one that keeps an ended instance for long.
TEST(PeerTable, ReportsLostInstancesForALimitedTime)
{
  PeerTable table(Peer(1), PeerTable::Options{});
  auto other = Peer(2);
  other.serving = true;
  table.Merge({ other }, At(0));
  EXPECT_TRUE(table.RecentlyLost(At(1000)).empty());
  EXPECT_EQ(table.RecentlyLost(At(3000)).size(), 1U);
  EXPECT_TRUE(table.RecentlyLost(At(5000)).empty());
}

// Guards against an answer that doesn't hold the greatest records in byte
// order.
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
