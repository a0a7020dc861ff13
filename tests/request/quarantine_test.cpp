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
  Quarantine quarantine;
  Fingerprint content = FingerprintOf("search", "{\"q\":1}");

  void Crash(const ServerId& aServer, TimePoint aNow)
  {
    quarantine.RecordCrash({ &content, 1 }, aServer, aNow);
  }
};

// Moving bytes between kind and content must change the fingerprint.
TEST_F(QuarantineTest, FingerprintCoversKindAndContent)
{
  EXPECT_EQ(content, FingerprintOf("search", "{\"q\":1}"));
  EXPECT_NE(FingerprintOf("ab", "c"), FingerprintOf("a", "bc"));
  EXPECT_NE(FingerprintOf("", "c"), FingerprintOf("c", ""));
}

// A crashing content must be refused, but not after a single crash and not for
// ever.
TEST_F(QuarantineTest, CrashesOfTwoServersQuarantineAContent)
{
  EXPECT_EQ(quarantine.CheckAndRenew(content, kStart), Unproven);
  Crash("a", kStart);
  EXPECT_EQ(quarantine.CheckAndRenew(content, kStart), Suspect);
  Crash("a", kStart);
  EXPECT_EQ(quarantine.CheckAndRenew(content, kStart), Suspect)
    << "the same server";
  Crash("b", kStart + seconds(5));
  EXPECT_EQ(quarantine.StateOf(content, kStart + seconds(64)), Quarantined);
  EXPECT_EQ(quarantine.CheckAndRenew(content, kStart + seconds(65)), Unproven);
}

// A caller that resends a content must not outlast its quarantine, but attempts
// must not lock out a content that caused no crash for ever.
TEST_F(QuarantineTest, AttemptsRenewAQuarantineUpToItsMaximum)
{
  Crash("a", kStart);
  Crash("b", kStart + seconds(5));
  auto now = kStart + seconds(5);
  for (; now < kStart + seconds(5) + minutes(10); now += seconds(50)) {
    ASSERT_EQ(quarantine.CheckAndRenew(content, now), Quarantined);
  }
  EXPECT_EQ(quarantine.CheckAndRenew(content, now), Suspect)
    << "the content gets one trial";
  Crash("c", now);
  EXPECT_EQ(quarantine.CheckAndRenew(content, now), Quarantined);
}

// A content that caused no crash must not stay suspect, but a success without
// the crashing shard must not clear the suspicion.
TEST_F(QuarantineTest, SuccessOnAllShardsClearsASuspicion)
{
  Crash("a", kStart);
  quarantine.RecordSuccess(content, false, kStart);
  EXPECT_EQ(quarantine.StateOf(content, kStart), Suspect);
  quarantine.RecordSuccess(content, true, kStart);
  EXPECT_EQ(quarantine.StateOf(content, kStart), Proven);
  Crash("b", kStart);
  EXPECT_EQ(quarantine.StateOf(content, kStart), Suspect)
    << "the count of servers starts again";
  Crash("a", kStart);
  quarantine.RecordSuccess(content, true, kStart);
  EXPECT_EQ(quarantine.StateOf(content, kStart), Quarantined)
    << "a late answer must not end a quarantine";
}

// A popular content is in flight on all servers of a rack; when the rack fails,
// the content must not be refused.
TEST_F(QuarantineTest, CorrelatedCrashesMakeContentsSuspectOnly)
{
  for (const auto* server : { "a", "b", "c", "d", "e" }) {
    Crash(server, kStart);
  }
  EXPECT_EQ(quarantine.StateOf(content, kStart), Suspect);
  for (const auto& it : quarantine.TakeChangedEntries(10, kStart)) {
    EXPECT_EQ(it.servers.size(), 1U) << "peers must not refuse it either";
  }
  Crash("f", kStart + seconds(3));
  EXPECT_EQ(quarantine.StateOf(content, kStart + seconds(3)), Quarantined)
    << "a content that crashes one more server on its own is at fault";
}

// When two instances each see a content crash one server, both must refuse it,
// and entries must not circulate for ever.
TEST_F(QuarantineTest, PeersExchangeChangedEntries)
{
  Quarantine peer;
  Crash("a", kStart);
  peer.RecordCrash({ &content, 1 }, "b", kStart);
  for (const auto& it : quarantine.TakeChangedEntries(10, kStart)) {
    EXPECT_TRUE(peer.Merge(it, kStart));
    EXPECT_FALSE(peer.Merge(it, kStart));
  }
  EXPECT_EQ(peer.StateOf(content, kStart), Quarantined);
  for (const auto& it : peer.TakeChangedEntries(10, kStart)) {
    EXPECT_TRUE(quarantine.Merge(it, kStart));
  }
  for (const auto& it : quarantine.TakeChangedEntries(10, kStart)) {
    EXPECT_FALSE(peer.Merge(it, kStart));
  }
  EXPECT_TRUE(peer.TakeChangedEntries(10, kStart).empty());
  EXPECT_TRUE(quarantine.TakeChangedEntries(10, kStart).empty());

  Quarantine fresh;
  for (const auto& it : peer.Entries(kStart)) {
    EXPECT_TRUE(fresh.Merge(it, kStart));
  }
  EXPECT_EQ(fresh.StateOf(content, kStart + seconds(59)), Quarantined);
  EXPECT_FALSE(fresh.Merge({ { 5 }, { "a" }, milliseconds(0) }, kStart));
  EXPECT_FALSE(fresh.Merge({ { 5 }, {}, milliseconds(9) }, kStart));
}

// Without the renewals by callers of another instance, the content would run at
// the peers after the first 60 s.
TEST_F(QuarantineTest, RenewalReachesPeers)
{
  Quarantine peer;
  Crash("a", kStart);
  Crash("b", kStart);
  const auto exchange = [&](TimePoint aNow) {
    for (const auto& it : quarantine.TakeChangedEntries(10, aNow)) {
      peer.Merge(it, aNow);
    }
  };
  exchange(kStart);
  for (int i = 1; i <= 10; ++i) {
    const auto now = kStart + seconds(10 * i);
    ASSERT_EQ(quarantine.CheckAndRenew(content, now), Quarantined);
    ASSERT_EQ(peer.StateOf(content, now), Quarantined)
      << "the quarantine must not lapse at the peer";
    exchange(now);
  }
  EXPECT_EQ(peer.StateOf(content, kStart + seconds(110)), Quarantined);
}

// The tables must not grow with the number of contents, and many suspect
// contents must not evict a quarantined one.
TEST_F(QuarantineTest, TablesAreBounded)
{
  Quarantine::Options options;
  options.maxEntries = 8;
  options.maxSuccesses = 8;
  quarantine = Quarantine(options);
  Crash("a", kStart);
  Crash("b", kStart);
  for (std::uint8_t i = 0; i < 100; ++i) {
    const Fingerprint other{ i };
    const auto now = kStart + seconds(2) + milliseconds(i);
    quarantine.RecordCrash({ &other, 1 }, "c", now);
    quarantine.RecordSuccess({ i, 1 }, true, now);
  }
  EXPECT_LE(quarantine.size(), 8U);
  EXPECT_LE(quarantine.SuccessCount(), 8U);
  EXPECT_EQ(quarantine.StateOf(content, kStart + seconds(3)), Quarantined);
  EXPECT_EQ(quarantine.StateOf({ 99, 1 }, kStart + seconds(3)), Proven);
  quarantine.Expire(kStart + minutes(20));
  EXPECT_EQ(quarantine.size() + quarantine.SuccessCount(), 0U);
}

// A content must not count as proven by a success that is old or was on another
// index version.
TEST_F(QuarantineTest, SuccessesExpire)
{
  quarantine.RecordSuccess(content, true, kStart);
  EXPECT_EQ(quarantine.StateOf(content, kStart + minutes(4)), Proven);
  EXPECT_EQ(quarantine.StateOf(content, kStart + minutes(5)), Unproven);
  quarantine.RecordSuccess(content, true, kStart + minutes(5));
  EXPECT_EQ(quarantine.StateOf(content, kStart + minutes(9)), Proven);
  quarantine.ClearSuccesses();
  EXPECT_EQ(quarantine.StateOf(content, kStart + minutes(9)), Unproven);
}

} // namespace
} // namespace bronzedeal::request
