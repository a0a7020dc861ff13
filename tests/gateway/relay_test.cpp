#include "support.hpp"

#include "bronzedeal/gateway/http_listener.hpp"
#include "bronzedeal/gateway/metadata_relay.hpp"
#include "bronzedeal/gateway/metadata_schedule.hpp"
#include "bronzedeal/gateway/relayed_source.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace bronzedeal::gateway::test {

namespace {

using std::chrono::steady_clock;

/// A metadata service that counts calls and never answers.
class CountingService : public MetadataSource
{
public:
  void List(MetadataTopic, const std::string&, Duration, Handler) override
  {
    ++listCount;
  }
  void Watch(MetadataTopic,
             std::uint64_t,
             milliseconds,
             Duration,
             Handler) override
  {
    ++watchCount;
  }

  int listCount = 0;
  int watchCount = 0;
};

/// An instance that reads the service and relays it, and one that reads from
/// the former.
struct RelayFixture
{
  RelayFixture()
    : relay(relayingInstance.process,
            relayingInstance.servers,
            relayingInstance.gateway,
            [this](MetadataTopic aTopic) {
              return aTopic == MetadataTopic::Servers ? lastContact
                                                      : lastOperatorContact;
            })
    , listener(relayingInstance.process,
               { asio::ip::address_v4::loopback(), 0 },
               [this](const CallerRequest& aRequest,
                      ReplyHandler aReply) -> std::shared_ptr<Exchange> {
                 if (withholdsReplies) {
                   withheldReplies.push_back(std::move(aReply));
                   return nullptr;
                 }
                 const auto query = DecodeRelayQuery(aRequest.message);
                 lastWait = query ? query->wait : milliseconds(0);
                 return query ? relay.Handle(*query, std::move(aReply))
                              : nullptr;
               })
    , source(readingInstance.process, service, MetadataTopic::Servers)
    , operators(readingInstance.process, service, MetadataTopic::Operators)
  {
    relayingInstance.servers.SetChangeHandler([this] { relay.OnChange(); });
    readingInstance.process.settings.gossipEndpoint.port(
      listener.Address().port());
    source.SetRelays({ RelayingPeer() }, false);
    operators.SetRelays({ RelayingPeer() }, false);
    relayingInstance.gateway.OnConfigActivated([this] { relay.OnChange(); });
  }

  /// Runs both instances until the condition holds.
  void RunUntil(const std::function<bool()>& aDone)
  {
    const auto end = steady_clock::now() + std::chrono::seconds(20);
    while (!aDone() && steady_clock::now() < end) {
      for (auto* it : { &relayingInstance.process.context,
                        &readingInstance.process.context }) {
        it->run_one_for(milliseconds(2));
        it->restart();
      }
    }
  }

  MetadataReply List()
  {
    std::optional<MetadataReply> reply;
    source.List(MetadataTopic::Servers,
                "",
                milliseconds(500),
                [&](auto aReply) { reply = std::move(aReply); });
    RunUntil([&] { return reply.has_value() || service.listCount > 0; });
    return reply.value_or(MetadataReply{});
  }

  [[nodiscard]] PeerState RelayingPeer() const
  {
    PeerState state;
    state.address = asio::ip::address_v4::loopback();
    state.instance = "gw-reader";
    return state;
  }

  std::optional<MetadataReply> watchReply;

  void Watch(std::uint64_t aRevision, milliseconds aWait)
  {
    watchReply.reset();
    source.Watch(MetadataTopic::Servers,
                 aRevision,
                 aWait,
                 aWait + milliseconds(300),
                 [this](auto aReply) { watchReply = std::move(aReply); });
  }

  TestGateway relayingInstance;
  TestGateway readingInstance;
  std::optional<TimePoint> lastContact = steady_clock::now();
  std::optional<TimePoint> lastOperatorContact = steady_clock::now();
  /// The wait that the last query has asked for.
  milliseconds lastWait{ 0 };
  bool withholdsReplies = false;
  std::vector<ReplyHandler> withheldReplies;
  MetadataRelay relay;
  HttpListener listener;
  CountingService service;
  RelayedSource source;
  RelayedSource operators;
};

const tcp::endpoint kUnreachableEndpoint{ asio::ip::address_v4::loopback(), 9 };

} // namespace

// Guards against an instance that misses a change or a removal, whichever state
// it knew before. A leaving server would stay in use.
RC_GTEST_PROP(ServerChanges, DeltasReproduceTheCurrentState, ())
{
  ServerChanges changes;
  std::set<ServerId> currentServers;
  std::vector<std::pair<std::uint64_t, std::set<ServerId>>> states;
  const auto steps = *rc::gen::container<std::vector<std::pair<bool, int>>>(
    rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 6)));
  for (const auto& [change, n] : steps) {
    states.emplace_back(changes.LatestSequence(), currentServers);
    const auto id = "s-" + std::to_string(n);
    if (change) {
      changes.RecordChange(id);
      currentServers.insert(id);
    } else {
      changes.RecordRemoval(id);
      currentServers.erase(id);
    }
  }
  for (auto [sequence, known] : states) {
    const auto delta = changes.ChangesAfter(sequence);
    RC_ASSERT(delta.has_value());
    for (const auto& it : delta->removed) {
      known.erase(it);
    }
    known.insert(delta->changed.begin(), delta->changed.end());
    RC_ASSERT(known == currentServers);
  }
}

// Guards against a delta that lacks removals which are no longer recorded.
TEST(ServerChanges, HasNoDeltaOnceRemovalsAreForgotten)
{
  ServerChanges changes;
  for (std::size_t n = 0; n <= ServerChanges::kMaxRemovals; ++n) {
    changes.RecordRemoval("s");
  }
  EXPECT_FALSE(changes.ChangesAfter(1).has_value());
  EXPECT_TRUE(changes.ChangesAfter(2).has_value());
  EXPECT_FALSE(changes.ChangesAfter(changes.LatestSequence() + 1).has_value());
}

// Guards against fields that are lost between instances.
TEST(RelayMessage, RoundTripsAllFields)
{
  ServerRecord record;
  record.id = "i-1";
  record.group = "g0";
  record.address = { asio::ip::make_address("10.1.2.3"), 8486 };
  record.failureDomain = "fd-b";
  record.slots = 6;
  record.draining = true;
  record.remainingColdTime = milliseconds(1200);
  record.startedAtMs = 1'784'733'522'000;
  record.sequence = 41;
  RelayReply sent;
  sent.epoch = 7;
  sent.era = 3;
  sent.sequence = 12;
  sent.servers = { record };
  sent.removedServers = { "i-0" };
  sent.withdrawnDomains = { "fd-a" };
  sent.restoredDomains = { "fd-c" };
  const auto reply = DecodeRelayReply(EncodeRelayReply(sent));
  ASSERT_TRUE(reply && reply->servers.size() == 1);
  EXPECT_EQ(reply->epoch, 7U);
  EXPECT_EQ(reply->era, MetadataEra{ 3 });
  EXPECT_EQ(reply->sequence, 12U);
  EXPECT_EQ(reply->removedServers, std::vector<ServerId>{ "i-0" });
  const auto& server = reply->servers.front();
  EXPECT_EQ(server.id, record.id);
  EXPECT_EQ(server.sequence, 41U);
  EXPECT_EQ(server.group, record.group);
  EXPECT_EQ(server.address, record.address);
  EXPECT_EQ(server.failureDomain, record.failureDomain);
  EXPECT_EQ(server.slots, record.slots);
  EXPECT_TRUE(server.draining);
  EXPECT_EQ(server.remainingColdTime, record.remainingColdTime);
  EXPECT_EQ(server.startedAtMs, record.startedAtMs);
  EXPECT_EQ(reply->withdrawnDomains, sent.withdrawnDomains);
  EXPECT_EQ(reply->restoredDomains, sent.restoredDomains);
  EXPECT_FALSE(reply->config.has_value());
}

// Guards against a configuration that is altered between instances.
TEST(RelayMessage, RoundTripsAConfiguration)
{
  RouteConfig config;
  config.version = 9;
  auto one = TestGateway::SingleRoute(Repeatability::AtMostOnce);
  one.targets.push_back({ "g1", 0.25 });
  auto all = TestGateway::FanoutRoute({ "g2", "g3" }, 0.89);
  all.priority = 2;
  config.routes = { one, all };
  config.groups = { { "g0", 52, 1.5 } };
  config.limits.idleTimeout = milliseconds(7000);
  RelayReply sent;
  sent.config = config;
  const auto reply = DecodeRelayReply(EncodeRelayReply(sent));
  ASSERT_TRUE(reply && reply->config);
  const auto& decodedConfig = *reply->config;
  EXPECT_EQ(decodedConfig.version, 9U);
  ASSERT_EQ(decodedConfig.routes.size(), 2U);
  EXPECT_EQ(decodedConfig.routes[0].repeatability, Repeatability::AtMostOnce);
  ASSERT_EQ(decodedConfig.routes[0].targets.size(), 2U);
  EXPECT_DOUBLE_EQ(decodedConfig.routes[0].targets[1].weight, 0.25);
  EXPECT_EQ(decodedConfig.routes[0].timeout, one.timeout);
  EXPECT_EQ(decodedConfig.routes[0].prefix, one.prefix);
  EXPECT_EQ(decodedConfig.routes[0].host, one.host);
  EXPECT_EQ(decodedConfig.routes[1].shards, all.shards);
  EXPECT_EQ(decodedConfig.routes[1].topRecords, all.topRecords);
  EXPECT_DOUBLE_EQ(decodedConfig.routes[1].minCoverage, 0.89);
  EXPECT_EQ(decodedConfig.routes[1].priority, 2U);
  EXPECT_EQ(decodedConfig.routes[1].maxAttempts, all.maxAttempts);
  EXPECT_EQ(decodedConfig.routes[1].objective, all.objective);
  EXPECT_EQ(decodedConfig.groups[0].maxConnections, 52U);
  EXPECT_DOUBLE_EQ(decodedConfig.groups[0].warmupRate, 1.5);
  EXPECT_EQ(decodedConfig.limits.idleTimeout, milliseconds(7000));
}

// Guards against a malformed reply of a peer that is read as an empty list.
TEST(RelayMessage, RejectsMalformedReplies)
{
  EXPECT_FALSE(DecodeRelayReply("{}").has_value());
  EXPECT_FALSE(DecodeRelayReply("[1").has_value());
  const auto decoded = [&](std::string aStart) {
    return DecodeRelayReply(std::move(aStart) +
                            R"("removed":[],"withdrawn":[],"restored":[]})")
      .has_value();
  };
  EXPECT_TRUE(decoded(R"({"epoch":1,"sequence":2,"servers":[],)"));
  EXPECT_FALSE(decoded(R"({"epoch":1,"sequence":2,"servers":[["i-1"]],)"));
  EXPECT_FALSE(decoded(R"({"epoch":1,"sequence":2,"era":"x","servers":[],)"));
  EXPECT_FALSE(decoded(R"({"epoch":1,"sequence":2,"servers":[],"config":{},)"));
}

// Guards against a relayed list, or the change after it, that costs a call to
// the service.
TEST(Relay, RelaysServersWithoutACallToTheService)
{
  RelayFixture fixture;
  fixture.relayingInstance.AddServer("s-0", "g0", kUnreachableEndpoint);
  const auto listed = fixture.List();
  ASSERT_EQ(listed.status, MetadataStatus::Ok);
  EXPECT_TRUE(listed.relayed);
  ASSERT_EQ(listed.changes.size(), 1U);

  fixture.Watch(listed.revision, milliseconds(5000));
  const auto waitUntil = steady_clock::now() + milliseconds(60);
  fixture.RunUntil([&] { return steady_clock::now() >= waitUntil; });
  EXPECT_FALSE(fixture.watchReply.has_value());
  fixture.relayingInstance.AddServer("s-1", "g0", kUnreachableEndpoint);
  fixture.RunUntil([&] { return fixture.watchReply.has_value(); });
  ASSERT_TRUE(fixture.watchReply && fixture.watchReply->changes.size() == 1);
  EXPECT_TRUE(std::holds_alternative<ServerChanged>(
    fixture.watchReply->changes.front().change));
  EXPECT_EQ(fixture.service.listCount + fixture.service.watchCount, 0);
}

// Guards against a withdrawal or a version that doesn't reach the instances
// that read from a relay, and against one that is sent repeatedly.
TEST(Relay, RelaysConfigurationsAndWithdrawals)
{
  RelayFixture fixture;
  fixture.relayingInstance.Publish(
    { TestGateway::SingleRoute(Repeatability::Idempotent) });
  const auto now = steady_clock::now();
  std::optional<MetadataReply> reply;
  const auto storeReply = [&](MetadataReply aReply) {
    reply = std::move(aReply);
  };
  fixture.operators.List(
    MetadataTopic::Operators, "", milliseconds(500), storeReply);
  fixture.RunUntil([&] { return reply.has_value(); });
  ASSERT_TRUE(reply && reply->changes.size() == 1);
  EXPECT_TRUE(
    std::holds_alternative<ConfigPublished>(reply->changes.front().change));

  const auto watchNext = [&] {
    const auto revision = reply->revision;
    reply.reset();
    fixture.operators.Watch(MetadataTopic::Operators,
                            revision,
                            milliseconds(900),
                            milliseconds(1300),
                            storeReply);
  };
  watchNext();
  fixture.relayingInstance.servers.SetWithdrawn("fd-b", true);
  fixture.RunUntil([&] { return reply.has_value(); });
  ASSERT_TRUE(reply && reply->changes.size() == 1);
  const auto* withdrawal =
    std::get_if<DomainWithdrawalChanged>(&reply->changes.front().change);
  ASSERT_NE(withdrawal, nullptr);
  EXPECT_TRUE(withdrawal->withdrawn);

  watchNext();
  fixture.relayingInstance.servers.SetWithdrawn("fd-b", false);
  fixture.RunUntil([&] { return reply.has_value(); });
  ASSERT_TRUE(reply && reply->changes.size() == 1);
  withdrawal =
    std::get_if<DomainWithdrawalChanged>(&reply->changes.front().change);
  ASSERT_NE(withdrawal, nullptr);
  EXPECT_FALSE(withdrawal->withdrawn);
  EXPECT_LT(steady_clock::now() - now, milliseconds(900));
}

// Guards against outdated servers from a relay that has lost the service: the
// other instance must read the service itself.
TEST(Relay, RefusesDataThatMayBeOutdated)
{
  RelayFixture fixture;
  fixture.lastContact = steady_clock::now() - std::chrono::seconds(10);
  EXPECT_EQ(fixture.List().status, MetadataStatus::SourceChanged);
  EXPECT_EQ(fixture.List().status, MetadataStatus::Unavailable);
  EXPECT_TRUE(fixture.source.IsDirect());
  EXPECT_EQ(fixture.service.listCount, 1);
}

// Guards against operators' entries of a relay whose watch of them is lost
// while it still reads the servers: an instance that reads from it would keep a
// former configuration.
TEST(Relay, RefusesOperatorsEntriesThatMayBeOutdated)
{
  RelayFixture fixture;
  std::optional<MetadataReply> reply;
  fixture.lastOperatorContact = steady_clock::now() - std::chrono::seconds(3);
  fixture.operators.List(MetadataTopic::Operators,
                         "",
                         milliseconds(500),
                         [&](auto aReply) { reply = std::move(aReply); });
  fixture.RunUntil([&] { return reply.has_value(); });
  EXPECT_EQ(reply.value_or(MetadataReply{}).status,
            MetadataStatus::SourceChanged);
  EXPECT_EQ(fixture.List().status, MetadataStatus::Ok);
}

// Guards against watches at a relay that last longer than the schedule has it,
// whatever the caller asks for.
TEST(Relay, WatchesAsLongAsTheScheduleHasIt)
{
  RelayFixture fixture;
  const auto& settings = fixture.readingInstance.process.settings;
  const auto listed = fixture.List();
  fixture.Watch(listed.revision, std::chrono::hours(1));
  fixture.RunUntil([&] { return fixture.lastWait > milliseconds(0); });
  EXPECT_EQ(fixture.lastWait,
            LengthOf(MetadataWait::RelayServerWatch, settings));
  fixture.lastWait = {};
  std::optional<MetadataReply> reply;
  const auto keep = [&](auto aReply) { reply = std::move(aReply); };
  fixture.operators.List(MetadataTopic::Operators, "", milliseconds(500), keep);
  fixture.RunUntil([&] { return reply.has_value(); });
  fixture.operators.Watch(MetadataTopic::Operators,
                          reply.value_or(MetadataReply{}).revision,
                          std::chrono::hours(1),
                          std::chrono::hours(1),
                          keep);
  fixture.RunUntil([&] { return fixture.lastWait > milliseconds(0); });
  EXPECT_EQ(fixture.lastWait,
            LengthOf(MetadataWait::RelayOperatorWatch, settings));
}

// Guards against a paused relay that delays the instances that read from it for
// longer than the bound on leaving servers.
TEST(Relay, AbandonsAPausedRelay)
{
  RelayFixture fixture;
  const auto listed = fixture.List();
  ASSERT_EQ(listed.status, MetadataStatus::Ok);
  fixture.withholdsReplies = true;
  const auto start = steady_clock::now();
  fixture.Watch(listed.revision, std::chrono::hours(1));
  fixture.RunUntil([&] { return fixture.watchReply.has_value(); });
  ASSERT_TRUE(fixture.watchReply.has_value());
  EXPECT_EQ(fixture.watchReply->status, MetadataStatus::SourceChanged);
  EXPECT_LT(steady_clock::now() - start,
            fixture.readingInstance.process.settings.maxDrainTime);
  fixture.List();
  EXPECT_EQ(fixture.service.listCount, 1);
}

// Guards against the states of a former history, which an instance reads from a
// relay that doesn't know the newest one yet.
TEST(Relay, LeavesARelayThatHasReadAFormerHistory)
{
  RelayFixture fixture;
  auto& known = fixture.readingInstance.process.metadataHistory;
  auto& relayed = fixture.relayingInstance.process.metadataHistory;
  (void)relayed.OnReply(1, false, steady_clock::now());
  const auto listed = fixture.List();
  ASSERT_EQ(listed.status, MetadataStatus::Ok);
  EXPECT_EQ(listed.era, MetadataEra{ 1 });
  (void)known.OnReply(1, false, steady_clock::now());
  (void)known.OnReply(2, false, steady_clock::now());
  EXPECT_EQ(fixture.List().status, MetadataStatus::SourceChanged);
  fixture.List();
  EXPECT_TRUE(fixture.source.IsDirect());
  EXPECT_EQ(fixture.service.listCount, 1);
}

// Guards against a sequence number of a relay's former run that is applied to
// its present run.
TEST(Relay, ListsAgainAfterARestartOfTheRelay)
{
  RelayFixture fixture;
  const auto listed = fixture.List();
  ++fixture.relayingInstance.process.peers.Self().incarnation;
  fixture.Watch(listed.revision, milliseconds(1000));
  fixture.RunUntil([&] { return fixture.watchReply.has_value(); });
  ASSERT_TRUE(fixture.watchReply.has_value());
  EXPECT_EQ(fixture.watchReply->status, MetadataStatus::SourceChanged);
}

// Guards against all instances of a fleet reading the service when they start
// at once: those that callers aren't sent to must wait for one that has read
// it.
TEST(Relay, WaitsForARelayAfterTheStart)
{
  RelayFixture fixture;
  fixture.source.SetRelays({}, false);
  std::optional<MetadataReply> reply;
  fixture.source.List(MetadataTopic::Servers,
                      "",
                      milliseconds(500),
                      [&](auto aReply) { reply = std::move(aReply); });
  const auto waitUntil = steady_clock::now() + milliseconds(150);
  fixture.RunUntil([&] { return steady_clock::now() >= waitUntil; });
  EXPECT_FALSE(reply.has_value());
  EXPECT_EQ(fixture.service.listCount, 0);
  fixture.source.SetRelays({ fixture.RelayingPeer() }, false);
  fixture.RunUntil([&] { return reply.has_value(); });
  EXPECT_TRUE(reply->relayed);
  EXPECT_EQ(fixture.service.listCount, 0);
}

// Guards against waiting without limit for a relay.
TEST(Relay, ReadsTheServiceWhenNoRelayAppears)
{
  RelayFixture fixture;
  fixture.source.SetRelays({}, false);
  fixture.source.List(
    MetadataTopic::Servers, "", milliseconds(500), [](auto) {});
  fixture.RunUntil([&] { return fixture.service.listCount > 0; });
  EXPECT_EQ(fixture.service.listCount, 1);
}

// Guards against an instance that callers are sent to reading from another one.
TEST(Relay, ReadsTheServiceWithoutRelays)
{
  RelayFixture fixture;
  fixture.source.SetRelays({}, true);
  fixture.List();
  EXPECT_EQ(fixture.service.listCount, 1);
  fixture.Watch(1, milliseconds(10));
  EXPECT_EQ(fixture.service.watchCount, 1);
}

// Guards against a connection of the port between instances that a query holds
// for years, and against times that overflow.
TEST(RelayQuery, WaitsForABoundedTime)
{
  auto request = TestGateway::Request("/metadata").message;
  for (const auto* it :
       { "60000", "9223372036854775807", "18446744073709551615" }) {
    request.set("X-Bronzedeal-Metadata-After", fmt::format("0 1 2 3 {}", it));
    const auto decoded = DecodeRelayQuery(request);
    ASSERT_TRUE(decoded) << it;
    EXPECT_LE(decoded->wait, std::chrono::seconds(30)) << it;
    EXPECT_GE(decoded->wait, milliseconds(0)) << it;
  }
}

} // namespace bronzedeal::gateway::test
