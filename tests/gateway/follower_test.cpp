#include "support.hpp"

#include "bronzedeal/gateway/metadata_follower.hpp"

#include <deque>
#include <gtest/gtest.h>

namespace bronzedeal::gateway::test {

namespace {

/// A metadata service that returns the replies that a test has queued; a call
/// without a queued reply is never answered.
class ScriptedSource : public MetadataSource
{
public:
  void List(MetadataTopic,
            const std::string& aPageToken,
            Duration aTimeout,
            Handler aHandler) override
  {
    listTimeouts.push_back(aTimeout);
    calls.push_back("list " + aPageToken);
    SendNextReply(std::move(aHandler));
  }

  void Watch(MetadataTopic,
             std::uint64_t aRevision,
             milliseconds aWait,
             Duration aTimeout,
             Handler aHandler) override
  {
    timeouts.push_back(aTimeout);
    calls.push_back("watch " + std::to_string(aRevision));
    waits.push_back(aWait);
    SendNextReply(std::move(aHandler));
  }

  void Cancel(MetadataTopic) override
  {
    calls.emplace_back("cancel");
    if (pending) {
      std::exchange(pending, nullptr)(MetadataReply{});
    }
  }

  std::deque<MetadataReply> replies;
  std::vector<std::string> calls;
  /// The handler of the call that waits for an answer.
  Handler pending;
  std::vector<milliseconds> waits;
  std::vector<Duration> timeouts;
  std::vector<Duration> listTimeouts;

private:
  void SendNextReply(Handler aHandler)
  {
    if (!replies.empty()) {
      auto reply = std::move(replies.front());
      replies.pop_front();
      aHandler(std::move(reply));
    } else {
      pending = std::move(aHandler);
    }
  }
};

ServerRecord Record(const std::string& aId)
{
  ServerRecord record;
  record.id = aId;
  record.group = "g0";
  record.address = { asio::ip::address_v4::loopback(), 9 };
  record.failureDomain = "fd-a";
  return record;
}

MetadataReply Reply(std::uint64_t aRevision,
                    std::vector<MetadataChange> aChanges = {})
{
  MetadataReply reply;
  reply.status = MetadataStatus::Ok;
  reply.revision = aRevision;
  for (auto& it : aChanges) {
    reply.changes.push_back({ aRevision, std::move(it) });
  }
  return reply;
}

MetadataReply EraReply(MetadataEra aEra,
                       std::uint64_t aRevision,
                       std::vector<MetadataChange> aChanges = {})
{
  auto reply = Reply(aRevision, std::move(aChanges));
  reply.era = aEra;
  return reply;
}

ServerRecord RecordWritten(const std::string& aId,
                           std::uint64_t aSequence,
                           bool aDraining)
{
  auto record = Record(aId);
  record.startedAtMs = 1000;
  record.sequence = aSequence;
  record.draining = aDraining;
  return record;
}

struct FollowerFixture : TestGateway
{
  FollowerFixture() { process.settings.maxDrainTime = milliseconds(40); }

  void RunUntilCallCount(std::size_t aCount)
  {
    follower.Start();
    RunUntil([&] { return source.calls.size() >= aCount; });
  }

  ScriptedSource source;
  MetadataFollower follower{ process,
                             gateway,
                             servers,
                             source,
                             MetadataTopic::Servers };
};

} // namespace

// Guards against the loss of changes that are made while the pages of a list
// are read: the watch must begin at the revision of the first page.
TEST(MetadataFollower, WatchesFromTheRevisionOfTheFirstPage)
{
  FollowerFixture fixture;
  auto first = Reply(7, { ServerChanged{ Record("s-0") } });
  first.nextPageToken = "s-0";
  fixture.source.replies = { first,
                             Reply(9, { ServerChanged{ Record("s-1") } }) };
  fixture.RunUntilCallCount(3);
  EXPECT_EQ(fixture.source.calls,
            (std::vector<std::string>{ "list ", "list s-0", "watch 7" }));
  EXPECT_EQ(fixture.servers.size(), 2U);
}

// Guards against new servers that count as cold for too long. Their cold time
// counts from when their record is read, so a pause before the next watch adds
// to it (seen six seconds after the start of a fault-injection run).
TEST(MetadataFollower, WatchesSoonAfterManyNewServers)
{
  FollowerFixture fixture;
  fixture.process.settings.maxDrainTime = std::chrono::seconds(20);
  constexpr std::size_t kNewServerCount = 20;
  std::vector<MetadataChange> newServers;
  newServers.reserve(kNewServerCount);
  for (std::size_t n = 0; n < kNewServerCount; ++n) {
    newServers.emplace_back(ServerChanged{ Record("s-" + std::to_string(n)) });
  }
  fixture.source.replies = { Reply(1), Reply(2, newServers) };
  const auto start = std::chrono::steady_clock::now();
  fixture.RunUntilCallCount(3);
  EXPECT_LT(std::chrono::steady_clock::now() - start,
            fixture.process.settings.maxDrainTime / 10);
}

// Guards against the regular pause after a reply that holds only part of the
// changes. It delayed the rest so that leaving servers were used for too long
// (a violation of the DRAIN check in a fault-injection run).
TEST(MetadataFollower, WatchesAgainAtOnceAfterAFullReply)
{
  FollowerFixture fixture;
  fixture.process.settings.maxDrainTime = std::chrono::hours(1);
  fixture.source.replies = {
    Reply(1),
    Reply(501, std::vector<MetadataChange>(500, ServerRemoved{ "s-9" }))
  };
  fixture.RunUntilCallCount(3);
  EXPECT_EQ(fixture.source.calls.back(), "watch 501");
}

// Guards against servers that stay in use because the change that removed them
// is no longer in the history of the service.
TEST(MetadataFollower, ListsAgainWhenTheHistoryIsCompacted)
{
  FollowerFixture fixture;
  MetadataReply compacted;
  compacted.status = MetadataStatus::HistoryCompacted;
  fixture.source.replies = {
    Reply(1,
          { ServerChanged{ Record("s-0") }, ServerChanged{ Record("s-1") } }),
    compacted,
    Reply(5, { ServerChanged{ Record("s-1") } }),
  };
  fixture.RunUntilCallCount(4);
  EXPECT_EQ(fixture.source.calls.back(), "watch 5");
  EXPECT_EQ(fixture.servers.ServerIds(), std::vector<ServerId>{ "s-1" });
}

// Guards against changes that are never read because the service has given out
// the followed revision again, after it came back from a copy.
TEST(MetadataFollower, ListsAgainWhenTheServiceHasAnotherHistory)
{
  FollowerFixture fixture;
  fixture.source.replies = {
    EraReply(1, 50, { ServerChanged{ Record("s-0") } }),
    EraReply(2, 50),
    EraReply(2, 51, { ServerChanged{ Record("s-1") } }),
  };
  fixture.RunUntilCallCount(4);
  const auto& calls = fixture.source.calls;
  EXPECT_EQ(std::count(calls.begin(), calls.end(), "list "), 2);
  EXPECT_EQ(calls.back(), "watch 51");
  EXPECT_NE(fixture.servers.Find("s-1"), nullptr);
}

// Guards against entries that are missed because the pages of one list come
// from two histories.
TEST(MetadataFollower, RestartsAListWhenTheNextPageIsOfAnotherHistory)
{
  FollowerFixture fixture;
  auto first = EraReply(1, 50, { ServerChanged{ Record("s-0") } });
  first.nextPageToken = "s-0";
  auto second = EraReply(2, 40, { ServerChanged{ Record("s-9") } });
  fixture.source.replies = {
    first, second, EraReply(2, 41, { ServerChanged{ Record("s-1") } })
  };
  fixture.RunUntilCallCount(5);
  EXPECT_EQ(fixture.source.calls.back(), "watch 41");
  EXPECT_EQ(fixture.servers.Find("s-9"), nullptr);
  EXPECT_NE(fixture.servers.Find("s-1"), nullptr);
}

// Guards against a topic whose long watch tells only at its end that the
// history has changed, although another topic knows it already.
TEST(MetadataFollower, ListsAgainWhenAnotherTopicFindsANewHistory)
{
  FollowerFixture fixture;
  ScriptedSource operatorSource;
  operatorSource.replies = { EraReply(1, 50), EraReply(1, 50) };
  MetadataFollower operators(fixture.process,
                             fixture.gateway,
                             fixture.servers,
                             operatorSource,
                             MetadataTopic::Operators);
  operators.Start();
  fixture.RunUntil([&] { return operatorSource.pending != nullptr; });
  fixture.source.replies = { EraReply(1, 50), EraReply(2, 50) };
  fixture.RunUntilCallCount(2);
  fixture.RunUntil([&] { return operatorSource.calls.back() == "list "; });
  const auto& calls = operatorSource.calls;
  EXPECT_EQ(std::count(calls.begin(), calls.end(), "cancel"), 1);
  EXPECT_EQ(calls.back(), "list ");
}

// Guards against a draining server and a server that has left, both in use
// again because a copy of the service lists them as they were.
TEST(MetadataFollower, KeepsWhatIsKnownUntilItIsWrittenAgain)
{
  FollowerFixture fixture;
  fixture.source.replies = {
    EraReply(1,
             50,
             { ServerChanged{ RecordWritten("s-0", 5, true) },
               ServerChanged{ RecordWritten("s-1", 5, false) },
               ServerChanged{ RecordWritten("s-2", 5, false) } }),
    EraReply(1, 51, { ServerRemoved{ "s-1" } }),
    EraReply(2, 40),
    EraReply(2,
             40,
             { ServerChanged{ RecordWritten("s-0", 3, false) },
               ServerChanged{ RecordWritten("s-1", 5, false) },
               ServerChanged{ RecordWritten("s-3", 1, false) } }),
  };
  fixture.RunUntilCallCount(6);
  EXPECT_TRUE(fixture.servers.Find("s-0")->Record().draining);
  EXPECT_EQ(fixture.servers.Find("s-1"), nullptr);
  EXPECT_NE(fixture.servers.Find("s-2"), nullptr);
  EXPECT_NE(fixture.servers.Find("s-3"), nullptr);
  // Once the entries are written again, the service is right.
  fixture.source.replies = { EraReply(
    2,
    60,
    { ServerChanged{ RecordWritten("s-0", 6, true) },
      ServerChanged{ RecordWritten("s-1", 5, false) } }) };
  fixture.RunUntil([&] { return fixture.servers.size() == 2; });
  EXPECT_TRUE(fixture.servers.Find("s-0")->Record().draining);
  EXPECT_NE(fixture.servers.Find("s-1"), nullptr);
}

// Guards against a withdrawal that ends because a copy of the service lacks it,
// and against one that outlives its end in the service.
TEST(MetadataFollower, KeepsWithdrawalsUntilTheyAreWrittenAgain)
{
  FollowerFixture fixture;
  fixture.source.replies = {
    EraReply(1, 50, { DomainWithdrawalChanged{ "fd-a", true } }),
    EraReply(2, 40),
    EraReply(2, 40),
  };
  MetadataFollower operators(fixture.process,
                             fixture.gateway,
                             fixture.servers,
                             fixture.source,
                             MetadataTopic::Operators);
  operators.Start();
  fixture.RunUntil([&] { return fixture.source.pending != nullptr; });
  EXPECT_TRUE(fixture.servers.WithdrawnDomains().contains("fd-a"));
  fixture.source.replies = { EraReply(2, 60) };
  fixture.RunUntil([&] { return fixture.servers.WithdrawnDomains().empty(); });
  EXPECT_TRUE(fixture.servers.WithdrawnDomains().empty());
}

// Guards against a server that stays in use although another writer has
// overwritten its entry, and against an effect of that entry on other servers.
TEST(MetadataFollower, RemovesOnlyTheServerOfAnInvalidEntry)
{
  FollowerFixture fixture;
  fixture.source.replies = {
    Reply(1,
          { ServerChanged{ Record("s-0") }, ServerChanged{ Record("s-1") } }),
    Reply(2, { InvalidEntry{ "servers/s-0", "s-0", "no JSON" } }),
  };
  fixture.RunUntilCallCount(3);
  EXPECT_EQ(fixture.servers.ServerIds(), std::vector<ServerId>{ "s-1" });
}

// Guards against requests to a server that was deleted while the service was
// available all the time.
TEST(MetadataFollower, RemovesADeletedServerAtOnce)
{
  FollowerFixture fixture;
  fixture.source.replies = { Reply(1, { ServerChanged{ Record("s-0") } }),
                             Reply(2, { ServerRemoved{ "s-0" } }) };
  fixture.RunUntilCallCount(3);
  EXPECT_EQ(fixture.servers.size(), 0U);
}

// Guards against noticing the service's return only at the end of a long watch
// (a violation of the CONFIG check in a scaling run).
TEST(MetadataFollower, UsesShortWatchesUntilTheServiceIsBack)
{
  FollowerFixture fixture;
  fixture.source.replies = { Reply(1), MetadataReply{}, Reply(2) };
  MetadataFollower operators(fixture.process,
                             fixture.gateway,
                             fixture.servers,
                             fixture.source,
                             MetadataTopic::Operators);
  operators.Start();
  fixture.RunUntil([&] { return fixture.source.waits.size() >= 3; });
  ASSERT_EQ(fixture.source.waits.size(), 3U);
  EXPECT_LT(fixture.source.waits[1], std::chrono::seconds(1));
  const auto regular =
    LengthOf(MetadataWait::OperatorWatch, fixture.process.settings);
  EXPECT_GT(regular, std::chrono::seconds(1));
  EXPECT_EQ(fixture.source.waits[0], regular);
  EXPECT_EQ(fixture.source.waits[2], regular);
}

// Guards against a configuration version that is missed because the service
// lost a watch while it was unresponsive, with the connection still open
// (violation CONFIG 480 in a fault-injection run, and review/8). An instance
// must be current 4 s after the disturbance.
TEST(MetadataFollower, TimesOutALostWatchWithinTheBound)
{
  FollowerFixture fixture;
  fixture.source.replies = { Reply(1) };
  MetadataFollower operators(fixture.process,
                             fixture.gateway,
                             fixture.servers,
                             fixture.source,
                             MetadataTopic::Operators);
  operators.Start();
  fixture.RunUntil([&] { return !fixture.source.timeouts.empty(); });
  ASSERT_FALSE(fixture.source.timeouts.empty());
  EXPECT_LT(fixture.source.timeouts[0], std::chrono::seconds(4));
}

// Guards against calls that are waited for longer than the schedule has it:
// lists, watches of both topics, and watches after a failure.
TEST(MetadataFollower, WaitsForEachCallAsLongAsTheScheduleHasIt)
{
  for (const auto topic :
       { MetadataTopic::Servers, MetadataTopic::Operators }) {
    FollowerFixture fixture;
    auto& settings = fixture.process.settings;
    settings.contactTime = milliseconds(1000);
    settings.configActivationTime = milliseconds(800);
    settings.maxDrainTime = milliseconds(600);
    const auto lengthOf = [&](MetadataWait aWait) {
      return LengthOf(aWait, settings);
    };
    fixture.source.replies = { Reply(1), MetadataReply{} };
    MetadataFollower follower(
      fixture.process, fixture.gateway, fixture.servers, fixture.source, topic);
    follower.Start();
    fixture.RunUntil([&] { return fixture.source.timeouts.size() == 2; });
    const std::vector<milliseconds> waits{
      lengthOf(topic == MetadataTopic::Servers ? MetadataWait::ServerWatch
                                               : MetadataWait::OperatorWatch),
      lengthOf(MetadataWait::ReconnectWatch)
    };
    EXPECT_EQ(fixture.source.waits, waits);
    for (std::size_t n = 0; n < waits.size(); ++n) {
      EXPECT_EQ(fixture.source.timeouts.at(n),
                waits[n] + lengthOf(MetadataWait::Reply));
    }
    EXPECT_EQ(fixture.source.listTimeouts,
              std::vector<Duration>{ lengthOf(MetadataWait::List) });
  }
}

// Guards against the removal of servers whose entries expired in an outage of
// the service, and against keeping those that don't register again.
TEST(MetadataFollower, KeepsExpiredServersUntilTheyCanRegisterAgain)
{
  FollowerFixture fixture;
  fixture.source.replies = {
    Reply(1,
          { ServerChanged{ Record("s-0") }, ServerChanged{ Record("s-1") } }),
  };
  // With minimum jitter, these failures take 2.3 s: longer than the 1.5 s from
  // which entries may have expired.
  for (int n = 0; n < 8; ++n) {
    fixture.source.replies.push_back(MetadataReply{});
  }
  fixture.source.replies.push_back(
    Reply(2, { ServerRemoved{ "s-0" }, ServerRemoved{ "s-1" } }));
  fixture.source.replies.push_back(
    Reply(3, { ServerChanged{ Record("s-1") } }));
  fixture.RunUntilCallCount(12);
  EXPECT_EQ(fixture.servers.size(), 2U);
  fixture.RunUntil([&] { return fixture.servers.size() == 1; });
  EXPECT_EQ(fixture.servers.ServerIds(), std::vector<ServerId>{ "s-1" });
}

} // namespace bronzedeal::gateway::test
