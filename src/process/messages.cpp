#include "bronzedeal/process/messages.hpp"

namespace bronzedeal::process {
namespace {

// Sender, receiver (ids of up to 16 bytes), incarnation, the tag and length of
// the body, the gRPC prefix (5 bytes) and the HTTP/2 frame header (9 bytes).
constexpr std::size_t kEnvelopeBytes = 18 + 18 + 10 + 4 + 5 + 9;

std::size_t VarintSize(std::uint64_t aValue) noexcept
{
  std::size_t n = 1;
  for (; aValue >= 128; aValue >>= 7) {
    ++n;
  }
  return n;
}

// A proto3 field with a one-byte tag; nothing when it has its default value.
std::size_t Field(std::uint64_t aValue) noexcept
{
  return aValue == 0 ? 0 : 1 + VarintSize(aValue);
}

std::size_t Bytes(std::size_t aLength) noexcept
{
  return aLength == 0 ? 0 : 1 + VarintSize(aLength) + aLength;
}

std::size_t HashSize(const ConfigHash& aHash) noexcept
{
  return aHash == ConfigHash{} ? 0 : 18;
}

std::size_t SliceSize(const SliceId& aSlice) noexcept
{
  return Bytes(aSlice.failureDomain.size()) + Field(aSlice.number);
}

struct BodySize
{
  std::size_t operator()(const GossipMessage& aBody) const noexcept
  {
    auto n = Field(static_cast<std::uint64_t>(aBody.kind)) +
             Field(aBody.probeId) + Bytes(aBody.target.size());
    for (const auto& it : aBody.records) {
      n += EncodedSize(it);
    }
    n += EncodedSize(aBody.progress);
    std::size_t wanted = 0;
    for (const auto it : aBody.wantedBlocks) {
      wanted += VarintSize(it);
    }
    return n + Bytes(wanted);
  }
  std::size_t operator()(const LeaseRequestMessage& aBody) const noexcept
  {
    return SliceSize(aBody.slice) + Field(aBody.requestId) +
           Field(aBody.configVersion) + Field(aBody.rosterRevision) +
           Field(static_cast<std::uint64_t>(aBody.duration.count())) +
           Field(static_cast<std::uint64_t>(aBody.maxWork.count()));
  }
  std::size_t operator()(const LeaseReplyMessage& aBody) const noexcept
  {
    return SliceSize(aBody.slice) + Field(aBody.requestId) +
           Field(static_cast<std::uint64_t>(aBody.answer)) +
           Field(aBody.configVersion) + Field(aBody.rosterRevision) +
           Field(aBody.cleanHandover ? 1 : 0) +
           Field(static_cast<std::uint64_t>(aBody.wait.count()));
  }
  std::size_t operator()(const LeaseReleaseMessage& aBody) const noexcept
  {
    return SliceSize(aBody.slice) + Field(aBody.requestId) +
           Field(aBody.clean ? 1 : 0);
  }
  std::size_t operator()(const ConfigPullMessage& aBody) const noexcept
  {
    return Field(aBody.haveVersion) + HashSize(aBody.haveHash);
  }
  std::size_t operator()(const ConfigContentMessage& aBody) const noexcept
  {
    return Field(aBody.version) + HashSize(aBody.hash) +
           Field(aBody.baseVersion) + Bytes(aBody.text.size());
  }
};

} // namespace

std::size_t EncodedSize(const Member& aMember) noexcept
{
  auto n = Bytes(aMember.id.size()) + Bytes(aMember.httpAddress.size()) +
           Bytes(aMember.peerAddress.size()) +
           Bytes(aMember.failureDomain.size()) + Bytes(aMember.region.size()) +
           Field(aMember.incarnation) + Field(aMember.sequence) +
           Field(static_cast<std::uint64_t>(aMember.status)) +
           Field(aMember.configVersion) + HashSize(aMember.configHash) +
           Field(aMember.rosterRevision) + Field(aMember.fenced ? 1 : 0) +
           Field(aMember.settledVersion);
  for (const auto& it : aMember.slices) {
    n += 2 + SliceSize(it);
  }
  return Bytes(n);
}

std::size_t EncodedSize(const ProgressMap& aMap) noexcept
{
  const auto n = aMap.blocks.size();
  return n == 0 ? 0
                : Bytes(Field(aMap.configVersion) + HashSize(aMap.configHash) +
                        Field(aMap.rosterRevision) + 3 * Bytes(8 * n) +
                        Bytes(4 * n));
}

std::size_t EncodedSize(const Message& aMessage) noexcept
{
  return kEnvelopeBytes + std::visit(BodySize{}, aMessage);
}

} // namespace bronzedeal::process
