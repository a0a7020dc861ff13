#include "bronzedeal/process/membership.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace bronzedeal::process {
namespace {

constexpr Incarnation kFirst = 100;

std::vector<RosterEntry> Roster(std::size_t aSize)
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

// Members that exchange messages at once, except over links that are cut.
struct Group
{
  explicit Group(std::size_t aSize)
    : roster(Roster(aSize))
  {
    for (const auto& it : roster) {
      members.emplace_back(it, kFirst);
      members.back().SetRoster(1, roster, now);
    }
  }

  void Run(int aMilliseconds)
  {
    for (int n = 0; n < aMilliseconds; n += 50) {
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
      largest = std::max(largest, EncodedSize(it.body));
      if (to >= members.size() || stopped.contains(to) ||
          cut.contains({ aFrom, to })) {
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

  MemberStatus Status(std::size_t aOf, std::size_t aBy) const
  {
    return members[aBy].Find(roster[aOf].id)->status;
  }

  std::vector<RosterEntry> roster;
  std::vector<Membership> members;
  std::set<std::size_t> stopped;
  std::set<std::pair<std::size_t, std::size_t>> cut;
  TimePoint now{};
  /// Encoded size of the largest message so far.
  std::size_t largest = 0;
};

// Guards against messages of replaced or unlisted processes taking effect.
TEST(Membership, RefusesUnlistedAndStaleSenders)
{
  const auto roster = Roster(3);
  Membership member(roster[0], kFirst);
  member.SetRoster(1, roster, Ms(0));
  EXPECT_EQ(member.AdmitSender("entry-009", 5, Ms(1)),
            SenderStatus::UnknownSender);
  EXPECT_EQ(member.AdmitSender("entry-001", 5, Ms(1)), SenderStatus::Accepted);
  EXPECT_EQ(member.AdmitSender("entry-001", 6, Ms(2)), SenderStatus::Accepted);
  EXPECT_EQ(member.Find("entry-001")->incarnation, 6U);
  EXPECT_EQ(member.AdmitSender("entry-001", 5, Ms(3)),
            SenderStatus::StaleIncarnation);
  EXPECT_EQ(member.AdmitSender("entry-000", kFirst + 1, Ms(3)),
            SenderStatus::StaleIncarnation);
}

// Guards against a crash that stays unnoticed, and against a member that is
// declared dead without having been suspected first.
TEST(Membership, SuspectsBeforeDeath)
{
  Group group(5);
  group.Run(3000);
  group.stopped.insert(4);
  bool suspected = false;
  int waited = 0;
  while (group.Status(4, 0) != MemberStatus::Dead && waited < 5000) {
    group.Run(50);
    waited += 50;
    suspected = suspected || group.Status(4, 0) == MemberStatus::Suspect;
  }
  EXPECT_TRUE(suspected);
  EXPECT_LE(waited, 3000);
  EXPECT_GE(waited, 1500);
}

// Guards against a live member that is taken for dead because one link is cut:
// the probe goes on through others.
TEST(Membership, IndirectProbesCoverOneCutLink)
{
  Group group(5);
  group.Run(3000);
  group.cut = { { 0, 4 }, { 4, 0 } };
  for (int n = 0; n < 100; ++n) {
    group.Run(50);
    EXPECT_EQ(group.Status(4, 0), MemberStatus::Alive) << n;
  }
}

// Guards against a false suspicion that sticks: the member learns of it and
// raises its sequence.
TEST(Membership, RefutesSuspicion)
{
  Group group(4);
  group.Run(2000);
  group.stopped.insert(3);
  group.Run(900);
  ASSERT_EQ(group.Status(3, 0), MemberStatus::Suspect);
  group.stopped.clear();
  // The gap is below that of a pause, so the member goes on as before.
  group.Run(800);
  EXPECT_EQ(group.Status(3, 0), MemberStatus::Alive);
  EXPECT_GT(group.members[0].Find("entry-003")->sequence, 1U);
}

// Guards against work after a pause with stale state.
TEST(Membership, ReportsPause)
{
  const auto roster = Roster(3);
  Membership member(roster[0], kFirst);
  member.SetRoster(1, roster, Ms(0));
  std::vector<OutgoingMessage> out;
  EXPECT_FALSE(member.Tick(Ms(100), out).pauseDetected);
  EXPECT_FALSE(member.Tick(Ms(1100), out).pauseDetected);
  member.AdmitSender("entry-001", 5, Ms(1100));
  EXPECT_EQ(member.CountContacts(Ms(1101)).heardFrom, 2U);
  EXPECT_TRUE(member.Tick(Ms(2101), out).pauseDetected);
  EXPECT_EQ(member.CountContacts(Ms(2101)).heardFrom, 1U);
}

// Guards against slices for an instance that is leaving or fenced.
TEST(Membership, LeavingAndFencedAreNoCandidates)
{
  Group group(3);
  group.Run(2000);
  EXPECT_EQ(group.members[0].Candidates().size(), 3U);
  SelfState leaving;
  leaving.leaving = true;
  group.members[1].UpdateSelf(leaving);
  SelfState fenced;
  fenced.fenced = true;
  group.members[2].UpdateSelf(fenced);
  group.Run(600);
  EXPECT_EQ(group.Status(1, 0), MemberStatus::Leaving);
  EXPECT_EQ(group.members[0].Candidates().size(), 1U);
  group.members[1].UpdateSelf({});
  group.members[2].UpdateSelf({});
  group.Run(600);
  EXPECT_EQ(group.Status(1, 0), MemberStatus::Leaving) << "can't be taken back";
  EXPECT_EQ(group.members[0].Candidates().size(), 2U);
}

// Guards against versions of a former incarnation that are counted for the new
// one, which would make a withdrawal look complete.
TEST(Membership, MapBitsBelongToTheSendersIncarnations)
{
  const auto roster = Roster(3);
  Membership sender(roster[0], kFirst);
  Membership receiver(roster[1], kFirst);
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
  receiver.AdmitSender("entry-000", kFirst, Ms(1));
  sender.AdmitSender("entry-001", kFirst, Ms(1));
  const auto exchange = [&](int aTime) {
    out.clear();
    sender.Tick(Ms(aTime), out);
    for (const auto& it : out) {
      auto message = std::get<GossipMessage>(it.body);
      message.records.clear();
      std::vector<OutgoingMessage> ignored;
      receiver.Receive("entry-000", kFirst, message, Ms(aTime), ignored);
    }
  };
  receiver.AdmitSender("entry-002", 8, Ms(1));
  exchange(50);
  EXPECT_EQ(receiver.Find("entry-002")->configVersion, 0U);
  // Once the sender knows incarnation 8, what it says of it is accepted.
  record.records[0].incarnation = 8;
  sender.Receive("entry-002", 8, record, Ms(60), out);
  exchange(200);
  EXPECT_EQ(receiver.Find("entry-002")->configVersion, 5U);
  EXPECT_EQ(receiver.Find("entry-002")->settledVersion, 5U);
}

// Guards against messages that outgrow the limit when many records are new.
TEST(Membership, LimitsPiggyback)
{
  Group group(150);
  for (std::size_t i = 0; i < 150; ++i) {
    group.members[i].UpdateSelf(
      { 5, { 1 }, false, false, { { "fd-1", 1 }, { "fd-1", 2 } }, 0 });
  }
  const auto empty = EncodedSize(Message(GossipMessage{}));
  group.Run(2000);
  EXPECT_GT(group.largest, empty + 600);
  // Kind, probe number and target come on top of the records.
  EXPECT_LE(group.largest, empty + 1200 + 40);
}

// Guards against a fence when the list grows before the new members are met,
// and against one in a small fleet that depends on chance.
TEST(ContactCounts, CountsASmallRosterExactly)
{
  Group group(3);
  group.Run(2000);
  auto contact = group.members[0].CountContacts(group.now);
  EXPECT_EQ(contact.rosterSize, 3U);
  EXPECT_EQ(contact.heardFrom, 3U);
  group.members[0].SetRoster(2, Roster(9), group.now);
  contact = group.members[0].CountContacts(group.now);
  EXPECT_TRUE(ReachesHalf(contact));
  group.Run(3100);
  contact = group.members[0].CountContacts(group.now);
  EXPECT_EQ(contact.rosterSize, 9U);
  EXPECT_FALSE(ReachesHalf(contact));
}

// Guards against thresholds that let a cut-off instance go on, or fence one
// that is well connected.
TEST(ContactCounts, Thresholds)
{
  EXPECT_FALSE(ReachesHalf({})) << "no roster yet";
  EXPECT_TRUE(ReachesHalf({ 6, 6, 3, 3 }));
  EXPECT_FALSE(ReachesHalf({ 6, 6, 2, 2 }));
  EXPECT_TRUE(MajorityHasReported({ 1, 1, 1, 1 }));
  EXPECT_FALSE(MajorityHasReported({ 6, 6, 6, 3 }));
  EXPECT_TRUE(MajorityHasReported({ 6, 6, 4, 4 }));
  // A sample of 30 of 820: one failure domain of six is cut off, half are.
  EXPECT_FALSE(ReachesHalf({ 820, 30, 5, 5 }));
  EXPECT_TRUE(ReachesHalf({ 820, 30, 15, 15 }));
  EXPECT_FALSE(ReachesHalf({ 820, 5, 5, 5 })) << "too few contacts";
  EXPECT_FALSE(MajorityHasReported({ 820, 30, 30, 15 }));
  EXPECT_TRUE(MajorityHasReported({ 820, 30, 30, 16 }));
}

} // namespace
} // namespace bronzedeal::process
