#include "bronzedeal/gateway/peer_table.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace bronzedeal::gateway {

namespace json = boost::json;

namespace {

/// Bounds the memory of the table; far above the fleet size of
/// docs/CAPACITY.md.
constexpr std::size_t kMaxPeerCount = 4096;
/// Elements of the array that encodes one state, in the order of EncodePeers.
/// Former versions state none of those beyond the first eight, or only
/// `reachPercent`, and refuse a state in which that is no number.
constexpr std::size_t kMinStateFieldCount = 8;
constexpr std::size_t kReachPercentField = 8;
constexpr std::size_t kCapabilitiesField = 9;
constexpr std::size_t kKnownFieldCount = 10;
/// Bounds the name of an instance or a failure domain.
constexpr std::size_t kMaxNameBytes = 255;
/// Bounds what later versions can make this one keep of each instance.
constexpr std::size_t kMaxLaterFieldsBytes = 512;
constexpr unsigned kFullReachPercent = 100;
/// Bits of the flags element.
constexpr unsigned kReadyBit = 1;
constexpr unsigned kLeavingBit = 2;
constexpr unsigned kServingBit = 4;
constexpr unsigned kMetadataReachableBit = 8;

unsigned EncodeFlags(const PeerState& aState)
{
  return (aState.ready ? kReadyBit : 0) | (aState.leaving ? kLeavingBit : 0) |
         (aState.serving ? kServingBit : 0) |
         (aState.metadataReachable ? kMetadataReachableBit : 0);
}

bool IsNewer(const PeerState& aLeft, const PeerState& aRight)
{
  return std::pair(aLeft.incarnation, aLeft.heartbeat) >
         std::pair(aRight.incarnation, aRight.heartbeat);
}

/// The elements of a state beyond those that this version knows.
std::string LaterFieldsOf(const json::array& aFields)
{
  if (aFields.size() <= kKnownFieldCount) {
    return {};
  }
  auto text = json::serialize(
    json::array(aFields.begin() + kKnownFieldCount, aFields.end()));
  return text.size() <= kMaxLaterFieldsBytes ? text : std::string();
}

/// An instance of a former version passes on only what it knows of a state. The
/// rest is kept from what another one has told of the same run.
void KeepUnknownToFormerVersions(const PeerState& aKnown, PeerState& aState)
{
  if (aState.incarnation == aKnown.incarnation &&
      aState.capabilities.IsEmpty() && !aKnown.capabilities.IsEmpty()) {
    aState.reachPercent = aKnown.reachPercent;
    aState.capabilities = aKnown.capabilities;
    aState.laterFields = aKnown.laterFields;
  }
}

} // namespace

PeerTable::PeerTable(PeerState aSelf, const Options& aOptions)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
{
}

bool PeerTable::IsAlive(const Entry& aEntry, TimePoint aNow) const
{
  return aNow - aEntry.lastHeartbeatAt < (aEntry.state.serving
                                            ? mOptions.servingTimeout
                                            : mOptions.nonServingTimeout);
}

std::vector<PeerState> PeerTable::NextDigest(bool aCrossDomain,
                                             TimePoint aNow,
                                             std::minstd_rand& aRandom)
{
  ++mSelf.heartbeat;
  std::vector<PeerState> states;
  for (const auto& [address, entry] : mPeers) {
    if (IsAlive(entry, aNow)) {
      states.push_back(entry.state);
    }
  }
  std::shuffle(states.begin(), states.end(), aRandom);
  std::stable_partition(
    states.begin(), states.end(), [](const auto& aIt) { return aIt.serving; });
  const auto size = aCrossDomain ? mOptions.crossDomainDigestSize
                                 : mOptions.sameDomainDigestSize;
  if (states.size() >= size) {
    states.resize(size - 1);
  }
  states.insert(states.begin(), mSelf);
  return states;
}

bool PeerTable::IsNewIncarnation(const PeerState& aState) const
{
  const auto known = mPeers.find(aState.address);
  return aState.address != mSelf.address &&
         (known == mPeers.end() ||
          aState.incarnation > known->second.state.incarnation);
}

std::optional<PeerState> PeerTable::HidingState(const PeerState& aState) const
{
  const auto known = mPeers.find(aState.address);
  return known != mPeers.end() &&
             aState.incarnation < known->second.state.incarnation
           ? std::optional(known->second.state)
           : std::nullopt;
}

void PeerTable::Merge(const std::vector<PeerState>& aStates, TimePoint aNow)
{
  for (const auto& it : aStates) {
    if (it.address == mSelf.address) {
      // A state of an earlier run of this instance, whose clock was ahead.
      if (it.incarnation > mSelf.incarnation) {
        mSelf.incarnation = it.incarnation + 1;
      }
      continue;
    }
    const auto known = mPeers.find(it.address);
    if (known == mPeers.end()) {
      if (mPeers.size() < kMaxPeerCount || RemoveLongestSilent(aNow)) {
        mPeers.emplace(it.address, Entry{ it, aNow });
      }
    } else if (IsNewer(it, known->second.state)) {
      auto state = it;
      KeepUnknownToFormerVersions(known->second.state, state);
      known->second = Entry{ std::move(state), aNow };
    }
  }
}

bool PeerTable::RemoveLongestSilent(TimePoint aNow)
{
  const auto it = std::min_element(
    mPeers.begin(), mPeers.end(), [](auto& aLeft, auto& aRight) {
      return aLeft.second.lastHeartbeatAt < aRight.second.lastHeartbeatAt;
    });
  if (it == mPeers.end() || IsAlive(it->second, aNow)) {
    return false;
  }
  mPeers.erase(it);
  return true;
}

std::vector<boost::asio::ip::address> PeerTable::PickTargets(
  std::size_t aSameDomainCount,
  std::size_t aCrossDomainCount,
  TimePoint aNow,
  std::minstd_rand& aRandom) const
{
  std::vector<boost::asio::ip::address> sameDomain;
  std::vector<boost::asio::ip::address> crossDomain;
  for (const auto& [address, entry] : mPeers) {
    if (IsAlive(entry, aNow)) {
      const bool isSameDomain =
        entry.state.failureDomain == mSelf.failureDomain;
      (isSameDomain ? sameDomain : crossDomain).push_back(address);
    }
  }
  std::shuffle(sameDomain.begin(), sameDomain.end(), aRandom);
  std::shuffle(crossDomain.begin(), crossDomain.end(), aRandom);
  sameDomain.resize(std::min(sameDomain.size(), aSameDomainCount));
  crossDomain.resize(std::min(crossDomain.size(), aCrossDomainCount));
  sameDomain.insert(sameDomain.end(), crossDomain.begin(), crossDomain.end());
  return sameDomain;
}

std::optional<boost::asio::ip::address> PeerTable::PickUnreachableSeed(
  const std::vector<boost::asio::ip::address>& aSeeds,
  TimePoint aNow,
  std::minstd_rand& aRandom) const
{
  std::vector<boost::asio::ip::address> unreachableSeeds;
  for (const auto& it : aSeeds) {
    const auto known = mPeers.find(it);
    const bool alive = known != mPeers.end() && IsAlive(known->second, aNow);
    if (it != mSelf.address && !alive) {
      unreachableSeeds.push_back(it);
    }
  }
  if (unreachableSeeds.empty()) {
    return std::nullopt;
  }
  return unreachableSeeds[aRandom() % unreachableSeeds.size()];
}

std::vector<PeerState> PeerTable::AliveInstances(TimePoint aNow) const
{
  std::vector<PeerState> alive{ mSelf };
  for (const auto& [address, entry] : mPeers) {
    if (IsAlive(entry, aNow)) {
      alive.push_back(entry.state);
    }
  }
  return alive;
}

std::vector<PeerState> PeerTable::InstancesWithMetadata(TimePoint aNow) const
{
  auto alive = AliveInstances(aNow);
  const auto end =
    std::stable_partition(alive.begin(), alive.end(), [](const auto& aIt) {
      return aIt.metadataReachable;
    });
  if (end != alive.begin()) {
    alive.erase(end, alive.end());
  }
  return alive;
}

std::vector<PeerState> PeerTable::RecentlyLost(TimePoint aNow) const
{
  std::vector<PeerState> lost;
  for (const auto& [address, entry] : mPeers) {
    if (!IsAlive(entry, aNow) &&
        aNow - entry.lastHeartbeatAt < mOptions.lostRetention) {
      lost.push_back(entry.state);
    }
  }
  return lost;
}

std::string EncodePeers(const std::vector<PeerState>& aStates)
{
  json::array rows;
  rows.reserve(aStates.size());
  for (const auto& it : aStates) {
    json::array row{ it.address.to_string(), it.instance,
                     it.failureDomain,       it.incarnation,
                     it.heartbeat,           it.cores,
                     EncodeFlags(it),        it.coveragePercent };
    if (it.reachPercent || !it.capabilities.IsEmpty()) {
      row.push_back(it.reachPercent.value_or(kFullReachPercent));
    }
    if (!it.capabilities.IsEmpty()) {
      row.push_back(it.capabilities.Bits());
    }
    if (!it.laterFields.empty()) {
      const auto later = json::parse(it.laterFields).as_array();
      row.insert(row.end(), later.begin(), later.end());
    }
    rows.push_back(std::move(row));
  }
  return json::serialize(rows);
}

bool DecodePeers(std::string_view aText, std::vector<PeerState>& aStates)
{
  boost::system::error_code ec;
  const auto value = json::parse(aText, ec);
  const auto* rows = ec ? nullptr : value.if_array();
  if (rows == nullptr) {
    return false;
  }
  for (const auto& row : *rows) {
    const auto* fields = row.if_array();
    if (fields == nullptr || fields->size() < kMinStateFieldCount) {
      return false;
    }
    const auto& f = *fields;
    const bool hasExpectedTypes = f[0].is_string() && f[1].is_string() &&
                                  f[2].is_string() && f[5].is_double();
    if (!hasExpectedTypes) {
      return false;
    }
    PeerState state;
    state.address =
      boost::asio::ip::make_address(f[0].get_string().c_str(), ec);
    state.instance = f[1].get_string();
    state.failureDomain = f[2].get_string();
    if (ec || state.instance.size() > kMaxNameBytes ||
        state.failureDomain.size() > kMaxNameBytes) {
      return false;
    }
    state.incarnation = f[3].to_number<std::uint64_t>(ec);
    state.heartbeat = ec ? 0 : f[4].to_number<std::uint64_t>(ec);
    const auto flags = ec ? 0 : f[6].to_number<unsigned>(ec);
    state.coveragePercent = ec ? 0 : f[7].to_number<unsigned>(ec);
    if (!ec && f.size() > kReachPercentField) {
      state.reachPercent = f[kReachPercentField].to_number<unsigned>(ec);
    }
    if (!ec && f.size() > kCapabilitiesField) {
      state.capabilities =
        PeerCapabilities(f[kCapabilitiesField].to_number<std::uint32_t>(ec));
      state.laterFields = LaterFieldsOf(f);
    }
    if (ec) {
      return false;
    }
    state.cores = f[5].get_double();
    state.ready = (flags & kReadyBit) != 0;
    state.leaving = (flags & kLeavingBit) != 0;
    state.serving = (flags & kServingBit) != 0;
    state.metadataReachable = (flags & kMetadataReachableBit) != 0;
    aStates.push_back(std::move(state));
  }
  return true;
}

} // namespace bronzedeal::gateway
