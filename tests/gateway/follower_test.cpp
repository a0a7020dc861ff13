#include "support.hpp"

#include "bronzedeal/gateway/metadata_follower.hpp"

#include <deque>
#include <gtest/gtest.h>

namespace bronzedeal::gateway::test {

namespace {

/// A metadata service that answers as a test has queued up; a call without a
/// queued answer waits for ever.
class ScriptedSource : public MetadataSource
{
public:
  void List(MetadataTopic,
            const std::string& aPage,
            Duration,
            Handler aHandler) override
  {
    calls.push_back("list " + aPage);
    Answer(std::move(aHandler));
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
    Answer(std::move(aHandler));
  }

  std::deque<MetadataReply> replies;
  std::vector<std::string> calls;
  std::vector<milliseconds> waits;
  std::vector<Duration> timeouts;

private:
  void Answer(Handler aHandler)
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

struct Following : TestGateway
{
  Following() { process.settings.maxDrainTime = milliseconds(40); }

  void RunCalls(std::size_t aCount)
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

// Guards against changes between the pages of a list being lost: the watch
// begins at the revision of the first page.
TEST(MetadataFollower, WatchesFromTheFirstPage)
{
  Following world;
  auto first = Reply(7, { ServerChanged{ Record("s-0") } });
  first.nextPageToken = "s-0";
  world.source.replies = { first,
                           Reply(9, { ServerChanged{ Record("s-1") } }) };
  world.RunCalls(3);
  EXPECT_EQ(world.source.calls,
            (std::vector<std::string>{ "list ", "list s-0", "watch 7" }));
  EXPECT_EQ(world.servers.size(), 2U);
}

// Guards against new servers that count as cold for a whole pause of the
// follower too long, since their cold time counts from when they are read
// (gaonsan-hide-grown, trouble-1, second 6).
TEST(MetadataFollower, LooksAgainSoonWhileServersAreNew)
{
  Following world;
  world.process.settings.maxDrainTime = std::chrono::seconds(20);
  constexpr std::size_t kMany = 20;
  std::vector<MetadataChange> many;
  many.reserve(kMany);
  for (std::size_t n = 0; n < kMany; ++n) {
    many.emplace_back(ServerChanged{ Record("s-" + std::to_string(n)) });
  }
  world.source.replies = { Reply(1), Reply(2, many) };
  const auto start = std::chrono::steady_clock::now();
  world.RunCalls(3);
  EXPECT_LT(std::chrono::steady_clock::now() - start,
            world.process.settings.maxDrainTime / 10);
}

// Guards against an answer that holds only part of the changes delaying the
// rest by the usual pause (DRAIN on gaonsan-hide-grown, trouble-1).
TEST(MetadataFollower, WatchesAgainAtOnceAfterAFullAnswer)
{
  Following world;
  world.process.settings.maxDrainTime = std::chrono::hours(1);
  world.source.replies = {
    Reply(1),
    Reply(501, std::vector<MetadataChange>(500, ServerRemoved{ "s-9" }))
  };
  world.RunCalls(3);
  EXPECT_EQ(world.source.calls.back(), "watch 501");
}

// Guards against servers of a forgotten history staying in use.
TEST(MetadataFollower, ListsAgainWhenTheHistoryIsGone)
{
  Following world;
  MetadataReply gone;
  gone.status = MetadataStatus::HistoryCompacted;
  world.source.replies = {
    Reply(1,
          { ServerChanged{ Record("s-0") }, ServerChanged{ Record("s-1") } }),
    gone,
    Reply(5, { ServerChanged{ Record("s-1") } }),
  };
  world.RunCalls(4);
  EXPECT_EQ(world.source.calls.back(), "watch 5");
  EXPECT_EQ(world.servers.ServerIds(), std::vector<ServerId>{ "s-1" });
}

// Guards against a server that another writer's entry stands for staying in
// use, and against that entry harming the others.
TEST(MetadataFollower, DropsOnlyTheServerOfAnInvalidEntry)
{
  Following world;
  world.source.replies = {
    Reply(1,
          { ServerChanged{ Record("s-0") }, ServerChanged{ Record("s-1") } }),
    Reply(2, { InvalidEntry{ "servers/s-0", "s-0", "no JSON" } }),
  };
  world.RunCalls(3);
  EXPECT_EQ(world.servers.ServerIds(), std::vector<ServerId>{ "s-1" });
}

// Guards against work for a server that was removed while the service is calm.
TEST(MetadataFollower, RemovesADeletedServerAtOnce)
{
  Following world;
  world.source.replies = { Reply(1, { ServerChanged{ Record("s-0") } }),
                           Reply(2, { ServerRemoved{ "s-0" } }) };
  world.RunCalls(3);
  EXPECT_EQ(world.servers.size(), 0U);
}

// Guards against a return of the service that is noticed only at the end of a
// long watch (CONFIG on gaonsan-hide, scale-2).
TEST(MetadataFollower, WatchesBrieflyUntilTheServiceIsBack)
{
  Following world;
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

// Guards against a version that is missed because the service has lost a watch
// in a silent moment, with the connection still open (CONFIG 480 on
// gaonsan-hide-grown, trouble-3): 4 s of disturbance and 3 s until a version is
// in force.
TEST(MetadataFollower, GivesUpALostWatchWithinTheBound)
{
  Following world;
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

// Guards against the loss of servers whose entries lapsed while the service
// was away, and against keeping those that don't come back.
TEST(MetadataFollower, GivesLapsedEntriesTimeToComeBack)
{
  Following world;
  world.source.replies = {
    Reply(1,
          { ServerChanged{ Record("s-0") }, ServerChanged{ Record("s-1") } }),
  };
  // With the least jitter, these take 2.3 s: longer than the 1.5 s from which
  // entries may have lapsed.
  for (int n = 0; n < 8; ++n) {
    world.source.replies.push_back(MetadataReply{});
  }
  world.source.replies.push_back(
    Reply(2, { ServerRemoved{ "s-0" }, ServerRemoved{ "s-1" } }));
  world.source.replies.push_back(Reply(3, { ServerChanged{ Record("s-1") } }));
  world.RunCalls(12);
  EXPECT_EQ(world.servers.size(), 2U);
  world.RunUntil([&] { return world.servers.size() == 1; });
  EXPECT_EQ(world.servers.ServerIds(), std::vector<ServerId>{ "s-1" });
}

} // namespace bronzedeal::gateway::test
