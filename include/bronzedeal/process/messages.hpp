#pragma once

#include "bronzedeal/types.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Control messages between instances as plain structs. They mirror
/// proto/bronzedeal/peer.proto; sender and incarnation travel in the envelope.
/// A message to the own instance is delivered locally by the caller.

namespace bronzedeal::process {

/// xxhash128 of the canonical text of a configuration document.
using ConfigHash = std::array<std::uint8_t, 16>;

enum class MemberStatus : std::uint8_t
{
  Alive = 0,
  Suspect = 1,
  Leaving = 2,
  Dead = 3,
};

/// What an instance states about itself; others only pass it on, except for
/// the status. Addresses, failure domain and region come from the roster and
/// are not part of gossip.
struct Member
{
  InstanceId id;
  std::string httpAddress;
  std::string peerAddress;
  FailureDomain failureDomain;
  std::string region;
  /// 0 for a roster entry that nothing has been heard about.
  Incarnation incarnation = 0;
  /// Orders the records of one incarnation. The versions only rise and are
  /// merged by their maximum; a change of them alone does not raise it. 0 when
  /// no record has been received.
  std::uint64_t sequence = 0;
  MemberStatus status = MemberStatus::Alive;
  ConfigVersion configVersion = 0;
  ConfigHash configHash{};
  RosterRevision rosterRevision = 0;
  bool fenced = false;
  std::vector<SliceId> slices;
  /// No work under a version below this one is unfinished.
  ConfigVersion settledVersion = 0;

  bool operator==(const Member&) const = default;
};

/// 64 members of the published list, in the order of their ids.
struct ProgressBlock
{
  /// Digest of the members' incarnations.
  std::uint64_t incarnations = 0;
  /// Digest of the members' full records.
  std::uint32_t records = 0;
  /// Bit n: the n-th member has the version of the map in force.
  std::uint64_t inForce = 0;
  /// Bit n: it also has no unfinished work under a lower version.
  std::uint64_t settled = 0;

  bool operator==(const ProgressBlock&) const = default;
};

/// Which members have the highest version that the sender knows. A change of
/// the configuration alters every record, and this form needs 28 bytes for 64
/// members instead of about 70 for each.
struct ProgressMap
{
  ConfigVersion configVersion = 0;
  ConfigHash configHash{};
  RosterRevision rosterRevision = 0;
  /// Empty when the message carries no map.
  std::vector<ProgressBlock> blocks;

  bool operator==(const ProgressMap&) const = default;
};

enum class GossipKind : std::uint8_t
{
  Ping = 0,
  Ack = 1,
  PingRequest = 2,
  /// Records only; no answer is expected.
  Push = 3,
  /// Asks for the full records of the blocks in `wantedBlocks`, or for all when
  /// there are none; answered with pushes.
  Sync = 4,
};

struct GossipMessage
{
  GossipKind kind = GossipKind::Ping;
  std::uint64_t probeId = 0;
  /// The instance to probe (`PingRequest`) or that answered (`Ack`).
  InstanceId target;
  /// Full records; that of the sender comes first in pings and
  /// acknowledgements.
  std::vector<Member> records;
  ProgressMap progress;
  std::vector<std::uint32_t> wantedBlocks;

  bool operator==(const GossipMessage&) const = default;
};

/// Asks for the lease on a slice, or for its renewal.
struct LeaseRequestMessage
{
  SliceId slice;
  /// Rises with each request of one incarnation.
  std::uint64_t requestId = 0;
  ConfigVersion configVersion = 0;
  RosterRevision rosterRevision = 0;
  milliseconds duration{ 0 };
  /// The time for which work of the holder may run past the lease's end.
  milliseconds maxWork{ 0 };

  bool operator==(const LeaseRequestMessage&) const = default;
};

enum class LeaseAnswer : std::uint8_t
{
  Granted = 0,
  HeldByAnother = 1,
  StaleConfiguration = 2,
  StaleRoster = 3,
  NotReady = 4,
};

struct LeaseReplyMessage
{
  SliceId slice;
  std::uint64_t requestId = 0;
  LeaseAnswer answer = LeaseAnswer::NotReady;
  /// The witness's own versions.
  ConfigVersion configVersion = 0;
  RosterRevision rosterRevision = 0;
  /// True when no work of a former holder that the witness granted to can
  /// still be running.
  bool cleanHandover = false;
  /// Time until `cleanHandover` becomes true.
  milliseconds wait{ 0 };

  bool operator==(const LeaseReplyMessage&) const = default;
};

struct LeaseReleaseMessage
{
  SliceId slice;
  /// The release covers the requests up to this one. A release that arrives
  /// after a later grant to the same holder must not free that grant.
  std::uint64_t requestId = 0;
  /// True when the holder's work on the slice has ended.
  bool clean = false;

  bool operator==(const LeaseReleaseMessage&) const = default;
};

struct ConfigPullMessage
{
  ConfigVersion haveVersion = 0;
  ConfigHash haveHash{};

  bool operator==(const ConfigPullMessage&) const = default;
};

struct ConfigContentMessage
{
  ConfigVersion version = 0;
  ConfigHash hash{};
  /// The text is a merge patch (RFC 7386) of this version; 0 for a whole
  /// document.
  ConfigVersion baseVersion = 0;
  std::string text;

  bool operator==(const ConfigContentMessage&) const = default;
};

using Message = std::variant<GossipMessage,
                             LeaseRequestMessage,
                             LeaseReplyMessage,
                             LeaseReleaseMessage,
                             ConfigPullMessage,
                             ConfigContentMessage>;

struct OutgoingMessage
{
  InstanceId to;
  Message body;
};

/// Upper bound of the encoded size of a record in a gossip message, in bytes.
[[nodiscard]] std::size_t EncodedSize(const Member& aMember) noexcept;

/// Upper bound of the encoded size of a map, in bytes.
[[nodiscard]] std::size_t EncodedSize(const ProgressMap& aMap) noexcept;

/// Upper bound of the encoded size of an envelope with this body, in bytes.
[[nodiscard]] std::size_t EncodedSize(const Message& aMessage) noexcept;

} // namespace bronzedeal::process
