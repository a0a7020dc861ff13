#include "bronzedeal/process/config_distributor.hpp"

#include "world.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

namespace bronzedeal::process {
namespace {

TimePoint Ms(int aTime)
{
  return TimePoint(milliseconds(aTime));
}

// A document is its version, then any text; "bad" makes it invalid.
std::string Text(int aVersion, const std::string& aRest = "")
{
  return fmt::format("{} with a long common part {}", aVersion, aRest);
}

// A patch is the new version, and the rest is kept.
ConfigFunctions Functions()
{
  auto functions = TextFunctions();
  functions.makePatch = [](std::string_view, std::string_view aTo) {
    return std::string(aTo.substr(0, aTo.find(' ')));
  };
  functions.applyPatch = [](std::string_view aText, std::string_view aPatch) {
    return std::optional(std::string(aPatch) +
                         std::string(aText.substr(aText.find(' '))));
  };
  return functions;
}

struct Distribution
{
  Distribution() { Members(3); }

  void Members(std::size_t aCount)
  {
    members.clear();
    for (std::size_t i = 0; i < aCount; ++i) {
      members.push_back(
        { .id = fmt::format("entry-{}", i), .incarnation = 1, .sequence = 1 });
    }
    contact = { aCount, aCount, aCount, aCount };
  }

  void Has(std::size_t aMember, int aVersion, const std::string& aText)
  {
    members[aMember].configVersion = static_cast<ConfigVersion>(aVersion);
    members[aMember].configHash = HashFor(aText);
  }

  void Tick(int aTime)
  {
    actions = {};
    distributor.Tick(Ms(aTime), { members, contact, window }, actions);
  }

  void Serve(ServiceReadStatus aStatus, const std::string& aText, int aTime)
  {
    actions = {};
    distributor.OnServiceReadResult({ aStatus, aText }, Ms(aTime), actions);
  }

  void Content(const ConfigContentMessage& aContent, int aTime = 0)
  {
    actions = {};
    distributor.Receive("entry-1", aContent, Ms(aTime), actions);
  }

  static ConfigContentMessage Whole(int aVersion, const std::string& aText)
  {
    return { static_cast<ConfigVersion>(aVersion), HashFor(aText), 0, aText };
  }

  std::size_t Notes(AuditKind aKind) const
  {
    return static_cast<std::size_t>(std::count_if(
      actions.auditNotes.begin(), actions.auditNotes.end(), [&](auto& aIt) {
        return aIt.kind == aKind;
      }));
  }

  std::optional<ConfigPullMessage> Pull() const
  {
    for (const auto& it : actions.messages) {
      if (const auto* pull = std::get_if<ConfigPullMessage>(&it.body)) {
        return *pull;
      }
    }
    return std::nullopt;
  }

  std::vector<Member> members;
  ContactCounts contact;
  std::uint64_t window = 1;
  ConfigActions actions;
  ConfigDistributor distributor{ "entry-0", Functions() };
};

// Guards against too many readers, or always the same ones.
TEST(SelectReaders, RotatesAndIsBounded)
{
  std::vector<InstanceId> live;
  live.reserve(20);
  for (int i = 0; i < 20; ++i) {
    live.push_back(fmt::format("entry-{}", i));
  }
  std::set<InstanceId> seen;
  for (std::uint64_t window = 0; window < 60; ++window) {
    const auto readers = SelectReaders(window, live);
    EXPECT_EQ(readers.size(), 3U);
    seen.insert(readers.begin(), readers.end());
  }
  EXPECT_EQ(seen.size(), 20U);
  // Each instance decides for itself; exactly those three must read.
  int reading = 0;
  for (int i = 0; i < 20; ++i) {
    Distribution it;
    it.Members(20);
    it.distributor = ConfigDistributor(live[i], Functions());
    it.Tick(0);
    reading += it.actions.read ? 1 : 0;
  }
  EXPECT_EQ(reading, 3);
}

// Guards against a version in force that falls, and against two documents
// under one version that go unnoticed.
TEST(ConfigDistributor, IgnoresLowerAndRefusesConflicts)
{
  Distribution it;
  it.Tick(0);
  it.Serve(ServiceReadStatus::Document, Text(5), 1);
  EXPECT_EQ(it.actions.accepted.size(), 1U);
  it.Serve(ServiceReadStatus::Document, Text(4), 2);
  EXPECT_TRUE(it.actions.accepted.empty());
  it.Content(it.Whole(4, Text(4)));
  EXPECT_TRUE(it.actions.accepted.empty());
  EXPECT_EQ(it.Notes(AuditKind::ConfigConflict), 0U);
  it.Content(it.Whole(5, Text(5, "other")));
  EXPECT_TRUE(it.actions.accepted.empty());
  EXPECT_EQ(it.Notes(AuditKind::ConfigConflict), 1U);
  it.Has(2, 5, Text(5, "third"));
  it.Tick(50);
  EXPECT_EQ(it.Notes(AuditKind::ConfigConflict), 1U);
  it.Tick(100);
  EXPECT_EQ(it.Notes(AuditKind::ConfigConflict), 0U)
    << "one alarm per document";
  EXPECT_EQ(it.distributor.CurrentDocument()->version, 5U);
}

// Guards against an invalid document that is put in force, pulled again and
// again, or that stops the reading of later ones.
TEST(ConfigDistributor, RemembersInvalid)
{
  Distribution it;
  it.Tick(0);
  it.Serve(ServiceReadStatus::Document, Text(5, "bad"), 1);
  EXPECT_TRUE(it.actions.accepted.empty());
  EXPECT_EQ(it.Notes(AuditKind::ConfigRejected), 1U);
  it.Has(1, 5, Text(5, "bad"));
  it.Tick(300);
  EXPECT_FALSE(it.Pull());
  ASSERT_TRUE(it.actions.read);
  EXPECT_EQ(it.actions.read->afterVersion, 5U);
  it.Serve(ServiceReadStatus::Document, Text(6), 310);
  EXPECT_EQ(it.actions.accepted.size(), 1U);
}

// Guards against damaged content that makes the genuine document refused.
TEST(ConfigDistributor, DamagedContentIsNotHeldAgainstTheDocument)
{
  Distribution it;
  it.Tick(0);
  auto damaged = it.Whole(5, Text(5));
  damaged.text += "!";
  it.Content(damaged);
  EXPECT_TRUE(it.actions.accepted.empty());
  EXPECT_EQ(it.Notes(AuditKind::ConfigRejected), 1U);
  it.Content(it.Whole(5, Text(5)));
  EXPECT_EQ(it.actions.accepted.size(), 1U);
}

// Guards against whole documents where a patch would do, and against a puller
// that can't go on when a patch does not apply.
TEST(ConfigDistributor, SendsPatchesAndFallsBackToWhole)
{
  Distribution it;
  it.Tick(0);
  for (int version = 1; version <= 6; ++version) {
    it.Content(it.Whole(version, Text(version)));
  }
  const auto answer = [&](int aVersion, const std::string& aText) {
    it.actions = {};
    it.distributor.Receive(
      "entry-2",
      ConfigPullMessage{ static_cast<ConfigVersion>(aVersion), HashFor(aText) },
      Ms(1),
      it.actions);
    return std::get<ConfigContentMessage>(it.actions.messages.at(0).body);
  };
  EXPECT_EQ(answer(2, Text(2)).baseVersion, 2U);
  EXPECT_EQ(answer(2, Text(2)).text, "6");
  EXPECT_EQ(answer(1, Text(1)).baseVersion, 0U) << "only 4 are kept";
  EXPECT_EQ(answer(2, Text(2, "x")).baseVersion, 0U) << "another document";

  Distribution puller;
  puller.Tick(0);
  puller.Content(it.Whole(5, Text(5)));
  puller.Content({ 6, HashFor(Text(6)), 5, "6" });
  ASSERT_EQ(puller.actions.accepted.size(), 1U);
  EXPECT_EQ(puller.actions.accepted[0].text, Text(6));
  puller.Content({ 7, HashFor(Text(7, "changed")), 6, "7" });
  EXPECT_TRUE(puller.actions.accepted.empty());
  puller.Has(1, 7, Text(7, "changed"));
  puller.Tick(50);
  ASSERT_TRUE(puller.Pull());
  EXPECT_EQ(puller.Pull()->haveVersion, 0U) << "asks for the whole document";
}

// Guards against a pull that waits for ever on a peer that does not answer, and
// against many pulls at a time.
TEST(ConfigDistributor, RepeatsPullsElsewhere)
{
  Distribution it;
  it.Has(1, 5, Text(5));
  it.Has(2, 5, Text(5));
  it.Tick(0);
  ASSERT_EQ(it.actions.messages.size(), 1U);
  const auto first = it.actions.messages[0].to;
  it.Tick(450);
  EXPECT_TRUE(it.actions.messages.empty());
  it.Tick(500);
  ASSERT_EQ(it.actions.messages.size(), 1U);
  EXPECT_NE(it.actions.messages[0].to, first);
}

// Guards against a service in trouble that is read ever more often.
TEST(ConfigDistributor, BacksOff)
{
  Distribution it;
  int reads = 0;
  for (int time = 0; time < 60000; time += 50) {
    it.Tick(time);
    if (it.actions.read) {
      ++reads;
      it.Serve(ServiceReadStatus::Failed, "", time);
    }
  }
  // 200 ms doubled up to 10 s, each between half and all of it.
  EXPECT_GE(reads, 10);
  EXPECT_LE(reads, 20);
}

// Guards against a reader that stops for good when an answer is lost.
TEST(ConfigDistributor, GivesUpOnAnOverdueRead)
{
  Distribution it;
  it.Tick(0);
  ASSERT_TRUE(it.actions.read);
  it.Tick(29999);
  EXPECT_FALSE(it.actions.cancelRead);
  it.Tick(30000);
  EXPECT_TRUE(it.actions.cancelRead);
  it.Tick(30200);
  EXPECT_TRUE(it.actions.read);
}

// Guards against a fresh or rejoining instance that acts before it knows the
// highest version that a majority has.
TEST(ConfigDistributor, JoinsWithTheHighestVersionHeard)
{
  Distribution it;
  it.contact = { 3, 3, 1, 1 };
  it.Tick(0);
  it.Serve(ServiceReadStatus::Document, Text(5), 1);
  it.Tick(50);
  EXPECT_FALSE(it.distributor.IsReady()) << "no majority";
  it.contact = { 3, 3, 2, 2 };
  it.Tick(100);
  it.Tick(1050);
  EXPECT_FALSE(it.distributor.IsReady()) << "others may still report";
  it.Has(2, 6, Text(6));
  it.Tick(1100);
  EXPECT_FALSE(it.distributor.IsReady()) << "a higher version was heard";
  it.Content(it.Whole(6, Text(6)), 1110);
  it.Tick(1150);
  EXPECT_TRUE(it.distributor.IsReady());
  it.distributor.Rejoin();
  EXPECT_FALSE(it.distributor.IsReady());
  it.contact = { 3, 3, 3, 3 };
  it.Tick(1200);
  EXPECT_TRUE(it.distributor.IsReady()) << "all have reported";
}

} // namespace
} // namespace bronzedeal::process
