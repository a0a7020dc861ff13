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

// Six instances of which the report sees the records. The claim is for version
// 2; a lease of 1.5 s and work of 1 s give a bound of 2,525 ms.
struct Reporting
{
  Reporting()
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

  // Observes every 100 ms from the last time on, and evaluates.
  WithdrawalStatus At(int aTime)
  {
    while (now < aTime) {
      now += 100;
      WithdrawalInputs inputs;
      inputs.rosterRevision = 1;
      inputs.roster = roster;
      inputs.members = members;
      inputs.epoch = ++epoch;
      inputs.slices = slices;
      report.Observe(inputs, Ms(now));
    }
    return report.Evaluate(2, Ms(now));
  }

  static bool Waits(const WithdrawalStatus& aStatus,
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
  int now = 0;
};

// Guards against a claim before leases under the former version have ended:
// their holders may be unknown.
TEST(WithdrawalReport, WaitsForLeasesToEnd)
{
  Reporting it;
  auto status = it.At(2600);
  EXPECT_FALSE(status.complete);
  ASSERT_EQ(status.waiting.size(), 1U);
  EXPECT_EQ(status.waiting[0].reason, WaitReason::LeasesRunning);
  EXPECT_EQ(status.waiting[0].since, Ms(100));
  EXPECT_TRUE(it.report.TakeCompleted().empty());
  status = it.At(2700);
  EXPECT_TRUE(status.complete);
  EXPECT_EQ(it.report.TakeCompleted(), (std::vector<ConfigVersion>{ 2 }));
  EXPECT_TRUE(it.report.Evaluate(1, Ms(2700)).complete)
    << "includes lower ones";
  EXPECT_FALSE(it.report.Evaluate(3, Ms(2700)).complete);
}

// Guards against a claim while too few witnesses refuse the former version.
TEST(WithdrawalReport, WaitsForQuorumAndMajority)
{
  Reporting it;
  for (const auto i : { 0, 1, 2 }) {
    it.members[i].configVersion = 1;
    it.members[i].status = MemberStatus::Dead;
  }
  auto status = it.At(10000);
  EXPECT_FALSE(status.complete);
  EXPECT_TRUE(it.Waits(status, WaitReason::WitnessQuorum));
  EXPECT_TRUE(it.Waits(status, WaitReason::RosterMajority));
  EXPECT_TRUE(it.Waits(status, WaitReason::Silent, "entry-0"));
  it.members[0] = it.members[3];
  it.members[0].id = "entry-0";
  // Now 4 of 6 report it, and the two dead ones are waited for until their
  // leases have ended.
  status = it.At(10200);
  EXPECT_FALSE(status.complete);
  EXPECT_FALSE(it.Waits(status, WaitReason::WitnessQuorum));
  EXPECT_TRUE(it.Waits(status, WaitReason::Silent, "entry-1"));
  EXPECT_FALSE(it.At(12500).complete);
  EXPECT_TRUE(it.At(12700).complete);
}

// Guards against a claim while a live instance has unfinished work or an older
// version, however long that takes.
TEST(WithdrawalReport, WaitsForLiveInstances)
{
  Reporting it;
  it.members[0].configVersion = 1;
  it.members[1].settledVersion = 1;
  auto status = it.At(20000);
  EXPECT_FALSE(status.complete);
  EXPECT_TRUE(it.Waits(status, WaitReason::OlderVersion, "entry-0"));
  EXPECT_TRUE(it.Waits(status, WaitReason::UnfinishedWork, "entry-1"));
  EXPECT_EQ(status.waiting[0].since, Ms(0));
  it.members[0].configVersion = 2;
  it.members[0].settledVersion = 2;
  it.members[1].settledVersion = 2;
  it.report.SetUnfinishedWork("entry-2", 1, 2, { .unconfirmed = 3 });
  status = it.At(20100);
  EXPECT_TRUE(it.Waits(status, WaitReason::UnfinishedWork, "entry-2"));
  it.report.SetUnfinishedWork("entry-2", 1, 2, {});
  EXPECT_TRUE(it.At(20200).complete);
}

// Guards against evidence that is counted although the reporter did not see
// the whole time, or although a witness restarted in between.
TEST(WithdrawalReport, StartsAgainAfterGapsAndRestarts)
{
  Reporting it;
  it.At(2000);
  it.now = 3100;
  EXPECT_FALSE(it.At(3200).complete);
  EXPECT_FALSE(it.At(5700).complete);
  const auto saved = it.members;
  for (const auto i : { 0, 1, 2 }) {
    it.members[i].incarnation = 2;
    it.members[i].configVersion = 0;
    it.members[i].settledVersion = 0;
  }
  EXPECT_FALSE(it.At(5800).complete);
  it.members = saved;
  EXPECT_FALSE(it.At(8300).complete);
  EXPECT_TRUE(it.At(8500).complete);
}

// Guards against slices of a removed failure domain that are forgotten: a
// holder with the former version may still act on them.
TEST(WithdrawalReport, KeepsFormerSlices)
{
  Reporting it;
  it.At(100);
  it.slices.resize(1);
  for (auto& member : it.members) {
    member.configVersion = 0;
  }
  const auto status = it.At(200);
  const auto quorums = std::count_if(
    status.waiting.begin(), status.waiting.end(), [](const auto& aIt) {
      return aIt.reason == WaitReason::WitnessQuorum;
    });
  EXPECT_EQ(quorums, 2);
}

} // namespace
} // namespace bronzedeal::process
