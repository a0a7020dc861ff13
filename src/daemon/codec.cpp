#include "bronzedeal/daemon/codec.hpp"

#include "bronzedeal/peer.pb.h"

#include <algorithm>
#include <limits>

namespace bronzedeal::daemon {

using namespace process;

namespace {

std::string_view HashBytes(const ConfigHash& aHash)
{
  return { reinterpret_cast<const char*>(aHash.data()), aHash.size() };
}

/// False when the bytes are not a hash. No bytes stand for no hash.
bool DecodeHash(std::string_view aBytes, ConfigHash& aOut)
{
  if (aBytes.size() == aOut.size()) {
    std::copy(aBytes.begin(), aBytes.end(), aOut.begin());
  }
  return aBytes.empty() || aBytes.size() == aOut.size();
}

/// False when the number is above the last enumerator.
template<typename Enum>
bool DecodeEnum(std::uint32_t aNumber, Enum aLast, Enum& aOut)
{
  if (aNumber > static_cast<std::uint32_t>(aLast)) {
    return false;
  }
  aOut = static_cast<Enum>(aNumber);
  return true;
}

std::uint32_t ClampToMs(milliseconds aValue)
{
  return static_cast<std::uint32_t>(std::clamp<milliseconds::rep>(
    aValue.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

template<typename Proto>
void EncodeSlice(const SliceId& aSlice, Proto& aOut)
{
  aOut.set_failure_domain(aSlice.failureDomain);
  aOut.set_number(aSlice.number);
}

template<typename Proto>
SliceId DecodeSlice(const Proto& aIn)
{
  return { aIn.failure_domain(), aIn.number() };
}

void EncodeMember(const Member& aMember, peer::MemberRecord& aOut)
{
  aOut.set_id(aMember.id);
  aOut.set_incarnation(aMember.incarnation);
  aOut.set_sequence(aMember.sequence);
  aOut.set_status(static_cast<std::uint32_t>(aMember.status));
  aOut.set_config_version(aMember.configVersion);
  aOut.set_config_hash(std::string(HashBytes(aMember.configHash)));
  aOut.set_roster_revision(aMember.rosterRevision);
  aOut.set_fenced(aMember.fenced);
  for (const auto& it : aMember.slices) {
    EncodeSlice(it, *aOut.add_slices());
  }
  aOut.set_settled_version(aMember.settledVersion);
}

std::optional<Member> DecodeMember(const peer::MemberRecord& aIn)
{
  Member member;
  if (!DecodeEnum(aIn.status(), MemberStatus::Dead, member.status) ||
      !DecodeHash(aIn.config_hash(), member.configHash)) {
    return std::nullopt;
  }
  member.id = aIn.id();
  member.incarnation = aIn.incarnation();
  member.sequence = aIn.sequence();
  member.configVersion = aIn.config_version();
  member.rosterRevision = aIn.roster_revision();
  member.fenced = aIn.fenced();
  for (const auto& it : aIn.slices()) {
    member.slices.push_back(DecodeSlice(it));
  }
  member.settledVersion = aIn.settled_version();
  return member;
}

void EncodeProgress(const ProgressMap& aMap, peer::ProgressMap& aOut)
{
  aOut.set_config_version(aMap.configVersion);
  aOut.set_config_hash(std::string(HashBytes(aMap.configHash)));
  aOut.set_roster_revision(aMap.rosterRevision);
  for (const auto& it : aMap.blocks) {
    aOut.add_incarnations(it.incarnations);
    aOut.add_records(it.records);
    aOut.add_in_force(it.inForce);
    aOut.add_settled(it.settled);
  }
}

std::optional<ProgressMap> DecodeProgress(const peer::ProgressMap& aIn)
{
  ProgressMap map;
  const auto n = aIn.incarnations_size();
  if (aIn.records_size() != n || aIn.in_force_size() != n ||
      aIn.settled_size() != n ||
      !DecodeHash(aIn.config_hash(), map.configHash)) {
    return std::nullopt;
  }
  map.configVersion = aIn.config_version();
  map.rosterRevision = aIn.roster_revision();
  for (int i = 0; i < n; ++i) {
    map.blocks.push_back(
      { aIn.incarnations(i), aIn.records(i), aIn.in_force(i), aIn.settled(i) });
  }
  return map;
}

struct Encoder
{
  peer::Envelope& out;

  void operator()(const GossipMessage& aMessage) const
  {
    auto& gossip = *out.mutable_gossip();
    gossip.set_kind(static_cast<std::uint32_t>(aMessage.kind));
    gossip.set_probe(aMessage.probeId);
    gossip.set_target(aMessage.target);
    for (const auto& it : aMessage.records) {
      EncodeMember(it, *gossip.add_records());
    }
    if (!aMessage.progress.blocks.empty()) {
      EncodeProgress(aMessage.progress, *gossip.mutable_progress());
    }
    gossip.mutable_wanted()->Add(aMessage.wantedBlocks.begin(),
                                 aMessage.wantedBlocks.end());
  }

  void operator()(const LeaseRequestMessage& aMessage) const
  {
    auto& request = *out.mutable_lease_request();
    EncodeSlice(aMessage.slice, request);
    request.set_request_id(aMessage.requestId);
    request.set_config_version(aMessage.configVersion);
    request.set_roster_revision(aMessage.rosterRevision);
    request.set_duration_ms(ClampToMs(aMessage.duration));
    request.set_max_work_ms(ClampToMs(aMessage.maxWork));
  }

  void operator()(const LeaseReplyMessage& aMessage) const
  {
    auto& reply = *out.mutable_lease_reply();
    EncodeSlice(aMessage.slice, reply);
    reply.set_request_id(aMessage.requestId);
    reply.set_answer(static_cast<std::uint32_t>(aMessage.answer));
    reply.set_config_version(aMessage.configVersion);
    reply.set_roster_revision(aMessage.rosterRevision);
    reply.set_clean_handover(aMessage.cleanHandover);
    reply.set_wait_ms(ClampToMs(aMessage.wait));
  }

  void operator()(const LeaseReleaseMessage& aMessage) const
  {
    auto& release = *out.mutable_lease_release();
    EncodeSlice(aMessage.slice, release);
    release.set_request_id(aMessage.requestId);
    release.set_clean(aMessage.clean);
  }

  void operator()(const ConfigPullMessage& aMessage) const
  {
    auto& pull = *out.mutable_config_pull();
    pull.set_have_version(aMessage.haveVersion);
    pull.set_have_hash(std::string(HashBytes(aMessage.haveHash)));
  }

  void operator()(const ConfigContentMessage& aMessage) const
  {
    auto& content = *out.mutable_config_content();
    content.set_version(aMessage.version);
    content.set_hash(std::string(HashBytes(aMessage.hash)));
    content.set_base_version(aMessage.baseVersion);
    content.set_text(aMessage.text);
  }
};

std::optional<Message> DecodeGossip(const peer::Gossip& aIn)
{
  GossipMessage message;
  if (!DecodeEnum(aIn.kind(), GossipKind::Sync, message.kind)) {
    return std::nullopt;
  }
  message.probeId = aIn.probe();
  message.target = aIn.target();
  for (const auto& it : aIn.records()) {
    auto member = DecodeMember(it);
    if (!member) {
      return std::nullopt;
    }
    message.records.push_back(std::move(*member));
  }
  if (aIn.has_progress()) {
    auto progress = DecodeProgress(aIn.progress());
    if (!progress) {
      return std::nullopt;
    }
    message.progress = std::move(*progress);
  }
  message.wantedBlocks.assign(aIn.wanted().begin(), aIn.wanted().end());
  return message;
}

LeaseRequestMessage DecodeLeaseRequest(const peer::LeaseRequest& aIn)
{
  LeaseRequestMessage message;
  message.slice = DecodeSlice(aIn);
  message.requestId = aIn.request_id();
  message.configVersion = aIn.config_version();
  message.rosterRevision = aIn.roster_revision();
  message.duration = milliseconds(aIn.duration_ms());
  message.maxWork = milliseconds(aIn.max_work_ms());
  return message;
}

std::optional<Message> DecodeLeaseReply(const peer::LeaseReply& aIn)
{
  LeaseReplyMessage message;
  if (!DecodeEnum(aIn.answer(), LeaseAnswer::NotReady, message.answer)) {
    return std::nullopt;
  }
  message.slice = DecodeSlice(aIn);
  message.requestId = aIn.request_id();
  message.configVersion = aIn.config_version();
  message.rosterRevision = aIn.roster_revision();
  message.cleanHandover = aIn.clean_handover();
  message.wait = milliseconds(aIn.wait_ms());
  return message;
}

std::optional<Message> DecodeConfigPull(const peer::ConfigPull& aIn)
{
  ConfigPullMessage message{ aIn.have_version(), {} };
  if (!DecodeHash(aIn.have_hash(), message.haveHash)) {
    return std::nullopt;
  }
  return message;
}

std::optional<Message> DecodeConfigContent(const peer::ConfigContent& aIn)
{
  ConfigContentMessage message;
  if (!DecodeHash(aIn.hash(), message.hash)) {
    return std::nullopt;
  }
  message.version = aIn.version();
  message.baseVersion = aIn.base_version();
  message.text = aIn.text();
  return message;
}

} // namespace

peer::Envelope Encode(const Message& aMessage)
{
  peer::Envelope envelope;
  std::visit(Encoder{ envelope }, aMessage);
  return envelope;
}

std::optional<Message> Decode(const peer::Envelope& aEnvelope)
{
  switch (aEnvelope.body_case()) {
    case peer::Envelope::kGossip:
      return DecodeGossip(aEnvelope.gossip());
    case peer::Envelope::kLeaseRequest:
      return DecodeLeaseRequest(aEnvelope.lease_request());
    case peer::Envelope::kLeaseReply:
      return DecodeLeaseReply(aEnvelope.lease_reply());
    case peer::Envelope::kLeaseRelease: {
      const auto& in = aEnvelope.lease_release();
      return LeaseReleaseMessage{ DecodeSlice(in),
                                  in.request_id(),
                                  in.clean() };
    }
    case peer::Envelope::kConfigPull:
      return DecodeConfigPull(aEnvelope.config_pull());
    case peer::Envelope::kConfigContent:
      return DecodeConfigContent(aEnvelope.config_content());
    default:
      return std::nullopt;
  }
}

void Encode(const request::ServerLoad& aLoad, peer::ServerLoad& aOut)
{
  aOut.set_in_flight(aLoad.inFlight);
  aOut.set_queued(aLoad.queued);
  aOut.set_allowance(aLoad.allowance);
  aOut.set_slots(aLoad.slots);
  aOut.set_leaving(aLoad.leaving);
}

request::ServerLoad Decode(const peer::ServerLoad& aLoad)
{
  return { aLoad.in_flight(),
           aLoad.queued(),
           aLoad.allowance(),
           aLoad.slots(),
           aLoad.leaving() };
}

void Encode(const request::QuarantineEntry& aEntry,
            peer::QuarantineNotice& aOut)
{
  auto& entry = *aOut.add_entries();
  entry.set_fingerprint(std::string(EncodeFingerprint(aEntry.fingerprint)));
  for (const auto& it : aEntry.servers) {
    entry.add_servers(it);
  }
  entry.set_remaining_ms(ClampToMs(aEntry.remaining));
}

std::vector<request::QuarantineEntry> Decode(
  const peer::QuarantineNotice& aNotice)
{
  std::vector<request::QuarantineEntry> entries;
  for (const auto& it : aNotice.entries()) {
    request::QuarantineEntry entry;
    if (!DecodeFingerprint(it.fingerprint(), entry.fingerprint)) {
      continue;
    }
    entry.servers.assign(it.servers().begin(), it.servers().end());
    entry.remaining = milliseconds(it.remaining_ms());
    entries.push_back(std::move(entry));
  }
  return entries;
}

bool DecodeFingerprint(std::string_view aBytes,
                       request::Fingerprint& aOut) noexcept
{
  if (aBytes.size() != aOut.size()) {
    return false;
  }
  std::copy(aBytes.begin(), aBytes.end(), aOut.begin());
  return true;
}

std::string_view EncodeFingerprint(
  const request::Fingerprint& aFingerprint) noexcept
{
  return { reinterpret_cast<const char*>(aFingerprint.data()),
           aFingerprint.size() };
}

} // namespace bronzedeal::daemon
