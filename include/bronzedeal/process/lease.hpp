#pragma once

#include "bronzedeal/process/audit_trail.hpp"
#include "bronzedeal/process/messages.hpp"
#include "bronzedeal/process/roster.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace bronzedeal::process {

struct LeaseOptions
{
  milliseconds duration{ 1500 };
  Duration renewInterval = milliseconds(400);
  /// Clock rates of two instances differ by at most this share.
  double maxClockDrift = 0.01;
  /// A holder hands over when another instance has been preferred this long.
  Duration handoverDelay = milliseconds(2000);
  /// The k-th instance in order of preference requests a slice that no live
  /// member announces for k times this long; the preferred owner may be alive
  /// and yet reach no quorum.
  Duration fallbackDelay = milliseconds(4000);
  /// A slice taken that way is kept at least this long.
  Duration minFallbackHold = milliseconds(30000);
};

/// Grants leases as a witness. Keeps one promise per slice in memory.
class LeaseVoter
{
public:
  LeaseVoter(InstanceId aSelf, TimePoint aStart, LeaseOptions aOptions = {});
  ~LeaseVoter();
  LeaseVoter(LeaseVoter&&) noexcept;
  LeaseVoter& operator=(LeaseVoter&&) noexcept;

  /// False before the instance has joined and while it rejoins after a pause:
  /// no grants, since its configuration version may be behind.
  void SetReady(bool aReady) noexcept;
  /// The own configuration version in force; it only rises.
  void SetConfigVersion(ConfigVersion aVersion) noexcept;
  /// A witness that a roster adds to a slice's witness set counts as fresh.
  void SetRoster(RosterRevision aRevision,
                 std::span<const RosterEntry> aRoster,
                 TimePoint aNow);

  /// Decides on a request. The sender must have passed
  /// `Membership::AdmitSender`.
  LeaseReplyMessage Receive(const InstanceId& aFrom,
                            Incarnation aIncarnation,
                            const LeaseRequestMessage& aRequest,
                            TimePoint aNow);

  void Release(const InstanceId& aFrom,
               Incarnation aIncarnation,
               const LeaseReleaseMessage& aRelease,
               TimePoint aNow);

  /// Number of slices with a record, for metrics.
  [[nodiscard]] std::size_t PromiseCount() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// What the holder's decisions depend on; the views must outlive the call.
struct LeaseInputs
{
  ConfigVersion configVersion = 0;
  RosterRevision rosterRevision = 0;
  std::span<const RosterEntry> roster;
  /// `Membership::Candidates` and its epoch.
  std::span<const Candidate> candidates;
  std::uint64_t candidateEpoch = 0;
  /// All slices of the configuration in force.
  std::span<const SliceId> slices;
  /// Region of each failure domain of the configuration.
  const std::map<FailureDomain, std::string>* regionByDomain = nullptr;
  /// Slices that another live member announces as its own.
  std::span<const SliceId> announcedByOthers;
  /// `limits.max_subrequest_ms` of the configuration in force.
  milliseconds maxSubrequest{ 1000 };
  /// False while paused, fenced or not yet joined: all leases are dropped.
  bool active = false;
  /// The instance is shutting down: all leases are drained and released.
  bool leaving = false;
};

enum class LeaseState : std::uint8_t
{
  /// Requested, no quorum yet.
  Requesting,
  /// Held, but work of a former holder may still be running.
  Waiting,
  Held,
  /// Held without new sends until `MarkDrained` is called.
  Draining,
};

/// A peer that has a newer configuration or roster than this instance.
struct NewerPeer
{
  InstanceId id;
  ConfigVersion configVersion = 0;
  RosterRevision rosterRevision = 0;
};

/// Acquires, renews and hands over the leases of one instance.
class LeaseHolder
{
public:
  LeaseHolder(InstanceId aSelf, LeaseOptions aOptions = {});
  ~LeaseHolder();
  LeaseHolder(LeaseHolder&&) noexcept;
  LeaseHolder& operator=(LeaseHolder&&) noexcept;

  /// Appends requests, renewals and releases. Messages to one witness are
  /// adjacent, so that the transport can write them at once.
  void Tick(TimePoint aNow,
            const LeaseInputs& aInputs,
            std::vector<OutgoingMessage>& aOut);

  /// The sender must have passed `Membership::AdmitSender`.
  void Receive(const InstanceId& aFrom,
               const LeaseReplyMessage& aReply,
               TimePoint aNow);

  /// Drops everything at once, as after a pause; `Tick` sends the releases.
  void DropAll(TimePoint aNow);

  /// Until when new work may be sent to servers of the slice, by the own clock;
  /// nullopt when it may not. Changes only in the calls above.
  [[nodiscard]] std::optional<TimePoint> SendableUntil(
    const SliceId& aSlice) const;

  /// All slices that may be sent to, with their time limits. `Generation`
  /// rises when this result changes.
  [[nodiscard]] std::vector<std::pair<SliceId, TimePoint>> SendableSlices()
    const;
  [[nodiscard]] std::uint64_t Generation() const noexcept;

  /// Slices to announce in the member record: held, waiting or draining.
  [[nodiscard]] std::vector<SliceId> OwnedSlices() const;
  /// Slices whose work must end; the caller reports each with `MarkDrained`.
  [[nodiscard]] std::vector<SliceId> DrainingSlices() const;
  [[nodiscard]] std::optional<LeaseState> StateOf(const SliceId& aSlice) const;

  /// No work on the slice is queued, in flight or unconfirmed. The next tick
  /// releases the lease. Ignored unless the slice is draining.
  void MarkDrained(const SliceId& aSlice);

  /// The peers that refused a request since the last call because of a newer
  /// configuration or roster; at most one entry for each peer.
  [[nodiscard]] std::vector<NewerPeer> TakeNewerPeers();

  /// Leases acquired, lost and released since the last call.
  [[nodiscard]] std::vector<AuditNote> TakeAuditNotes();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::process
