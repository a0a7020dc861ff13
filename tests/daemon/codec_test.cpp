#include "bronzedeal/daemon/codec.hpp"

#include "bronzedeal/peer.pb.h"

#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck.h>

namespace bronzedeal::daemon {
namespace {

using namespace process;

template<typename T>
T Any()
{
  return *rc::gen::arbitrary<T>();
}

/// Ids are UTF-8, as JSON is.
std::string AnyId()
{
  return *rc::gen::container<std::string>(rc::gen::inRange('0', 'z'));
}

/// Any milliseconds that the wire format holds.
milliseconds AnyMs()
{
  return milliseconds(Any<std::uint32_t>());
}

SliceId AnySlice()
{
  return { AnyId(), Any<std::uint32_t>() };
}

/// Addresses, failure domain and region are not part of gossip.
Member AnyMember()
{
  Member member;
  member.id = AnyId();
  member.incarnation = Any<Incarnation>();
  member.sequence = Any<std::uint64_t>();
  member.status = static_cast<MemberStatus>(*rc::gen::inRange(0, 4));
  member.configVersion = Any<ConfigVersion>();
  member.configHash = Any<ConfigHash>();
  member.rosterRevision = Any<RosterRevision>();
  member.fenced = Any<bool>();
  for (int n = *rc::gen::inRange(0, 3); n > 0; --n) {
    member.slices.push_back(AnySlice());
  }
  member.settledVersion = Any<ConfigVersion>();
  return member;
}

GossipMessage AnyGossip()
{
  GossipMessage message;
  message.kind = static_cast<GossipKind>(*rc::gen::inRange(0, 5));
  message.probeId = Any<std::uint64_t>();
  message.target = AnyId();
  for (int n = *rc::gen::inRange(0, 3); n > 0; --n) {
    message.records.push_back(AnyMember());
  }
  // A map without blocks is not sent.
  if (const int n = *rc::gen::inRange(0, 3); n > 0) {
    message.progress.configVersion = Any<ConfigVersion>();
    message.progress.configHash = Any<ConfigHash>();
    message.progress.rosterRevision = Any<RosterRevision>();
    for (int i = 0; i < n; ++i) {
      message.progress.blocks.push_back({ Any<std::uint64_t>(),
                                          Any<std::uint32_t>(),
                                          Any<std::uint64_t>(),
                                          Any<std::uint64_t>() });
    }
  }
  message.wantedBlocks = Any<std::vector<std::uint32_t>>();
  return message;
}

Message AnyMessage()
{
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      return AnyGossip();
    case 1:
      return LeaseRequestMessage{ AnySlice(),
                                  Any<std::uint64_t>(),
                                  Any<ConfigVersion>(),
                                  Any<RosterRevision>(),
                                  AnyMs(),
                                  AnyMs() };
    case 2:
      return LeaseReplyMessage{ AnySlice(),
                                Any<std::uint64_t>(),
                                static_cast<LeaseAnswer>(
                                  *rc::gen::inRange(0, 5)),
                                Any<ConfigVersion>(),
                                Any<RosterRevision>(),
                                Any<bool>(),
                                AnyMs() };
    case 3:
      return LeaseReleaseMessage{ AnySlice(),
                                  Any<std::uint64_t>(),
                                  Any<bool>() };
    case 4:
      return ConfigPullMessage{ Any<ConfigVersion>(), Any<ConfigHash>() };
    default:
      return ConfigContentMessage{ Any<ConfigVersion>(),
                                   Any<ConfigHash>(),
                                   Any<ConfigVersion>(),
                                   Any<std::string>() };
  }
}

// Guards against a field that Encode or Decode leaves out.
TEST(Codec, RoundTripPreservesEveryMessage)
{
  EXPECT_TRUE(rc::check("encode, serialise, parse, decode", [] {
    const auto message = AnyMessage();
    peer::Envelope envelope;
    RC_ASSERT(envelope.ParseFromString(Encode(message).SerializeAsString()));
    const auto decoded = Decode(envelope);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == message);
  }));
}

// Guards against an unknown enumerator that is decoded as a known one: a status
// of a later version as dead, or an answer as another refusal.
TEST(Codec, RefusesValuesOutOfRange)
{
  peer::Envelope envelope;
  envelope.mutable_gossip()->set_kind(5);
  EXPECT_FALSE(Decode(envelope));
  envelope.mutable_gossip()->set_kind(4);
  EXPECT_TRUE(Decode(envelope));
  envelope.mutable_gossip()->add_records()->set_status(4);
  EXPECT_FALSE(Decode(envelope));
  envelope.mutable_lease_reply()->set_answer(5);
  EXPECT_FALSE(Decode(envelope));
}

// Guards against a hash that is truncated or padded and then compared.
TEST(Codec, RefusesHashesOfAnotherSize)
{
  const Message pull = ConfigPullMessage{ 3, {} };
  for (const std::size_t n : { 1U, 15U, 17U }) {
    auto envelope = Encode(pull);
    envelope.mutable_config_pull()->set_have_hash(std::string(n, 'x'));
    EXPECT_FALSE(Decode(envelope)) << n;
    envelope.mutable_config_content()->set_hash(std::string(n, 'x'));
    EXPECT_FALSE(Decode(envelope)) << n;
    envelope.mutable_gossip()->add_records()->set_config_hash(
      std::string(n, 'x'));
    EXPECT_FALSE(Decode(envelope)) << n;
  }
}

// Guards against fields of one block that are combined with those of another
// because the repeated fields differ in length.
TEST(Codec, RefusesProgressMapsWithUnequalFieldCounts)
{
  peer::Envelope envelope = Encode(Message(GossipMessage{}));
  auto& map = *envelope.mutable_gossip()->mutable_progress();
  map.set_config_hash(std::string(16, 'x'));
  map.add_incarnations(1);
  map.add_records(1);
  map.add_in_force(1);
  EXPECT_FALSE(Decode(envelope));
  map.add_settled(1);
  EXPECT_TRUE(Decode(envelope));
}

// Guards against a wait that wraps round to a short one.
TEST(Codec, ClampsDurations)
{
  LeaseReplyMessage reply;
  reply.wait = milliseconds(std::int64_t{ 1 } << 33U);
  EXPECT_EQ(std::numeric_limits<std::uint32_t>::max(),
            Encode(Message(reply)).lease_reply().wait_ms());
  reply.wait = milliseconds(-1);
  EXPECT_EQ(0U, Encode(Message(reply)).lease_reply().wait_ms());
}

// Guards against request traffic that is handled as a control message.
TEST(Codec, RefusesBodiesThatAreNotControlMessages)
{
  peer::Envelope envelope;
  EXPECT_FALSE(Decode(envelope));
  envelope.mutable_sub_request_batch();
  EXPECT_FALSE(Decode(envelope));
}

// Guards against an entry of a notice that is lost, and against a fingerprint
// of another size that quarantines an unrelated content.
TEST(Codec, QuarantineNoticeKeepsValidEntriesOnly)
{
  request::QuarantineEntry entry;
  entry.fingerprint.fill(7);
  entry.servers = { "svc-a", "svc-b" };
  entry.remaining = milliseconds(1234);
  peer::QuarantineNotice notice;
  notice.add_entries()->set_fingerprint("short");
  Encode(entry, notice);
  const auto entries = Decode(notice);
  ASSERT_EQ(1U, entries.size());
  EXPECT_EQ(entry.fingerprint, entries[0].fingerprint);
  EXPECT_EQ(entry.servers, entries[0].servers);
  EXPECT_EQ(entry.remaining, entries[0].remaining);
}

} // namespace
} // namespace bronzedeal::daemon
