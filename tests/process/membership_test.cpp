#include "bronzedeal/process/membership.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace bronzedeal::process {
namespace {

constexpr Incarnation kFirstIncarnation = 100;

std::vector<RosterEntry> MakeRoster(std::size_t aSize)
{
  std::vector<RosterEntry> roster;
  for (std::size_t i = 0; i < aSize; ++i) {
    roster.push_back({ fmt::format("entry-{:03}", i),
                       "",
                       "",
                       fmt::format("fd-{}", i % 3),
                       "r1",
                       false });
  }
  return roster;
}

TimePoint Ms(int aTime)
{
  return TimePoint(milliseconds(aTime));
}

// Members whose messages are delivered at once, except over cut links.
struct MemberGroup
{
  explicit MemberGroup(std::size_t aSize)
    : roster(MakeRoster(aSize))
  {
    for (const auto& it : roster) {
      members.emplace_back(it, kFirstIncarnation);
      members.back().SetRoster(1, roster, now);
    }
  }

  void Run(int aDurationMs)
  {
    for (int n = 0; n < aDurationMs; n += 50) {
      now += milliseconds(50);
      for (std::size_t i = 0; i < members.size(); ++i) {
        if (!stopped.contains(i)) {
          std::vector<OutgoingMessage> out;
          members[i].Tick(now, out);
          Deliver(i, out);
        }
      }
    }
  }

  void Deliver(std::size_t aFrom, const std::vector<OutgoingMessage>& aOut)
  {
    for (const auto& it : aOut) {
      const auto to = std::stoul(it.to.substr(6));
      largestMessageBytes = std::max(largestMessageBytes, EncodedSize(it.body));
      if (to >= members.size() || stopped.contains(to) ||
          cutLinks.contains({ aFrom, to })) {
        continue;
      }
      std::vector<OutgoingMessage> out;
      members[to].Receive(roster[aFrom].id,
                          members[aFrom].Self().incarnation,
                          std::get<GossipMessage>(it.body),
                          now,
                          out);
      Deliver(to, out);
    }
  }

  MemberStatus StatusAt(std::size_t aMember, std::size_t aObserver) const
  {
    return members[aObserver].Find(roster[aMember].id)->status;
  }

  std::vector<RosterEntry> roster;
  std::vector<Membership> members;
  std::set<std::size_t> stopped;
  std::set<std::pair<std::size_t, std::size_t>> cutLinks;
  TimePoint now{};
  /// Encoded size of the largest message so far, in bytes.
  std::size_t largestMessageBytes = 0;
};

// Guards against messages of replaced or unlisted processes having an effect.
TEST(Membership, RefusesUnlistedAndStaleSenders)
{
  const auto roster = MakeRoster(3);
  Membership member(roster[0], kFirstIncarnation);
  member.SetRoster(1, roster, Ms(0));
  EXPECT_EQ(member.AdmitSender("entry-009", 5, Ms(1)),
            SenderStatus::UnknownSender);
  EXPECT_EQ(member.AdmitSender("entry-001", 5, Ms(1)), SenderStatus::Accepted);
  EXPECT_EQ(member.AdmitSender("entry-001", 6, Ms(2)), SenderStatus::Accepted);
  EXPECT_EQ(member.Find("entry-001")->incarnation, 6U);
  EXPECT_EQ(member.AdmitSender("entry-001", 5, Ms(3)),
            SenderStatus::StaleIncarnation);
  EXPECT_EQ(member.AdmitSender("entry-000", kFirstIncarnation + 1, Ms(3)),
            SenderStatus::StaleIncarnation);
}

// Guards against a crash that is not detected, and against a member that is
// declared dead without having been suspected first.
TEST(Membership, CrashedMemberIsSuspectBeforeItIsDead)
{
  MemberGroup group(5);
  group.Run(3000);
  group.stopped.insert(4);
  bool suspected = false;
  int waited = 0;
  while (group.StatusAt(4, 0) != MemberStatus::Dead && waited < 5000) {
    group.Run(50);
    waited += 50;
    suspected = suspected || group.StatusAt(4, 0) == MemberStatus::Suspect;
  }
  EXPECT_TRUE(suspected);
  EXPECT_LE(waited, 3000);
  EXPECT_GE(waited, 1500);
}

// Guards against a live member that is considered dead because one link is cut:
// the probe must continue through other members.
TEST(Membership, IndirectProbesCoverOneCutLink)
{
  MemberGroup group(5);
  group.Run(3000);
  group.cutLinks = { { 0, 4 }, { 4, 0 } };
  for (int n = 0; n < 100; ++n) {
    group.Run(50);
    EXPECT_EQ(group.StatusAt(4, 0), MemberStatus::Alive) << n;
  }
}

// Guards against a false suspicion that persists: the member must learn of it
// and refute it with a higher sequence.
TEST(Membership, RefutesAFalseSuspicion)
{
  MemberGroup group(4);
  group.Run(2000);
  group.stopped.insert(3);
  group.Run(900);
  ASSERT_EQ(group.StatusAt(3, 0), MemberStatus::Suspect);
  group.stopped.clear();
  // The gap is too short for a pause, so the member continues as before.
  group.Run(800);
  EXPECT_EQ(group.StatusAt(3, 0), MemberStatus::Alive);
  EXPECT_GT(group.members[0].Find("entry-003")->sequence, 1U);
}

// Guards against work after a pause that is based on outdated state.
TEST(Membership, DetectsAPauseAndClearsContacts)
{
  const auto roster = MakeRoster(3);
  Membership member(roster[0], kFirstIncarnation);
  member.SetRoster(1, roster, Ms(0));
  std::vector<OutgoingMessage> out;
  EXPECT_FALSE(member.Tick(Ms(100), out).pauseDetected);
  EXPECT_FALSE(member.Tick(Ms(1100), out).pauseDetected);
  member.AdmitSender("entry-001", 5, Ms(1100));
  EXPECT_EQ(member.CountContacts(Ms(1101)).heardFrom, 2U);
  EXPECT_TRUE(member.Tick(Ms(2101), out).pauseDetected);
  EXPECT_EQ(member.CountContacts(Ms(2101)).heardFrom, 1U);
}

// Guards against slices being assigned to a leaving or fenced instance.
TEST(Membership, LeavingAndFencedMembersAreNoCandidates)
{
  MemberGroup group(3);
  group.Run(2000);
  EXPECT_EQ(group.members[0].Candidates().size(), 3U);
  SelfState leaving;
  leaving.leaving = true;
  group.members[1].UpdateSelf(leaving);
  SelfState fenced;
  fenced.fenced = true;
  group.members[2].UpdateSelf(fenced);
  group.Run(600);
  EXPECT_EQ(group.StatusAt(1, 0), MemberStatus::Leaving);
  EXPECT_EQ(group.members[0].Candidates().size(), 1U);
  group.members[1].UpdateSelf({});
  group.members[2].UpdateSelf({});
  group.Run(600);
  EXPECT_EQ(group.StatusAt(1, 0), MemberStatus::Leaving) << "can't be revoked";
  EXPECT_EQ(group.members[0].Candidates().size(), 2U);
}

// Guards against versions of a former incarnation that count for the new one,
// so that a withdrawal would seem complete.
TEST(Membership, ProgressMapAppliesOnlyToTheSameIncarnations)
{
  const auto roster = MakeRoster(3);
  Membership sender(roster[0], kFirstIncarnation);
  Membership receiver(roster[1], kFirstIncarnation);
  sender.SetRoster(1, roster, Ms(0));
  receiver.SetRoster(1, roster, Ms(0));
  GossipMessage record;
  record.records.push_back({ .id = "entry-002",
                             .incarnation = 7,
                             .sequence = 1,
                             .configVersion = 5,
                             .settledVersion = 5 });
  std::vector<OutgoingMessage> out;
  sender.Receive("entry-002", 7, record, Ms(1), out);
  receiver.AdmitSender("entry-000", kFirstIncarnation, Ms(1));
  sender.AdmitSender("entry-001", kFirstIncarnation, Ms(1));
  const auto exchange = [&](int aTime) {
    out.clear();
    sender.Tick(Ms(aTime), out);
    for (const auto& it : out) {
      auto message = std::get<GossipMessage>(it.body);
      message.records.clear();
      std::vector<OutgoingMessage> ignored;
      receiver.Receive(
        "entry-000", kFirstIncarnation, message, Ms(aTime), ignored);
    }
  };
  receiver.AdmitSender("entry-002", 8, Ms(1));
  exchange(50);
  EXPECT_EQ(receiver.Find("entry-002")->configVersion, 0U);
  // Once the sender knows incarnation 8, its map applies.
  record.records[0].incarnation = 8;
  sender.Receive("entry-002", 8, record, Ms(60), out);
  exchange(200);
  EXPECT_EQ(receiver.Find("entry-002")->configVersion, 5U);
  EXPECT_EQ(receiver.Find("entry-002")->settledVersion, 5U);
}

// Guards against messages that exceed the size limit when many records are new.
TEST(Membership, LimitsMessageSize)
{
  MemberGroup group(150);
  for (std::size_t i = 0; i < 150; ++i) {
    group.members[i].UpdateSelf(
      { 5, { 1 }, false, false, { { "fd-1", 1 }, { "fd-1", 2 } }, 0 });
  }
  const auto empty = EncodedSize(Message(GossipMessage{}));
  group.Run(2000);
  EXPECT_GT(group.largestMessageBytes, empty + 600);
  // Kind, probe id and target are not included in the limit.
  EXPECT_LE(group.largestMessageBytes, empty + 1200 + 40);
}

// Guards against an instance that is fenced because the roster has grown and
// the new members have not been contacted yet, or by chance in a small fleet.
TEST(ContactCounts, SmallRosterIsCountedExactly)
{
  MemberGroup group(3);
  group.Run(2000);
  auto contact = group.members[0].CountContacts(group.now);
  EXPECT_EQ(contact.rosterSize, 3U);
  EXPECT_EQ(contact.heardFrom, 3U);
  group.members[0].SetRoster(2, MakeRoster(9), group.now);
  contact = group.members[0].CountContacts(group.now);
  EXPECT_TRUE(ReachesHalf(contact));
  group.Run(3100);
  contact = group.members[0].CountContacts(group.now);
  EXPECT_EQ(contact.rosterSize, 9U);
  EXPECT_FALSE(ReachesHalf(contact));
}

// Guards against thresholds that let an isolated instance continue, or fence
// one that is well connected.
TEST(ContactCounts, ThresholdsForFencingAndJoining)
{
  EXPECT_FALSE(ReachesHalf({})) << "no roster yet";
  EXPECT_TRUE(ReachesHalf({ 6, 6, 3, 3 }));
  EXPECT_FALSE(ReachesHalf({ 6, 6, 2, 2 }));
  EXPECT_TRUE(MajorityHasReported({ 1, 1, 1, 1 }));
  EXPECT_FALSE(MajorityHasReported({ 6, 6, 6, 3 }));
  EXPECT_TRUE(MajorityHasReported({ 6, 6, 4, 4 }));
  // In a sample of 30 of 820 one failure domain of six is reachable, then half
  // of them are.
  EXPECT_FALSE(ReachesHalf({ 820, 30, 5, 5 }));
  EXPECT_TRUE(ReachesHalf({ 820, 30, 15, 15 }));
  EXPECT_FALSE(ReachesHalf({ 820, 5, 5, 5 })) << "too few contacts";
  EXPECT_FALSE(MajorityHasReported({ 820, 30, 30, 15 }));
  EXPECT_TRUE(MajorityHasReported({ 820, 30, 30, 16 }));
}

} // namespace
} // namespace bronzedeal::process
