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

/// Servers echo the id of a request in their answers.
std::shared_ptr<ServerRequest> MakeRequestWithId(const std::string& aId)
{
  auto request = MakeRequest();
  request->head += "X-Request-Id: " + aId + "\r\n";
  request->requestId = aId;
  return request;
}

std::string IdOf(const std::string& aRequest)
{
  constexpr std::string_view kName = "X-Request-Id: ";
  const auto at = aRequest.find(kName) + kName.size();
  return aRequest.substr(at, aRequest.find("\r\n", at) - at);
}

/// A server that answers with the id of the request.
ScriptedServer::Script AnswerWithId(milliseconds aDelay = {})
{
  return [aDelay](const std::string& aRequest) {
    Reaction reaction{ Response(
      200, "X-Request-Id: " + IdOf(aRequest) + "\r\n", "ok") };
    reaction.delay = aDelay;
    return reaction;
  };
}

/// Sends a request and waits for its result.
AttemptResult SendAndWait(TestGateway& aFixture,
                          BackendServer& aServer,
                          const std::string& aId)
{
  std::optional<AttemptResult> result;
  aServer.Send(MakeRequestWithId(aId),
               [&](auto aResult, auto, auto*) { result = aResult; });
  aFixture.RunUntil([&] { return result.has_value(); });
  return result.value_or(AttemptResult::OutcomeUnknown);
}

} // namespace

// Guards against a late copy of an answer that decides the second send of the
// request on the same connection (review/6), at servers and other instances.
TEST(BackendServer, SendsARequestOnAConnectionOnce)
{
  for (const bool isInstance : { false, true }) {
    TestGateway fixture;
    ScriptedServer server(fixture.process.context, AnswerWithId());
    auto record = MakeRecord(server.Address());
    record.isInstance = isInstance;
    const auto backend =
      std::make_shared<BackendServer>(fixture.process, record);
    backend->SetMaxConnections(4);
    SendAndWait(fixture, *backend, "r-1");
    ASSERT_EQ(server.ConnectionCount(), 1U);
    SendAndWait(fixture, *backend, "r-1");
    EXPECT_EQ(server.ConnectionCount(), 2U);
    // Either connection may carry other requests.
    SendAndWait(fixture, *backend, "r-2");
    SendAndWait(fixture, *backend, "r-3");
    EXPECT_EQ(server.ConnectionCount(), 2U);
  }
}

// Guards against an answer to one request that is taken for that to another,
// between instances as at servers. Those of former versions state no id.
TEST(BackendServer, TakesFromInstancesOnlyAnswersToTheRequest)
{
  struct Case
  {
    std::string answer;
    bool statesRequestId;
    AttemptResult result;
  };
  const std::string closing = "Connection: close\r\n";
  for (const auto& it : {
         Case{ Response(200, "X-Request-Id: r-1\r\n", "ok"),
               true,
               AttemptResult::Answered },
         Case{ Response(200, "X-Request-Id: r-0\r\n", "ok"),
               false,
               AttemptResult::OutcomeUnknown },
         Case{ Response(200, "", "ok"), false, AttemptResult::Answered },
         Case{ Response(200, "", "ok"), true, AttemptResult::OutcomeUnknown },
         // A request that the instance couldn't read.
         Case{ Response(431, closing, ""), true, AttemptResult::Answered },
       }) {
    TestGateway fixture;
    ScriptedServer peer(fixture.process.context,
                        [&](auto&) { return Reaction{ it.answer }; });
    auto record = MakeRecord(peer.Address());
    record.isInstance = true;
    record.statesRequestId = it.statesRequestId;
    const auto backend =
      std::make_shared<BackendServer>(fixture.process, record);
    EXPECT_EQ(SendAndWait(fixture, *backend, "r-1"), it.result) << it.answer;
  }
}

// Guards against requests without an id, which no instance can state.
TEST(BackendServer, TakesAnAnswerToARequestWithoutIdFromAnInstance)
{
  TestGateway fixture;
  ScriptedServer peer(fixture.process.context, [](auto&) {
    return Reaction{ Response(400, "X-Request-Id: \r\n", "") };
  });
  auto record = MakeRecord(peer.Address());
  record.isInstance = true;
  record.statesRequestId = true;
  const auto backend = std::make_shared<BackendServer>(fixture.process, record);
  std::optional<AttemptResult> result;
  backend->Send(MakeRequest(),
                [&](auto aResult, auto, auto*) { result = aResult; });
  fixture.RunUntil([&] { return result.has_value(); });
  EXPECT_EQ(result, AttemptResult::Answered);
}

// Guards against answers of servers that are passed on with a second id.
TEST(BackendServer, StatesTheRequestIdOnce)
{
  CallerReply reply;
  StateRequestId(reply, "Request-Id", "r-1");
  StateRequestId(reply, "request-id", "r-1");
  EXPECT_EQ(reply.headers, "Request-Id: r-1\r\n");
}

// Guards against a second send that waits until its deadline because all
// connections that the server permits have carried the request.
TEST(BackendServer, ReplacesTheOnlyConnectionForASecondSend)
{
  TestGateway fixture;
  ScriptedServer server(fixture.process.context, AnswerWithId());
  const auto backend = std::make_shared<BackendServer>(
    fixture.process, MakeRecord(server.Address()));
  backend->SetMaxConnections(1);
  EXPECT_EQ(SendAndWait(fixture, *backend, "r-1"), AttemptResult::Answered);
  EXPECT_EQ(SendAndWait(fixture, *backend, "r-1"), AttemptResult::Answered);
  EXPECT_EQ(server.ConnectionCount(), 2U);
  fixture.RunUntil([&] { return server.ClosedCount() == 1; });
  EXPECT_EQ(server.ClosedCount(), 1U);
}

// Guards against requests that wait behind a second send although a connection
// that may carry them is free.
TEST(BackendServer, SendsOtherRequestsPastASecondSendThatWaits)
{
  TestGateway fixture;
  ScriptedServer server(fixture.process.context,
                        AnswerWithId(milliseconds(50)));
  const auto backend = std::make_shared<BackendServer>(
    fixture.process, MakeRecord(server.Address()));
  backend->SetMaxConnections(2);
  SendAndWait(fixture, *backend, "r-1");
  std::vector<std::string> answered;
  for (const char* it : { "r-2", "r-1", "r-3" }) {
    backend->Send(MakeRequestWithId(it), [&answered, it](auto, auto, auto*) {
      answered.push_back(it);
    });
  }
  fixture.RunUntil([&] { return answered.size() == 3; });
  EXPECT_EQ(answered.size(), 3U);
  EXPECT_EQ(server.ConnectionCount(), 2U);
}

// Guards against a server that keeps its share of the requests although it
// breaks off each of them.
TEST(BackendServer, CountsBrokenConnectionsAsFailures)
{
  TestGateway fixture;
  ScriptedServer server(fixture.process.context, [](auto&) {
    return Reaction{ "", {}, false, true };
  });
  fixture.AddServer("s-0", "g0", server.Address());
  const auto backend = fixture.servers.Find("s-0");
  unsigned broken = 0;
  for (unsigned n = 0; n < 10; ++n) {
    backend->Send(MakeRequest(),
                  [&](auto, auto, ResponseMessage*) { ++broken; });
    fixture.RunUntil([&] { return broken > n; });
  }
  EXPECT_GT(backend->Stats(steady_clock::now()).failureRate, 0.4);
}

// Guards against connections that are opened in a loop to a server which resets
// those over its cap (seen in ondt-devis-large, scale-1: 875,000 in 30 s).
TEST(BackendServer, ProbesAServerThatResetsConnectionsOnlyAFewTimes)
{
  TestGateway fixture;
  ScriptedServer server(fixture.process.context, [](auto&) {
    return Reaction{ "", {}, false, true };
  });
  const auto backend = std::make_shared<BackendServer>(
    fixture.process, MakeRecord(server.Address()));
  backend->SetMaxConnections(1);
  auto request = MakeRequest();
  request->content = ContentId{};
  bool isOver = false;
  backend->Send(request, [&](auto, auto, auto*) {
    isOver = true;
    server.CloseNewConnections();
  });
  fixture.RunUntil([&] { return isOver; });
  const auto later = steady_clock::now() + milliseconds(500);
  fixture.RunUntil([&] { return steady_clock::now() >= later; });
  EXPECT_GT(server.ConnectionCount(), 1U);
  EXPECT_LE(server.ConnectionCount(), 1 + kMaxServerProbes);
}

// Guards against connections that are tried in a loop at a server which accepts
// no more and still works on a request.
TEST(BackendServer, WaitsBetweenConnectionsThatAreRefusedBesideAnOpenOne)
{
  TestGateway fixture;
  ScriptedServer server(fixture.process.context,
                        AnswerWithId(milliseconds(500)));
  const auto backend = std::make_shared<BackendServer>(
    fixture.process, MakeRecord(server.Address()));
  backend->SetMaxConnections(2);
  unsigned answered = 0;
  const auto count = [&](auto aResult, auto, auto*) {
    answered += aResult == AttemptResult::Answered ? 1 : 0;
  };
  backend->Send(MakeRequestWithId("r-1"), count);
  fixture.RunUntil([&] { return server.Requests().size() == 1; });
  server.StopAccepting();
  backend->Send(MakeRequestWithId("r-2"), count);
  fixture.RunUntil([&] { return answered == 2; });
  EXPECT_EQ(answered, 2U);
  // The one that is open, and one try in 200 ms.
  constexpr double kMostConnections = 5;
  EXPECT_LE(fixture.process.metrics.Value(process::Counter::ServerConnections),
            kMostConnections);
}

// Guards against a second send that waits until its deadline at a server that
// accepts no further connections, and against the loss of the open one.
TEST(BackendServer, FailsASecondSendThatNoConnectionMayCarry)
{
  TestGateway fixture;
  ScriptedServer server(fixture.process.context, AnswerWithId());
  const auto backend = std::make_shared<BackendServer>(
    fixture.process, MakeRecord(server.Address()));
  backend->SetMaxConnections(2);
  SendAndWait(fixture, *backend, "r-1");
  server.StopAccepting();
  const auto start = steady_clock::now();
  EXPECT_EQ(SendAndWait(fixture, *backend, "r-1"), AttemptResult::NotRun);
  EXPECT_LT(steady_clock::now(), start + std::chrono::seconds(2));
  EXPECT_EQ(SendAndWait(fixture, *backend, "r-2"), AttemptResult::Answered);
}

// Guards against the first queries over a new set of shards all waiting for
// connections to open (seen in gaonsan-hide-grown, scale-1, seconds 6 to 8).
TEST(BackendServer, OpensAConnectionBeforeTheFirstRequest)
{
  TestGateway fixture;
  ScriptedServer server(fixture.process.context,
                        [](auto&) { return Reaction{}; });
  fixture.AddServer("s-0", "g0", server.Address());
  fixture.RunUntil([&] { return server.ConnectionCount() == 1; });
  EXPECT_EQ(server.ConnectionCount(), 1U);
  fixture.servers.PreconnectAll();
  const auto later = steady_clock::now() + milliseconds(50);
  fixture.RunUntil([&] { return steady_clock::now() >= later; });
  EXPECT_EQ(server.ConnectionCount(), 1U);
  EXPECT_TRUE(server.Requests().empty());
}

// Guards against losing one request after another on idle connections that a
// server has dropped silently (idle_race): after the first loss, connections
// with a similar idle time must not be reused.
TEST(BackendServer, DoesNotReuseConnectionsIdleAsLongAsADroppedOne)
{
  TestGateway fixture;
  unsigned seen = 0;
  ScriptedServer server(fixture.process.context, [&](const auto& aRequest) {
    // Two connections are used at the same time and then idle; the third
    // request meets a reset.
    const auto reaction =
      AnswerWithId(milliseconds(seen < 2 ? 50 : 0))(aRequest);
    return ++seen == 3 ? Reaction{ "", {}, false, true } : reaction;
  });
  const auto backend = std::make_shared<BackendServer>(
    fixture.process, MakeRecord(server.Address()));
  backend->SetMaxConnections(10);
  std::vector<AttemptResult> results;
  unsigned sent = 0;
  const auto send = [&] {
    backend->Send(
      MakeRequestWithId("r-" + std::to_string(++sent)),
      [&](AttemptResult aResult, auto, auto*) { results.push_back(aResult); });
  };
  send();
  send();
  fixture.RunUntil([&] { return results.size() == 2; });
  ASSERT_EQ(server.ConnectionCount(), 2U);
  const auto later = steady_clock::now() + milliseconds(300);
  fixture.RunUntil([&] { return steady_clock::now() >= later; });
  send();
  fixture.RunUntil([&] { return results.size() == 3; });
  EXPECT_EQ(results[2], AttemptResult::OutcomeUnknown);
  send();
  fixture.RunUntil([&] { return results.size() == 4; });
  EXPECT_EQ(results[3], AttemptResult::Answered);
  EXPECT_EQ(server.ConnectionCount(), 3U);
}

// Guards against requests to a cold server that wait for a connection and are
// then all sent within one second, more than the server can take.
TEST(BackendServer, KeepsTheBoundOfAColdServerWhenRequestsHaveWaited)
{
  TestGateway fixture;
  const auto start = steady_clock::now();
  const auto wakeUp = start + milliseconds(2900);
  std::vector<TimePoint> arrivals;
  ScriptedServer server(fixture.process.context, [&](auto&) {
    const auto now = steady_clock::now();
    arrivals.push_back(now);
    Reaction reaction{ Response(200, "", "ok") };
    reaction.delay = std::max(wakeUp - now, Duration::zero());
    return reaction;
  });
  auto record = MakeRecord(server.Address());
  record.remainingColdTime = std::chrono::seconds(20);
  fixture.servers.Upsert(record, start);
  auto& group = fixture.servers.FindOrCreateGroup("g0");
  fixture.servers.Find("s-0")->SetMaxConnections(4);
  for (const auto delay :
       { milliseconds(0), milliseconds(1300), milliseconds(2600) }) {
    fixture.RunUntil([&] { return steady_clock::now() >= start + delay; });
    for (int n = 0; n < 5; ++n) {
      if (const auto chosen = fixture.servers.ChooseServer(
            group, RequestProfile{}, {}, steady_clock::now())) {
        chosen->Send(MakeRequest(), [](auto, auto, auto*) {});
      }
    }
  }
  fixture.RunUntil(
    [&] { return steady_clock::now() >= wakeUp + milliseconds(500); });
  const auto& limits = fixture.process.settings.coldServerLimits;
  for (const auto& it : arrivals) {
    EXPECT_LE(std::count_if(arrivals.begin(),
                            arrivals.end(),
                            [&](const auto& aOther) {
                              return aOther >= it &&
                                     aOther < it + std::chrono::seconds(1);
                            }),
              limits.slackRequests);
  }
}

// Guards against retrying on a full server immediately until the retry budget
// of its group is used up.
TEST(BackendServer, IsUnusableForAMomentAfterARefusal)
{
  TestGateway fixture;
  ScriptedServer server(fixture.process.context, [](auto&) {
    return Reaction{ Response(503, "X-Not-Run: 1\r\n", "") };
  });
  const auto backend = std::make_shared<BackendServer>(
    fixture.process, MakeRecord(server.Address()));
  backend->SetMaxConnections(10);
  EXPECT_TRUE(backend->IsUsable(steady_clock::now()));
  bool refused = false;
  backend->Send(MakeRequest(), [&](auto, AttemptFault aFault, auto*) {
    refused = aFault == AttemptFault::Refused;
  });
  fixture.RunUntil([&] { return refused; });
  const auto now = steady_clock::now();
  EXPECT_FALSE(backend->IsUsable(now));
  EXPECT_TRUE(backend->IsUsable(now + milliseconds(100)));
}

} // namespace bronzedeal::gateway::test
