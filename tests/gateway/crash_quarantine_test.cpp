#include "bronzedeal/gateway/crash_quarantine.hpp"
#include "bronzedeal/gateway/cut_runs.hpp"
#include "support.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bronzedeal::gateway::test {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);
const ContentId kContent = ContentIdOf("GET", "shop.example", "/one/a", "");

/// A server ends `aMs` after the start, 5 ms after it got the request.
void Crash(CrashQuarantine& aQuarantine, std::uint32_t aServer, int aMs)
{
  const auto ended = kStart + milliseconds(aMs);
  aQuarantine.OnServerEnded(
    kContent, { aServer, ended - milliseconds(5), ended }, ended);
}

/// A server leaves a run without an answer; returns the verdict after that.
ContentVerdict Cut(CrashQuarantine& aQuarantine,
                   std::uint32_t aServer,
                   int aSentMs,
                   int aCutMs)
{
  const auto cut = kStart + milliseconds(aCutMs);
  aQuarantine.OnCut(
    kContent, { aServer, kStart + milliseconds(aSentMs), cut }, cut);
  return aQuarantine.VerdictOf(kContent, cut);
}

CrashQuarantine MakeQuarantine(const std::string& aInstance = "gw-0")
{
  return CrashQuarantine(aInstance, CrashQuarantine::Options{});
}

} // namespace

// Guards against a query that goes to all shards again while it isn't known yet
// whether the servers that broke it off have ended.
TEST(CrashQuarantine, SuspectsAnUnansweredContentUntilItIsAnswered)
{
  auto quarantine = MakeQuarantine();
  quarantine.OnUnanswered(kContent, kStart, kStart);
  const auto end = kStart + kServerEndProofTime;
  EXPECT_EQ(ContentVerdict::Suspect,
            quarantine.VerdictOf(kContent, end - milliseconds(1)));
  EXPECT_EQ(ContentVerdict::Free, quarantine.VerdictOf(kContent, end));
  EXPECT_TRUE(quarantine.AllNotices(end - milliseconds(1)).empty());
  EXPECT_TRUE(quarantine.RecentNotices(kStart).empty());

  quarantine.OnUnanswered(kContent, end + seconds(1), end + seconds(1));
  quarantine.OnAnswered(kContent, end + seconds(2));
  EXPECT_EQ(ContentVerdict::Free,
            quarantine.VerdictOf(kContent, end + seconds(2)));
}

// Guards against retries of a content that servers left without an answer,
// while nothing proves that these servers have ended.
TEST(CrashQuarantine, SuspectsAContentThatTwoServersLeftUnanswered)
{
  auto quarantine = MakeQuarantine();
  EXPECT_EQ(ContentVerdict::Free, Cut(quarantine, 1, 0, 10));
  EXPECT_EQ(ContentVerdict::Free, Cut(quarantine, 1, 11, 12));
  EXPECT_EQ(ContentVerdict::Suspect, Cut(quarantine, 2, 5, 20));
  quarantine.OnAnswered(kContent, kStart + milliseconds(30));
  EXPECT_EQ(ContentVerdict::Free, Cut(quarantine, 3, 30, 40));
  EXPECT_EQ(ContentVerdict::Suspect, Cut(quarantine, 4, 40, 50));
}

// Guards against a content that ends one server after the other while the ends
// can't be proven for seconds.
TEST(CrashQuarantine, HoldsAContentThatThreeServersLeftUnanswered)
{
  auto quarantine = MakeQuarantine();
  Cut(quarantine, 1, 0, 10);
  Cut(quarantine, 2, 10, 20);
  EXPECT_EQ(ContentVerdict::Quarantined, Cut(quarantine, 3, 20, 30));
  const auto end = kStart + milliseconds(30) + kServerEndProofTime;
  EXPECT_EQ(quarantine.TimeUntilTrial(kContent, end - seconds(2)), seconds(2));
  EXPECT_EQ(ContentVerdict::Quarantined,
            quarantine.VerdictOf(kContent, end - milliseconds(1)));
  // Nothing was proven.
  EXPECT_EQ(ContentVerdict::Free, quarantine.VerdictOf(kContent, end));
}

// Guards against ends that count twice, once without and once with a proof.
TEST(CrashQuarantine, CountsARunOnceWhenItsEndIsProven)
{
  auto quarantine = MakeQuarantine();
  Crash(quarantine, 1, 10);
  Cut(quarantine, 1, 5, 11);
  Cut(quarantine, 2, 12, 20);
  Crash(quarantine, 2, 20);
  EXPECT_EQ(ContentVerdict::Suspect,
            quarantine.VerdictOf(kContent, kStart + milliseconds(20)));
}

// Guards against instances that each need three runs without an answer of their
// own, and against one content that runs at all instances at the same time.
RC_GTEST_PROP(CrashQuarantine, SharesRunsWithoutAnAnswerAndTrials, ())
{
  constexpr std::size_t kInstances = 5;
  std::vector<CrashQuarantine> fleet;
  for (std::size_t n = 0; n < kInstances; ++n) {
    fleet.push_back(MakeQuarantine("gw-" + std::to_string(n)));
  }
  auto now = kStart;
  std::uint32_t sendCount = 0;
  for (int n = 0; n < 20; ++n) {
    now += milliseconds(*rc::gen::inRange(1, 400));
    auto& instance = fleet[*rc::gen::inRange<std::size_t>(0, kInstances)];
    const auto tell = [&] {
      const auto notices =
        DecodeCrashNotices(EncodeCrashNotices(instance.RecentNotices(now)));
      RC_ASSERT(notices.has_value());
      now += milliseconds(1);
      for (auto& other : fleet) {
        if (&other != &instance) {
          other.Merge(*notices, now);
        }
      }
    };
    const auto verdict = instance.VerdictOf(kContent, now);
    std::shared_ptr<void> trial;
    if (verdict == ContentVerdict::Suspect) {
      trial = instance.TryBeginTrial(kContent, now, now + seconds(8));
      tell();
      for (auto& other : fleet) {
        RC_ASSERT(&other == &instance ||
                  other.TryBeginTrial(kContent, now, now + seconds(8)) ==
                    nullptr);
      }
    }
    if (verdict != ContentVerdict::Quarantined && (trial || sendCount < 2)) {
      const auto sentAt = now;
      now += milliseconds(*rc::gen::inRange(1, 2000));
      instance.OnCut(kContent, { ++sendCount, sentAt, now }, now);
    }
    trial.reset();
    tell();
  }
  RC_ASSERT(sendCount <= 3U);
}

// Guards against a trial that blocks others after it has ended, and against a
// late notice that ends the trial of another instance.
TEST(CrashQuarantine, TellsTheEndOfATrialOnce)
{
  auto first = MakeQuarantine();
  auto second = MakeQuarantine("gw-1");
  Cut(first, 1, 0, 10);
  Cut(first, 2, 0, 10);
  const auto now = kStart + milliseconds(20);
  auto trial = first.TryBeginTrial(kContent, now, now + seconds(8));
  second.Merge(first.RecentNotices(now), now);
  EXPECT_EQ(second.TryBeginTrial(kContent, now, now), nullptr);
  trial.reset();
  second.Merge(first.RecentNotices(now), now);
  trial = second.TryBeginTrial(kContent, now, now + seconds(8));
  EXPECT_NE(trial, nullptr);
  EXPECT_FALSE(first.RecentNotices(now).front().trialTime);
}

// Guards against a failure domain that runs a crashing content as often as if
// nothing had happened in the domains that it can't hear of.
TEST(CrashQuarantine, RefusesAnUnknownContentAfterOneRunWhileIsolated)
{
  auto quarantine = MakeQuarantine();
  quarantine.SetIsolated(true);
  EXPECT_EQ(ContentVerdict::Quarantined, Cut(quarantine, 1, 0, 10));
  const auto now = kStart + milliseconds(10);
  EXPECT_EQ(quarantine.TimeUntilTrial(kContent, now), seconds(1));
  Crash(quarantine, 1, 10);
  EXPECT_EQ(ContentVerdict::Quarantined,
            quarantine.VerdictOf(kContent, now + minutes(1)));
  quarantine.SetIsolated(false);
  EXPECT_EQ(ContentVerdict::Free, quarantine.VerdictOf(kContent, now));
}

// Guards against popular contents that are refused after the end of one server
// while other failure domains can't be heard of.
TEST(CrashQuarantine, ServesAnAnsweredContentWhileIsolated)
{
  auto quarantine = MakeQuarantine();
  quarantine.SetIsolated(true);
  quarantine.OnAnswered(kContent, kStart - seconds(1));
  EXPECT_EQ(ContentVerdict::Free, Cut(quarantine, 1, 0, 10));
  EXPECT_EQ(ContentVerdict::Suspect, Cut(quarantine, 2, 10, 20));
}

// Guards against memory that grows with each content.
TEST(RecentContents, KeepsABoundedNumber)
{
  constexpr std::size_t kCapacity = 8;
  RecentContents contents(kCapacity);
  const auto nth = [](int aNumber) {
    return ContentIdOf("GET", "a", "/" + std::to_string(aNumber), "");
  };
  for (int n = 0; n < 100; ++n) {
    contents.Add(nth(n), kStart);
    contents.Add(nth(n), kStart + seconds(n));
    EXPECT_LE(contents.size(), kCapacity);
    EXPECT_TRUE(contents.Contains(nth(n)));
    EXPECT_EQ(contents.LastAdded(nth(n)), kStart + seconds(n));
    EXPECT_TRUE(n < 3 || contents.Contains(nth(n - 3)));
  }
  EXPECT_FALSE(contents.Contains(nth(0)));
  EXPECT_FALSE(contents.LastAdded(nth(0)));
}

// Guards against a content that is refused for runs which were lost with the
// links of this instance, although servers have answered it since.
TEST(CrashQuarantine, IgnoresRunsThatEndedBeforeAnAnswer)
{
  auto quarantine = MakeQuarantine();
  const auto answeredAt = kStart + seconds(2);
  quarantine.OnAnswered(kContent, answeredAt);
  for (std::uint32_t n = 1; n <= 4; ++n) {
    const LostRun run{ n, kStart + seconds(0), kStart + milliseconds(n) };
    quarantine.OnCut(kContent, run, answeredAt + milliseconds(n));
    EXPECT_EQ(0U, quarantine.OnServerEnded(kContent, run, answeredAt));
  }
  quarantine.OnUnanswered(kContent, kStart + seconds(1), answeredAt);
  EXPECT_EQ(ContentVerdict::Free, quarantine.VerdictOf(kContent, answeredAt));
  EXPECT_EQ(0U, quarantine.size());
  EXPECT_EQ(ContentVerdict::Free, Cut(quarantine, 5, 2001, 2002));
  EXPECT_EQ(ContentVerdict::Suspect, Cut(quarantine, 6, 2003, 2004));
}

// Guards against an instance that goes on refusing a content which the others
// serve, because nobody tells it of their answers.
TEST(CrashQuarantine, TellsOfAnAnswerThatTheSenderOfANoticeLacks)
{
  auto cutOff = MakeQuarantine();
  Cut(cutOff, 1, 0, 10);
  Cut(cutOff, 2, 10, 20);
  Cut(cutOff, 3, 20, 30);
  const auto now = kStart + milliseconds(40);
  auto other = MakeQuarantine("gw-1");
  other.OnAnswered(kContent, now);
  other.Merge(cutOff.RecentNotices(now), now);
  EXPECT_EQ(ContentVerdict::Free, other.VerdictOf(kContent, now));
  cutOff.Merge(other.RecentNotices(now), now);
  EXPECT_EQ(ContentVerdict::Free, cutOff.VerdictOf(kContent, now));
}

// Guards against a connection to a restarted server that is taken for a sign
// that its former run goes on.
TEST(LiveServers, FollowsConnectionsThatOverlap)
{
  const auto at = [](int aSeconds) { return kStart + seconds(aSeconds); };
  LiveServers servers(8);
  EXPECT_FALSE(servers.HasRunThrough(1, at(0), at(1)));
  servers.OnAnswered(1, at(0), at(2));
  EXPECT_TRUE(servers.HasRunThrough(1, at(0), at(2)));
  EXPECT_FALSE(servers.HasRunThrough(1, at(0), at(3)));
  EXPECT_FALSE(servers.HasRunThrough(2, at(0), at(2)));
  servers.OnAnswered(1, at(2), at(6));
  EXPECT_TRUE(servers.HasRunThrough(1, at(0), at(6)));
  servers.OnAnswered(1, at(7), at(9));
  EXPECT_FALSE(servers.HasRunThrough(1, at(6), at(9)));
  EXPECT_TRUE(servers.HasRunThrough(1, at(7), at(9)));
}

// Guards against memory that grows with each server.
TEST(LiveServers, KeepsABoundedNumber)
{
  constexpr std::size_t kCapacity = 8;
  LiveServers servers(kCapacity);
  for (std::uint32_t n = 0; n < 100; ++n) {
    servers.OnAnswered(n, kStart, kStart);
    EXPECT_LE(servers.size(), kCapacity);
    EXPECT_TRUE(servers.HasRunThrough(n, kStart, kStart));
  }
}

// Guards against instances that believe a cut-off one that servers have ended
// which answer them all the time.
TEST(CrashQuarantine, IgnoresRunsWhoseServersHaveNotEnded)
{
  auto cutOff = MakeQuarantine();
  for (int n = 1; n <= 3; ++n) {
    Cut(cutOff, static_cast<std::uint32_t>(n), 100 * n, 100 * n + 50);
  }
  auto now = kStart + milliseconds(400);
  const auto notices = cutOff.RecentNotices(now);
  // It hears of the runs before it gets the answers, or after.
  auto before = MakeQuarantine("gw-1");
  auto after = MakeQuarantine("gw-2");
  before.Merge(notices, now);
  EXPECT_EQ(ContentVerdict::Quarantined, before.VerdictOf(kContent, now));
  for (std::uint32_t n = 1; n <= 3; ++n) {
    for (auto* it : { &before, &after }) {
      it->OnServerAnswered(n, kStart, now, now);
    }
  }
  after.Merge(notices, now);
  EXPECT_EQ(ContentVerdict::Free, before.VerdictOf(kContent, now));
  EXPECT_EQ(ContentVerdict::Free, after.VerdictOf(kContent, now));
  // Connections that were opened after the run prove nothing.
  auto late = MakeQuarantine("gw-3");
  late.Merge(notices, now);
  for (std::uint32_t n = 1; n <= 3; ++n) {
    late.OnServerAnswered(n, now, now, now);
  }
  EXPECT_EQ(ContentVerdict::Quarantined, late.VerdictOf(kContent, now));
}

// Guards against evidence that counts for a content which does end servers: in
// a busy fleet, whatever the instances and their links do, three ends one after
// the other quarantine it, and lost links alone never do.
RC_GTEST_PROP(CrashQuarantine, TellsLostLinksFromServersThatHaveEnded, ())
{
  constexpr std::uint32_t kServers = 6;
  auto cutOff = MakeQuarantine();
  auto other = MakeQuarantine("gw-1");
  const auto crashes = *rc::gen::arbitrary<bool>();
  const auto lostCount = *rc::gen::inRange(3U, kServers);
  auto now = kStart;
  for (std::uint32_t n = 0; n < kServers; ++n) {
    other.OnServerAnswered(n, kStart, now, now);
  }
  std::vector<LostRun> runs;
  for (std::uint32_t n = 0; n < lostCount; ++n) {
    const auto sentAt = now + milliseconds(*rc::gen::inRange(0, 50));
    now = sentAt + milliseconds(*rc::gen::inRange(1, 500));
    runs.push_back({ n, sentAt, now });
    cutOff.OnCut(kContent, runs.back(), now);
  }
  now += milliseconds(*rc::gen::inRange(1, 500));
  auto notice = cutOff.NoticeOf(kContent, now);
  RC_ASSERT(notice.has_value());
  const bool isToldFirst = *rc::gen::arbitrary<bool>();
  if (isToldFirst) {
    other.Merge({ *notice }, now);
  }
  for (std::uint32_t n = 0; n < kServers; ++n) {
    const bool hasEnded = crashes && n < lostCount;
    // A server that has ended answers on new connections after its restart.
    other.OnServerAnswered(n, hasEnded ? runs[n].endedAt : kStart, now, now);
  }
  if (!isToldFirst) {
    other.Merge({ *notice }, now);
  }
  RC_ASSERT(other.VerdictOf(kContent, now) ==
            (crashes ? ContentVerdict::Quarantined : ContentVerdict::Free));
}

// Guards against lost attempts of a query, of which an instance tells with the
// request that it hands over, that count although the query was answered since.
TEST(CrashQuarantine, TellsOfLostAttemptsWithAHandover)
{
  auto sender = MakeQuarantine();
  const auto now = kStart + seconds(1);
  EXPECT_FALSE(sender.NoticeOf(kContent, now));
  sender.OnUnanswered(kContent, kStart, now);
  const auto notice = sender.NoticeOf(kContent, now);
  ASSERT_TRUE(notice);
  const auto notices = DecodeCrashNotices(EncodeCrashNotices({ *notice }));
  ASSERT_TRUE(notices);
  auto helper = MakeQuarantine("gw-1");
  helper.Merge(*notices, now);
  EXPECT_EQ(ContentVerdict::Suspect, helper.VerdictOf(kContent, now));
  auto answering = MakeQuarantine("gw-2");
  answering.OnAnswered(kContent, kStart + milliseconds(10));
  answering.Merge(*notices, now);
  EXPECT_EQ(ContentVerdict::Free, answering.VerdictOf(kContent, now));
}

// Guards against contents of different requests that count as one.
TEST(ContentId, TellsThePartsOfARequestApart)
{
  const auto id = ContentIdOf("GET", "a", "/b", "c");
  EXPECT_EQ(id, ContentIdOf("GET", "a", "/b", "c"));
  EXPECT_NE(id, ContentIdOf("GET", "a", "/bc", ""));
  EXPECT_NE(id, ContentIdOf("GET", "a/", "b", "c"));
  EXPECT_NE(id, ContentIdOf("PUT", "a", "/b", "c"));
  EXPECT_EQ(id, ContentIdFromHex(ToHex(id)));
  EXPECT_FALSE(ContentIdFromHex("12"));
  EXPECT_FALSE(ContentIdFromHex(std::string(32, 'g')));
}

// Guards against a request that ends one server after the other.
TEST(CrashQuarantine, RefusesAContentUnderWhichThreeServersEnded)
{
  auto quarantine = MakeQuarantine();
  Crash(quarantine, 1, 0);
  EXPECT_EQ(quarantine.VerdictOf(kContent, kStart), ContentVerdict::Free);
  Crash(quarantine, 2, 100);
  EXPECT_TRUE(quarantine.TakeUrgent());
  EXPECT_FALSE(quarantine.TakeUrgent());
  const auto later = kStart + seconds(1);
  EXPECT_EQ(quarantine.VerdictOf(kContent, later), ContentVerdict::Suspect);
  Crash(quarantine, 3, 900);
  EXPECT_EQ(quarantine.VerdictOf(kContent, later), ContentVerdict::Quarantined);
  EXPECT_GT(quarantine.TimeUntilTrial(kContent, later), minutes(9));
  EXPECT_EQ(quarantine.QuarantinedCount(later), 1U);
}

// Guards against a suspect content that ends several servers at once.
TEST(CrashQuarantine, AllowsOneTrialOfASuspectContentAtATime)
{
  auto quarantine = MakeQuarantine();
  const auto begin = [&] {
    return quarantine.TryBeginTrial(
      kContent, kStart + seconds(1), kStart + seconds(2));
  };
  EXPECT_EQ(begin(), nullptr);
  Crash(quarantine, 1, 0);
  Crash(quarantine, 2, 100);
  auto trial = begin();
  EXPECT_NE(trial, nullptr);
  EXPECT_EQ(begin(), nullptr);
  trial.reset();
  EXPECT_NE(begin(), nullptr);
}

// Guards against contents that are refused for ever, and against a fleet whose
// instances all try a crashing content at the same time.
TEST(CrashQuarantine, TriesAContentAgainAfterAWhileOneInstanceFirst)
{
  std::set<Duration> holds;
  for (const auto* name : { "gw-0", "gw-1", "gw-2", "gw-3" }) {
    auto quarantine = MakeQuarantine(name);
    for (int n = 0; n < 3; ++n) {
      Crash(quarantine, static_cast<std::uint32_t>(n), 100 * n);
    }
    const auto hold = quarantine.TimeUntilTrial(kContent, kStart);
    holds.insert(hold);
    EXPECT_LE(hold, minutes(15) + seconds(1));
    EXPECT_EQ(quarantine.VerdictOf(kContent, kStart + hold),
              ContentVerdict::Suspect);
    EXPECT_EQ(quarantine.VerdictOf(kContent, kStart + hold + minutes(5)),
              ContentVerdict::Free);
  }
  EXPECT_EQ(holds.size(), 4U);
}

// Guards against innocent contents that are refused because a failure domain
// was lost while many requests with the same content were in progress.
RC_GTEST_PROP(CrashQuarantine, CountsRunsThatOverlapAsOne, ())
{
  auto quarantine = MakeQuarantine();
  const auto lengths = *rc::gen::nonEmpty(
    rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 5000)));
  for (std::uint32_t n = 0; n < lengths.size(); ++n) {
    const auto ended = kStart + milliseconds(n % 7);
    const auto crashes = quarantine.OnServerEnded(
      kContent, { n, kStart - milliseconds(lengths[n]), ended }, ended);
    RC_ASSERT(crashes == 1U);
  }
}

// Guards against innocent contents that are refused although servers answer
// them between the ends of others.
RC_GTEST_PROP(CrashQuarantine, NeverRefusesAContentThatServersAnswer, ())
{
  auto quarantine = MakeQuarantine();
  auto other = MakeQuarantine("gw-1");
  const auto crashesBetween =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
  auto now = kStart;
  std::uint32_t server = 0;
  for (const auto crashes : crashesBetween) {
    for (int n = 0; n < crashes; ++n) {
      now += milliseconds(100);
      quarantine.OnServerEnded(
        kContent, { ++server, now - milliseconds(50), now }, now);
      other.Merge(quarantine.RecentNotices(now), now + milliseconds(3));
      RC_ASSERT(other.VerdictOf(kContent, now) != ContentVerdict::Quarantined);
    }
    now += milliseconds(20);
    quarantine.OnAnswered(kContent, now);
    other.Merge(quarantine.RecentNotices(now), now + milliseconds(3));
    RC_ASSERT(quarantine.VerdictOf(kContent, now) == ContentVerdict::Free);
    RC_ASSERT(other.VerdictOf(kContent, now) == ContentVerdict::Free);
  }
}

// Guards against crashes that no instance sees often enough alone, against
// notices that raise the count each time they come round, and against a forgery
// of runs by delays between instances.
RC_GTEST_PROP(CrashQuarantine, CountsEachRunOnceWhateverTheNoticesDo, ())
{
  constexpr std::size_t kInstances = 4;
  std::vector<CrashQuarantine> fleet;
  for (std::size_t n = 0; n < kInstances; ++n) {
    fleet.push_back(MakeQuarantine("gw-" + std::to_string(n)));
  }
  auto now = kStart;
  std::uint32_t crashes = 0;
  const auto steps = *rc::gen::container<std::vector<std::size_t>>(
    rc::gen::inRange<std::size_t>(0, kInstances * (kInstances + 1)));
  const auto pass = [&](std::size_t aFrom, std::size_t aTo) {
    const auto notices =
      DecodeCrashNotices(EncodeCrashNotices(fleet[aFrom].RecentNotices(now)));
    RC_ASSERT(notices.has_value());
    now += milliseconds(*rc::gen::inRange(0, 6));
    fleet[aTo].Merge(*notices, now);
  };
  for (const auto it : steps) {
    const auto from = it % kInstances;
    if (it >= kInstances * kInstances && crashes < 2) {
      now += milliseconds(40);
      fleet[from].OnServerEnded(
        kContent, { ++crashes, now - milliseconds(1), now }, now);
    } else {
      pass(from, it / kInstances % kInstances);
    }
    for (const auto& instance : fleet) {
      RC_ASSERT(instance.VerdictOf(kContent, now) !=
                ContentVerdict::Quarantined);
    }
  }
  for (std::size_t n = 0; n < 3; ++n) {
    now += milliseconds(40);
    fleet[n].OnServerEnded(
      kContent,
      { 100 + static_cast<std::uint32_t>(n), now - milliseconds(1), now },
      now);
  }
  for (std::size_t from = 0; from < kInstances; ++from) {
    for (std::size_t to = 0; to < kInstances; ++to) {
      pass(from, to);
    }
  }
  RC_ASSERT(fleet[kInstances - 1].VerdictOf(kContent, now) ==
            ContentVerdict::Quarantined);
}

// Guards against an instance that starts and lets a crashing content through,
// because runs that followed each other at once overlap in what it is told.
RC_GTEST_PROP(CrashQuarantine, TellsRunsThatFollowEachOtherAtOnce, ())
{
  auto quarantine = MakeQuarantine();
  auto now = kStart;
  for (std::uint32_t n = 0; n < 3; ++n) {
    const auto sent = now;
    now += std::chrono::microseconds(*rc::gen::inRange(100, 3000));
    quarantine.OnServerEnded(kContent, { n, sent, now }, now);
    now += std::chrono::nanoseconds(*rc::gen::inRange(0, 5000));
  }
  now += std::chrono::nanoseconds(*rc::gen::inRange(0, 9'000'000));
  auto other = MakeQuarantine("gw-1");
  const auto notices =
    DecodeCrashNotices(EncodeCrashNotices(quarantine.AllNotices(now)));
  RC_ASSERT(notices.has_value());
  other.Merge(*notices, now + milliseconds(1));
  RC_ASSERT(other.VerdictOf(kContent, now) == ContentVerdict::Quarantined);
}

// Guards against a crash that others never hear of, because the same server ran
// more contents when it ended than a round tells.
TEST(CrashQuarantine, TellsEachContentOfAnEndedServer)
{
  constexpr int kContents = 10;
  auto quarantine = MakeQuarantine();
  auto other = MakeQuarantine("gw-1");
  for (int n = 0; n < kContents; ++n) {
    quarantine.OnServerEnded(
      ContentIdOf("GET", "a", "/" + std::to_string(n), ""),
      { 1, kStart - milliseconds(5), kStart },
      kStart);
  }
  for (int round = 0; round < 3; ++round) {
    const auto now = kStart + round * milliseconds(300);
    other.Merge(quarantine.RecentNotices(now), now);
  }
  EXPECT_EQ(other.size(), static_cast<std::size_t>(kContents));
}

// Guards against the run that matters being left out: a server that ended may
// have had the content twice, once since before the end of another server.
TEST(CrashQuarantine, CountsTheLatestRunOfAServer)
{
  auto quarantine = MakeQuarantine();
  Crash(quarantine, 1, 100);
  const auto ended = kStart + milliseconds(200);
  quarantine.OnServerEnded(kContent, { 2, kStart, ended }, ended);
  EXPECT_EQ(quarantine.OnServerEnded(
              kContent, { 2, kStart + milliseconds(150), ended }, ended),
            2U);
}

// Guards against a table that grows with each content, and against proven
// contents that give way to single crashes.
TEST(CrashQuarantine, IsBoundedAndKeepsWhatIsProven)
{
  auto quarantine = MakeQuarantine();
  for (int n = 0; n < 3; ++n) {
    Crash(quarantine, static_cast<std::uint32_t>(n), 100 * n);
  }
  const auto now = kStart + seconds(1);
  for (std::uint32_t n = 0; n < 3000; ++n) {
    const auto other =
      ContentIdOf("GET", "shop.example", "/" + std::to_string(n), "");
    quarantine.OnServerEnded(other, { 1000 + n, now, now }, now);
  }
  EXPECT_LE(quarantine.size(), CrashQuarantine::Options{}.maxContents);
  EXPECT_EQ(quarantine.VerdictOf(kContent, now), ContentVerdict::Quarantined);
  EXPECT_EQ(quarantine.AllNotices(now).size(), 1U);
  EXPECT_LE(quarantine.RecentNotices(now).size(), 16U);
}

// Guards against datagrams of others that end the process or are half applied.
TEST(CrashQuarantine, RejectsMalformedNotices)
{
  for (const auto* text : { "",
                            "[]",
                            "{}",
                            "{\"crashes\":7}",
                            "{\"crashes\":[7]}",
                            "{\"crashes\":[[\"00\",null]]}",
                            "{\"crashes\":[[\"00112233445566778899aabbccddeeff"
                            "\",null,1,2]]}",
                            "{\"crashes\":[[\"00112233445566778899aabbccddeeff"
                            "\",null,1,-2,3]]}",
                            "{\"crashes\":[[\"00112233445566778899aabbccddeeff"
                            "\",1e300,1,2,3]]}",
                            "{\"crashes\":[],\"unproven\":7}",
                            "{\"crashes\":[],\"unproven\":[[\"00\"]]}",
                            "{\"crashes\":[],\"unproven\":[[\"00112233445566"
                            "778899aabbccddeeff\",1,2]]}",
                            "{\"crashes\":[],\"trials\":[[]]}",
                            "{\"crashes\":[],\"trials\":[[\"00112233445566778"
                            "899aabbccddeeff\",-1]]}" }) {
    EXPECT_FALSE(DecodeCrashNotices(text)) << text;
  }
}

// Guards against a connection that broke off being taken for a server that
// ended, and against ends that are missed because the next run is up at once.
TEST(CutRuns, ReportsRunsOnlyOnceTheServerHasEnded)
{
  CutRuns runs;
  EXPECT_FALSE(runs.IsWaiting(kStart));
  runs.Add({ kContent, kStart, kStart + milliseconds(10) });
  EXPECT_TRUE(runs.IsWaiting(kStart + seconds(1)));
  // An answer to a request that was sent before the cut proves nothing.
  runs.OnAnswered(kStart + milliseconds(5));
  EXPECT_EQ(runs.TakeEnded(kStart + seconds(1)).size(), 1U);
  EXPECT_TRUE(runs.TakeEnded(kStart + seconds(1)).empty());
  runs.Add({ kContent, kStart, kStart + milliseconds(10) });
  runs.OnAnswered(kStart + milliseconds(20));
  EXPECT_TRUE(runs.TakeEnded(kStart + seconds(1)).empty());
  runs.Add({ kContent, kStart, kStart + milliseconds(10) });
  const auto end = kStart + milliseconds(10) + kServerEndProofTime;
  EXPECT_TRUE(runs.IsWaiting(end - milliseconds(1)));
  EXPECT_FALSE(runs.IsWaiting(end));
  EXPECT_TRUE(runs.TakeEnded(end).empty());
}

// Guards against connections that are opened, time after time, to servers which
// are late because they have too much to do.
TEST(CutRuns, AreProbedForAShortTimeAfterConnectionsThatBrokeOff)
{
  CutRuns runs;
  EXPECT_FALSE(runs.ShouldProbe(kStart));
  runs.Add({ kContent, kStart, kStart + milliseconds(10), false });
  EXPECT_TRUE(runs.IsWaiting(kStart + milliseconds(10)));
  EXPECT_FALSE(runs.ShouldProbe(kStart + milliseconds(10)));
  runs.Add({ kContent, kStart, kStart + milliseconds(20), true });
  runs.Add({ kContent, kStart, kStart + milliseconds(30), false });
  const auto end = kStart + milliseconds(20) + kServerProbeTime;
  EXPECT_TRUE(runs.ShouldProbe(end - milliseconds(1)));
  EXPECT_FALSE(runs.ShouldProbe(end));
  EXPECT_TRUE(runs.IsWaiting(end));

  const auto next = end + milliseconds(1);
  runs.Add({ kContent, kStart, next, true });
  for (unsigned n = 0; n < kMaxServerProbes; ++n) {
    EXPECT_TRUE(runs.ShouldProbe(next));
    runs.OnProbe();
  }
  EXPECT_FALSE(runs.ShouldProbe(next));
  runs.Add({ kContent, kStart, next, true });
  EXPECT_TRUE(runs.ShouldProbe(next));
}

// Guards against a query that ends a second server of each shard before it is
// known whether the first ones ended because of it.
TEST(FanoutExchange, SendsOneShardAtATimeWhenServersBreakOffBeforeAnyAnswer)
{
  TestGateway fixture;
  const auto lose = [](auto&) { return Reaction{ "", {}, false, true }; };
  constexpr std::size_t kShards = 8;
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  std::vector<std::string> shards;
  for (std::size_t n = 0; n < kShards; ++n) {
    shards.push_back("s" + std::to_string(n));
    for (int replica = 0; replica < 2; ++replica) {
      servers.push_back(
        std::make_unique<ScriptedServer>(fixture.process.context, lose));
      fixture.AddServer(shards.back() + "-" + std::to_string(replica),
                        shards.back(),
                        servers.back()->Address());
    }
  }
  fixture.Publish({ TestGateway::FanoutRoute(shards, 0.5) });
  EXPECT_EQ(fixture.Ask("/all/a").status, 504U);
  std::size_t sends = 0;
  for (const auto& it : servers) {
    sends += it->Requests().size();
  }
  // All shards once, the retry of the first one that broke off, and one more.
  EXPECT_LE(sends, kShards + 2);
}

} // namespace bronzedeal::gateway::test
