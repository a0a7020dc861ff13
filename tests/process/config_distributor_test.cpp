#include "bronzedeal/process/config_distributor.hpp"

#include "fleet_simulation.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

namespace bronzedeal::process {
namespace {

TimePoint Ms(int aTime)
{
  return TimePoint(milliseconds(aTime));
}

// A test document: its version and then any text; "bad" makes it invalid.
std::string DocumentText(int aVersion, const std::string& aRest = "")
{
  return fmt::format("{} with a long common part {}", aVersion, aRest);
}

// Patches consist of the new version; the rest of the document is kept.
ConfigFunctions PatchingFunctions()
{
  auto functions = TestConfigFunctions();
  functions.makePatch = [](std::string_view, std::string_view aTo) {
    return std::string(aTo.substr(0, aTo.find(' ')));
  };
  functions.applyPatch = [](std::string_view aText, std::string_view aPatch) {
    return std::optional(std::string(aPatch) +
                         std::string(aText.substr(aText.find(' '))));
  };
  return functions;
}

struct DistributorFixture
{
  DistributorFixture() { SetMembers(3); }

  void SetMembers(std::size_t aCount)
  {
    members.clear();
    for (std::size_t i = 0; i < aCount; ++i) {
      members.push_back(
        { .id = fmt::format("entry-{}", i), .incarnation = 1, .sequence = 1 });
    }
    contact = { aCount, aCount, aCount, aCount };
  }

  void SetMemberDocument(std::size_t aMember,
                         int aVersion,
                         const std::string& aText)
  {
    members[aMember].configVersion = static_cast<ConfigVersion>(aVersion);
    members[aMember].configHash = HashOfTestDocument(aText);
  }

  void Tick(int aTime)
  {
    actions = {};
    distributor.Tick(Ms(aTime), { members, contact, window }, actions);
  }

  void AnswerRead(ServiceReadStatus aStatus,
                  const std::string& aText,
                  int aTime)
  {
    actions = {};
    distributor.OnServiceReadResult({ aStatus, aText }, Ms(aTime), actions);
  }

  void ReceiveContent(const ConfigContentMessage& aContent, int aTime = 0)
  {
    actions = {};
    distributor.Receive("entry-1", aContent, Ms(aTime), actions);
  }

  static ConfigContentMessage WholeDocument(int aVersion,
                                            const std::string& aText)
  {
    return {
      static_cast<ConfigVersion>(aVersion), HashOfTestDocument(aText), 0, aText
    };
  }

  std::size_t AuditNoteCount(AuditKind aKind) const
  {
    return static_cast<std::size_t>(std::count_if(
      actions.auditNotes.begin(), actions.auditNotes.end(), [&](auto& aIt) {
        return aIt.kind == aKind;
      }));
  }

  std::optional<ConfigPullMessage> SentPull() const
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
  ConfigDistributor distributor{ "entry-0", PatchingFunctions() };
};

// Guards against too many readers of the service, or always the same ones.
TEST(SelectReaders, ReadersRotateAndAreThree)
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
  // Each instance decides independently; exactly three must read.
  int reading = 0;
  for (int i = 0; i < 20; ++i) {
    DistributorFixture it;
    it.SetMembers(20);
    it.distributor = ConfigDistributor(live[i], PatchingFunctions());
    it.Tick(0);
    reading += it.actions.read ? 1 : 0;
  }
  EXPECT_EQ(reading, 3);
}

// Guards against a version in force that decreases, and against two different
// documents of one version that are not reported.
TEST(ConfigDistributor, IgnoresLowerVersionsAndReportsConflicts)
{
  DistributorFixture it;
  it.Tick(0);
  it.AnswerRead(ServiceReadStatus::Document, DocumentText(5), 1);
  EXPECT_EQ(it.actions.accepted.size(), 1U);
  it.AnswerRead(ServiceReadStatus::Document, DocumentText(4), 2);
  EXPECT_TRUE(it.actions.accepted.empty());
  it.ReceiveContent(it.WholeDocument(4, DocumentText(4)));
  EXPECT_TRUE(it.actions.accepted.empty());
  EXPECT_EQ(it.AuditNoteCount(AuditKind::ConfigConflict), 0U);
  it.ReceiveContent(it.WholeDocument(5, DocumentText(5, "other")));
  EXPECT_TRUE(it.actions.accepted.empty());
  EXPECT_EQ(it.AuditNoteCount(AuditKind::ConfigConflict), 1U);
  it.SetMemberDocument(2, 5, DocumentText(5, "third"));
  it.Tick(50);
  EXPECT_EQ(it.AuditNoteCount(AuditKind::ConfigConflict), 1U);
  it.Tick(100);
  EXPECT_EQ(it.AuditNoteCount(AuditKind::ConfigConflict), 0U)
    << "one report per document";
  EXPECT_EQ(it.distributor.CurrentDocument()->version, 5U);
}

// Guards against an invalid document that is put in force, pulled repeatedly,
// or that prevents later documents from being read.
TEST(ConfigDistributor, SkipsAnInvalidDocument)
{
  DistributorFixture it;
  it.Tick(0);
  it.AnswerRead(ServiceReadStatus::Document, DocumentText(5, "bad"), 1);
  EXPECT_TRUE(it.actions.accepted.empty());
  EXPECT_EQ(it.AuditNoteCount(AuditKind::ConfigRejected), 1U);
  it.SetMemberDocument(1, 5, DocumentText(5, "bad"));
  it.Tick(300);
  EXPECT_FALSE(it.SentPull());
  ASSERT_TRUE(it.actions.read);
  EXPECT_EQ(it.actions.read->afterVersion, 5U);
  it.AnswerRead(ServiceReadStatus::Document, DocumentText(6), 310);
  EXPECT_EQ(it.actions.accepted.size(), 1U);
}

// Guards against corrupt content because of which the genuine document is
// rejected later.
TEST(ConfigDistributor, AcceptsADocumentAfterCorruptContent)
{
  DistributorFixture it;
  it.Tick(0);
  auto damaged = it.WholeDocument(5, DocumentText(5));
  damaged.text += "!";
  it.ReceiveContent(damaged);
  EXPECT_TRUE(it.actions.accepted.empty());
  EXPECT_EQ(it.AuditNoteCount(AuditKind::ConfigRejected), 1U);
  it.ReceiveContent(it.WholeDocument(5, DocumentText(5)));
  EXPECT_EQ(it.actions.accepted.size(), 1U);
}

// Guards against whole documents where a patch would suffice, and against a
// puller that obtains no document when a patch does not apply.
TEST(ConfigDistributor, SendsPatchesAndFallsBackToWholeDocuments)
{
  DistributorFixture it;
  it.Tick(0);
  for (int version = 1; version <= 6; ++version) {
    it.ReceiveContent(it.WholeDocument(version, DocumentText(version)));
  }
  const auto answer = [&](int aVersion, const std::string& aText) {
    it.actions = {};
    it.distributor.Receive(
      "entry-2",
      ConfigPullMessage{ static_cast<ConfigVersion>(aVersion),
                         HashOfTestDocument(aText) },
      Ms(1),
      it.actions);
    return std::get<ConfigContentMessage>(it.actions.messages.at(0).body);
  };
  EXPECT_EQ(answer(2, DocumentText(2)).baseVersion, 2U);
  EXPECT_EQ(answer(2, DocumentText(2)).text, "6");
  EXPECT_EQ(answer(1, DocumentText(1)).baseVersion, 0U)
    << "only 4 former ones are kept";
  EXPECT_EQ(answer(2, DocumentText(2, "x")).baseVersion, 0U)
    << "the puller has another document";

  DistributorFixture puller;
  puller.Tick(0);
  puller.ReceiveContent(it.WholeDocument(5, DocumentText(5)));
  puller.ReceiveContent({ 6, HashOfTestDocument(DocumentText(6)), 5, "6" });
  ASSERT_EQ(puller.actions.accepted.size(), 1U);
  EXPECT_EQ(puller.actions.accepted[0].text, DocumentText(6));
  puller.ReceiveContent(
    { 7, HashOfTestDocument(DocumentText(7, "changed")), 6, "7" });
  EXPECT_TRUE(puller.actions.accepted.empty());
  puller.SetMemberDocument(1, 7, DocumentText(7, "changed"));
  puller.Tick(50);
  ASSERT_TRUE(puller.SentPull());
  EXPECT_EQ(puller.SentPull()->haveVersion, 0U)
    << "the whole document is requested";
}

// Guards against a pull that waits for ever for a peer that does not answer,
// and against several pulls at a time.
TEST(ConfigDistributor, RepeatsAnUnansweredPullWithAnotherPeer)
{
  DistributorFixture it;
  it.SetMemberDocument(1, 5, DocumentText(5));
  it.SetMemberDocument(2, 5, DocumentText(5));
  it.Tick(0);
  ASSERT_EQ(it.actions.messages.size(), 1U);
  const auto first = it.actions.messages[0].to;
  it.Tick(450);
  EXPECT_TRUE(it.actions.messages.empty());
  it.Tick(500);
  ASSERT_EQ(it.actions.messages.size(), 1U);
  EXPECT_NE(it.actions.messages[0].to, first);
}

// Guards against overloading a failing service with reads.
TEST(ConfigDistributor, BacksOffAfterFailedReads)
{
  DistributorFixture it;
  int reads = 0;
  for (int time = 0; time < 60000; time += 50) {
    it.Tick(time);
    if (it.actions.read) {
      ++reads;
      it.AnswerRead(ServiceReadStatus::Failed, "", time);
    }
  }
  // The delays double from 200 ms up to 2.45 s, less up to half of each: 24 of
  // 2.45 s fit into the time, or 49 of half of it and four shorter ones.
  EXPECT_GE(reads, 24);
  EXPECT_LE(reads, 54);
}

// Guards against a reader that never reads again when an answer is lost.
TEST(ConfigDistributor, CancelsAndRepeatsAnOverdueRead)
{
  DistributorFixture it;
  it.Tick(0);
  ASSERT_TRUE(it.actions.read);
  it.Tick(3449);
  EXPECT_FALSE(it.actions.cancelRead);
  it.Tick(3450);
  EXPECT_TRUE(it.actions.cancelRead);
  it.Tick(3650);
  EXPECT_TRUE(it.actions.read);
}

// Guards against a document that is published late because the service has lost
// the reads of all readers, in a fleet so small that they never change.
TEST(ConfigDistributor, ReadsAgainInTimeAfterALostRead)
{
  DistributorFixture it;
  std::vector<int> readsAt;
  // Two reads in turn are lost: that before the publication, and a later one
  // whose failure has extended the pause.
  for (int time = 0; readsAt.size() < 3 && time < 60'000; time += 50) {
    it.Tick(time);
    if (it.actions.read) {
      readsAt.push_back(time);
    }
  }
  ASSERT_EQ(readsAt.size(), 3U);
  EXPECT_LT(Ms(readsAt[1] - readsAt[0]), TimePoint(kActivationTime));
  EXPECT_LT(Ms(readsAt[2] - readsAt[1]), TimePoint(kActivationTime));
  const ConfigOptions options;
  EXPECT_LE(options.longPollWait + options.readTimeoutMargin +
              options.backoffMax + options.pullTimeout,
            kActivationTime);
}

// Guards against a starting or rejoining instance that acts before it has the
// highest version known to a majority.
TEST(ConfigDistributor, IsReadyOnlyWithTheHighestReportedVersion)
{
  DistributorFixture it;
  it.contact = { 3, 3, 1, 1 };
  it.Tick(0);
  it.AnswerRead(ServiceReadStatus::Document, DocumentText(5), 1);
  it.Tick(50);
  EXPECT_FALSE(it.distributor.IsReady()) << "no majority has reported";
  it.contact = { 3, 3, 2, 2 };
  it.Tick(100);
  it.Tick(1050);
  EXPECT_FALSE(it.distributor.IsReady()) << "others may still report";
  it.SetMemberDocument(2, 6, DocumentText(6));
  it.Tick(1100);
  EXPECT_FALSE(it.distributor.IsReady()) << "a higher version was reported";
  it.ReceiveContent(it.WholeDocument(6, DocumentText(6)), 1110);
  it.Tick(1150);
  EXPECT_TRUE(it.distributor.IsReady());
  it.distributor.Rejoin();
  EXPECT_FALSE(it.distributor.IsReady());
  it.contact = { 3, 3, 3, 3 };
  it.Tick(1200);
  EXPECT_TRUE(it.distributor.IsReady()) << "all members have reported";
}

} // namespace
} // namespace bronzedeal::process
