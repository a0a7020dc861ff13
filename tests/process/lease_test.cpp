#include "bronzedeal/process/lease.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

namespace bronzedeal::process {
namespace {

const SliceId kSlice{ "fd-0", 0 };

std::vector<RosterEntry> MakeRoster(std::size_t aSize,
                                    std::size_t aDomainCount = 3)
{
  std::vector<RosterEntry> roster;
  for (std::size_t i = 0; i < aSize; ++i) {
    roster.push_back({ fmt::format("entry-{}", i),
                       "",
                       "",
                       fmt::format("fd-{}", i % aDomainCount),
                       "r1",
                       false });
  }
  return roster;
}

TimePoint Ms(int aTime)
{
  return TimePoint(milliseconds(aTime));
}

LeaseRequestMessage RequestForSlice(std::uint64_t aId,
                                    ConfigVersion aVersion = 1)
{
  return { kSlice, aId, aVersion, 1, milliseconds(1500), milliseconds(1000) };
}

// A voter that is one of three witnesses and ready to grant; it refuses
// requests until 1515 ms after its start.
LeaseVoter StartedVoter(const InstanceId& aSelf = "entry-2")
{
  LeaseVoter voter(aSelf, Ms(0));
  voter.SetRoster(1, MakeRoster(3), Ms(0));
  voter.SetConfigVersion(1);
  voter.SetReady(true);
  return voter;
}

// Guards against quorums that do not survive the loss of a failure domain or
// that do not intersect.
TEST(Witnesses, QuorumIsTwoThirds)
{
  EXPECT_EQ(QuorumSize(9), 6U);
  EXPECT_EQ(QuorumSize(6), 4U);
  EXPECT_EQ(QuorumSize(3), 2U);
  EXPECT_EQ(QuorumSize(1), 1U);
  EXPECT_EQ(ToleratedWitnessDifference(9), 2U);
  EXPECT_EQ(ToleratedWitnessDifference(6), 1U);
  EXPECT_EQ(ToleratedWitnessDifference(3), 0U);
}

// Guards against the loss of one instance replacing several witnesses, and
// against a failure domain with more than its share of the witnesses.
TEST(Witnesses, AlternateBetweenDomainsAndChangeOneAtATime)
{
  const auto roster = MakeRoster(60, 6);
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

// Guards against owners outside the failure domain or region of a slice while
// one inside is alive.
TEST(PreferredOwners, FailureDomainComesBeforeRegionBeforeTheRest)
{
  const std::vector<Candidate> all{ { "far", "fd-9", "r2" },
                                    { "near", "fd-1", "r1" },
                                    { "own", "fd-0", "r1" } };
  EXPECT_EQ(PreferredOwners(kSlice, "r1", all, 3),
            (std::vector<InstanceId>{ "own", "near", "far" }));
}

// Guards against a witness that grants a lease although it may have lost a
// promise in a restart, or on a request with outdated versions.
TEST(LeaseVoter, RefusesAfterItsStartAndForStaleRequests)
{
  auto voter = StartedVoter();
  const auto ask = [&](const LeaseRequestMessage& aRequest, int aTime) {
    return voter.Receive("entry-0", 7, aRequest, Ms(aTime)).answer;
  };
  EXPECT_EQ(ask(RequestForSlice(1), 1514), LeaseAnswer::NotReady);
  EXPECT_EQ(ask(RequestForSlice(2), 1515), LeaseAnswer::Granted);
  EXPECT_EQ(ask(RequestForSlice(3, 0), 1600), LeaseAnswer::StaleConfiguration);
  auto longer = RequestForSlice(4);
  longer.duration = milliseconds(1501);
  EXPECT_EQ(ask(longer, 1600), LeaseAnswer::NotReady);
  voter.SetRoster(2, MakeRoster(3), Ms(1600));
  EXPECT_EQ(ask(RequestForSlice(5), 1700), LeaseAnswer::StaleRoster);
  voter.SetReady(false);
  auto fresh = RequestForSlice(6);
  fresh.rosterRevision = 2;
  EXPECT_EQ(ask(fresh, 1700), LeaseAnswer::NotReady);
}

// Guards against a witness that is added by a new roster and grants at once,
// while the promise of the witness that it replaces is still valid.
TEST(LeaseVoter, WaitsAfterItBecomesAWitness)
{
  const auto large = MakeRoster(30);
  const auto witnesses = WitnessSet(kSlice, large);
  const auto& self = witnesses[4];
  auto without = large;
  std::erase_if(without, [&](const auto& aIt) { return aIt.id == self; });
  LeaseVoter voter(self, Ms(0));
  voter.SetReady(true);
  voter.SetRoster(1, without, Ms(0));
  auto request = RequestForSlice(1);
  const auto ask = [&](int aTime) {
    ++request.requestId;
    return voter.Receive("entry-0", 7, request, Ms(aTime)).answer;
  };
  EXPECT_EQ(ask(5000), LeaseAnswer::NotReady) << "not a witness";
  voter.SetRoster(2, large, Ms(10000));
  request.rosterRevision = 2;
  EXPECT_EQ(ask(11514), LeaseAnswer::NotReady);
  EXPECT_EQ(ask(11515), LeaseAnswer::Granted);
}

// Guards against two holders at the same time, and against a second holder that
// is told too early that the work of the first has ended.
TEST(LeaseVoter, ExcludesASecondHolderAndReportsFormerWork)
{
  auto voter = StartedVoter();
  voter.Receive("entry-0", 7, RequestForSlice(1), Ms(4000));
  auto reply = voter.Receive("entry-1", 8, RequestForSlice(1), Ms(5499));
  EXPECT_EQ(reply.answer, LeaseAnswer::HeldByAnother);
  // Another incarnation of the same instance is another holder.
  reply = voter.Receive("entry-0", 9, RequestForSlice(1), Ms(5499));
  EXPECT_EQ(reply.answer, LeaseAnswer::HeldByAnother);
  reply = voter.Receive("entry-1", 8, RequestForSlice(2), Ms(5500));
  EXPECT_EQ(reply.answer, LeaseAnswer::Granted);
  EXPECT_FALSE(reply.cleanHandover);
  EXPECT_GE(reply.wait, milliseconds(1000));
  // A renewal must not hide the work of the former holder.
  reply = voter.Receive("entry-1", 8, RequestForSlice(3), Ms(5600));
  EXPECT_FALSE(reply.cleanHandover);
  // Nor must the clean release of a holder in between.
  voter.Release("entry-1", 8, { kSlice, 3, true }, Ms(5700));
  reply = voter.Receive("entry-0", 9, RequestForSlice(2), Ms(5800));
  EXPECT_EQ(reply.answer, LeaseAnswer::Granted);
  EXPECT_FALSE(reply.cleanHandover);
  reply = voter.Receive("entry-0", 9, RequestForSlice(3), Ms(6600));
  EXPECT_TRUE(reply.cleanHandover);
}

// Guards against effects of late messages: a release must not end a later
// grant, and a request from before a release must not renew the promise.
TEST(LeaseVoter, IgnoresLateReleasesAndRequests)
{
  auto voter = StartedVoter();
  voter.Receive("entry-0", 7, RequestForSlice(2), Ms(4000));
  voter.Release("entry-0", 7, { kSlice, 1, true }, Ms(4100));
  EXPECT_EQ(voter.Receive("entry-1", 8, RequestForSlice(1), Ms(4200)).answer,
            LeaseAnswer::HeldByAnother);
  voter.Release("entry-0", 7, { kSlice, 3, true }, Ms(4300));
  EXPECT_EQ(voter.Receive("entry-0", 7, RequestForSlice(3), Ms(4400)).answer,
            LeaseAnswer::NotReady);
  const auto reply = voter.Receive("entry-1", 8, RequestForSlice(2), Ms(4500));
  EXPECT_EQ(reply.answer, LeaseAnswer::Granted);
  EXPECT_TRUE(reply.cleanHandover);
}

// A holder with inputs for a fleet of three instances.
struct HolderFixture
{
  HolderFixture()
    : roster(MakeRoster(3))
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

  // Ticks and returns the id of the last request sent, or 0.
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

  void ReceiveGrant(const InstanceId& aFrom,
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

  // The end of the lease in milliseconds, which removes the rounding error of
  // the drift; -1 when nothing may be sent.
  milliseconds LeaseEnd() const
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

// Guards against a lease that is measured from the reply instead of the
// request.
TEST(LeaseHolder, LeaseIsMeasuredFromTheRequest)
{
  HolderFixture it;
  const auto id = it.Tick(0);
  EXPECT_EQ(it.out.size(), 3U);
  it.ReceiveGrant("entry-1", id, 300);
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
  it.ReceiveGrant("entry-2", id, 300);
  EXPECT_EQ(it.LeaseEnd(), milliseconds(1485));
  // A renewal by one witness does not extend a lease with a quorum of two.
  const auto next = it.Tick(400);
  it.ReceiveGrant("entry-1", next, 401);
  EXPECT_EQ(it.LeaseEnd(), milliseconds(1485));
  it.ReceiveGrant("entry-2", next, 402);
  EXPECT_EQ(it.LeaseEnd(), milliseconds(1885));
}

// Guards against sends while work of the former holder may still be running.
TEST(LeaseHolder, WaitsUntilFormerWorkHasEnded)
{
  HolderFixture it;
  auto id = it.Tick(0);
  it.ReceiveGrant("entry-1", id, 10, milliseconds(500));
  it.ReceiveGrant("entry-2", id, 10);
  EXPECT_EQ(it.holder.StateOf(kSlice), LeaseState::Waiting);
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
  id = it.Tick(400);
  it.ReceiveGrant("entry-1", id, 410, milliseconds(100));
  it.ReceiveGrant("entry-2", id, 410);
  it.Tick(500);
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
  it.Tick(520);
  EXPECT_TRUE(it.holder.SendableUntil(kSlice));
}

// Guards against a late grant that revives an expired lease although another
// instance may have held the slice in the meantime.
TEST(LeaseHolder, LateGrantDoesNotReviveAnExpiredLease)
{
  HolderFixture it;
  const auto id = it.Tick(0);
  it.ReceiveGrant("entry-1", id, 10);
  it.ReceiveGrant("entry-2", id, 10);
  const auto renewal = it.Tick(1400);
  it.ReceiveGrant("entry-1", renewal, 1500, milliseconds(700));
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
  it.ReceiveGrant("entry-2", renewal, 1500, milliseconds(700));
  EXPECT_EQ(it.holder.StateOf(kSlice), LeaseState::Waiting);
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
}

// Guards against leases that are kept while the instance is paused, fenced or
// not yet joined.
TEST(LeaseHolder, DropsAllLeasesWhenInactive)
{
  HolderFixture it;
  const auto id = it.Tick(0);
  it.ReceiveGrant("entry-1", id, 10);
  it.ReceiveGrant("entry-2", id, 10);
  ASSERT_TRUE(it.holder.SendableUntil(kSlice));
  it.inputs.active = false;
  it.Tick(50);
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
  ASSERT_EQ(it.out.size(), 3U);
  EXPECT_FALSE(std::get<LeaseReleaseMessage>(it.out[0].body).clean)
    << "its work may still be running";
  it.ReceiveGrant("entry-1", id, 60);
  it.ReceiveGrant("entry-2", id, 60);
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
}

// Guards against a handover that interrupts work, that never happens, or that
// starts before the preferred owner has been stable.
TEST(LeaseHolder, DrainsForAStablePreferredOwner)
{
  HolderFixture it;
  const auto renew = [&](int aTime) {
    const auto id = it.Tick(aTime);
    it.ReceiveGrant("entry-1", id, aTime);
    it.ReceiveGrant("entry-2", id, aTime);
  };
  renew(0);
  // A new instance of the slice's failure domain becomes the preferred owner.
  std::vector<Candidate> candidates{ { "entry-0", "fd-1", "r1" },
                                     { "entry-9", "fd-0", "r1" } };
  it.inputs.candidates = candidates;
  it.inputs.candidateEpoch = 2;
  for (int time = 400; time <= 2300; time += 100) {
    renew(time);
    EXPECT_TRUE(it.holder.SendableUntil(kSlice)) << time;
  }
  renew(2400);
  EXPECT_EQ(it.holder.DrainingSlices(), (std::vector<SliceId>{ kSlice }));
  EXPECT_FALSE(it.holder.SendableUntil(kSlice));
  renew(2500);
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

// Guards against a slice without an owner when the preferred owner is alive but
// reaches no quorum.
TEST(LeaseHolder, RequestsAnUnownedSliceAfterTheFallbackDelay)
{
  HolderFixture it;
  std::vector<Candidate> candidates{ { "entry-0", "fd-1", "r1" },
                                     { "entry-9", "fd-0", "r1" } };
  it.inputs.candidates = candidates;
  for (int time = 0; time < 4000; time += 100) {
    EXPECT_EQ(it.Tick(time), 0U) << time;
  }
  EXPECT_NE(it.Tick(4000), 0U);
  it.inputs.announcedByOthers = { &kSlice, 1 };
  it.Tick(4100);
  EXPECT_FALSE(it.holder.StateOf(kSlice)) << "another member announces it";
}

// Guards against a holder that is refused repeatedly because it does not learn
// of a newer configuration or roster.
TEST(LeaseHolder, ReportsPeersWithNewerVersions)
{
  HolderFixture it;
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
