#include "support.hpp"

#include <gtest/gtest.h>

namespace bronzedeal::gateway::test {

namespace {

using std::chrono::steady_clock;

std::shared_ptr<ServerRequest> MakeRequest()
{
  auto request = std::make_shared<ServerRequest>();
  request->head = "GET /a HTTP/1.1\r\nHost: shop.example\r\n";
  request->deadline = steady_clock::now() + std::chrono::seconds(5);
  return request;
}

ServerRecord MakeRecord(const tcp::endpoint& aAddress)
{
  ServerRecord record;
  record.id = "s-0";
  record.group = "g0";
  record.address = aAddress;
  record.failureDomain = "fd-a";
  record.slots = 2;
  return record;
}

} // namespace

// Guards against the first queries over a new set of shards all waiting for
// connections (gaonsan-hide-grown, scale-1, seconds 6 to 8).
TEST(BackendServer, OpensAConnectionAheadOfRequests)
{
  TestGateway world;
  ScriptedServer server(world.process.context,
                        [](auto&) { return Reaction{}; });
  world.AddServer("s-0", "g0", server.Address());
  world.RunUntil([&] { return server.ConnectionCount() == 1; });
  EXPECT_EQ(server.ConnectionCount(), 1U);
  world.servers.PreconnectAll();
  const auto later = steady_clock::now() + milliseconds(50);
  world.RunUntil([&] { return steady_clock::now() >= later; });
  EXPECT_EQ(server.ConnectionCount(), 1U);
  EXPECT_TRUE(server.Requests().empty());
}

// Guards against a request on each of the idle connections that a server has
// forgotten, one lost after the other (idle_race).
TEST(BackendServer, TakesNoConnectionThatRestedLikeAForgottenOne)
{
  TestGateway world;
  unsigned seen = 0;
  ScriptedServer server(world.process.context, [&](auto&) {
    // Two connections are in use together and rest; then both are forgotten.
    Reaction reaction{ Response(200, "", "ok") };
    reaction.delay = milliseconds(seen < 2 ? 50 : 0);
    return ++seen == 3 ? Reaction{ "", {}, false, true } : reaction;
  });
  const auto backend = std::make_shared<BackendServer>(
    world.process, MakeRecord(server.Address()));
  backend->SetMaxConnections(10);
  std::vector<AttemptResult> results;
  const auto send = [&] {
    backend->Send(MakeRequest(), [&](AttemptResult aResult, auto, auto*) {
      results.push_back(aResult);
    });
  };
  send();
  send();
  world.RunUntil([&] { return results.size() == 2; });
  ASSERT_EQ(server.ConnectionCount(), 2U);
  const auto later = steady_clock::now() + milliseconds(300);
  world.RunUntil([&] { return steady_clock::now() >= later; });
  send();
  world.RunUntil([&] { return results.size() == 3; });
  EXPECT_EQ(results[2], AttemptResult::OutcomeUnknown);
  send();
  world.RunUntil([&] { return results.size() == 4; });
  EXPECT_EQ(results[3], AttemptResult::Answered);
  EXPECT_EQ(server.ConnectionCount(), 3U);
}

// Guards against a server that was full getting the same requests again at once
// until the repeats of its group are spent.
TEST(BackendServer, IsLeftAloneForAMomentWhenItWasFull)
{
  TestGateway world;
  ScriptedServer server(world.process.context, [](auto&) {
    return Reaction{ Response(503, "X-Not-Run: 1\r\n", "") };
  });
  const auto backend = std::make_shared<BackendServer>(
    world.process, MakeRecord(server.Address()));
  backend->SetMaxConnections(10);
  EXPECT_TRUE(backend->IsUsable(steady_clock::now()));
  bool refused = false;
  backend->Send(MakeRequest(), [&](auto, AttemptFault aFault, auto*) {
    refused = aFault == AttemptFault::Refused;
  });
  world.RunUntil([&] { return refused; });
  const auto now = steady_clock::now();
  EXPECT_FALSE(backend->IsUsable(now));
  EXPECT_TRUE(backend->IsUsable(now + milliseconds(100)));
}

} // namespace bronzedeal::gateway::test
