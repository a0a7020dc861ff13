#include "support.hpp"

#include "bronzedeal/gateway/http_listener.hpp"
#include "bronzedeal/gateway/metadata_relay.hpp"
#include "bronzedeal/gateway/relayed_source.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace bronzedeal::gateway::test {

namespace {

using std::chrono::steady_clock;

/// The metadata service of a test; counts its calls and answers none.
class CountingService : public MetadataSource
{
public:
  void List(MetadataTopic, const std::string&, Duration, Handler) override
  {
    ++lists;
  }
  void Watch(MetadataTopic,
             std::uint64_t,
             milliseconds,
             Duration,
             Handler) override
  {
    ++watches;
  }

  int lists = 0;
  int watches = 0;
};

/// An instance that reads the service, and one that reads from it.
struct Relaying
{
  Relaying()
    : relay(reader.process,
            reader.servers,
            reader.gateway,
            [this] { return contact; })
    , listener(reader.process,
               { asio::ip::address_v4::loopback(), 0 },
               [this](const CallerRequest& aRequest,
                      ReplyHandler aReply) -> std::shared_ptr<Exchange> {
                 if (silent) {
                   held.push_back(std::move(aReply));
                   return nullptr;
                 }
                 const auto query = DecodeRelayQuery(aRequest.message);
                 return query ? relay.Handle(*query, std::move(aReply))
                              : nullptr;
               })
    , source(follower.process, service, MetadataTopic::Servers)
    , operators(follower.process, service, MetadataTopic::Operators)
  {
    reader.servers.SetChangeHandler([this] { relay.OnChange(); });
    follower.process.settings.gossipEndpoint.port(listener.Address().port());
    source.SetRelays({ Reader() }, false);
    operators.SetRelays({ Reader() }, false);
    reader.gateway.OnConfigActivated([this] { relay.OnChange(); });
  }

  /// Runs both instances until the condition holds.
  void RunUntil(const std::function<bool()>& aDone)
  {
    const auto end = steady_clock::now() + std::chrono::seconds(20);
    while (!aDone() && steady_clock::now() < end) {
      for (auto* it : { &reader.process.context, &follower.process.context }) {
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
    RunUntil([&] { return reply.has_value() || service.lists > 0; });
    return reply.value_or(MetadataReply{});
  }

  [[nodiscard]] PeerState Reader() const
  {
    PeerState state;
    state.address = asio::ip::address_v4::loopback();
    state.instance = "gw-reader";
    return state;
  }

  std::optional<MetadataReply> watched;

  void Watch(std::uint64_t aRevision, milliseconds aWait)
  {
    watched.reset();
    source.Watch(MetadataTopic::Servers,
                 aRevision,
                 aWait,
                 aWait + milliseconds(300),
                 [this](auto aReply) { watched = std::move(aReply); });
  }

  TestGateway reader;
  TestGateway follower;
  std::optional<TimePoint> contact = steady_clock::now();
  bool silent = false;
  std::vector<ReplyHandler> held;
  MetadataRelay relay;
  HttpListener listener;
  CountingService service;
  RelayedSource source;
  RelayedSource operators;
};

const tcp::endpoint kNowhere{ asio::ip::address_v4::loopback(), 9 };

} // namespace

// Guards against a reader that misses a change or a removal, whatever it knew
// before (a leaving server would stay in use).
RC_GTEST_PROP(ServerChanges, DeltasLeadFromAnyStateToThePresent, ())
{
  ServerChanges changes;
  std::set<ServerId> present;
  std::vector<std::pair<std::uint64_t, std::set<ServerId>>> states;
  const auto steps = *rc::gen::container<std::vector<std::pair<bool, int>>>(
    rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 6)));
  for (const auto& [change, n] : steps) {
    states.emplace_back(changes.LatestSequence(), present);
    const auto id = "s-" + std::to_string(n);
    if (change) {
      changes.RecordChange(id);
      present.insert(id);
    } else {
      changes.RecordRemoval(id);
      present.erase(id);
    }
  }
  for (auto [sequence, known] : states) {
    const auto delta = changes.ChangesAfter(sequence);
    RC_ASSERT(delta.has_value());
    for (const auto& it : delta->removed) {
      known.erase(it);
    }
    known.insert(delta->changed.begin(), delta->changed.end());
    RC_ASSERT(known == present);
  }
}

// Guards against a delta that lacks forgotten removals.
TEST(ServerChanges, TellsWhenRemovalsAreForgotten)
{
  ServerChanges changes;
  for (std::size_t n = 0; n <= ServerChanges::kMaxRemovals; ++n) {
    changes.RecordRemoval("s");
  }
  EXPECT_FALSE(changes.ChangesAfter(1).has_value());
  EXPECT_TRUE(changes.ChangesAfter(2).has_value());
  EXPECT_FALSE(changes.ChangesAfter(changes.LatestSequence() + 1).has_value());
}

// Guards against fields lost between instances.
TEST(RelayMessage, KeepsAllFields)
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
  RelayReply sent;
  sent.epoch = 7;
  sent.sequence = 12;
  sent.servers = { record };
  sent.removedServers = { "i-0" };
  sent.withdrawnDomains = { "fd-a" };
  sent.restoredDomains = { "fd-c" };
  const auto reply = DecodeRelayReply(EncodeRelayReply(sent));
  ASSERT_TRUE(reply && reply->servers.size() == 1);
  EXPECT_EQ(reply->epoch, 7U);
  EXPECT_EQ(reply->sequence, 12U);
  EXPECT_EQ(reply->removedServers, std::vector<ServerId>{ "i-0" });
  const auto& server = reply->servers.front();
  EXPECT_EQ(server.id, record.id);
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

// Guards against a configuration that changes on its way between instances.
TEST(RelayMessage, KeepsAConfiguration)
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
  const auto& got = *reply->config;
  EXPECT_EQ(got.version, 9U);
  ASSERT_EQ(got.routes.size(), 2U);
  EXPECT_EQ(got.routes[0].repeatability, Repeatability::AtMostOnce);
  ASSERT_EQ(got.routes[0].targets.size(), 2U);
  EXPECT_DOUBLE_EQ(got.routes[0].targets[1].weight, 0.25);
  EXPECT_EQ(got.routes[0].timeout, one.timeout);
  EXPECT_EQ(got.routes[0].prefix, one.prefix);
  EXPECT_EQ(got.routes[0].host, one.host);
  EXPECT_EQ(got.routes[1].shards, all.shards);
  EXPECT_EQ(got.routes[1].topRecords, all.topRecords);
  EXPECT_DOUBLE_EQ(got.routes[1].minCoverage, 0.89);
  EXPECT_EQ(got.routes[1].priority, 2U);
  EXPECT_EQ(got.routes[1].maxAttempts, all.maxAttempts);
  EXPECT_EQ(got.routes[1].objective, all.objective);
  EXPECT_EQ(got.groups[0].maxConnections, 52U);
  EXPECT_DOUBLE_EQ(got.groups[0].warmupRate, 1.5);
  EXPECT_EQ(got.limits.idleTimeout, milliseconds(7000));
}

// Guards against nonsense from a peer being taken for an empty list.
TEST(RelayMessage, RefusesNonsense)
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
  EXPECT_FALSE(decoded(R"({"epoch":1,"sequence":2,"servers":[],"config":{},)"));
}

// Guards against all instances reading the service: a list and the change after
// it come from the other instance.
TEST(Relay, PassesServersOnWithoutACallToTheService)
{
  Relaying world;
  world.reader.AddServer("s-0", "g0", kNowhere);
  const auto listed = world.List();
  ASSERT_EQ(listed.status, MetadataStatus::Ok);
  EXPECT_TRUE(listed.relayed);
  ASSERT_EQ(listed.changes.size(), 1U);

  world.Watch(listed.revision, milliseconds(5000));
  const auto later = steady_clock::now() + milliseconds(60);
  world.RunUntil([&] { return steady_clock::now() >= later; });
  EXPECT_FALSE(world.watched.has_value());
  world.reader.AddServer("s-1", "g0", kNowhere);
  world.RunUntil([&] { return world.watched.has_value(); });
  ASSERT_TRUE(world.watched && world.watched->changes.size() == 1);
  EXPECT_TRUE(std::holds_alternative<ServerChanged>(
    world.watched->changes.front().change));
  EXPECT_EQ(world.service.lists + world.service.watches, 0);
}

// Guards against a withdrawal or a version that doesn't reach the instances
// that don't read the service, or one that is sent again and again.
TEST(Relay, PassesOnConfigurationsAndWithdrawals)
{
  Relaying world;
  world.reader.Publish({ TestGateway::SingleRoute(Repeatability::Idempotent) });
  const auto now = steady_clock::now();
  std::optional<MetadataReply> reply;
  const auto take = [&](MetadataReply aReply) { reply = std::move(aReply); };
  world.operators.List(MetadataTopic::Operators, "", milliseconds(500), take);
  world.RunUntil([&] { return reply.has_value(); });
  ASSERT_TRUE(reply && reply->changes.size() == 1);
  EXPECT_TRUE(
    std::holds_alternative<ConfigPublished>(reply->changes.front().change));

  const auto watch = [&] {
    const auto revision = reply->revision;
    reply.reset();
    world.operators.Watch(MetadataTopic::Operators,
                          revision,
                          milliseconds(900),
                          milliseconds(1300),
                          take);
  };
  watch();
  world.reader.servers.SetWithdrawn("fd-b", true);
  world.RunUntil([&] { return reply.has_value(); });
  ASSERT_TRUE(reply && reply->changes.size() == 1);
  const auto* out =
    std::get_if<DomainWithdrawalChanged>(&reply->changes.front().change);
  ASSERT_NE(out, nullptr);
  EXPECT_TRUE(out->withdrawn);

  watch();
  world.reader.servers.SetWithdrawn("fd-b", false);
  world.RunUntil([&] { return reply.has_value(); });
  ASSERT_TRUE(reply && reply->changes.size() == 1);
  out = std::get_if<DomainWithdrawalChanged>(&reply->changes.front().change);
  ASSERT_NE(out, nullptr);
  EXPECT_FALSE(out->withdrawn);
  EXPECT_LT(steady_clock::now() - now, milliseconds(900));
}

// Guards against an instance that has lost the service passing on old servers:
// the follower reads the service itself.
TEST(Relay, RefusesWhatMayBeOutOfDate)
{
  Relaying world;
  world.contact = steady_clock::now() - std::chrono::seconds(10);
  EXPECT_EQ(world.List().status, MetadataStatus::SourceChanged);
  EXPECT_EQ(world.List().status, MetadataStatus::Unavailable);
  EXPECT_TRUE(world.source.IsDirect());
  EXPECT_EQ(world.service.lists, 1);
}

// Guards against a paused reader holding up its followers for longer than the
// bound on leaving servers.
TEST(Relay, LeavesAPausedInstance)
{
  Relaying world;
  const auto listed = world.List();
  ASSERT_EQ(listed.status, MetadataStatus::Ok);
  world.silent = true;
  const auto start = steady_clock::now();
  world.Watch(listed.revision, std::chrono::hours(1));
  world.RunUntil([&] { return world.watched.has_value(); });
  ASSERT_TRUE(world.watched.has_value());
  EXPECT_EQ(world.watched->status, MetadataStatus::SourceChanged);
  EXPECT_LT(steady_clock::now() - start,
            world.follower.process.settings.maxDrainTime);
  world.List();
  EXPECT_EQ(world.service.lists, 1);
}

// Guards against a sequence of a former run being taken for one of this run.
TEST(Relay, ListsAgainAfterARestartOfTheReader)
{
  Relaying world;
  const auto listed = world.List();
  ++world.reader.process.peers.Self().incarnation;
  world.Watch(listed.revision, milliseconds(1000));
  world.RunUntil([&] { return world.watched.has_value(); });
  ASSERT_TRUE(world.watched.has_value());
  EXPECT_EQ(world.watched->status, MetadataStatus::SourceChanged);
}

// Guards against all instances of a fleet that starts at once reading the
// service: those that callers aren't sent to wait for one that has read it.
TEST(Relay, WaitsForAReaderAfterTheStart)
{
  Relaying world;
  world.source.SetRelays({}, false);
  std::optional<MetadataReply> reply;
  world.source.List(MetadataTopic::Servers,
                    "",
                    milliseconds(500),
                    [&](auto aReply) { reply = std::move(aReply); });
  const auto later = steady_clock::now() + milliseconds(150);
  world.RunUntil([&] { return steady_clock::now() >= later; });
  EXPECT_FALSE(reply.has_value());
  EXPECT_EQ(world.service.lists, 0);
  world.source.SetRelays({ world.Reader() }, false);
  world.RunUntil([&] { return reply.has_value(); });
  EXPECT_TRUE(reply->relayed);
  EXPECT_EQ(world.service.lists, 0);
}

// Guards against waiting for ever for a reader that never comes.
TEST(Relay, ReadsTheServiceWhenNoReaderComes)
{
  Relaying world;
  world.source.SetRelays({}, false);
  world.source.List(MetadataTopic::Servers, "", milliseconds(500), [](auto) {});
  world.RunUntil([&] { return world.service.lists > 0; });
  EXPECT_EQ(world.service.lists, 1);
}

// Guards against an instance that callers are sent to following another one.
TEST(Relay, ReadsTheServiceWithoutRelays)
{
  Relaying world;
  world.source.SetRelays({}, true);
  world.List();
  EXPECT_EQ(world.service.lists, 1);
  world.Watch(1, milliseconds(10));
  EXPECT_EQ(world.service.watches, 1);
}

} // namespace bronzedeal::gateway::test
