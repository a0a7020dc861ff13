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
            const std::string& aPage,
            Duration,
            Handler aHandler) override
  {
    calls.push_back("list " + aPage);
    TakeReply(std::move(aHandler));
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
    TakeReply(std::move(aHandler));
  }

  std::deque<MetadataReply> replies;
  std::vector<std::string> calls;
  std::vector<milliseconds> waits;
  std::vector<Duration> timeouts;

private:
  void TakeReply(Handler aHandler)
  {
    if (!replies.empty()) {
      auto reply = std::move(replies.front());
      replies.pop_front();
      aHandler(std::move(reply));
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

struct FollowerWorld : TestGateway
{
  FollowerWorld() { process.settings.maxDrainTime = milliseconds(40); }

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
  FollowerWorld world;
  auto first = Reply(7, { ServerChanged{ Record("s-0") } });
  first.nextPageToken = "s-0";
  world.source.replies = { first,
                           Reply(9, { ServerChanged{ Record("s-1") } }) };
  world.RunUntilCallCount(3);
  EXPECT_EQ(world.source.calls,
            (std::vector<std::string>{ "list ", "list s-0", "watch 7" }));
  EXPECT_EQ(world.servers.size(), 2U);
}

// Guards against new servers that count as cold for too long. Their cold time
// counts from when their record is read, so a pause before the next watch adds
// to it (seen six seconds after the start of a fault-injection run).
TEST(MetadataFollower, WatchesSoonAfterManyNewServers)
{
  FollowerWorld world;
  world.process.settings.maxDrainTime = std::chrono::seconds(20);
  constexpr std::size_t kNewServerCount = 20;
  std::vector<MetadataChange> newServers;
  newServers.reserve(kNewServerCount);
  for (std::size_t n = 0; n < kNewServerCount; ++n) {
    newServers.emplace_back(ServerChanged{ Record("s-" + std::to_string(n)) });
  }
  world.source.replies = { Reply(1), Reply(2, newServers) };
  const auto start = std::chrono::steady_clock::now();
  world.RunUntilCallCount(3);
  EXPECT_LT(std::chrono::steady_clock::now() - start,
            world.process.settings.maxDrainTime / 10);
}

// Guards against the regular pause after a reply that holds only part of the
// changes. It delayed the rest so that leaving servers were used for too long
// (a violation of the DRAIN check in a fault-injection run).
TEST(MetadataFollower, WatchesAgainAtOnceAfterAFullReply)
{
  FollowerWorld world;
  world.process.settings.maxDrainTime = std::chrono::hours(1);
  world.source.replies = {
    Reply(1),
    Reply(501, std::vector<MetadataChange>(500, ServerRemoved{ "s-9" }))
  };
  world.RunUntilCallCount(3);
  EXPECT_EQ(world.source.calls.back(), "watch 501");
}

// Guards against servers that stay in use because the change that removed them
// is no longer in the history of the service.
TEST(MetadataFollower, ListsAgainWhenTheHistoryIsCompacted)
{
  FollowerWorld world;
  MetadataReply compacted;
  compacted.status = MetadataStatus::HistoryCompacted;
  world.source.replies = {
    Reply(1,
          { ServerChanged{ Record("s-0") }, ServerChanged{ Record("s-1") } }),
    compacted,
    Reply(5, { ServerChanged{ Record("s-1") } }),
  };
  world.RunUntilCallCount(4);
  EXPECT_EQ(world.source.calls.back(), "watch 5");
  EXPECT_EQ(world.servers.ServerIds(), std::vector<ServerId>{ "s-1" });
}

// Guards against a server that stays in use although another writer has
// overwritten its entry, and against an effect of that entry on other servers.
TEST(MetadataFollower, RemovesOnlyTheServerOfAnInvalidEntry)
{
  FollowerWorld world;
  world.source.replies = {
    Reply(1,
          { ServerChanged{ Record("s-0") }, ServerChanged{ Record("s-1") } }),
    Reply(2, { InvalidEntry{ "servers/s-0", "s-0", "no JSON" } }),
  };
  world.RunUntilCallCount(3);
  EXPECT_EQ(world.servers.ServerIds(), std::vector<ServerId>{ "s-1" });
}

// Guards against requests to a server that was deleted while the service was
// available all the time.
TEST(MetadataFollower, RemovesADeletedServerAtOnce)
{
  FollowerWorld world;
  world.source.replies = { Reply(1, { ServerChanged{ Record("s-0") } }),
                           Reply(2, { ServerRemoved{ "s-0" } }) };
  world.RunUntilCallCount(3);
  EXPECT_EQ(world.servers.size(), 0U);
}

// Guards against noticing the service's return only at the end of a long watch
// (a violation of the CONFIG check in a scaling run).
TEST(MetadataFollower, UsesShortWatchesUntilTheServiceIsBack)
{
  FollowerWorld world;
  world.source.replies = { Reply(1), MetadataReply{}, Reply(2) };
  MetadataFollower operators(world.process,
                             world.gateway,
                             world.servers,
                             world.source,
                             MetadataTopic::Operators);
  operators.Start();
  world.RunUntil([&] { return world.source.waits.size() >= 3; });
  ASSERT_EQ(world.source.waits.size(), 3U);
  EXPECT_LT(world.source.waits[1], std::chrono::seconds(1));
  EXPECT_GT(world.source.waits[0], std::chrono::seconds(3));
  EXPECT_GT(world.source.waits[2], std::chrono::seconds(3));
}

// Guards against a configuration version that is missed because the service
// lost a watch while it was unresponsive, with the connection still open
// (violation CONFIG 480 in a fault-injection run). The bound is 4 s of
// disturbance and 3 s until a version must be active.
TEST(MetadataFollower, TimesOutALostWatchWithinTheBound)
{
  FollowerWorld world;
  world.source.replies = { Reply(1) };
  MetadataFollower operators(world.process,
                             world.gateway,
                             world.servers,
                             world.source,
                             MetadataTopic::Operators);
  operators.Start();
  world.RunUntil([&] { return !world.source.timeouts.empty(); });
  ASSERT_FALSE(world.source.timeouts.empty());
  EXPECT_LT(world.source.timeouts[0], std::chrono::seconds(6));
}

// Guards against the removal of servers whose entries expired in an outage of
// the service, and against keeping those that don't register again.
TEST(MetadataFollower, KeepsExpiredServersUntilTheyCanRegisterAgain)
{
  FollowerWorld world;
  world.source.replies = {
    Reply(1,
          { ServerChanged{ Record("s-0") }, ServerChanged{ Record("s-1") } }),
  };
  // With minimum jitter, these failures take 2.3 s: longer than the 1.5 s from
  // which entries may have expired.
  for (int n = 0; n < 8; ++n) {
    world.source.replies.push_back(MetadataReply{});
  }
  world.source.replies.push_back(
    Reply(2, { ServerRemoved{ "s-0" }, ServerRemoved{ "s-1" } }));
  world.source.replies.push_back(Reply(3, { ServerChanged{ Record("s-1") } }));
  world.RunUntilCallCount(12);
  EXPECT_EQ(world.servers.size(), 2U);
  world.RunUntil([&] { return world.servers.size() == 1; });
  EXPECT_EQ(world.servers.ServerIds(), std::vector<ServerId>{ "s-1" });
}

} // namespace bronzedeal::gateway::test
