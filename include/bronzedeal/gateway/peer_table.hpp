#pragma once

#include "bronzedeal/gateway/peer_capability.hpp"
#include "bronzedeal/types.hpp"

#include <boost/asio/ip/address.hpp>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bronzedeal::gateway {

/// The state that an instance announces and that other instances forward.
struct PeerState
{
  /// Key of the instance; unique in the fleet.
  boost::asio::ip::address address;
  InstanceId instance;
  FailureDomain failureDomain;
  Incarnation incarnation = 0;
  /// Incremented with each datagram that the instance sends of itself.
  std::uint64_t heartbeat = 0;
  double cores = 1;
  /// It has a configuration and a list of servers, and is not stopping.
  bool ready = false;
  /// It has begun to shut down.
  bool leaving = false;
  /// By its own view of the fleet, callers are sent to it or were until
  /// recently.
  bool serving = false;
  /// The metadata service, or an instance that relays it, answers.
  bool metadataReachable = true;
  /// Percentage of the shards that have a server usable by it, rounded up.
  unsigned coveragePercent = 100;
  /// Percentage of the servers of the routes that answer it, or may do so,
  /// rounded up. Nothing if it doesn't state this.
  std::optional<unsigned> reachPercent;
  PeerCapabilities capabilities;
  /// Fields that a later version has added, as the elements of a JSON array.
  std::string laterFields;
};

/// Gossip membership by heartbeat counters: an instance whose counter no longer
/// rises counts as dead. The table is held in memory only; after a restart it
/// fills again through the seeds.
///
/// Performs no I/O and reads no clock. Not thread-safe.
class PeerTable
{
public:
  struct Options
  {
    /// A serving instance without a new heartbeat for this long counts as dead.
    /// About seven gossip rounds, so that a few lost datagrams don't matter.
    Duration servingTimeout = milliseconds(2000);
    /// The same for the other instances, which are not in every datagram.
    Duration nonServingTimeout = milliseconds(6000);
    /// An instance without a new heartbeat for longer counts as ended rather
    /// than partitioned. Below the time for which callers may be sent to an
    /// instance that was killed (7 s).
    Duration lostRetention = milliseconds(4500);
    /// Maximum number of instances in a datagram to another failure domain;
    /// serving ones take precedence.
    std::size_t crossDomainDigestSize = 16;
    /// The same for a peer of the own failure domain, where traffic is cheap.
    std::size_t sameDomainDigestSize = 40;
  };

  PeerTable(PeerState aSelf, const Options& aOptions);

  /// This instance's own state; the table maintains the heartbeat.
  [[nodiscard]] PeerState& Self() noexcept { return mSelf; }
  [[nodiscard]] const PeerState& Self() const noexcept { return mSelf; }

  /// Increments the own heartbeat and returns the content of the next datagram:
  /// the own state first, then a random choice of the living others.
  [[nodiscard]] std::vector<PeerState> NextDigest(bool aCrossDomain,
                                                  TimePoint aNow,
                                                  std::minstd_rand& aRandom);

  /// True when `aState` is of another instance and the table knows no state of
  /// that run or a later one.
  [[nodiscard]] bool IsNewIncarnation(const PeerState& aState) const;

  /// The state that hides `aState`, which its instance states of itself: that
  /// of a former run, when the clock of the instance has gone back since. Told
  /// to the instance, it raises its incarnation.
  [[nodiscard]] std::optional<PeerState> HidingState(
    const PeerState& aState) const;

  /// Adopts each state of a datagram that is newer than the known one. When a
  /// state claims to be a later run of this instance, the own incarnation is
  /// raised above it.
  void Merge(const std::vector<PeerState>& aStates, TimePoint aNow);

  /// Random living peers: at most `aSameDomainCount` of the own failure domain
  /// and `aCrossDomainCount` of the others.
  [[nodiscard]] std::vector<boost::asio::ip::address> PickTargets(
    std::size_t aSameDomainCount,
    std::size_t aCrossDomainCount,
    TimePoint aNow,
    std::minstd_rand& aRandom) const;

  /// A random seed that is not known to be alive, so that separated groups of
  /// instances find each other again; nothing when all seeds are alive.
  [[nodiscard]] std::optional<boost::asio::ip::address> PickUnreachableSeed(
    const std::vector<boost::asio::ip::address>& aSeeds,
    TimePoint aNow,
    std::minstd_rand& aRandom) const;

  /// The living instances, this one included.
  [[nodiscard]] std::vector<PeerState> AliveInstances(TimePoint aNow) const;

  /// The living instances whose servers and routes are up to date: those that
  /// reach the metadata service, or all when none does.
  [[nodiscard]] std::vector<PeerState> InstancesWithMetadata(
    TimePoint aNow) const;

  /// Instances whose heartbeat stopped less than `lostRetention` ago; a
  /// partition may separate them from this one.
  [[nodiscard]] std::vector<PeerState> RecentlyLost(TimePoint aNow) const;

private:
  struct Entry
  {
    PeerState state;
    TimePoint lastHeartbeatAt{};
  };

  [[nodiscard]] bool IsAlive(const Entry& aEntry, TimePoint aNow) const;
  /// Makes room for another instance; false if all are alive.
  bool RemoveLongestSilent(TimePoint aNow);

  PeerState mSelf;
  Options mOptions;
  std::map<boost::asio::ip::address, Entry> mPeers;
};

/// The JSON text of a datagram: an array with one array per state.
[[nodiscard]] std::string EncodePeers(const std::vector<PeerState>& aStates);

/// Appends the states of a datagram to `aStates`. Returns false when it isn't
/// well formed; `aStates` may then hold some of them.
[[nodiscard]] bool DecodePeers(std::string_view aText,
                               std::vector<PeerState>& aStates);

} // namespace bronzedeal::gateway
