#include "support.hpp"

#include "bronzedeal/gateway/http_listener.hpp"
#include "bronzedeal/gateway/rate_limit.hpp"
#include "bronzedeal/gateway/rate_shares.hpp"
#include "bronzedeal/gateway/return_schedule.hpp"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck/gtest.h>

namespace bronzedeal::gateway::test {

namespace {

using std::chrono::steady_clock;

TimePoint At(std::int64_t aMs)
{
  return TimePoint{} + std::chrono::hours(1) + milliseconds(aMs);
}

/// The instances of a fleet with their limits for one server in `fd-0`.
struct Fleet
{
  struct Instance
  {
    double share = 0;
    double phase = 0;
    RateLimit limit;
  };

  /// `aServing` of the instances serve callers, in `aDomains` failure domains
  /// in turn.
  Fleet(unsigned aCount, unsigned aServing, unsigned aDomains)
    : instances(aCount)
  {
    FleetView view;
    std::vector<InstanceId> servingIds;
    view.aliveCount = aCount;
    for (unsigned n = 0; n < aServing; ++n) {
      ++view.servingByDomain["fd-" + std::to_string(n % aDomains)];
      servingIds.push_back("gw-" + std::to_string(n));
    }
    for (unsigned n = 0; n < aCount; ++n) {
      RateShares shares("fd-" + std::to_string(n % aDomains));
      view.isServing = n < aServing;
      shares.Update(view);
      FleetShares fleet("gw-" + std::to_string(n));
      fleet.Update(servingIds, At(0));
      instances[n].share = shares.ShareFor("fd-0");
      instances[n].phase = fleet.PhaseFor("s-0");
    }
  }

  void State(double aRequestsPerSecond, std::int64_t aMs)
  {
    for (auto& it : instances) {
      it.limit.OnStated(aRequestsPerSecond, it.share, it.phase, At(aMs));
    }
  }

  /// Each instance sends as many requests as its limit allows; returns their
  /// number.
  unsigned SendAll(std::int64_t aMs)
  {
    unsigned sent = 0;
    for (auto& it : instances) {
      while (it.limit.CanSend(it.share, At(aMs))) {
        it.limit.OnSend(it.share, At(aMs));
        ++sent;
      }
    }
    return sent;
  }

  std::vector<Instance> instances;
};

/// Greatest number of requests in any 4 s.
unsigned BusiestWindow(
  const std::vector<std::pair<std::int64_t, unsigned>>& aSent)
{
  unsigned busiest = 0;
  unsigned sum = 0;
  std::deque<std::pair<std::int64_t, unsigned>> window;
  for (const auto& it : aSent) {
    window.push_back(it);
    sum += it.second;
    while (window.front().first <= it.first - 4000) {
      sum -= window.front().second;
      window.pop_front();
    }
    busiest = std::max(busiest, sum);
  }
  return busiest;
}

Reaction LimitedAnswer(const std::string& aRate)
{
  return { Response(
    200,
    "X-Request-Id: r-1\r\nX-Signature: s\r\nX-Rate-Limit: " + aRate + "\r\n",
    "ok") };
}

Reaction OpenAnswer()
{
  return { Response(200, "X-Request-Id: r-1\r\nX-Signature: s\r\n", "") };
}

/// A gateway with two shards; the only server of the first states a limit.
struct LimitedShardGateway : TestGateway
{
  explicit LimitedShardGateway(const std::string& aRate)
    : limited(process.context, [aRate](auto&) { return LimitedAnswer(aRate); })
    , open(process.context, [](auto&) { return OpenAnswer(); })
  {
    AddServer("s-0", "g0", limited.Address());
    AddServer("s-1", "g1", open.Address());
  }

  /// The objective leaves time for a loaded machine.
  static gateway::Route Route(double aCoverage)
  {
    auto route = FanoutRoute({ "g0", "g1" }, aCoverage);
    route.objective = milliseconds(2000);
    return route;
  }

  ScriptedServer limited;
  ScriptedServer open;
};

/// Expects a refusal before half of the route's timeout (3 s), with the time
/// until the server, which accepts a request each 2 s, accepts the next one
/// after that at `aFirst`.
void ExpectPromptRefusal(TestGateway& aGateway,
                         const std::string& aTarget,
                         TimePoint aFirst)
{
  const auto start = steady_clock::now();
  const auto refused = aGateway.Ask(aTarget);
  const auto end = steady_clock::now();
  EXPECT_EQ(refused.status, 503U);
  EXPECT_LT(end - start, milliseconds(1500));
  constexpr std::string_view kName = "Retry-After: ";
  const auto at = refused.headers.find(kName);
  ASSERT_NE(at, std::string::npos);
  const auto retryAfter = std::stod(refused.headers.substr(at + kName.size()));
  EXPECT_GE(std::chrono::duration<double>(end - aFirst).count() + retryAfter,
            1.99);
}

} // namespace

// Guards against shares of a server's limit that add up to more than the limit,
// or to much less.
RC_GTEST_PROP(RateShares, AddUpToOneOverTheFleet, ())
{
  const auto count = *rc::gen::inRange(1U, 200U);
  const auto serving = *rc::gen::inRange(1U, std::min(count, 12U) + 1);
  const auto domains = *rc::gen::inRange(1U, 7U);
  const Fleet fleet(count, serving, domains);
  const double sum =
    std::accumulate(fleet.instances.begin(),
                    fleet.instances.end(),
                    0.0,
                    [](auto aSum, auto& aIt) { return aSum + aIt.share; });
  RC_ASSERT(sum > 0.999);
  RC_ASSERT(sum < 1.001);
}

// Guards against an instance that takes a large share of a limit before it
// knows the others.
TEST(RateShares, AreSmallUntilTheFleetIsKnown)
{
  RateShares shares("fd-a");
  EXPECT_LT(shares.ShareFor("fd-a"), 0.01);
  shares.Update({ { { "fd-a", 1 } }, 1, true });
  EXPECT_EQ(shares.ShareFor("fd-a"), 1);
}

// Guards against more requests than a server accepts from all instances
// together, while each has more to send than its share, and the limit changes.
RC_GTEST_PROP(RateLimit, AllInstancesTogetherStayBelowTheBound, ())
{
  const auto count = *rc::gen::inRange(1U, 200U);
  const auto serving = *rc::gen::inRange(1U, std::min(count, 12U) + 1);
  Fleet fleet(count, serving, *rc::gen::inRange(1U, 7U));
  const double first = *rc::gen::inRange(0, 600) / 10.0;
  const double second = *rc::gen::inRange(0, 600) / 10.0;
  std::vector<std::pair<std::int64_t, unsigned>> sentFirst;
  std::vector<std::pair<std::int64_t, unsigned>> sentSecond;
  for (std::int64_t ms = 0; ms < 24'000; ms += 20) {
    fleet.State(ms < 12'000 ? first : second, ms);
    (ms < 12'000 ? sentFirst : sentSecond).emplace_back(ms, fleet.SendAll(ms));
  }
  RC_ASSERT(BusiestWindow(sentFirst) <= 1.5 * 4 * first + 5);
  RC_ASSERT(BusiestWindow(sentSecond) <= 1.5 * 4 * second + 5);
}

// Guards against instances that all spend what they have saved in an idle time
// at once.
TEST(RateLimit, StaysBelowTheBoundWhenABurstFollowsAnIdleTime)
{
  for (const double rate : { 4.0, 12.0, 60.0 }) {
    Fleet fleet(12, 12, 3);
    fleet.State(rate, 0);
    std::vector<std::pair<std::int64_t, unsigned>> sent;
    for (std::int64_t ms = 30'000; ms < 40'000; ms += 20) {
      fleet.State(rate, ms);
      sent.emplace_back(ms, fleet.SendAll(ms));
    }
    EXPECT_LE(BusiestWindow(sent), 1.5 * 4 * rate + 5) << rate;
  }
}

// Guards against leaving a limit unused although each instance has more
// requests than its share.
TEST(RateLimit, AllInstancesTogetherUseTheLimit)
{
  Fleet fleet(6, 6, 3);
  fleet.State(20, 0);
  unsigned sent = 0;
  for (std::int64_t ms = 0; ms < 10'000; ms += 10) {
    sent += fleet.SendAll(ms);
  }
  EXPECT_GE(sent, 190U);
}

// Guards against a limit that is never known to have ended, because a server
// that accepts nothing gets no request whose answer could tell.
TEST(RateLimit, StillSendsSeldomToAServerThatAcceptsNothing)
{
  Fleet fleet(6, 6, 3);
  fleet.State(0, 0);
  unsigned sent = 0;
  for (std::int64_t ms = 0; ms < 20'000; ms += 10) {
    sent += fleet.SendAll(ms);
  }
  EXPECT_GE(sent, 5U);
  EXPECT_LE(sent, 15U);
}

// Guards against ending a limit because of an answer that the server gave
// before it stated the limit.
TEST(RateLimit, EndsOnlyWithTheAnswerToALaterRequest)
{
  RateLimit limit;
  limit.OnStated(10, 0, 0, At(100));
  limit.OnNotStated(At(50));
  EXPECT_TRUE(limit.RequestsPerSecond().has_value());
  limit.OnNotStated(At(150));
  EXPECT_FALSE(limit.RequestsPerSecond().has_value());
  EXPECT_TRUE(limit.CanSend(0, At(150)));
}

// Guards against a limit that is ignored, or misread, because of its text.
TEST(ParseRequestRate, AcceptsDecimalNumbersOnly)
{
  EXPECT_EQ(ParseRequestRate("22"), 22.0);
  EXPECT_EQ(ParseRequestRate("0.5"), 0.5);
  EXPECT_EQ(ParseRequestRate("0"), 0.0);
  for (const auto* it :
       { "", "-1", "1e3", "nan", "inf", "12 ", " 12", "1,5", "many" }) {
    EXPECT_FALSE(ParseRequestRate(it).has_value()) << it;
  }
}

// Guards against refused callers that all return at the same moment, of whom
// one can be served.
TEST(ReturnSchedule, SpreadsTheReturnsOverTheRate)
{
  ReturnSchedule schedule;
  const auto next = [&](std::int64_t aMs) {
    return schedule.Next(milliseconds(200), milliseconds(500), At(aMs));
  };
  EXPECT_EQ(next(0), milliseconds(200));
  EXPECT_EQ(next(0), milliseconds(700));
  EXPECT_EQ(next(100), milliseconds(1100));
  for (int n = 0; n < 100; ++n) {
    EXPECT_LE(next(100), milliseconds(5000));
  }
  EXPECT_EQ(next(20'000), milliseconds(200));
}

// Guards against requests that were queued before a server stated its limit
// and are sent in spite of it.
TEST(BackendServer, DropsQueuedRequestsAboveTheServersLimit)
{
  TestGateway fixture;
  ScriptedServer server(fixture.process.context,
                        [](auto&) { return LimitedAnswer("1"); });
  fixture.AddServer("s-0", "g0", server.Address());
  const auto backend = fixture.servers.Find("s-0");
  backend->SetMaxConnections(1);
  auto request = std::make_shared<ServerRequest>();
  request->head = "GET /a HTTP/1.1\r\nHost: shop.example\r\n";
  request->requestId = "r-1";
  request->deadline = steady_clock::now() + std::chrono::seconds(5);
  std::vector<AttemptFault> faults;
  for (int n = 0; n < 8; ++n) {
    backend->Send(request,
                  [&](AttemptResult aResult, AttemptFault aFault, auto*) {
                    EXPECT_EQ(aResult == AttemptResult::NotRun,
                              aFault == AttemptFault::RateLimited);
                    faults.push_back(aFault);
                  });
  }
  fixture.RunUntil([&] { return faults.size() == 8; });
  EXPECT_EQ(server.Requests().size(), 1U);
  EXPECT_EQ(std::count(faults.begin(), faults.end(), AttemptFault::RateLimited),
            7);
  EXPECT_FALSE(backend->IsUsable(steady_clock::now()));
  EXPECT_TRUE(backend->IsAvailable(steady_clock::now()));
}

// Guards against a limit that ends because the server, being full, refuses a
// request before it states its limit.
TEST(BackendServer, KeepsTheLimitOfAServerThatRefuses)
{
  TestGateway fixture;
  unsigned count = 0;
  ScriptedServer server(fixture.process.context, [&](auto&) {
    return count++ == 0 ? LimitedAnswer("1000")
                        : Reaction{ Response(503, "X-Not-Run: 1\r\n", "") };
  });
  fixture.AddServer("s-0", "g0", server.Address());
  const auto backend = fixture.servers.Find("s-0");
  auto request = std::make_shared<ServerRequest>();
  request->head = "GET /a HTTP/1.1\r\nHost: shop.example\r\n";
  request->requestId = "r-1";
  request->deadline = steady_clock::now() + std::chrono::seconds(5);
  for (unsigned n = 1; n <= 2; ++n) {
    unsigned finished = 0;
    backend->Send(request, [&](auto, auto, auto*) { ++finished; });
    fixture.RunUntil([&] { return finished == 1; });
    const auto later = steady_clock::now() + milliseconds(5);
    fixture.RunUntil([&] { return steady_clock::now() >= later; });
  }
  EXPECT_EQ(server.Requests().size(), 2U);
  EXPECT_TRUE(backend->AllowedRate().has_value());
}

// Guards against a caller that waits for its deadline although the limits of
// all servers are known to be used up, against a wrong time to return, and
// against a refused request that runs nevertheless.
TEST(SingleExchange, RefusesAtOnceWhenTheLimitsOfAllServersAreUsedUp)
{
  TestGateway fixture;
  ScriptedServer server(fixture.process.context,
                        [](auto&) { return LimitedAnswer("0.5"); });
  fixture.AddServer("s-0", "g0", server.Address());
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  const auto first = steady_clock::now();
  EXPECT_EQ(fixture.Ask("/one/a").status, 200U);
  ExpectPromptRefusal(fixture, "/one/a", first);
  const auto later = steady_clock::now() + milliseconds(300);
  fixture.RunUntil([&] { return steady_clock::now() >= later; });
  EXPECT_EQ(server.Requests().size(), 1U);
}

// Guards against queries that wait for their deadline although the limits of
// the only servers of a needed shard are known to be used up, and against a
// refusal that isn't true.
TEST(FanoutExchange, RefusesAtOnceWhenTheLimitsOfNeededShardsAreUsedUp)
{
  LimitedShardGateway fixture("0.5");
  fixture.Publish({ LimitedShardGateway::Route(1) });
  const auto first = steady_clock::now();
  EXPECT_EQ(fixture.Ask("/all/a").status, 200U);
  ExpectPromptRefusal(fixture, "/all/a", first);
  EXPECT_EQ(fixture.open.Requests().size(), 1U);
}

// Guards against refusing a query that a server accepts a few milliseconds
// later.
TEST(FanoutExchange, WaitsBrieflyForTheLimitOfANeededShard)
{
  LimitedShardGateway fixture("30");
  fixture.Publish({ LimitedShardGateway::Route(1) });
  for (int n = 0; n < 8; ++n) {
    EXPECT_EQ(fixture.Ask("/all/a").status, 200U);
  }
}

// Guards against answers that lack a shard whose limit is used up when the
// coverage allows it, but come only at the end of the objective.
TEST(FanoutExchange, LeavesOutAShardWhoseLimitIsUsedUp)
{
  LimitedShardGateway fixture("0.5");
  const auto route = LimitedShardGateway::Route(0.5);
  fixture.Publish({ route });
  EXPECT_EQ(fixture.Ask("/all/a").status, 200U);
  const auto start = steady_clock::now();
  const auto reply = fixture.Ask("/all/a");
  EXPECT_EQ(reply.status, 200U);
  EXPECT_NE(reply.headers.find("X-Missing-Shards: 1"), std::string::npos);
  EXPECT_LT(steady_clock::now() - start, route.objective / 2);
}

// Guards against requests above the limit at one server while another server
// of the group accepts them.
TEST(SingleExchange, UsesTheServersThatStateNoLimit)
{
  TestGateway fixture;
  ScriptedServer limited(fixture.process.context,
                         [](auto&) { return LimitedAnswer("0.1"); });
  ScriptedServer open(fixture.process.context,
                      [](auto&) { return OpenAnswer(); });
  fixture.AddServer("s-0", "g0", limited.Address());
  fixture.AddServer("s-1", "g0", open.Address());
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  for (int n = 0; n < 20; ++n) {
    EXPECT_EQ(fixture.Ask("/one/a").status, 200U);
  }
  EXPECT_LE(limited.Requests().size(), 2U);
}

// Guards against giving up an instance that gathers for this one because a
// server's limit kept it from sending, and against asking it again for that
// server meanwhile.
TEST(PartialQuery, UsesOtherServersThanThoseThatAreWithheld)
{
  unsigned partialQueries = 0;
  TestGateway fixture;
  HttpListener peerListener(
    fixture.process,
    { asio::ip::address_v4::loopback(), 0 },
    [&](const CallerRequest& aRequest, const ReplyHandler& aReply) {
      ++partialQueries;
      const auto query = DecodePartialQuery(aRequest.message);
      std::vector<ShardResult> results;
      for (const auto& it : query->shards) {
        if (it.group != "g1") {
          results.push_back({ it.group, "p-" + it.group });
        }
      }
      CallerReply reply;
      reply.headers =
        EncodeShardResults(results) +
        EncodeWithheldServers({ { "s-1-far", milliseconds(1000) } });
      reply.body = std::string(16, 'c');
      aReply(std::move(reply));
      return nullptr;
    });
  fixture.process.settings.gossipEndpoint.port(peerListener.Address().port());
  PeerState peer;
  peer.address = asio::ip::address_v4::loopback();
  peer.instance = "gw-1";
  peer.failureDomain = "fd-b";
  peer.serving = true;
  peer.ready = true;
  fixture.gateway.Peers().Update({ peer });
  const auto answer = [](auto&) {
    return Reaction{ Response(200,
                              "X-Request-Id: r-1\r\nX-Signature: near\r\n",
                              std::string(16, 'a')) };
  };
  ScriptedServer far(fixture.process.context, answer);
  ScriptedServer distant(fixture.process.context, answer);
  fixture.AddServer("s-1-far", "g1", far.Address(), "fd-b");
  fixture.AddServer("s-1-distant", "g1", distant.Address(), "fd-c");
  for (const auto* it : { "g2", "g3" }) {
    fixture.AddServer(std::string("s-") + it, it, far.Address(), "fd-b");
  }
  fixture.Publish({ TestGateway::FanoutRoute({ "g1", "g2", "g3" }, 1) });
  EXPECT_EQ(fixture.Ask("/all/x").status, 200U);
  EXPECT_EQ(fixture.Ask("/all/x").status, 200U);
  EXPECT_EQ(partialQueries, 2U);
  EXPECT_TRUE(far.Requests().empty());
  EXPECT_FALSE(fixture.servers.Find("s-1-far")->IsUsable(steady_clock::now()));
}

// Guards against a partial answer from which a malformed entry is taken as a
// server, or withholds one without end.
TEST(PartialQuery, DecodesOnlyWellFormedWithheldServers)
{
  ResponseMessage response;
  response.set("X-Bronzedeal-Withheld", "s-1=20 s-2 s-3= s-4=-5 s-5=99999999");
  const auto servers = DecodeWithheldServers(response);
  ASSERT_EQ(servers.size(), 2U);
  EXPECT_EQ(servers[0].server, "s-1");
  EXPECT_EQ(servers[0].wait, milliseconds(20));
  EXPECT_EQ(servers[1].server, "s-5");
  EXPECT_LE(servers[1].wait, milliseconds(5000));
  EXPECT_TRUE(EncodeWithheldServers({}).empty());
}

} // namespace bronzedeal::gateway::test
