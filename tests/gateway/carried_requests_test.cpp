#include "bronzedeal/gateway/carried_requests.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>

namespace bronzedeal::gateway::test {

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

} // namespace

// Guards against a request that is sent twice on a connection: while it may be
// sent again, it is remembered, whatever the connection carries meanwhile.
RC_GTEST_PROP(CarriedRequests, RemembersEachRequestUntilItsEnd, ())
{
  CarriedRequests carried;
  std::vector<std::pair<std::string, TimePoint>> added;
  auto now = kStart;
  const auto count = *rc::gen::inRange(1, 300);
  for (int n = 0; n < count; ++n) {
    now += milliseconds(*rc::gen::inRange(0, 50));
    const auto until = now + milliseconds(*rc::gen::inRange(1, 9000));
    added.emplace_back("r-" + std::to_string(n), until);
    carried.Add(added.back().first, until, now);
    for (const auto& [id, end] : added) {
      RC_ASSERT(end <= now || carried.Contains(id));
    }
  }
  RC_ASSERT(!carried.Contains("other"));
}

// Guards against memory that grows with the requests of a connection: those
// that can't be sent again are forgotten.
TEST(CarriedRequests, IsFullOnlyWithRequestsThatMayBeSentAgain)
{
  CarriedRequests carried;
  auto now = kStart;
  for (std::size_t n = 0; n < 3 * CarriedRequests::kCapacity; ++n) {
    carried.Add(std::to_string(n), now + milliseconds(10), now);
    now += milliseconds(1);
    EXPECT_FALSE(carried.IsFull());
  }
  for (std::size_t n = 0; n < CarriedRequests::kCapacity; ++n) {
    carried.Add(std::to_string(n), now + std::chrono::hours(1), now);
  }
  EXPECT_TRUE(carried.IsFull());
}

} // namespace bronzedeal::gateway::test
