#include "bronzedeal/process/withdrawal_report.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bronzedeal::process {
namespace {

TimePoint Ms(int aTime)
{
  return TimePoint(milliseconds(aTime));
}

// A report on the withdrawal of versions below 2 with the records of six
// instances. Leases of 1.5 s and work of 1 s, with 1% clock drift, may last for
// 2,525 ms after the last grant.
struct ReportFixture
{
  ReportFixture()
  {
    for (int i = 0; i < 6; ++i) {
      const auto id = fmt::format("entry-{}", i);
      const auto domain = fmt::format("fd-{}", i % 3);
      roster.push_back({ id, "", "", domain, "r1", false });
      members.push_back({ .id = id,
                          .incarnation = 1,
                          .sequence = 1,
                          .configVersion = 2,
                          .settledVersion = 2 });
    }
    report.Track(2, Ms(0));
  }

  // Observes every 100 ms from the last time until `aTime`, then evaluates.
  WithdrawalStatus EvaluateAt(int aTime)
  {
    while (nowMs < aTime) {
      nowMs += 100;
      WithdrawalInputs inputs;
      inputs.rosterRevision = 1;
      inputs.roster = roster;
      inputs.members = members;
      inputs.epoch = ++epoch;
      inputs.slices = slices;
      report.Observe(inputs, Ms(nowMs));
    }
    return report.Evaluate(2, Ms(nowMs));
  }

  static bool WaitsFor(const WithdrawalStatus& aStatus,
                       WaitReason aReason,
                       const InstanceId& aInstance = "")
  {
    return std::any_of(
      aStatus.waiting.begin(), aStatus.waiting.end(), [&](const auto& aIt) {
        return aIt.reason == aReason && aIt.instance == aInstance;
      });
  }

  std::vector<RosterEntry> roster;
  std::vector<Member> members;
  std::vector<SliceId> slices{ { "fd-0", 0 }, { "fd-1", 0 } };
  WithdrawalReport report;
  std::uint64_t epoch = 0;
  int nowMs = 0;
};

// Guards against completion before leases under the former version have
// expired; their holders may be unknown.
TEST(WithdrawalReport, WaitsUntilLeasesHaveExpired)
{
  ReportFixture it;
  auto status = it.EvaluateAt(2600);
  EXPECT_FALSE(status.complete);
  ASSERT_EQ(status.waiting.size(), 1U);
  EXPECT_EQ(status.waiting[0].reason, WaitReason::LeasesRunning);
  EXPECT_EQ(status.waiting[0].since, Ms(100));
  EXPECT_TRUE(it.report.TakeCompleted().empty());
  status = it.EvaluateAt(2700);
  EXPECT_TRUE(status.complete);
  EXPECT_EQ(it.report.TakeCompleted(), (std::vector<ConfigVersion>{ 2 }));
  EXPECT_TRUE(it.report.Evaluate(1, Ms(2700)).complete)
    << "completion includes lower versions";
  EXPECT_FALSE(it.report.Evaluate(3, Ms(2700)).complete);
}

// Guards against completion while too few witnesses refuse the former version.
TEST(WithdrawalReport, WaitsForWitnessQuorumAndRosterMajority)
{
  ReportFixture it;
  for (const auto i : { 0, 1, 2 }) {
    it.members[i].configVersion = 1;
    it.members[i].status = MemberStatus::Dead;
  }
  auto status = it.EvaluateAt(10000);
  EXPECT_FALSE(status.complete);
  EXPECT_TRUE(it.WaitsFor(status, WaitReason::WitnessQuorum));
  EXPECT_TRUE(it.WaitsFor(status, WaitReason::RosterMajority));
  EXPECT_TRUE(it.WaitsFor(status, WaitReason::Silent, "entry-0"));
  it.members[0] = it.members[3];
  it.members[0].id = "entry-0";
  // Now 4 of 6 instances report the version, and the report waits for the two
  // dead ones until their leases have expired.
  status = it.EvaluateAt(10200);
  EXPECT_FALSE(status.complete);
  EXPECT_FALSE(it.WaitsFor(status, WaitReason::WitnessQuorum));
  EXPECT_TRUE(it.WaitsFor(status, WaitReason::Silent, "entry-1"));
  EXPECT_FALSE(it.EvaluateAt(12500).complete);
  EXPECT_TRUE(it.EvaluateAt(12700).complete);
}

// Guards against completion while a live instance has unfinished work or an
// older version, however long that takes.
TEST(WithdrawalReport, WaitsForLiveInstancesWithoutATimeLimit)
{
  ReportFixture it;
  it.members[0].configVersion = 1;
  it.members[1].settledVersion = 1;
  auto status = it.EvaluateAt(20000);
  EXPECT_FALSE(status.complete);
  EXPECT_TRUE(it.WaitsFor(status, WaitReason::OlderVersion, "entry-0"));
  EXPECT_TRUE(it.WaitsFor(status, WaitReason::UnfinishedWork, "entry-1"));
  EXPECT_EQ(status.waiting[0].since, Ms(0));
  it.members[0].configVersion = 2;
  it.members[0].settledVersion = 2;
  it.members[1].settledVersion = 2;
  it.report.SetUnfinishedWork("entry-2", 1, 2, { .unconfirmed = 3 });
  status = it.EvaluateAt(20100);
  EXPECT_TRUE(it.WaitsFor(status, WaitReason::UnfinishedWork, "entry-2"));
  it.report.SetUnfinishedWork("entry-2", 1, 2, {});
  EXPECT_TRUE(it.EvaluateAt(20200).complete);
}

// Guards against counting a period that was not observed continuously, or in
// which witnesses restarted.
TEST(WithdrawalReport, DiscardsEvidenceAfterGapsAndRestarts)
{
  ReportFixture it;
  it.EvaluateAt(2000);
  it.nowMs = 3100;
  EXPECT_FALSE(it.EvaluateAt(3200).complete);
  EXPECT_FALSE(it.EvaluateAt(5700).complete);
  const auto saved = it.members;
  for (const auto i : { 0, 1, 2 }) {
    it.members[i].incarnation = 2;
    it.members[i].configVersion = 0;
    it.members[i].settledVersion = 0;
  }
  EXPECT_FALSE(it.EvaluateAt(5800).complete);
  it.members = saved;
  EXPECT_FALSE(it.EvaluateAt(8300).complete);
  EXPECT_TRUE(it.EvaluateAt(8500).complete);
}

// Guards against dropping the slices of a removed failure domain: a holder with
// the former version may still act on them.
TEST(WithdrawalReport, KeepsTrackingFormerSlices)
{
  ReportFixture it;
  it.EvaluateAt(100);
  it.slices.resize(1);
  for (auto& member : it.members) {
    member.configVersion = 0;
  }
  const auto status = it.EvaluateAt(200);
  const auto quorums = std::count_if(
    status.waiting.begin(), status.waiting.end(), [](const auto& aIt) {
      return aIt.reason == WaitReason::WitnessQuorum;
    });
  EXPECT_EQ(quorums, 2);
}

} // namespace
} // namespace bronzedeal::process
