#pragma once

#include "bronzedeal/types.hpp"

#include <boost/asio/ip/address.hpp>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bronzedeal::gateway {

/// What an instance tells others about itself, and others pass on.
struct PeerState
{
  /// Identifies the instance: no two have the same address.
  boost::asio::ip::address address;
  InstanceId instance;
  FailureDomain failureDomain;
  Incarnation incarnation = 0;
  /// Rises while the instance runs.
  std::uint64_t heartbeat = 0;
  double cores = 1;
  /// It has a configuration and serves callers.
  bool ready = false;
  /// It was told to stop.
  bool leaving = false;
  /// Callers are sent to it, as it sees the fleet itself.
  bool serving = false;
  /// It is in contact with the metadata service.
  bool metadataReachable = true;
  /// Share of the shards, in percent, that have a server which it can use.
  unsigned coveragePercent = 100;
};

/// The other instances, learnt by gossip of heartbeat counters: an instance
/// whose counter stands still is no longer alive. Nothing is published or
/// stored anywhere; an empty table fills from the seeds again.
///
/// Pure: no sockets, no clock. Not thread safe.
class PeerTable
{
public:
  struct Options
  {
    /// Without a new heartbeat for this long, a serving instance is not alive.
    /// Seven rounds of gossip: a few lost datagrams don't matter.
    Duration servingTimeout = milliseconds(2000);
    /// The same for the others, which aren't in each datagram.
    Duration nonServingTimeout = milliseconds(6000);
    /// An instance that is silent for longer is taken for ended; below the time
    /// for which callers may be sent to an instance that was killed (7 s).
    Duration lostRetention = milliseconds(4500);
    /// Members in one datagram to another failure domain, the serving ones
    /// first, and to a peer of the own, where bytes cost little.
    std::size_t crossDomainDigestSize = 16;
    std::size_t sameDomainDigestSize = 40;
  };

  PeerTable(PeerState aSelf, const Options& aOptions);

  /// This instance's own state; the heartbeat is kept by the table.
  [[nodiscard]] PeerState& Self() noexcept { return mSelf; }
  [[nodiscard]] const PeerState& Self() const noexcept { return mSelf; }

  /// The content of the next datagram: this instance with a new heartbeat, and
  /// a random part of the living others.
  [[nodiscard]] std::vector<PeerState> NextDigest(bool aFar,
                                                  TimePoint aNow,
                                                  std::minstd_rand& aRandom);

  /// Whether a datagram of this instance would be the first of its run.
  [[nodiscard]] bool IsNewIncarnation(const PeerState& aState) const;

  /// Takes the content of a datagram.
  void Merge(const std::vector<PeerState>& aStates, TimePoint aNow);

  /// `aNear` random living peers of the own failure domain and `aFar` of the
  /// others.
  [[nodiscard]] std::vector<boost::asio::ip::address> PickTargets(
    std::size_t aSameDomainCount,
    std::size_t aFar,
    TimePoint aNow,
    std::minstd_rand& aRandom) const;

  /// One of the seeds that isn't among the living, so that separate groups find
  /// each other again.
  [[nodiscard]] std::optional<boost::asio::ip::address> PickUnreachableSeed(
    const std::vector<boost::asio::ip::address>& aSeeds,
    TimePoint aNow,
    std::minstd_rand& aRandom) const;

  /// The living instances, this one included.
  [[nodiscard]] std::vector<PeerState> AliveInstances(TimePoint aNow) const;

  /// The living instances that know the present servers and routes: those in
  /// contact with the metadata service, or all when none is.
  [[nodiscard]] std::vector<PeerState> InstancesWithMetadata(
    TimePoint aNow) const;

  /// Instances that have fallen silent a short while ago: they may run behind a
  /// partition.
  [[nodiscard]] std::vector<PeerState> RecentlyLost(TimePoint aNow) const;

private:
  struct Entry
  {
    PeerState state;
    TimePoint lastHeartbeatAt{};
  };

  [[nodiscard]] bool IsAlive(const Entry& aEntry, TimePoint aNow) const;

  PeerState mSelf;
  Options mOptions;
  std::map<boost::asio::ip::address, Entry> mPeers;
};

/// JSON text of a datagram.
[[nodiscard]] std::string EncodePeers(const std::vector<PeerState>& aStates);

/// The states of a datagram; false when it isn't well formed.
[[nodiscard]] bool DecodePeers(std::string_view aText,
                               std::vector<PeerState>& aStates);

} // namespace bronzedeal::gateway
