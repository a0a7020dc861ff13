#include "bronzedeal/request/quarantine.hpp"

#include "support.hpp"

#include <gtest/gtest.h>

namespace bronzedeal::request {
namespace {

using enum ContentState;
using std::chrono::minutes;
using std::chrono::seconds;

struct QuarantineTest : public ::testing::Test
{
  Quarantine table;
  Fingerprint bad = FingerprintOf("search", "{\"q\":1}");

  void Crash(const ServerId& aServer, TimePoint aNow)
  {
    table.RecordCrash({ &bad, 1 }, aServer, aNow);
  }
};

// Guards against two contents with one fingerprint by moving bytes between
// kind and content.
TEST_F(QuarantineTest, FingerprintCoversKindAndContent)
{
  EXPECT_EQ(bad, FingerprintOf("search", "{\"q\":1}"));
  EXPECT_NE(FingerprintOf("ab", "c"), FingerprintOf("a", "bc"));
  EXPECT_NE(FingerprintOf("", "c"), FingerprintOf("c", ""));
}

// Guards against a crashing content that is never refused, one that is refused
// after a single crash, and a quarantine that never ends.
TEST_F(QuarantineTest, TwoServersMakeAQuarantine)
{
  EXPECT_EQ(table.CheckAndRenew(bad, kStart), Unproven);
  Crash("a", kStart);
  EXPECT_EQ(table.CheckAndRenew(bad, kStart), Suspect);
  Crash("a", kStart);
  EXPECT_EQ(table.CheckAndRenew(bad, kStart), Suspect) << "the same server";
  Crash("b", kStart + seconds(5));
  EXPECT_EQ(table.StateOf(bad, kStart + seconds(64)), Quarantined);
  EXPECT_EQ(table.CheckAndRenew(bad, kStart + seconds(65)), Unproven);
}

// Guards against a caller that resends just often enough to run again, and
// against an innocent content that its callers' attempts lock out for ever.
TEST_F(QuarantineTest, AttemptsRenewButNotForEver)
{
  Crash("a", kStart);
  Crash("b", kStart + seconds(5));
  auto now = kStart + seconds(5);
  for (; now < kStart + seconds(5) + minutes(10); now += seconds(50)) {
    ASSERT_EQ(table.CheckAndRenew(bad, now), Quarantined);
  }
  EXPECT_EQ(table.CheckAndRenew(bad, now), Suspect) << "one trial";
  Crash("c", now);
  EXPECT_EQ(table.CheckAndRenew(bad, now), Quarantined);
}

// Guards against innocent contents that stay suspect, and against a clearance
// by a success that did not include the crashing shard.
TEST_F(QuarantineTest, WholeSuccessClearsASuspicion)
{
  Crash("a", kStart);
  table.RecordSuccess(bad, false, kStart);
  EXPECT_EQ(table.StateOf(bad, kStart), Suspect);
  table.RecordSuccess(bad, true, kStart);
  EXPECT_EQ(table.StateOf(bad, kStart), Proven);
  Crash("b", kStart);
  EXPECT_EQ(table.StateOf(bad, kStart), Suspect) << "counts from one again";
  Crash("a", kStart);
  table.RecordSuccess(bad, true, kStart);
  EXPECT_EQ(table.StateOf(bad, kStart), Quarantined)
    << "a late answer must not end a quarantine";
}

// Guards against a popular content that is refused because a rack failed: it
// was in flight on all of the rack's servers.
TEST_F(QuarantineTest, MassLossOnlyMakesSuspects)
{
  for (const auto* server : { "a", "b", "c", "d", "e" }) {
    Crash(server, kStart);
  }
  EXPECT_EQ(table.StateOf(bad, kStart), Suspect);
  for (const auto& it : table.TakeChangedEntries(10, kStart)) {
    EXPECT_EQ(it.servers.size(), 1U) << "peers must not refuse it either";
  }
  Crash("f", kStart + seconds(3));
  EXPECT_EQ(table.StateOf(bad, kStart + seconds(3)), Quarantined)
    << "a content that crashes one more server on its own is at fault";
}

// Guards against a peer that lets a content run which two instances saw crash
// one server each, and against notices that circulate for ever.
TEST_F(QuarantineTest, PeersShareWhatTheyKnow)
{
  Quarantine peer;
  Crash("a", kStart);
  peer.RecordCrash({ &bad, 1 }, "b", kStart);
  for (const auto& it : table.TakeChangedEntries(10, kStart)) {
    EXPECT_TRUE(peer.Merge(it, kStart));
    EXPECT_FALSE(peer.Merge(it, kStart));
  }
  EXPECT_EQ(peer.StateOf(bad, kStart), Quarantined);
  for (const auto& it : peer.TakeChangedEntries(10, kStart)) {
    EXPECT_TRUE(table.Merge(it, kStart));
  }
  for (const auto& it : table.TakeChangedEntries(10, kStart)) {
    EXPECT_FALSE(peer.Merge(it, kStart));
  }
  EXPECT_TRUE(peer.TakeChangedEntries(10, kStart).empty());
  EXPECT_TRUE(table.TakeChangedEntries(10, kStart).empty());

  Quarantine fresh;
  for (const auto& it : peer.Entries(kStart)) {
    EXPECT_TRUE(fresh.Merge(it, kStart));
  }
  EXPECT_EQ(fresh.StateOf(bad, kStart + seconds(59)), Quarantined);
  EXPECT_FALSE(fresh.Merge({ { 5 }, { "a" }, milliseconds(0) }, kStart));
  EXPECT_FALSE(fresh.Merge({ { 5 }, {}, milliseconds(9) }, kStart));
}

// Guards against renewals by callers of one instance that its peers don't
// learn: the content would run there after the first 60 s.
TEST_F(QuarantineTest, RenewalReachesPeers)
{
  Quarantine peer;
  Crash("a", kStart);
  Crash("b", kStart);
  const auto exchange = [&](TimePoint aNow) {
    for (const auto& it : table.TakeChangedEntries(10, aNow)) {
      peer.Merge(it, aNow);
    }
  };
  exchange(kStart);
  for (int i = 1; i <= 10; ++i) {
    const auto now = kStart + seconds(10 * i);
    ASSERT_EQ(table.CheckAndRenew(bad, now), Quarantined);
    ASSERT_EQ(peer.StateOf(bad, now), Quarantined) << "no gap at the peer";
    exchange(now);
  }
  EXPECT_EQ(peer.StateOf(bad, kStart + seconds(110)), Quarantined);
}

// Guards against tables that grow with the number of contents, and against a
// flood of suspects that pushes out a quarantined content.
TEST_F(QuarantineTest, IsBounded)
{
  Quarantine::Options options;
  options.maxEntries = 8;
  options.maxSuccesses = 8;
  table = Quarantine(options);
  Crash("a", kStart);
  Crash("b", kStart);
  for (std::uint8_t i = 0; i < 100; ++i) {
    const Fingerprint other{ i };
    const auto now = kStart + seconds(2) + milliseconds(i);
    table.RecordCrash({ &other, 1 }, "c", now);
    table.RecordSuccess({ i, 1 }, true, now);
  }
  EXPECT_LE(table.size(), 8U);
  EXPECT_LE(table.SuccessCount(), 8U);
  EXPECT_EQ(table.StateOf(bad, kStart + seconds(3)), Quarantined);
  EXPECT_EQ(table.StateOf({ 99, 1 }, kStart + seconds(3)), Proven);
  table.Expire(kStart + minutes(20));
  EXPECT_EQ(table.size() + table.SuccessCount(), 0U);
}

// Guards against a content that counts as proven although its success is old
// or was on another index version.
TEST_F(QuarantineTest, SuccessesAge)
{
  table.RecordSuccess(bad, true, kStart);
  EXPECT_EQ(table.StateOf(bad, kStart + minutes(4)), Proven);
  EXPECT_EQ(table.StateOf(bad, kStart + minutes(5)), Unproven);
  table.RecordSuccess(bad, true, kStart + minutes(5));
  EXPECT_EQ(table.StateOf(bad, kStart + minutes(9)), Proven);
  table.ClearSuccesses();
  EXPECT_EQ(table.StateOf(bad, kStart + minutes(9)), Unproven);
}

} // namespace
} // namespace bronzedeal::request
