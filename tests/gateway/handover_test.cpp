#include "bronzedeal/gateway/handover.hpp"

#include "bronzedeal/gateway/http_listener.hpp"
#include "bronzedeal/gateway/reach_view.hpp"
#include "support.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bronzedeal::gateway::test {

namespace {

using std::chrono::seconds;

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

/// The state of `gw-1` as 405930d states it, and with a reach of 37%, two
/// capabilities and two further fields.
constexpr const char* kFormerState =
  R"([["127.0.0.2","gw-1","fd-b",1,1,1E0,15,100]])";
constexpr const char* kLaterState =
  R"([["127.0.0.2","gw-1","fd-b",1,1,1E0,15,100,37,2147483649,"x",[7]]])";

/// Hand-over and ids of requests, as 31a590e states them.
constexpr PeerCapabilities kFormerCapabilities(3);

PeerState MakePeer(unsigned aNumber, unsigned aReachPercent)
{
  PeerState peer;
  peer.address = asio::ip::address_v4(0x7f000001U + aNumber);
  peer.instance = "gw-" + std::to_string(aNumber);
  peer.failureDomain = "fd-b";
  peer.serving = true;
  peer.ready = true;
  peer.reachPercent = aReachPercent;
  peer.capabilities = PeerCapabilities::Own();
  return peer;
}

/// An instance that reaches no server, and helpers that the handler stands for.
struct CutOffGateway : TestGateway
{
  explicit CutOffGateway(
    RequestHandler aHelper,
    unsigned aHelperCount = 1,
    PeerCapabilities aCapabilities = PeerCapabilities::Own())
    : listener(process,
               { asio::ip::address_v4::loopback(), 0 },
               [this, helper = std::move(aHelper)](CallerRequest aRequest,
                                                   ReplyHandler aReply) {
                 ++handedOver;
                 return helper(
                   std::move(aRequest),
                   [reply = std::move(aReply)](CallerReply aAnswer) {
                     StateRequestId(aAnswer, "X-Request-Id", "r-1");
                     reply(std::move(aAnswer));
                   });
               })
  {
    process.settings.gossipEndpoint.port(listener.Address().port());
    auto& self = process.peers.Self();
    self = MakePeer(0, 0);
    std::vector<PeerState> peers;
    for (unsigned n = 1; n <= aHelperCount; ++n) {
      auto peer = MakePeer(n, 100);
      // All helpers are the same listener.
      peer.address = asio::ip::address_v4::loopback();
      peer.capabilities = aCapabilities;
      peers.push_back(peer);
    }
    self.address = asio::ip::address_v4(0x7f0000ffU);
    gateway.Peers().Update(peers);
    gateway.UpdateReach(peers, kStart);
    gateway.UpdateReach(peers, kStart + seconds(1));
  }

  unsigned handedOver = 0;
  HttpListener listener;
};

/// The runs without proof that the notices name for a content.
std::vector<CrashNotice::Run> UnprovenRunsOf(
  const std::vector<CrashNotice>& aNotices,
  const ContentId& aContent)
{
  std::vector<CrashNotice::Run> runs;
  for (const auto& it : aNotices) {
    if (it.content == aContent) {
      runs.insert(runs.end(), it.unprovenRuns.begin(), it.unprovenRuns.end());
    }
  }
  return runs;
}

CallerReply OkReply()
{
  CallerReply reply;
  reply.headers = "X-Request-Id: r-1\r\nX-Signature: s\r\nX-Rate-Limit: 1\r\n";
  reply.body = "ok";
  return reply;
}

} // namespace

// Guards against instances that hand requests to each other because servers
// are gone for all of them, and against views that change for a moment.
TEST(ReachView, ComparesWithServingInstancesForAWhile)
{
  ReachView view{ ReachView::Options{} };
  const auto self = MakePeer(0, 40);
  auto idle = MakePeer(2, 100);
  idle.serving = false;
  view.Update(self, { self, MakePeer(1, 45), idle }, kStart);
  view.Update(self, { self, MakePeer(1, 45), idle }, kStart + seconds(5));
  EXPECT_TRUE(view.Helpers().empty());
  const std::vector<PeerState> others{ self, MakePeer(1, 60), MakePeer(3, 20) };
  view.Update(self, others, kStart + seconds(6));
  EXPECT_TRUE(view.Helpers().empty());
  view.Update(self, others, kStart + seconds(7));
  EXPECT_EQ(view.Helpers(), std::vector<InstanceId>{ "gw-1" });
  EXPECT_FALSE(view.IsCutOff());
  view.Update(self, { MakePeer(1, 90) }, kStart + seconds(8));
  EXPECT_TRUE(view.IsCutOff());
  view.Update(self, {}, kStart + seconds(9));
  EXPECT_TRUE(view.Helpers().empty());
  EXPECT_FALSE(view.IsCutOff());
}

// Guards against a fleet without helpers or without addresses, whatever the
// instances reach.
RC_GTEST_PROP(ReachView, TheInstanceThatReachesMostIsNeverCutOff, ())
{
  const auto reach = *rc::gen::nonEmpty(
    rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 101U)));
  std::vector<PeerState> fleet;
  for (unsigned n = 0; n < reach.size(); ++n) {
    fleet.push_back(MakePeer(n, reach[n]));
  }
  const auto best = *std::max_element(reach.begin(), reach.end());
  for (const auto& self : fleet) {
    ReachView view{ ReachView::Options{} };
    view.Update(self, fleet, kStart);
    view.Update(self, fleet, kStart + seconds(1));
    RC_ASSERT(!view.IsCutOff() || !view.Helpers().empty());
    RC_ASSERT(self.reachPercent < best || view.Helpers().empty());
    RC_ASSERT(std::find(view.Helpers().begin(),
                        view.Helpers().end(),
                        self.instance) == view.Helpers().end());
  }
  auto named = fleet;
  RemoveCutOff(named);
  RC_ASSERT(!named.empty());
  RC_ASSERT(std::any_of(named.begin(), named.end(), [&](const auto& aIt) {
    return aIt.reachPercent == best;
  }));
}

// Guards against states of instances of the earlier version that are refused.
TEST(PeerTable, ReadsStatesWithAndWithoutReach)
{
  std::vector<PeerState> states;
  ASSERT_TRUE(DecodePeers(EncodePeers({ MakePeer(1, 37) }), states));
  EXPECT_EQ(states.front().reachPercent, 37U);
  // As 405930d and de4dcf5 state them.
  ASSERT_TRUE(DecodePeers(kFormerState, states));
  EXPECT_EQ(states.back().reachPercent, std::nullopt);
  EXPECT_TRUE(states.back().capabilities.IsEmpty());
  ASSERT_TRUE(
    DecodePeers(R"([["127.0.0.2","gw-1","fd-b",1,2,1.0,15,100,37]])", states));
  EXPECT_EQ(states.back().reachPercent, 37U);
  EXPECT_TRUE(states.back().capabilities.IsEmpty());
  EXPECT_FALSE(
    DecodePeers(R"([["127.0.0.2","gw-1","fd-b",1,1,1.0,15,100,-1]])", states));
  EXPECT_FALSE(DecodePeers(
    R"([["127.0.0.2","gw-1","fd-b",1,1,1.0,15,100,37,-1]])", states));
}

// Guards against fields that instances of a former version, which pass a state
// on without them, make the others forget.
TEST(PeerTable, KeepsWhatInstancesOfAFormerVersionDrop)
{
  PeerTable table(MakePeer(0, 100), PeerTable::Options{});
  std::vector<PeerState> states;
  ASSERT_TRUE(DecodePeers(kLaterState, states));
  table.Merge(states, kStart);
  states.clear();
  ASSERT_TRUE(DecodePeers(kFormerState, states));
  states.front().heartbeat += 5;
  table.Merge(states, kStart);
  const auto known = table.AliveInstances(kStart).back();
  EXPECT_EQ(known.heartbeat, states.front().heartbeat);
  EXPECT_EQ(known.reachPercent, 37U);
  EXPECT_TRUE(known.capabilities.Has(PeerCapability::Handover));
  // Another run may be of another version.
  ++states.front().incarnation;
  table.Merge(states, kStart);
  EXPECT_TRUE(table.AliveInstances(kStart).back().capabilities.IsEmpty());
}

// Guards against an instance that the others don't hear because its clock has
// gone back since its former run, which had already counted as ended.
TEST(PeerTable, RaisesTheIncarnationOfARunThatAFormerOneHides)
{
  auto former = MakePeer(1, 100);
  former.incarnation = 1000;
  PeerTable other(MakePeer(0, 100), PeerTable::Options{});
  other.Merge({ former }, kStart);
  const auto later = kStart + std::chrono::minutes(1);
  auto restarted = MakePeer(1, 100);
  restarted.incarnation = 400;
  PeerTable self(restarted, PeerTable::Options{});
  other.Merge({ self.Self() }, later);
  EXPECT_EQ(other.AliveInstances(later).size(), 1U);

  const auto hiding = other.HidingState(self.Self());
  ASSERT_TRUE(hiding);
  self.Merge({ *hiding }, later);
  EXPECT_FALSE(other.HidingState(self.Self()));
  other.Merge({ self.Self() }, later);
  EXPECT_EQ(other.AliveInstances(later).size(), 2U);
}

// Guards against fields and capabilities of a later version that this one drops
// when it passes a state on.
TEST(PeerTable, PassesOnWhatALaterVersionStates)
{
  std::vector<PeerState> states;
  ASSERT_TRUE(DecodePeers(kLaterState, states));
  EXPECT_EQ(EncodePeers(states), kLaterState);
  const auto tooLong = R"([["127.0.0.2","gw-1","fd-b",1,1,1E0,15,100,37,1,")" +
                       std::string(1000, 'x') + R"("]])";
  ASSERT_TRUE(DecodePeers(tooLong, states));
  EXPECT_TRUE(states.back().laterFields.empty());
}

// Guards against requests that are handed to an instance which doesn't know
// what to do with them, or whose reach isn't known.
TEST(ReachView, TakesOnlyInstancesForHelpersThatStateIt)
{
  auto former = MakePeer(1, 100);
  former.capabilities = {};
  auto silent = MakePeer(2, 100);
  silent.reachPercent.reset();
  ReachView view{ ReachView::Options{} };
  const auto self = MakePeer(0, 0);
  for (const auto at : { seconds(0), seconds(1) }) {
    view.Update(self, { self, former, silent }, kStart + at);
  }
  EXPECT_TRUE(view.Helpers().empty());
  EXPECT_FALSE(view.IsCutOff());
  // Nor do they make the others look cut off.
  std::vector<PeerState> fleet{ MakePeer(3, 40), silent };
  RemoveCutOff(fleet);
  EXPECT_EQ(fleet.size(), 2U);
}

// Guards against callers that are refused although another instance reaches
// the servers, and against limits of servers that are taken for a helper's.
TEST(Handover, PassesOnTheAnswerOfAHelper)
{
  std::string target;
  CutOffGateway fixture(
    [&](CallerRequest aRequest, const ReplyHandler& aReply) {
      EXPECT_TRUE(TakeHandover(aRequest.message));
      EXPECT_FALSE(TakeHandover(aRequest.message));
      target = std::string(aRequest.message.target());
      aReply(OkReply());
      return nullptr;
    });
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  for (int n = 0; n < 8; ++n) {
    const auto reply = fixture.Ask("/one/a?b=c");
    EXPECT_EQ(reply.status, 200U);
    EXPECT_EQ(reply.body, "ok");
    EXPECT_NE(reply.headers.find("X-Signature: s"), std::string::npos);
  }
  EXPECT_EQ(target, "/one/a?b=c");
  EXPECT_EQ(fixture.handedOver, 8U);
}

// Guards against requests that go from instance to instance.
TEST(Handover, DoesNotHandOnAHandedOverRequest)
{
  CutOffGateway fixture([](auto&&, const ReplyHandler& aReply) {
    aReply(OkReply());
    return nullptr;
  });
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::Idempotent) });
  std::optional<CallerReply> reply;
  const auto exchange = fixture.gateway.Handle(
    TestGateway::Request("/one/a"),
    [&](CallerReply aReply) { reply = std::move(aReply); },
    true);
  fixture.RunUntil([&] { return reply.has_value(); });
  EXPECT_EQ(reply->status, 503U);
  EXPECT_EQ(fixture.handedOver, 0U);
}

// Guards against refusals of one helper that reach the caller while another
// one has room, and against a request that is sent round to all.
TEST(Handover, AsksASecondHelperWhenTheFirstRefuses)
{
  unsigned asked = 0;
  CutOffGateway fixture(
    [&](auto&&, const ReplyHandler& aReply) {
      aReply(++asked == 1 ? RefusedReply("full", milliseconds(300))
                          : OkReply());
      return nullptr;
    },
    3);
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  EXPECT_EQ(fixture.Ask("/one/a").status, 200U);
  EXPECT_EQ(asked, 2U);
}

// Guards against errors of an instance that doesn't know hand-over, as 405930d
// answers them, that reach the caller.
TEST(Handover, TakesNoErrorOfAnInstanceThatDoesNotKnowIt)
{
  unsigned asked = 0;
  CutOffGateway fixture(
    [&](auto&&, const ReplyHandler& aReply) {
      aReply(++asked == 1 ? TextReply(400, "no partial query") : OkReply());
      return nullptr;
    },
    3);
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  EXPECT_EQ(fixture.Ask("/one/a").status, 200U);
  asked = 0;
  CutOffGateway alone([&](auto&&, const ReplyHandler& aReply) {
    aReply(TextReply(400, "no partial query"));
    return nullptr;
  });
  alone.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  EXPECT_EQ(alone.Ask("/one/a").status, 503U);
}

// Guards against the error of a server, which a helper passes on, that is taken
// for its own, and against the mark of such replies that reaches callers.
TEST(Handover, PassesOnAMarkedError)
{
  CutOffGateway fixture([](auto&&, const ReplyHandler& aReply) {
    auto reply = OkReply();
    reply.status = 404;
    MarkHandoverReply(reply);
    aReply(std::move(reply));
    return nullptr;
  });
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  const auto reply = fixture.Ask("/one/a");
  EXPECT_EQ(reply.status, 404U);
  EXPECT_EQ(reply.headers.find("Handover"), std::string::npos);
}

// Guards against a content that crashes servers and, once its instance counts
// as cut off for it, runs at the servers of all shards for each helper anew.
TEST(Handover, TellsThatAContentIsSuspect)
{
  for (const bool takesState : { false, true }) {
    std::vector<bool> suspect;
    CutOffGateway fixture(
      [&](CallerRequest aRequest, const ReplyHandler& aReply) {
        const auto handover = TakeHandover(aRequest.message);
        EXPECT_FALSE(handover->isSuspect && takesState);
        const bool isToldByState =
          std::any_of(handover->notices.begin(),
                      handover->notices.end(),
                      [](const auto& aIt) { return aIt.unansweredAge; });
        suspect.push_back(takesState ? isToldByState : handover->isSuspect);
        aReply(suspect.size() < 3 ? TextReply(502, "broken") : OkReply());
        return nullptr;
      },
      3,
      takesState ? PeerCapabilities::Own() : kFormerCapabilities);
    fixture.Publish({ TestGateway::SingleRoute(Repeatability::Idempotent) });
    for (int n = 0; n < 4; ++n) {
      static_cast<void>(fixture.Ask("/one/a"));
    }
    EXPECT_EQ(suspect, (std::vector<bool>{ false, true, true, false }));
  }
}

// Guards against a content that an instance refuses because its links to the
// servers were lost, while other instances could serve it, and against one that
// has crashed servers and runs again for each helper.
TEST(Handover, LetsTheHelperJudgeRunsThatWereLost)
{
  std::vector<CrashNotice> told;
  CutOffGateway fixture(
    [&](CallerRequest aRequest, const ReplyHandler& aReply) {
      told = TakeHandover(aRequest.message)->notices;
      aReply(OkReply());
      return nullptr;
    });
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  const auto content = ContentIdOf(TestGateway::Request("/one/a").message);
  auto& quarantine = fixture.process.crashQuarantine;
  const auto now = std::chrono::steady_clock::now();
  const auto run = [&](std::uint32_t aServer) {
    const auto sentAt = now - milliseconds(100 - 10 * aServer);
    return LostRun{ aServer, sentAt, sentAt + milliseconds(5) };
  };
  for (std::uint32_t n = 1; n <= 3; ++n) {
    quarantine.OnCut(content, run(n), now);
  }
  ASSERT_EQ(ContentVerdict::Quarantined, quarantine.VerdictOf(content, now));
  EXPECT_EQ(fixture.Ask("/one/a").status, 200U);
  EXPECT_EQ(UnprovenRunsOf(told, content).size(), 3U);
  EXPECT_EQ(ContentVerdict::Free,
            quarantine.VerdictOf(content, std::chrono::steady_clock::now()));
  const auto other = ContentIdOf(TestGateway::Request("/one/b").message);
  for (std::uint32_t n = 1; n <= 3; ++n) {
    quarantine.OnServerEnded(other, run(n), now);
  }
  EXPECT_EQ(fixture.Ask("/one/b").status, 503U);
  EXPECT_EQ(fixture.handedOver, 1U);
}

// Guards against a content that crashes servers and that helpers of a former
// version run, since they can't be told of the runs that were lost.
TEST(Handover, RefusesAQuarantinedContentBesideFormerHelpers)
{
  CutOffGateway fixture(
    [](auto&&, const ReplyHandler& aReply) {
      aReply(OkReply());
      return nullptr;
    },
    1,
    kFormerCapabilities);
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  const auto content = ContentIdOf(TestGateway::Request("/one/a").message);
  const auto now = std::chrono::steady_clock::now();
  for (std::uint32_t n = 1; n <= 3; ++n) {
    const auto sentAt = now - milliseconds(100 - 10 * n);
    fixture.process.crashQuarantine.OnCut(
      content, { n, sentAt, sentAt + milliseconds(5) }, now);
  }
  EXPECT_EQ(fixture.Ask("/one/a").status, 503U);
  EXPECT_EQ(fixture.handedOver, 0U);
}

// Guards against a content that is suspect because the link to a helper broke.
TEST(Handover, BlamesNoContentForALostHelper)
{
  TestGateway fixture;
  ScriptedServer helper(fixture.process.context, [&](auto&) {
    return Reaction{ "", {}, false, true };
  });
  fixture.process.settings.gossipEndpoint.port(helper.Address().port());
  fixture.process.peers.Self() = MakePeer(9, 0);
  std::vector<PeerState> peers{ MakePeer(1, 100) };
  peers.front().address = asio::ip::address_v4::loopback();
  fixture.gateway.Peers().Update(peers);
  fixture.gateway.UpdateReach(peers, kStart);
  fixture.gateway.UpdateReach(peers, kStart + seconds(1));
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  EXPECT_EQ(fixture.Ask("/one/a").status, 502U);
  EXPECT_EQ(0U, fixture.process.crashQuarantine.size());
}

// Guards against marks of former versions and of this one that aren't read, and
// against half of a malformed mark that is applied.
TEST(Handover, ReadsMarksWithAndWithoutNotices)
{
  const auto decode = [](const std::string& aValue) {
    RequestMessage message;
    message.set("X-Bronzedeal-Handover", aValue);
    return TakeHandover(message);
  };
  EXPECT_TRUE(decode("12 3"));
  EXPECT_TRUE(decode("12 3 suspect")->isSuspect);
  Handover handover;
  handover.elapsed = std::chrono::microseconds(12);
  handover.notices.emplace_back();
  handover.notices.back().unprovenRuns.push_back({ 7, {}, {} });
  const auto line = EncodeHandover(handover);
  const auto decoded = decode(line.substr(23, line.size() - 25));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->elapsed, handover.elapsed);
  const auto runs = UnprovenRunsOf(decoded->notices, ContentId{});
  ASSERT_EQ(runs.size(), 1U);
  EXPECT_EQ(runs.front().server, 7U);
  handover.usedServers.Add("g0", "s-0");
  const auto withServers = EncodeHandover(handover);
  const auto both = decode(withServers.substr(23, withServers.size() - 25));
  ASSERT_TRUE(both);
  EXPECT_EQ(both->usedServers.Of("g0"), std::vector<ServerId>{ "s-0" });
  EXPECT_EQ(UnprovenRunsOf(both->notices, ContentId{}).size(), 1U);
  EXPECT_FALSE(decode("12 3 {\"crashes\":[],\"servers\":[]}"));
  EXPECT_FALSE(decode("12 3 {\"crashes\":[],\"servers\":{\"g0\":[1]}}"));
  EXPECT_FALSE(decode("12 3 {"));
  EXPECT_FALSE(decode("12 3 {\"crashes\":[1]}"));
  EXPECT_FALSE(decode("12 {\"crashes\":[]}"));
}

// Guards against a Retry-After that is lost between instances.
TEST(Handover, PassesOnTheRefusalOfTheLastHelper)
{
  CutOffGateway fixture(
    [](auto&&, const ReplyHandler& aReply) {
      aReply(RefusedReply("full", milliseconds(700)));
      return nullptr;
    },
    3);
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  const auto reply = fixture.Ask("/one/a");
  EXPECT_EQ(reply.status, 503U);
  EXPECT_NE(reply.headers.find("Retry-After: 0.700"), std::string::npos);
  EXPECT_EQ(fixture.handedOver, 2U);
}

// Guards against a second run of an at-most-once request, or a claim that it
// has not run, after the answer of a helper was lost.
TEST(Handover, DoesNotSendAgainAfterALostAnswer)
{
  unsigned requests = 0;
  TestGateway fixture;
  ScriptedServer helper(fixture.process.context, [&](auto&) {
    ++requests;
    return Reaction{ "", {}, false, true };
  });
  fixture.process.settings.gossipEndpoint.port(helper.Address().port());
  fixture.process.peers.Self() = MakePeer(9, 0);
  std::vector<PeerState> peers{ MakePeer(1, 100), MakePeer(2, 100) };
  for (auto& it : peers) {
    it.address = asio::ip::address_v4::loopback();
  }
  fixture.gateway.Peers().Update(peers);
  fixture.gateway.UpdateReach(peers, kStart);
  fixture.gateway.UpdateReach(peers, kStart + seconds(1));
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::AtMostOnce) });
  EXPECT_EQ(fixture.Ask("/one/a").status, 502U);
  EXPECT_EQ(requests, 1U);
}

// Guards against work for a caller that has left.
TEST(Handover, CancelsAtTheHelperWhenTheCallerLeaves)
{
  struct PendingExchange : Exchange
  {
    explicit PendingExchange(bool& aCancelled)
      : cancelled(aCancelled)
    {
    }
    void Conclude() override {}
    void Cancel() override { cancelled = true; }
    bool& cancelled;
  };
  bool cancelled = false;
  CutOffGateway fixture([&](auto&&, const ReplyHandler&) {
    return std::make_shared<PendingExchange>(cancelled);
  });
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::Idempotent) });
  const auto exchange = fixture.gateway.Handle(
    TestGateway::Request("/one/a"), [](const CallerReply&) { FAIL(); });
  fixture.RunUntil([&] { return fixture.handedOver == 1; });
  exchange->Cancel();
  fixture.RunUntil([&] { return cancelled; });
  EXPECT_TRUE(cancelled);
}

// Guards against a trial and a hand-over that use the route's maximum number of
// servers each, and against one that claims that the request hasn't run.
TEST(Trial, CountsItsServerWithThoseOfTheHelper)
{
  std::optional<Handover> handover;
  CutOffGateway fixture(
    [&](CallerRequest aRequest, const ReplyHandler& aReply) {
      handover = TakeHandover(aRequest.message);
      aReply(RefusedReply("full", milliseconds(700)));
      return nullptr;
    });
  const auto silent = [](auto&) {
    return Reaction{ "", {}, false, false, true };
  };
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  for (int n = 0; n < 3; ++n) {
    servers.push_back(
      std::make_unique<ScriptedServer>(fixture.process.context, silent));
    fixture.AddServer(
      "s-" + std::to_string(n), "g0", servers.back()->Address());
  }
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::Idempotent) });
  EXPECT_EQ(fixture.Ask("/one/a").status, 502U);
  ASSERT_TRUE(handover);
  EXPECT_EQ(handover->usedServers.size(), 1U);
  const auto used = handover->usedServers.Of("g0");
  ASSERT_EQ(used.size(), 1U);
  std::size_t sendCount = 0;
  for (std::size_t n = 0; n < servers.size(); ++n) {
    sendCount += servers[n]->Requests().size();
    EXPECT_EQ(servers[n]->Requests().size(),
              used.front() == "s-" + std::to_string(n) ? 1U : 0U);
  }
  EXPECT_EQ(sendCount, 1U);
}

// Guards against a query that a trial sends to a server of each shard.
TEST(Trial, SendsOneShardOfAQuery)
{
  std::optional<Handover> handover;
  CutOffGateway fixture(
    [&](CallerRequest aRequest, const ReplyHandler& aReply) {
      handover = TakeHandover(aRequest.message);
      aReply(OkReply());
      return nullptr;
    });
  ScriptedServer server(fixture.process.context, [](auto&) {
    return Reaction{ "", {}, false, false, true };
  });
  const std::vector<std::string> shards{ "g0", "g1", "g2" };
  for (const auto& it : shards) {
    fixture.AddServer("s-" + it, it, server.Address());
  }
  fixture.Publish({ TestGateway::FanoutRoute(shards, 1) });
  EXPECT_EQ(fixture.Ask("/all/a").status, 200U);
  EXPECT_EQ(server.Requests().size(), 1U);
  ASSERT_TRUE(handover);
  EXPECT_EQ(handover->usedServers.size(), 1U);
}

// Guards against an instance that stays cut off because its servers answer
// later than the trial is handed over.
TEST(Trial, AwaitsALateAnswer)
{
  CutOffGateway fixture([](auto&&, const ReplyHandler& aReply) {
    aReply(OkReply());
    return nullptr;
  });
  ScriptedServer server(fixture.process.context, [](auto&) {
    return Reaction{ Response(
                       200, "X-Request-Id: r-1\r\nX-Signature: s\r\n", ""),
                     milliseconds(900) };
  });
  fixture.AddServer("s-0", "g0", server.Address());
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::Idempotent) });
  const auto epoch = fixture.process.linkEvidence.Epoch();
  EXPECT_EQ(fixture.Ask("/one/a").status, 200U);
  EXPECT_EQ(fixture.handedOver, 1U);
  const auto state = [&] {
    return fixture.servers.Find("s-0")->AnswerState(
      std::chrono::steady_clock::now());
  };
  EXPECT_NE(state(), AnswerState::Answering);
  fixture.RunUntil([&] { return state() == AnswerState::Answering; });
  EXPECT_EQ(state(), AnswerState::Answering);
  // What was observed of the other servers is outdated.
  EXPECT_NE(fixture.process.linkEvidence.Epoch(), epoch);
}

// Guards against work for a caller that has left after the hand-over.
TEST(Trial, EndsWhenTheCallerLeaves)
{
  CutOffGateway fixture([](auto&&, const ReplyHandler&) { return nullptr; });
  ScriptedServer server(fixture.process.context, [](auto&) {
    return Reaction{ "", {}, false, false, true };
  });
  fixture.AddServer("s-0", "g0", server.Address());
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::Idempotent) });
  const auto exchange = fixture.gateway.Handle(
    TestGateway::Request("/one/a"), [](const CallerReply&) { FAIL(); });
  fixture.RunUntil([&] { return fixture.handedOver == 1; });
  EXPECT_EQ(server.ClosedCount(), 0U);
  const auto leftAt = std::chrono::steady_clock::now();
  exchange->Cancel();
  fixture.RunUntil([&] { return server.ClosedCount() == 1; });
  EXPECT_EQ(server.ClosedCount(), 1U);
  // Its own deadline is 3 s away.
  EXPECT_LT(std::chrono::steady_clock::now() - leftAt, seconds(2));
}

// Guards against helpers of a former version, which count the servers of a
// request anew.
TEST(Trial, IsNotMadeBesideFormerHelpers)
{
  CutOffGateway fixture(
    [](auto&&, const ReplyHandler& aReply) {
      aReply(OkReply());
      return nullptr;
    },
    1,
    kFormerCapabilities);
  ScriptedServer server(fixture.process.context, [](auto&) {
    return Reaction{ "", {}, false, false, true };
  });
  fixture.AddServer("s-0", "g0", server.Address());
  fixture.Publish({ TestGateway::SingleRoute(Repeatability::Idempotent) });
  EXPECT_EQ(fixture.Ask("/one/a").status, 200U);
  EXPECT_EQ(server.Requests().size(), 0U);
}

// Guards against requests that run on more servers than their route allows,
// since a helper doesn't count those of the instance that handed them over.
RC_GTEST_PROP(Handover, KeepsToTheServersThatAreLeft, ())
{
  const auto isQuery = *rc::gen::arbitrary<bool>();
  const auto maxAttempts = *rc::gen::inRange(1U, 4U);
  const auto knownCount = *rc::gen::inRange(0U, 3U);
  const auto unknownCount = *rc::gen::inRange(0U, 2U);
  constexpr unsigned kServers = 5;
  TestGateway fixture;
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  UsedServers used;
  for (unsigned n = 0; n < kServers; ++n) {
    servers.push_back(
      std::make_unique<ScriptedServer>(fixture.process.context, [](auto&) {
        return Reaction{ "", {}, false, true };
      }));
    const auto id = "s-" + std::to_string(n);
    fixture.AddServer(id, "g0", servers.back()->Address());
    if (n < knownCount) {
      used.Add("g0", id);
    }
  }
  for (unsigned n = 0; n < unknownCount; ++n) {
    used.Add("g0", "gone-" + std::to_string(n));
  }
  auto route = isQuery ? TestGateway::FanoutRoute({ "g0" }, 1)
                       : TestGateway::SingleRoute(Repeatability::Idempotent);
  route.maxAttempts = maxAttempts;
  route.timeout = milliseconds(150);
  fixture.Publish({ route });
  std::optional<CallerReply> reply;
  const auto exchange = fixture.gateway.Handle(
    TestGateway::Request(isQuery ? "/all/a" : "/one/a"),
    [&](CallerReply aReply) { reply = std::move(aReply); },
    true,
    used);
  fixture.RunUntil([&] { return reply.has_value(); });
  RC_ASSERT(reply.has_value());
  unsigned newCount = 0;
  for (unsigned n = knownCount; n < kServers; ++n) {
    newCount += servers[n]->Requests().empty() ? 0U : 1U;
  }
  const auto formerCount = knownCount + unknownCount;
  RC_ASSERT(newCount <=
            (maxAttempts > formerCount ? maxAttempts - formerCount : 0));
}

// Guards against a request that may have run at a server and is forgotten
// there, and against one refusal that takes back another send.
TEST(UsedServers, CountsServersAndTheirSends)
{
  UsedServers used;
  used.Add("g0", "s-0");
  used.Add("g0", "s-0");
  used.Add("g1", "s-0");
  EXPECT_EQ(used.size(), 2U);
  used.Remove("g0", "s-0");
  EXPECT_EQ(used.Of("g0"), std::vector<ServerId>{ "s-0" });
  used.Remove("g0", "s-0");
  used.Remove("g0", "s-0");
  EXPECT_TRUE(used.Of("g0").empty());
  EXPECT_EQ(used.Groups(), std::vector<std::string>{ "g1" });
  used.Remove("g1", "s-0");
  EXPECT_TRUE(used.IsEmpty());
}

// Guards against deadlines that begin anew at the helper, and against marks of
// callers that are taken for those of instances.
TEST(Handover, KeepsTheTimesOfTheCallersRequest)
{
  auto request = TestGateway::Request("/one/a");
  const auto receivedAt = request.receivedAt;
  ApplyHandover({ milliseconds(20), milliseconds(9) }, request);
  EXPECT_EQ(request.receivedAt, receivedAt - milliseconds(20));
  EXPECT_GE(request.networkDelay, milliseconds(9));
  for (const auto* text : { "",
                            "1",
                            "1 ",
                            "-1 2",
                            "1 2 3",
                            "x y",
                            "99999999999999999999 1",
                            "1 9999999999999" }) {
    request.message.set("X-Bronzedeal-Handover", text);
    EXPECT_FALSE(TakeHandover(request.message)) << text;
    EXPECT_EQ(request.message.count("X-Bronzedeal-Handover"), 0U);
  }
}

} // namespace bronzedeal::gateway::test
