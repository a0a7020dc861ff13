#include "support.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace bronzedeal::gateway::test {

namespace {

Reaction Answer(const std::string& aBody = "ok")
{
  return { Response(200, "X-Request-Id: r-1\r\nX-Signature: s\r\n", aBody) };
}

Reaction Part(const std::string& aSignature, const std::string& aBody)
{
  return { Response(
    200, "X-Request-Id: r-1\r\nX-Signature: " + aSignature + "\r\n", aBody) };
}

std::string Record(char aByte)
{
  return std::string(16, aByte);
}

} // namespace

// Guards against requests that reach a server with another path or without the
// id of the server that is meant.
TEST(SingleExchange, ForwardsTheRequestUnchanged)
{
  TestGateway world;
  ScriptedServer server(world.process.context, [](auto&) { return Answer(); });
  world.AddServer("s-0", "g0", server.Address());
  world.Publish({ TestGateway::SingleRoute(Repeatability::Idempotent) });
  const auto reply = world.Ask("/one/a?b=c");
  EXPECT_EQ(reply.status, 200U);
  EXPECT_EQ(reply.body, "ok");
  ASSERT_EQ(server.Requests().size(), 1U);
  const auto& request = server.Requests().front();
  EXPECT_TRUE(request.starts_with("GET /one/a?b=c HTTP/1.1\r\n"));
  EXPECT_NE(request.find("X-Expected-Server: s-0\r\n"), std::string::npos);
  EXPECT_NE(request.find("X-Request-Id: r-1\r\n"), std::string::npos);
  EXPECT_NE(request.find("X-Time-Left-Ms: "), std::string::npos);
}

// Guards against a second run of an at-most-once request after a lost answer.
TEST(SingleExchange, DoesNotRepeatAnAtMostOnceRequestThatMayHaveRun)
{
  TestGateway world;
  const auto lose = [](auto&) { return Reaction{ "", {}, false, true }; };
  ScriptedServer first(world.process.context, lose);
  ScriptedServer second(world.process.context, lose);
  world.AddServer("s-0", "g0", first.Address());
  world.AddServer("s-1", "g0", second.Address());
  world.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  const auto reply = world.Ask("/one/a");
  EXPECT_EQ(reply.status, 502U);
  EXPECT_EQ(first.Requests().size() + second.Requests().size(), 1U);
}

// Guards against giving up a request that a full server has refused.
TEST(SingleExchange, RepeatsAnAtMostOnceRequestThatProvablyDidNotRun)
{
  TestGateway world;
  unsigned refused = 0;
  const auto script = [&](auto&) {
    return refused++ == 0 ? Reaction{ Response(503, "X-Not-Run: 1\r\n", "") }
                          : Answer();
  };
  ScriptedServer first(world.process.context, script);
  ScriptedServer second(world.process.context, script);
  world.AddServer("s-0", "g0", first.Address());
  world.AddServer("s-1", "g0", second.Address());
  world.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  EXPECT_EQ(world.Ask("/one/a").status, 200U);
  EXPECT_EQ(first.Requests().size() + second.Requests().size(), 2U);
}

// Guards against a false promise: a 503 without the proof may have run.
TEST(SingleExchange, DoesNotPassOnAnUnprovenPromise)
{
  TestGateway world;
  ScriptedServer server(world.process.context, [](auto&) {
    return Reaction{ Response(503, "X-Signature: s\r\n", "") };
  });
  world.AddServer("s-0", "g0", server.Address());
  world.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  const auto reply = world.Ask("/one/a");
  EXPECT_EQ(reply.status, 502U);
  EXPECT_EQ(reply.headers.find("X-Signature"), std::string::npos);
}

// Guards against the loss of an idempotent request with one broken server.
TEST(SingleExchange, RepeatsAnIdempotentRequestElsewhere)
{
  TestGateway world;
  unsigned lost = 0;
  const auto script = [&](auto&) {
    return lost++ == 0 ? Reaction{ "", {}, false, true } : Answer();
  };
  ScriptedServer first(world.process.context, script);
  ScriptedServer second(world.process.context, script);
  world.AddServer("s-0", "g0", first.Address());
  world.AddServer("s-1", "g0", second.Address());
  world.Publish({ TestGateway::SingleRoute(Repeatability::Idempotent) });
  EXPECT_EQ(world.Ask("/one/a").status, 200U);
}

// Guards against 502 for a request that met a forgotten idle connection at each
// server that its route allows (soak seeds 3008 and 2003): the same servers are
// asked again, and no others.
TEST(SingleExchange, AsksTheSameServersAgainWhenAllBrokeOff)
{
  TestGateway world;
  unsigned lost = 0;
  const auto script = [&](auto&) {
    return lost++ < 2 ? Reaction{ "", {}, false, true } : Answer();
  };
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  for (int n = 0; n < 4; ++n) {
    servers.push_back(
      std::make_unique<ScriptedServer>(world.process.context, script));
    world.AddServer("s-" + std::to_string(n), "g0", servers.back()->Address());
  }
  world.Publish({ TestGateway::SingleRoute(Repeatability::Idempotent) });
  EXPECT_EQ(world.Ask("/one/a").status, 200U);
  const auto used =
    std::count_if(servers.begin(), servers.end(), [](const auto& aIt) {
      return !aIt->Requests().empty();
    });
  EXPECT_EQ(used, 2);
}

// Guards against an answer of another request reaching a caller.
TEST(SingleExchange, DropsAnAnswerWithAnotherId)
{
  TestGateway world;
  unsigned count = 0;
  ScriptedServer server(world.process.context, [&](auto&) {
    return count++ == 0
             ? Reaction{ Response(200, "X-Request-Id: other\r\n", "wrong") }
             : Answer("right");
  });
  world.AddServer("s-0", "g0", server.Address());
  world.Publish({ TestGateway::SingleRoute(Repeatability::Idempotent) });
  EXPECT_EQ(world.Ask("/one/a").body, "right");
  EXPECT_EQ(server.ConnectionCount(), 2U);
}

// Guards against an answer that is cut short but looks complete.
TEST(SingleExchange, TakesNoTruncatedAnswer)
{
  TestGateway world;
  ScriptedServer server(world.process.context, [](auto&) {
    return Reaction{ "HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nabc",
                     {},
                     true };
  });
  world.AddServer("s-0", "g0", server.Address());
  world.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  EXPECT_EQ(world.Ask("/one/a").status, 502U);
}

// Guards against the reuse of a connection on which surplus bytes came.
TEST(SingleExchange, DoesNotReuseAConnectionWithSurplusBytes)
{
  TestGateway world;
  ScriptedServer server(world.process.context, [](auto&) {
    auto reaction = Answer();
    reaction.bytes += Response(200, "X-Request-Id: r-1\r\n", "surplus");
    return reaction;
  });
  world.AddServer("s-0", "g0", server.Address());
  world.Publish({ TestGateway::SingleRoute(Repeatability::Idempotent) });
  EXPECT_EQ(world.Ask("/one/a").body, "ok");
  EXPECT_EQ(world.Ask("/one/a").body, "ok");
  EXPECT_EQ(server.ConnectionCount(), 2U);
}

// Guards against a request without a reachable server being held until its
// end in place of a refusal that says when to come back.
TEST(SingleExchange, RefusesWhenNoServerCanBeReached)
{
  TestGateway world;
  auto route = TestGateway::SingleRoute(Repeatability::AtMostOnce);
  route.timeout = std::chrono::seconds(60);
  world.Publish({ route });
  const auto reply = world.Ask("/one/a");
  EXPECT_EQ(reply.status, 503U);
  EXPECT_NE(reply.headers.find("Retry-After: "), std::string::npos);
}

// Guards against a 421 being taken for an answer.
TEST(SingleExchange, GoesElsewhereWhenTheAddressIsAnotherServers)
{
  TestGateway world;
  ScriptedServer other(world.process.context,
                       [](auto&) { return Reaction{ Response(421, "", "") }; });
  ScriptedServer right(world.process.context, [](auto&) { return Answer(); });
  world.AddServer("s-0", "g0", other.Address());
  world.AddServer("s-1", "g0", right.Address(), "fd-b");
  world.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  EXPECT_EQ(world.Ask("/one/a").status, 200U);
  EXPECT_EQ(world.Ask("/one/a").status, 200U);
  EXPECT_EQ(other.Requests().size(), 1U);
}

// Guards against work for a caller that has left.
TEST(SingleExchange, ClosesTheConnectionAfterTheCallerHasLeft)
{
  TestGateway world;
  ScriptedServer server(world.process.context, [](auto&) {
    Reaction reaction;
    reaction.silent = true;
    return reaction;
  });
  world.AddServer("s-0", "g0", server.Address());
  world.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  bool replied = false;
  const auto exchange =
    world.gateway.Handle(TestGateway::Request("/one/a"),
                         [&](const CallerReply&) { replied = true; });
  world.RunUntil([&] { return !server.Requests().empty(); });
  exchange->Cancel();
  world.RunUntil([&] { return server.ClosedCount() == 1; });
  EXPECT_EQ(server.ClosedCount(), 1U);
  EXPECT_FALSE(replied);
}

// Guards against a merged answer that isn't the greatest records of the parts
// that it names.
TEST(FanoutExchange, MergesTheGreatestRecordsOfAllShards)
{
  TestGateway world;
  ScriptedServer first(world.process.context, [](auto&) {
    return Part("p0", Record('a') + Record('d') + "rest");
  });
  ScriptedServer second(world.process.context, [](auto&) {
    return Part("p1", Record('d') + Record('c'));
  });
  world.AddServer("s-0", "g0", first.Address());
  world.AddServer("s-1", "g1", second.Address());
  world.Publish({ TestGateway::FanoutRoute({ "g0", "g1" }, 1) });
  const auto reply = world.Ask("/all/x");
  EXPECT_EQ(reply.status, 200U);
  EXPECT_EQ(reply.body, Record('d') + Record('d') + Record('c'));
  EXPECT_NE(reply.headers.find("X-Part-Signatures: p0, p1\r\n"),
            std::string::npos);
  EXPECT_NE(reply.headers.find("X-Missing-Shards: 0\r\n"), std::string::npos);
}

// Guards against a failure of a server being counted as a part.
TEST(FanoutExchange, LeavesOutAShardThatOnlyFails)
{
  TestGateway world;
  ScriptedServer good(world.process.context,
                      [](auto&) { return Part("p0", Record('a')); });
  ScriptedServer bad(world.process.context, [](auto&) {
    return Reaction{ Response(500, "X-Signature: bad\r\n", Record('z')) };
  });
  world.AddServer("s-0", "g0", good.Address());
  world.AddServer("s-1", "g1", bad.Address());
  world.Publish({ TestGateway::FanoutRoute({ "g0", "g1" }, 0.5) });
  const auto reply = world.Ask("/all/x");
  EXPECT_EQ(reply.status, 200U);
  EXPECT_EQ(reply.body, Record('a'));
  EXPECT_NE(reply.headers.find("X-Missing-Shards: 1\r\n"), std::string::npos);
  EXPECT_EQ(reply.headers.find("bad"), std::string::npos);
}

// Guards against a success with less than the least coverage.
TEST(FanoutExchange, FailsBelowTheLeastCoverage)
{
  TestGateway world;
  ScriptedServer good(world.process.context,
                      [](auto&) { return Part("p0", Record('a')); });
  ScriptedServer bad(world.process.context, [](auto&) {
    return Reaction{ Response(500, "X-Signature: bad\r\n", "") };
  });
  world.AddServer("s-0", "g0", good.Address());
  world.AddServer("s-1", "g1", bad.Address());
  auto route = TestGateway::FanoutRoute({ "g0", "g1" }, 1);
  route.timeout = milliseconds(500);
  world.Publish({ route });
  EXPECT_EQ(world.Ask("/all/x").status, 504U);
}

// Guards against a paused server holding up a whole query.
TEST(FanoutExchange, AsksAnotherServerOfASilentShard)
{
  TestGateway world;
  ScriptedServer silent(world.process.context, [](auto&) {
    Reaction reaction;
    reaction.silent = true;
    return reaction;
  });
  ScriptedServer good(world.process.context,
                      [](auto&) { return Part("p0", Record('a')); });
  world.AddServer("s-0", "g0", silent.Address());
  world.AddServer("s-1", "g0", good.Address(), "fd-b");
  world.Publish({ TestGateway::FanoutRoute({ "g0" }, 1) });
  EXPECT_EQ(world.Ask("/all/x").status, 200U);
}

// Guards against a refusal after servers have worked on the request, and
// against silence where too few shards can be reached.
TEST(FanoutExchange, RefusesAtOnceWhenTooFewShardsHaveAServer)
{
  TestGateway world;
  ScriptedServer good(world.process.context,
                      [](auto&) { return Part("p0", Record('a')); });
  world.AddServer("s-0", "g0", good.Address());
  world.Publish({ TestGateway::FanoutRoute({ "g0", "g1" }, 1) });
  const auto reply = world.Ask("/all/x");
  EXPECT_EQ(reply.status, 503U);
  EXPECT_TRUE(good.Requests().empty());
}

// Guards against parts of two versions in one answer: a query keeps the shards
// of the version that it started with.
TEST(FanoutExchange, KeepsTheShardsOfItsVersion)
{
  TestGateway world;
  const auto part = [](const std::string& aName) {
    return [aName](auto&) {
      auto reaction = Part(aName, Record('a'));
      reaction.delay = milliseconds(30);
      return reaction;
    };
  };
  ScriptedServer before(world.process.context, part("old"));
  ScriptedServer after(world.process.context, part("new"));
  world.AddServer("s-0", "g0", before.Address());
  world.AddServer("s-1", "g1", after.Address());
  world.Publish({ TestGateway::FanoutRoute({ "g0" }, 1) });
  std::optional<CallerReply> reply;
  const auto exchange =
    world.gateway.Handle(TestGateway::Request("/all/x"),
                         [&](CallerReply aReply) { reply = aReply; });
  world.Publish({ TestGateway::FanoutRoute({ "g1" }, 1) });
  world.RunUntil([&] { return reply.has_value(); });
  EXPECT_NE(reply->headers.find("X-Part-Signatures: old\r\n"),
            std::string::npos);
  EXPECT_NE(world.Ask("/all/x").headers.find("X-Part-Signatures: new\r\n"),
            std::string::npos);
}

// Guards against new work for a server that leaves or whose domain operators
// have taken out.
TEST(ServerRegistry, SendsNothingToDrainingOrWithdrawnServers)
{
  TestGateway world;
  ScriptedServer server(world.process.context, [](auto&) { return Answer(); });
  world.AddServer("s-0", "g0", server.Address());
  auto route = TestGateway::SingleRoute(Repeatability::Idempotent);
  route.timeout = milliseconds(200);
  world.Publish({ route });
  world.servers.SetWithdrawn("fd-a", true);
  EXPECT_EQ(world.Ask("/one/a").status, 503U);
  world.servers.SetWithdrawn("fd-a", false);
  ServerRecord record;
  record.id = "s-0";
  record.group = "g0";
  record.address = server.Address();
  record.failureDomain = "fd-a";
  record.draining = true;
  world.servers.Upsert(record, std::chrono::steady_clock::now());
  EXPECT_EQ(world.Ask("/one/a").status, 503U);
  EXPECT_TRUE(server.Requests().empty());
}

// Guards against a configuration that goes back within one process.
TEST(Gateway, RefusesAnOlderVersion)
{
  TestGateway world;
  RouteConfig config;
  config.version = 5;
  EXPECT_TRUE(world.gateway.ActivateConfig(config));
  EXPECT_FALSE(world.gateway.ActivateConfig(config));
  config.version = 4;
  EXPECT_FALSE(world.gateway.ActivateConfig(config));
  EXPECT_EQ(world.gateway.Table()->Version(), 5U);
}

// Guards against a 404 from an instance that knows no configuration yet.
TEST(Gateway, AnswersNotYetWithoutAConfiguration)
{
  TestGateway world;
  EXPECT_EQ(world.Ask("/one/a").status, 503U);
}

// Guards against weights that a route's targets don't get.
TEST(Gateway, DividesRequestsByWeight)
{
  TestGateway world;
  ScriptedServer heavy(world.process.context, [](auto&) { return Answer(); });
  ScriptedServer light(world.process.context, [](auto&) { return Answer(); });
  world.AddServer("s-0", "g0", heavy.Address());
  world.AddServer("s-1", "g1", light.Address());
  auto route = TestGateway::SingleRoute(Repeatability::Idempotent);
  route.targets = { { "g0", 3 }, { "g1", 1 } };
  world.Publish({ route });
  for (int n = 0; n < 8; ++n) {
    EXPECT_EQ(world.Ask("/one/a").status, 200U);
  }
  EXPECT_EQ(heavy.Requests().size(), 6U);
  EXPECT_EQ(light.Requests().size(), 2U);
}

} // namespace bronzedeal::gateway::test
