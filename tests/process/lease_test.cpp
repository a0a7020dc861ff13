#include "bronzedeal/process/lease.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

namespace bronzedeal::process {
namespace {

const SliceId kSlice{ "fd-0", 0 };

std::vector<RosterEntry> Roster(std::size_t aSize, std::size_t aDomains = 3)
{
  std::vector<RosterEntry> roster;
  for (std::size_t i = 0; i < aSize; ++i) {
    roster.push_back({ fmt::format("entry-{}", i),
                       "",
                       "",
                       fmt::format("fd-{}", i % aDomains),
                       "r1",
                       false });
  }
  return roster;
}

TimePoint Ms(int aTime)
{
  return TimePoint(milliseconds(aTime));
}

LeaseRequestMessage Request(std::uint64_t aId, ConfigVersion aVersion = 1)
{
  return { kSlice, aId, aVersion, 1, milliseconds(1500), milliseconds(1000) };
}

// A witness of three that has waited since its start.
LeaseVoter Voter(const InstanceId& aSelf = "entry-2")
{
  LeaseVoter voter(aSelf, Ms(0));
  voter.SetRoster(1, Roster(3), Ms(0));
  voter.SetConfigVersion(1);
  voter.SetReady(true);
  return voter;
}

// Guards against quorums that do not survive a failure domain or that do not
// intersect.
TEST(Witnesses, Quorums)
{
  EXPECT_EQ(QuorumSize(9), 6U);
  EXPECT_EQ(QuorumSize(6), 4U);
  EXPECT_EQ(QuorumSize(3), 2U);
  EXPECT_EQ(QuorumSize(1), 1U);
  EXPECT_EQ(ToleratedWitnessDifference(9), 2U);
  EXPECT_EQ(ToleratedWitnessDifference(6), 1U);
  EXPECT_EQ(ToleratedWitnessDifference(3), 0U);
}

// Guards against a loss of one instance that replaces several witnesses, and
// against a failure domain with more than its share of them.
TEST(Witnesses, AlternateAndChangeOneAtATime)
{
  const auto roster = Roster(60, 6);
  for (std::uint32_t n = 0; n < 40; ++n) {
    const SliceId slice{ "fd-1", n };
    const auto before = WitnessSet(slice, roster);
    ASSERT_EQ(before.size(), 9U);
    std::map<FailureDomain, int> perDomain;
    for (const auto& it : before) {
      ++perDomain[roster[std::stoul(it.substr(6))].failureDomain];
    }
    EXPECT_EQ(perDomain.size(), 6U);
    auto smaller = roster;
    std::erase_if(smaller,
                  [&](const auto& aIt) { return aIt.id == before[0]; });
    const auto after = WitnessSet(slice, smaller);
    const auto kept = std::count_if(after.begin(), after.end(), [&](auto& aIt) {
      return std::find(before.begin(), before.end(), aIt) != before.end();
    });
    EXPECT_EQ(kept, 8);
  }
}

// Guards against owners outside the failure domain or region while one inside
// is alive.
TEST(PreferredOwners, DomainThenRegionThenRest)
{
  const std::vector<Candidate> all{ { "far", "fd-9", "r2" },
                                    { "near", "fd-1", "r1" },
                                    { "own", "fd-0", "r1" } };
  EXPECT_EQ(PreferredOwners(kSlice, "r1", all, 3),
            (std::vector<InstanceId>{ "own", "near", "far" }));
}

// Guards against a witness that votes although it may have forgotten a promise
// or does not know the present versions.
TEST(LeaseVoter, RefusesWhileFreshOrForStaleRequests)
{
  auto voter = Voter();
  const auto ask = [&](const LeaseRequestMessage& aRequest, int aTime) {
    return voter.Receive("entry-0", 7, aRequest, Ms(aTime)).answer;
  };
  EXPECT_EQ(ask(Request(1), 1514), LeaseAnswer::NotReady);
  EXPECT_EQ(ask(Request(2), 1515), LeaseAnswer::Granted);
  EXPECT_EQ(ask(Request(3, 0), 1600), LeaseAnswer::StaleConfiguration);
  auto longer = Request(4);
  longer.duration = milliseconds(1501);
  EXPECT_EQ(ask(longer, 1600), LeaseAnswer::NotReady);
  voter.SetRoster(2, Roster(3), Ms(1600));
  EXPECT_EQ(ask(Request(5), 1700), LeaseAnswer::StaleRoster);
  voter.SetReady(false);
  auto fresh = Request(6);
  fresh.rosterRevision = 2;
  EXPECT_EQ(ask(fresh, 1700), LeaseAnswer::NotReady);
}

// Guards against a witness that a new list adds and that votes at once, while
// the one it replaces still has a promise.
TEST(LeaseVoter, WaitsAfterItBecomesAWitness)
{
  const auto large = Roster(30);
  const auto set = WitnessSet(kSlice, large);
  const auto& self = set[4];
  auto without = large;
  std::erase_if(without, [&](const auto& aIt) { return aIt.id == self; });
  LeaseVoter voter(self, Ms(0));
  voter.SetReady(true);
  voter.SetRoster(1, without, Ms(0));
  auto request = Request(1);
  const auto ask = [&](int aTime) {
    ++request.requestId;
    return voter.Receive("entry-0", 7, request, Ms(aTime)).answer;
  };
  EXPECT_EQ(ask(5000), LeaseAnswer::NotReady) << "is no witness";
  voter.SetRoster(2, large, Ms(10000));
  request.rosterRevision = 2;
  EXPECT_EQ(ask(11514), LeaseAnswer::NotReady);
  EXPECT_EQ(ask(11515), LeaseAnswer::Granted);
}

// Guards against two holders, and against a second one that is told that the
// work of the first has ended.
TEST(LeaseVoter, ExcludesAndReportsFormerWork)
{
  auto voter = Voter();
  voter.Receive("entry-0", 7, Request(1), Ms(4000));
  auto reply = voter.Receive("entry-1", 8, Request(1), Ms(5499));
  EXPECT_EQ(reply.answer, LeaseAnswer::HeldByAnother);
  // The same id in another incarnation is another holder.
  reply = voter.Receive("entry-0", 9, Request(1), Ms(5499));
  EXPECT_EQ(reply.answer, LeaseAnswer::HeldByAnother);
  reply = voter.Receive("entry-1", 8, Request(2), Ms(5500));
  EXPECT_EQ(reply.answer, LeaseAnswer::Granted);
  EXPECT_FALSE(reply.cleanHandover);
  EXPECT_GE(reply.wait, milliseconds(1000));
  // A renewal must not hide the work of the holder before.
  reply = voter.Receive("entry-1", 8, Request(3), Ms(5600));
  EXPECT_FALSE(reply.cleanHandover);
  // Nor must a release by a holder that only passed through.
  voter.Release("entry-1", 8, { kSlice, 3, true }, Ms(5700));
  reply = voter.Receive("entry-0", 9, Request(2), Ms(5800));
  EXPECT_EQ(reply.answer, LeaseAnswer::Granted);
  EXPECT_FALSE(reply.cleanHandover);
  reply = voter.Receive("entry-0", 9, Request(3), Ms(6600));
  EXPECT_TRUE(reply.cleanHandover);
}

// Guards against late messages: a release must not free a later grant, and a
// request from before the release must not renew the promise.
TEST(LeaseVoter, OrdersReleasesAndRequests)
{
  auto voter = Voter();
  voter.Receive("entry-0", 7, Request(2), Ms(4000));
  voter.Release("entry-0", 7, { kSlice, 1, true }, Ms(4100));
  EXPECT_EQ(voter.Receive("entry-1", 8, Request(1), Ms(4200)).answer,
            LeaseAnswer::HeldByAnother);
  voter.Release("entry-0", 7, { kSlice, 3, true }, Ms(4300));
  EXPECT_EQ(voter.Receive("entry-0", 7, Request(3), Ms(4400)).answer,
            LeaseAnswer::NotReady);
  const auto reply = voter.Receive("entry-1", 8, Request(2), Ms(4500));
  EXPECT_EQ(reply.answer, LeaseAnswer::Granted);
  EXPECT_TRUE(reply.cleanHandover);
}

// A holder with the inputs of a fleet of three.
struct Holding
{
  Holding()
    : roster(Roster(3))
    , candidates{ { "entry-0", "fd-0", "r1" }, { "entry-1", "fd-1", "r1" } }
  {
    inputs.configVersion = 1;
    inputs.rosterRevision = 1;
    inputs.roster = roster;
    inputs.candidates = candidates;
    inputs.candidateEpoch = 1;
    inputs.slices = { &kSlice, 1 };
    inputs.active = true;
  }

  // Ticks and returns the id of the last request.
  std::uint64_t Tick(int aTime)
  {
    out.clear();
    holder.Tick(Ms(aTime), inputs, out);
    for (const auto& it : out) {
      if (const auto* body = std::get_if<LeaseRequestMessage>(&it.body)) {
        request = body->requestId;
      }
    }
    return request;
  }

  void Reply(const InstanceId& aFrom,
             std::uint64_t aRequest,
             int aTime,
             milliseconds aWait = milliseconds(0))
  {
    holder.Receive(aFrom,
                   { kSlice,
                     aRequest,
                     LeaseAnswer::Granted,
                     1,
                     1,
                     aWait.count() == 0,
                     aWait },
                   Ms(aTime));
  }

  // The end of the lease, without the rounding of its share to nanoseconds.
  milliseconds Until() const
  {
    const auto until = holder.SendableUntil(kSlice);
    return until ? std::chrono::round<milliseconds>(until->time_since_epoch())
                 : milliseconds(-1);
  }

  std::vector<RosterEntry> roster;
  std::vector<Candidate> candidates;
  LeaseInputs inputs;
  LeaseHolder holder{ "entry-0" };
  std::vector<OutgoingMessage> out;
  std::uint64_t request = 0;
};

// Guards against a lease that counts from the answer instead of the request.
TEST(LeaseHolder, CountsFromTheTimeOfSending)
{
  Holding it;
  const auto id = it.Tick(0);
  EXPECT_EQ(it.out.size(), 3U);
  it.Reply("entry-1", id, 300);
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
  it.Reply("entry-2", id, 300);
  EXPECT_EQ(it.Until(), milliseconds(1485));
  // A renewal by one witness does not extend a quorum of two.
  const auto next = it.Tick(400);
  it.Reply("entry-1", next, 401);
  EXPECT_EQ(it.Until(), milliseconds(1485));
  it.Reply("entry-2", next, 402);
  EXPECT_EQ(it.Until(), milliseconds(1885));
}

// Guards against sends while work of the former holder may run.
TEST(LeaseHolder, WaitsForFormerWork)
{
  Holding it;
  auto id = it.Tick(0);
  it.Reply("entry-1", id, 10, milliseconds(500));
  it.Reply("entry-2", id, 10);
  EXPECT_EQ(it.holder.StateOf(kSlice), LeaseState::Waiting);
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
  id = it.Tick(400);
  it.Reply("entry-1", id, 410, milliseconds(100));
  it.Reply("entry-2", id, 410);
  it.Tick(500);
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
  it.Tick(520);
  EXPECT_TRUE(it.holder.SendableUntil(kSlice));
}

// Guards against a late grant that revives an expired lease without a check
// for holders in between.
TEST(LeaseHolder, LateGrantDoesNotRevive)
{
  Holding it;
  const auto id = it.Tick(0);
  it.Reply("entry-1", id, 10);
  it.Reply("entry-2", id, 10);
  const auto renewal = it.Tick(1400);
  it.Reply("entry-1", renewal, 1500, milliseconds(700));
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
  it.Reply("entry-2", renewal, 1500, milliseconds(700));
  EXPECT_EQ(it.holder.StateOf(kSlice), LeaseState::Waiting);
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
}

// Guards against leases that survive a pause, a fence or a fresh start.
TEST(LeaseHolder, DropsEverythingWhenInactive)
{
  Holding it;
  const auto id = it.Tick(0);
  it.Reply("entry-1", id, 10);
  it.Reply("entry-2", id, 10);
  ASSERT_TRUE(it.holder.SendableUntil(kSlice));
  it.inputs.active = false;
  it.Tick(50);
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
  ASSERT_EQ(it.out.size(), 3U);
  EXPECT_FALSE(std::get<LeaseReleaseMessage>(it.out[0].body).clean)
    << "its work may still be running";
  it.Reply("entry-1", id, 60);
  it.Reply("entry-2", id, 60);
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
}

// Guards against a handover that interrupts work, that never happens, or that
// is caused by an owner that has only just appeared.
TEST(LeaseHolder, DrainsForAPreferredOwner)
{
  Holding it;
  const auto keep = [&](int aTime) {
    const auto id = it.Tick(aTime);
    it.Reply("entry-1", id, aTime);
    it.Reply("entry-2", id, aTime);
  };
  keep(0);
  // The slice's failure domain gets an instance that comes first.
  std::vector<Candidate> candidates{ { "entry-0", "fd-1", "r1" },
                                     { "entry-9", "fd-0", "r1" } };
  it.inputs.candidates = candidates;
  it.inputs.candidateEpoch = 2;
  for (int time = 400; time <= 2300; time += 100) {
    keep(time);
    EXPECT_TRUE(it.holder.SendableUntil(kSlice)) << time;
  }
  keep(2400);
  EXPECT_EQ(it.holder.DrainingSlices(), (std::vector<SliceId>{ kSlice }));
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
  keep(2500);
  EXPECT_EQ(it.holder.OwnedSlices().size(), 1U)
    << "held until the work has ended";
  it.holder.MarkDrained(kSlice);
  it.Tick(2550);
  EXPECT_TRUE(it.holder.OwnedSlices().empty());
  const auto release =
    std::find_if(it.out.begin(), it.out.end(), [](const OutgoingMessage& aIt) {
      return std::holds_alternative<LeaseReleaseMessage>(aIt.body);
    });
  ASSERT_NE(release, it.out.end());
  EXPECT_TRUE(std::get<LeaseReleaseMessage>(release->body).clean);
}

// Guards against a slice without an owner when the preferred one is alive and
// reaches no quorum.
TEST(LeaseHolder, FallsBackAfterAWhile)
{
  Holding it;
  std::vector<Candidate> candidates{ { "entry-0", "fd-1", "r1" },
                                     { "entry-9", "fd-0", "r1" } };
  it.inputs.candidates = candidates;
  for (int time = 0; time < 4000; time += 100) {
    EXPECT_EQ(it.Tick(time), 0U) << time;
  }
  EXPECT_NE(it.Tick(4000), 0U);
  it.inputs.announcedByOthers = { &kSlice, 1 };
  it.Tick(4100);
  EXPECT_FALSE(it.holder.StateOf(kSlice)) << "another member has it";
}

// Guards against a holder that does not learn why it is refused.
TEST(LeaseHolder, NamesThePeerWithNewerVersions)
{
  Holding it;
  const auto id = it.Tick(0);
  it.holder.Receive("entry-1",
                    { kSlice,
                      id,
                      LeaseAnswer::StaleConfiguration,
                      9,
                      1,
                      false,
                      milliseconds(0) },
                    Ms(5));
  const auto peers = it.holder.TakeNewerPeers();
  ASSERT_EQ(peers.size(), 1U);
  EXPECT_EQ(peers[0].id, "entry-1");
  EXPECT_EQ(peers[0].configVersion, 9U);
  EXPECT_TRUE(it.holder.TakeNewerPeers().empty());
}

} // namespace
} // namespace bronzedeal::process
