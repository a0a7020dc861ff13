#include "support.hpp"

#include <gtest/gtest.h>

namespace bronzedeal::gateway::test {

namespace {

using process::Gauge;
using std::chrono::steady_clock;

/// A server that answers after a while.
ScriptedServer::Script Slow()
{
  return [](auto&) {
    Reaction reaction{ Response(200, "X-Signature: s\r\n", "ok") };
    reaction.delay = milliseconds(150);
    return reaction;
  };
}

} // namespace

// Guards against a report that former traffic has stopped while a request still
// runs under the version of before.
TEST(Withdrawal, AVersionRetiresWithItsLastRequest)
{
  World world;
  ScriptedServer server(world.process.context, Slow());
  world.AddServer("s-0", "g0", server.Address());
  world.Publish({ World::SingleRoute(Repeatability::Idempotent) });
  std::optional<CallerReply> reply;
  auto exchange =
    world.gateway.Handle(World::Request("/one/a"), [&](CallerReply aReply) {
      reply = std::move(aReply);
    });
  world.RunUntil([&] { return !server.Requests().empty(); });
  world.Publish({});
  EXPECT_EQ(world.process.metrics.Value(Gauge::FormerVersions), 1);
  world.RunUntil([&] { return reply.has_value(); });
  EXPECT_EQ(reply->status, 200U);
  exchange.reset();
  EXPECT_EQ(world.process.metrics.Value(Gauge::FormerVersions), 0);
}

// Guards against versions that never retire, or that retire without a trace.
TEST(Withdrawal, AVersionWithoutRequestsRetiresAtOnce)
{
  World world;
  world.Publish({});
  world.Publish({});
  EXPECT_EQ(world.process.metrics.Value(Gauge::FormerVersions), 0);
}

// Guards against a report that a failure domain is free of work while one of
// its servers still runs a request.
TEST(Withdrawal, ADomainIsQuietWithItsLastRequest)
{
  World world;
  ScriptedServer server(world.process.context, Slow());
  world.AddServer("s-0", "g0", server.Address());
  world.Publish({ World::SingleRoute(Repeatability::Idempotent) });
  std::optional<CallerReply> reply;
  const auto exchange =
    world.gateway.Handle(World::Request("/one/a"), [&](CallerReply aReply) {
      reply = std::move(aReply);
    });
  world.RunUntil([&] { return !server.Requests().empty(); });
  world.servers.SetWithdrawn("fd-a", true);
  const auto left = [&] {
    return world.process.metrics.Value(Gauge::WithdrawnInFlight);
  };
  EXPECT_EQ(left(), 1);
  world.RunUntil([&] { return left() == 0; });
  EXPECT_TRUE(reply.has_value());
}

} // namespace bronzedeal::gateway::test
