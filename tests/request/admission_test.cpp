#include "bronzedeal/request/address_chooser.hpp"
#include "bronzedeal/request/admission.hpp"

#include "support.hpp"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace bronzedeal::request {
namespace {

using enum ResultCode;

struct AdmissionTest : public ::testing::Test
{
  std::vector<Admission::Action> actions;
  TimePoint deadline = kStart + std::chrono::seconds(1);

  static Admission::Options SmallOptions()
  {
    Admission::Options options;
    options.maxInProgress = 4;
    options.maxWaiting = 8;
    return options;
  }
  std::vector<Admission::QueryId> AdmittedQueries()
  {
    std::vector<Admission::QueryId> admitted;
    for (const auto& it : actions) {
      if (const auto* action = std::get_if<Admission::Admit>(&it)) {
        admitted.push_back(action->query);
      }
    }
    return admitted;
  }
  std::map<Admission::QueryId, ResultCode> RefusedQueries()
  {
    std::map<Admission::QueryId, ResultCode> refused;
    for (const auto& it : actions) {
      if (const auto* action = std::get_if<Admission::Refuse>(&it)) {
        refused.emplace(action->query, action->code);
      }
    }
    return refused;
  }
};

// An overloaded customer must not hold every slot, and a longer queue must not
// give its key precedence.
TEST_F(AdmissionTest, OneKeyLeavesSlotsForOthers)
{
  Admission admission(SmallOptions());
  for (std::uint64_t i = 0; i < 6; ++i) {
    admission.Submit(i, "slow", deadline, kStart, actions);
  }
  EXPECT_EQ(AdmittedQueries().size(), 3U);
  admission.Submit(10, "other", deadline, kStart, actions);
  admission.Submit(11, "other", deadline, kStart, actions);
  EXPECT_EQ(AdmittedQueries().back(), 10U);
  actions.clear();
  admission.OnQueryFinished("slow", kStart, actions);
  admission.OnQueryFinished("slow", kStart, actions);
  EXPECT_EQ(AdmittedQueries(), (std::vector<Admission::QueryId>{ 11, 3 }))
    << "the key with the fewest queries in progress is next";
}

// With a standing queue, every query would be answered late although the
// servers are only slightly overloaded.
TEST_F(AdmissionTest, StandingQueueLimitsTheWaitToTheTarget)
{
  Admission admission(SmallOptions());
  for (std::uint64_t i = 0; i < 4; ++i) {
    admission.Submit(i, "a", deadline, kStart, actions);
  }
  EXPECT_EQ(admission.NextTimer(), kStart + milliseconds(100))
    << "a burst may wait for a whole interval";
  admission.Submit(4, "a", deadline, kStart + milliseconds(99), actions);
  actions.clear();
  admission.OnTimer(kStart + milliseconds(100), actions);
  EXPECT_EQ(RefusedQueries(),
            (std::map<std::uint64_t, ResultCode>{ { 3, NotRunOverloaded } }));
  admission.OnTimer(kStart + milliseconds(104), actions);
  EXPECT_EQ(RefusedQueries().size(), 2U)
    << "in a standing queue, a query waits 5 ms";
  EXPECT_FALSE(admission.NextTimer());
}

// The queue must not grow without bound, and a query must not be admitted after
// its deadline.
TEST_F(AdmissionTest, RefusesQueriesBeyondQueueBoundAndDeadline)
{
  Admission admission(SmallOptions());
  for (std::uint64_t i = 0; i < 20; ++i) {
    admission.Submit(i, "a", deadline, kStart, actions);
  }
  EXPECT_EQ(admission.WaitingCount(), 6U);
  EXPECT_EQ(RefusedQueries().size(), 11U);
  actions.clear();
  admission.Submit(30, "b", kStart, kStart, actions);
  admission.Submit(31, "b", kStart + milliseconds(2), kStart, actions);
  admission.Submit(32, "b", kStart + milliseconds(2), kStart, actions);
  admission.OnTimer(kStart + milliseconds(2), actions);
  EXPECT_EQ(RefusedQueries(),
            (std::map<std::uint64_t, ResultCode>{ { 30, NotRunDeadline },
                                                  { 32, NotRunDeadline } }));
  EXPECT_EQ(AdmittedQueries(), std::vector<Admission::QueryId>{ 31 });
}

// No order of calls may admit more queries than the limit, or leave a query
// undecided or decide it twice.
RC_GTEST_PROP(AdmissionProperty, EveryQueryIsDecidedOnce, (std::uint64_t aSeed))
{
  std::mt19937_64 random(aSeed);
  Admission admission(AdmissionTest::SmallOptions());
  std::vector<Admission::Action> actions;
  std::map<std::uint64_t, std::string> keys;
  std::vector<std::string> running;
  std::set<std::uint64_t> decided;
  auto now = kStart;
  const auto apply = [&] {
    for (const auto& it : std::exchange(actions, {})) {
      if (const auto* admit = std::get_if<Admission::Admit>(&it)) {
        RC_ASSERT(decided.insert(admit->query).second);
        running.push_back(keys.at(admit->query));
      } else {
        const auto& refuse = std::get<Admission::Refuse>(it);
        RC_ASSERT(decided.insert(refuse.query).second);
        RC_ASSERT(IsNotRun(refuse.code));
      }
    }
    RC_ASSERT(running.size() == admission.InProgressCount());
    RC_ASSERT(running.size() <= 4U);
    RC_ASSERT(std::count(running.begin(), running.end(), "a") <= 3);
  };
  for (std::uint64_t i = 0; i < 300; ++i) {
    if (random() % 2 == 0) {
      keys[i] = std::string(1, static_cast<char>('a' + random() % 3));
      admission.Submit(
        i, keys[i], now + milliseconds(random() % 200), now, actions);
    } else if (!running.empty() && random() % 2 == 0) {
      const auto key = running.back();
      running.pop_back();
      admission.OnQueryFinished(key, now, actions);
    } else {
      now += milliseconds(random() % 10);
      admission.OnTimer(now, actions);
    }
    apply();
  }
  while (const auto next = admission.NextTimer()) {
    admission.OnTimer(*next, actions);
    apply();
  }
  RC_ASSERT(decided.size() == keys.size());
}

struct AddressTest : public ::testing::Test
{
  AddressChooser chooser{ std::mt19937_64(3) };
  std::vector<AddressCandidate> candidates;

  AddressTest()
  {
    for (int i = 0; i < 9; ++i) {
      candidates.push_back({ fmt::format("entry-{}", i),
                             fmt::format("10.0.0.{}:80", i),
                             fmt::format("fd-{}", i % 3) });
    }
  }
};

// A caller must not be sent to instances that can't serve it, nor to instances
// of a single failure domain.
TEST_F(AddressTest, ChoosesUsableInstancesOfDifferentDomains)
{
  candidates[0].fenced = true;
  candidates[1].status = InstanceStatus::Suspect;
  candidates[2].status = InstanceStatus::Leaving;
  candidates[3].status = InstanceStatus::Dead;
  for (int i = 0; i < 200; ++i) {
    const auto reply = chooser.Choose(std::to_string(i), candidates);
    ASSERT_EQ(reply.addresses.size(), 3U);
    std::set<int> domains;
    for (const auto& it : reply.addresses) {
      const auto n = it[7] - '0';
      EXPECT_GT(n, 3);
      domains.insert(n % 3);
    }
    EXPECT_EQ(domains.size(), 3U);
    EXPECT_GE(reply.ttl, milliseconds(8000));
    EXPECT_LE(reply.ttl, milliseconds(12'000));
  }
  for (auto& it : candidates) {
    it.fenced = true;
  }
  EXPECT_TRUE(chooser.Choose("x", candidates).addresses.empty());
}

// A caller must not change its connections with every answer, and the loss of
// one instance must not move the callers of others.
TEST_F(AddressTest, AddressesOfACallerAreStable)
{
  const auto before = chooser.Choose("caller-1", candidates);
  const auto again = chooser.Choose("caller-1", candidates);
  EXPECT_EQ(before.addresses, again.addresses);
  EXPECT_NE(before.ttl, again.ttl)
    << "callers must not ask again at the same time";
  for (auto& it : candidates) {
    if (std::find(before.addresses.begin(),
                  before.addresses.end(),
                  it.address) == before.addresses.end()) {
      it.status = InstanceStatus::Dead;
      break;
    }
  }
  EXPECT_EQ(chooser.Choose("caller-1", candidates).addresses, before.addresses);
}

// The weights must have an effect, but one owner must not get all callers.
TEST_F(AddressTest, PrefersInstancesThatOwnTheTraffic)
{
  candidates[4].ownedShare = 0.5;
  int first = 0;
  for (int i = 0; i < 1000; ++i) {
    first += chooser.Choose(std::to_string(i), candidates).addresses[0] ==
                 candidates[4].address
               ? 1
               : 0;
  }
  // The instance has 0.55 of a total weight of 0.95.
  EXPECT_NEAR(first, 579, 60);
}

} // namespace
} // namespace bronzedeal::request
