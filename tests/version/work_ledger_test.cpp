#include "bronzedeal/version/work_ledger.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace bronzedeal::version {
namespace {

// Guards against counts that are lost or kept when tokens move, change or end.
TEST(WorkLedger, CountsByVersionSelectorDomainAndKind)
{
  WorkLedger ledger;
  auto first = ledger.Begin(4, "search", "fd-a", WorkKind::Queued);
  auto second = ledger.Begin(4, "search", "fd-a", WorkKind::Queued);
  auto third = ledger.Begin(5, "orders", "fd-b", WorkKind::Admitted);
  first.Change(WorkKind::InFlight);
  const std::vector<WorkCount> expected = {
    { 4, "search", "fd-a", WorkKind::Queued, 1 },
    { 4, "search", "fd-a", WorkKind::InFlight, 1 },
  };
  EXPECT_EQ(ledger.CountsBelow(5), expected);
  EXPECT_EQ(ledger.Counts().size(), 3U);
  EXPECT_EQ(ledger.OldestVersion(), 4U);

  auto moved = std::move(first);
  // NOLINTBEGIN(bugprone-use-after-move): a moved-from token is empty.
  EXPECT_FALSE(first);
  first.End();
  first.Change(WorkKind::Hedged);
  // NOLINTEND(bugprone-use-after-move)
  EXPECT_EQ(ledger.Total(), 3U);
  moved = std::move(second);
  EXPECT_EQ(ledger.Total(), 2U) << "the overwritten token ends its count";
  moved.End();
  moved.End();
  EXPECT_TRUE(ledger.CountsBelow(5).empty());
  EXPECT_EQ(ledger.OldestVersion(), 5U);
  third.End();
  EXPECT_EQ(ledger.OldestVersion(), std::nullopt);
  EXPECT_EQ(ToString(WorkKind::Unconfirmed), "unconfirmed");
}

// Guards against a claim of completeness while work under a former version
// changes its kind, and against lost updates and use of a removed cell.
TEST(WorkLedger, NeverMissesWorkInConcurrentUse)
{
  constexpr int kThreads = 3;
  constexpr int kRounds = 20'000;
  WorkLedger ledger;
  auto held = ledger.Begin(1, "s", "fd-a", WorkKind::Admitted);
  std::atomic<int> running{ kThreads };
  std::vector<std::thread> threads;
  threads.reserve(kThreads + 1);
  for (int n = 0; n < kThreads; ++n) {
    threads.emplace_back([&] {
      for (ConfigVersion it = 2; it < kRounds; ++it) {
        auto token = ledger.Begin(it / 64, "s", "fd-a", WorkKind::Queued);
        token.Change(WorkKind::InFlight);
      }
      --running;
    });
  }
  threads.emplace_back([&] {
    while (running > 0) {
      held.Change(WorkKind::Unconfirmed);
      held.Change(WorkKind::Admitted);
    }
  });
  bool missed = false;
  while (running > 0) {
    missed = missed || ledger.CountsBelow(2).empty();
  }
  for (auto& it : threads) {
    it.join();
  }
  EXPECT_FALSE(missed);
  EXPECT_EQ(ledger.Total(), 1U);
  EXPECT_EQ(ledger.Counts().size(), 1U);
}

} // namespace
} // namespace bronzedeal::version
