#include "support.hpp"

#include <gtest/gtest.h>

namespace bronzedeal::gateway::test {

namespace {

using process::Gauge;

/// A gateway with a request in progress at its only server, which answers after
/// a while.
struct Busy : TestGateway
{
  Busy()
    : server(process.context, [](auto&) {
      Reaction reaction{ Response(200, "X-Signature: s\r\n", "ok") };
      reaction.delay = milliseconds(150);
      return reaction;
    })
  {
    AddServer("s-0", "g0", server.Address());
    Publish({ SingleRoute(Repeatability::Idempotent) });
    exchange = gateway.Handle(Request("/one/a"), [this](CallerReply aReply) {
      reply = std::move(aReply);
    });
    RunUntil([this] { return !server.Requests().empty(); });
  }

  [[nodiscard]] double Value(Gauge aGauge) const
  {
    return process.metrics.Value(aGauge);
  }

  ScriptedServer server;
  std::optional<CallerReply> reply;
  std::shared_ptr<Exchange> exchange;
};

} // namespace

// Guards against a report that former traffic has stopped while a request still
// runs under the version of before.
TEST(Withdrawal, AVersionRetiresWithItsLastRequest)
{
  Busy world;
  world.Publish({});
  EXPECT_EQ(world.Value(Gauge::FormerVersions), 1);
  world.RunUntil([&] { return world.reply.has_value(); });
  EXPECT_EQ(world.reply->status, 200U);
  world.exchange.reset();
  EXPECT_EQ(world.Value(Gauge::FormerVersions), 0);
}

// Guards against versions that never retire, or that retire without a trace.
TEST(Withdrawal, AVersionWithoutRequestsRetiresAtOnce)
{
  TestGateway world;
  world.Publish({});
  world.Publish({});
  EXPECT_EQ(world.process.metrics.Value(Gauge::FormerVersions), 0);
}

// Guards against a report that a failure domain is free of work while one of
// its servers still runs a request.
TEST(Withdrawal, ADomainIsQuietWithItsLastRequest)
{
  Busy world;
  world.servers.SetWithdrawn("fd-a", true);
  EXPECT_EQ(world.Value(Gauge::WithdrawnInFlight), 1);
  world.RunUntil([&] { return world.Value(Gauge::WithdrawnInFlight) == 0; });
  EXPECT_TRUE(world.reply.has_value());
}

} // namespace bronzedeal::gateway::test
