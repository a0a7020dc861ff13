#pragma once

#include "bronzedeal/types.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Control messages between instances as plain structs. They mirror
/// proto/bronzedeal/peer.proto; the envelope carries the sender and its
/// incarnation. The caller delivers messages to the own instance locally.

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

/// The record that an instance publishes about itself. Other instances forward
/// it unchanged except for the status. Addresses, failure domain and region
/// come from the roster and are not gossiped.
struct Member
{
  InstanceId id;
  std::string httpAddress;
  std::string peerAddress;
  FailureDomain failureDomain;
  std::string region;
  /// 0 for a roster entry that no message or record has arrived for.
  Incarnation incarnation = 0;
  /// Orders the records of one incarnation; 0 when no record has been received.
  /// A change of the versions alone does not increase it: they never decrease
  /// and are merged by taking the higher one.
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

/// State of 64 members of the published instance list, in the order of their
/// ids.
struct ProgressBlock
{
  /// Digest of the members' incarnations.
  std::uint64_t incarnations = 0;
  /// Digest of the members' full records.
  std::uint32_t records = 0;
  /// Bit n: the n-th member has the version of the map in force.
  std::uint64_t inForce = 0;
  /// Bit n: the n-th member also has no unfinished work under a lower version.
  std::uint64_t settled = 0;

  bool operator==(const ProgressBlock&) const = default;
};

/// Which members have the highest configuration version that the sender knows.
/// A configuration change alters the record of every member; this form needs 28
/// bytes for 64 members instead of about 70 for each.
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
  /// Records and progress map only; no reply is expected.
  Push = 3,
  /// Requests the full records of the first of `wantedBlocks`, or all records
  /// when it is empty; answered with pushes.
  Sync = 4,
};

struct GossipMessage
{
  GossipKind kind = GossipKind::Ping;
  /// Number of the probe at its sender; an `Ack` repeats it.
  std::uint64_t probeId = 0;
  /// The instance that is probed, or that answered a probe (`Ack`).
  InstanceId target;
  /// Full records; that of the sender comes first in pings and
  /// acknowledgements.
  std::vector<Member> records;
  ProgressMap progress;
  /// Numbers of blocks of 64 members.
  std::vector<std::uint32_t> wantedBlocks;

  bool operator==(const GossipMessage&) const = default;
};

/// Requests the lease on a slice, or its renewal.
struct LeaseRequestMessage
{
  SliceId slice;
  /// Increases with each request of one incarnation.
  std::uint64_t requestId = 0;
  ConfigVersion configVersion = 0;
  RosterRevision rosterRevision = 0;
  milliseconds duration{ 0 };
  /// How long work of the holder may run after the end of the lease.
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
  /// True when no work of a former holder that this witness granted the lease
  /// to can still be running.
  bool cleanHandover = false;
  /// Time until `cleanHandover` becomes true.
  milliseconds wait{ 0 };

  bool operator==(const LeaseReplyMessage&) const = default;
};

struct LeaseReleaseMessage
{
  SliceId slice;
  /// The release covers the requests up to this one. A release that arrives
  /// after a later grant to the same holder must not end that grant.
  std::uint64_t requestId = 0;
  /// True when the holder's work on the slice has ended.
  bool clean = false;

  bool operator==(const LeaseReleaseMessage&) const = default;
};

/// Requests the configuration document in force at a peer.
struct ConfigPullMessage
{
  /// The requester's document, which the answer may be a patch to; 0 for none.
  ConfigVersion haveVersion = 0;
  ConfigHash haveHash{};

  bool operator==(const ConfigPullMessage&) const = default;
};

/// A configuration document, whole or as a patch.
struct ConfigContentMessage
{
  ConfigVersion version = 0;
  ConfigHash hash{};
  /// The text is a merge patch (RFC 7386) to this version; 0 when it is a whole
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

/// Upper bound on the encoded size of a record in a gossip message, in bytes.
[[nodiscard]] std::size_t EncodedSize(const Member& aMember) noexcept;

/// Upper bound on the encoded size of a progress map, in bytes.
[[nodiscard]] std::size_t EncodedSize(const ProgressMap& aMap) noexcept;

/// Upper bound on the encoded size of an envelope with this body, in bytes.
[[nodiscard]] std::size_t EncodedSize(const Message& aMessage) noexcept;

} // namespace bronzedeal::process
