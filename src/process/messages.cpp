#include "bronzedeal/process/messages.hpp"

namespace bronzedeal::process {
namespace {

// Overhead of a message: sender and receiver (ids of up to 16 bytes),
// incarnation, tag and length of the body, the gRPC message prefix (5 bytes)
// and the HTTP/2 frame header (9 bytes).
constexpr std::size_t kEnvelopeBytes = 18 + 18 + 10 + 4 + 5 + 9;

std::size_t VarintSize(std::uint64_t aValue) noexcept
{
  std::size_t n = 1;
  for (; aValue >= 128; aValue >>= 7) {
    ++n;
  }
  return n;
}

// A varint field of proto3 with a one-byte tag, which is omitted when it has
// its default value of 0.
std::size_t VarintFieldSize(std::uint64_t aValue) noexcept
{
  return aValue == 0 ? 0 : 1 + VarintSize(aValue);
}

// A length-delimited field with a one-byte tag, omitted when empty.
std::size_t BytesFieldSize(std::size_t aLength) noexcept
{
  return aLength == 0 ? 0 : 1 + VarintSize(aLength) + aLength;
}

std::size_t HashFieldSize(const ConfigHash& aHash) noexcept
{
  return aHash == ConfigHash{} ? 0 : 18;
}

std::size_t SliceFieldsSize(const SliceId& aSlice) noexcept
{
  return BytesFieldSize(aSlice.failureDomain.size()) +
         VarintFieldSize(aSlice.number);
}

struct BodySize
{
  std::size_t operator()(const GossipMessage& aBody) const noexcept
  {
    auto n = VarintFieldSize(static_cast<std::uint64_t>(aBody.kind)) +
             VarintFieldSize(aBody.probeId) +
             BytesFieldSize(aBody.target.size());
    for (const auto& it : aBody.records) {
      n += EncodedSize(it);
    }
    n += EncodedSize(aBody.progress);
    std::size_t wanted = 0;
    for (const auto it : aBody.wantedBlocks) {
      wanted += VarintSize(it);
    }
    return n + BytesFieldSize(wanted);
  }
  std::size_t operator()(const LeaseRequestMessage& aBody) const noexcept
  {
    return SliceFieldsSize(aBody.slice) + VarintFieldSize(aBody.requestId) +
           VarintFieldSize(aBody.configVersion) +
           VarintFieldSize(aBody.rosterRevision) +
           VarintFieldSize(static_cast<std::uint64_t>(aBody.duration.count())) +
           VarintFieldSize(static_cast<std::uint64_t>(aBody.maxWork.count()));
  }
  std::size_t operator()(const LeaseReplyMessage& aBody) const noexcept
  {
    return SliceFieldsSize(aBody.slice) + VarintFieldSize(aBody.requestId) +
           VarintFieldSize(static_cast<std::uint64_t>(aBody.answer)) +
           VarintFieldSize(aBody.configVersion) +
           VarintFieldSize(aBody.rosterRevision) +
           VarintFieldSize(aBody.cleanHandover ? 1 : 0) +
           VarintFieldSize(static_cast<std::uint64_t>(aBody.wait.count()));
  }
  std::size_t operator()(const LeaseReleaseMessage& aBody) const noexcept
  {
    return SliceFieldsSize(aBody.slice) + VarintFieldSize(aBody.requestId) +
           VarintFieldSize(aBody.clean ? 1 : 0);
  }
  std::size_t operator()(const ConfigPullMessage& aBody) const noexcept
  {
    return VarintFieldSize(aBody.haveVersion) + HashFieldSize(aBody.haveHash);
  }
  std::size_t operator()(const ConfigContentMessage& aBody) const noexcept
  {
    return VarintFieldSize(aBody.version) + HashFieldSize(aBody.hash) +
           VarintFieldSize(aBody.baseVersion) +
           BytesFieldSize(aBody.text.size());
  }
};

} // namespace

std::size_t EncodedSize(const Member& aMember) noexcept
{
  auto n =
    BytesFieldSize(aMember.id.size()) +
    BytesFieldSize(aMember.httpAddress.size()) +
    BytesFieldSize(aMember.peerAddress.size()) +
    BytesFieldSize(aMember.failureDomain.size()) +
    BytesFieldSize(aMember.region.size()) +
    VarintFieldSize(aMember.incarnation) + VarintFieldSize(aMember.sequence) +
    VarintFieldSize(static_cast<std::uint64_t>(aMember.status)) +
    VarintFieldSize(aMember.configVersion) + HashFieldSize(aMember.configHash) +
    VarintFieldSize(aMember.rosterRevision) +
    VarintFieldSize(aMember.fenced ? 1 : 0) +
    VarintFieldSize(aMember.settledVersion);
  for (const auto& it : aMember.slices) {
    n += 2 + SliceFieldsSize(it);
  }
  return BytesFieldSize(n);
}

std::size_t EncodedSize(const ProgressMap& aMap) noexcept
{
  const auto n = aMap.blocks.size();
  return n == 0
           ? 0
           : BytesFieldSize(VarintFieldSize(aMap.configVersion) +
                            HashFieldSize(aMap.configHash) +
                            VarintFieldSize(aMap.rosterRevision) +
                            3 * BytesFieldSize(8 * n) + BytesFieldSize(4 * n));
}

std::size_t EncodedSize(const Message& aMessage) noexcept
{
  return kEnvelopeBytes + std::visit(BodySize{}, aMessage);
}

} // namespace bronzedeal::process
