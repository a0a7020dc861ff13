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
  /// How long a lease lasts, measured by the witness from its grant and by the
  /// holder from its request.
  milliseconds duration{ 1500 };
  Duration renewInterval = milliseconds(400);
  /// Largest assumed difference between the clock rates of two instances, as a
  /// share of 1.
  double maxClockDrift = 0.01;
  /// A holder starts to hand over a slice when another instance has been its
  /// preferred owner for this long.
  Duration handoverDelay = milliseconds(2000);
  /// The instance that is k-th after the preferred owner requests a slice that
  /// no live member has announced for k times this long: the preferred owner
  /// may be alive and yet reach no quorum.
  Duration fallbackDelay = milliseconds(4000);
  /// A slice acquired that way is kept at least this long.
  Duration minFallbackHold = milliseconds(30000);
};

/// Grants leases as a witness. Keeps one promise per slice, in memory only.
class LeaseVoter
{
public:
  LeaseVoter(InstanceId aSelf, TimePoint aStart, LeaseOptions aOptions = {});
  ~LeaseVoter();
  LeaseVoter(LeaseVoter&&) noexcept;
  LeaseVoter& operator=(LeaseVoter&&) noexcept;

  /// False before the instance has joined and while it rejoins after a pause.
  /// The voter then grants nothing, since its configuration version may be out
  /// of date.
  void SetReady(bool aReady) noexcept;
  /// Sets the own configuration version in force; a lower one is ignored.
  void SetConfigVersion(ConfigVersion aVersion) noexcept;
  /// Applies a roster of a higher revision. A voter that it adds to the witness
  /// set of a slice grants nothing on it until promises of the former witnesses
  /// have expired.
  void SetRoster(RosterRevision aRevision,
                 std::span<const RosterEntry> aRoster,
                 TimePoint aNow);

  /// Grants or refuses a request. The sender must have passed
  /// `Membership::AdmitSender`.
  LeaseReplyMessage Receive(const InstanceId& aFrom,
                            Incarnation aIncarnation,
                            const LeaseRequestMessage& aRequest,
                            TimePoint aNow);

  /// Ends the promise to the sender, unless it is newer than the release.
  void Release(const InstanceId& aFrom,
               Incarnation aIncarnation,
               const LeaseReleaseMessage& aRelease,
               TimePoint aNow);

  /// Number of slices for which a promise has ever been recorded.
  [[nodiscard]] std::size_t PromiseCount() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// State that the holder's decisions depend on; the views must outlive the
/// call.
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
  /// `limits.max_subrequest_ms` of the configuration in force: how long work
  /// may run after the end of the lease.
  milliseconds maxSubrequest{ 1000 };
  /// False while the instance is paused, fenced or not yet joined; all leases
  /// are then dropped.
  bool active = false;
  /// True while the instance shuts down; all leases are then drained and
  /// released.
  bool leaving = false;
};

enum class LeaseState : std::uint8_t
{
  /// Requested, without a quorum of grants yet.
  Requesting,
  /// Granted by a quorum, but work of a former holder may still be running, so
  /// nothing may be sent yet.
  Waiting,
  Held,
  /// Still held, but no new work may be sent. Released after `MarkDrained`.
  Draining,
};

/// A peer with a newer configuration or roster than this instance, and its
/// versions of both.
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
  /// adjacent, so that the transport can write them together.
  void Tick(TimePoint aNow,
            const LeaseInputs& aInputs,
            std::vector<OutgoingMessage>& aOut);

  /// The sender must have passed `Membership::AdmitSender`.
  void Receive(const InstanceId& aFrom,
               const LeaseReplyMessage& aReply,
               TimePoint aNow);

  /// Drops all leases at once, as after a pause; the next `Tick` sends the
  /// releases.
  void DropAll(TimePoint aNow);

  /// Time on the own clock until which new work may be sent to servers of the
  /// slice; nullopt when none may be sent. Changes only in the calls above.
  [[nodiscard]] std::optional<TimePoint> SendableUntil(
    const SliceId& aSlice) const;

  /// All slices that new work may be sent to, each with its `SendableUntil`.
  [[nodiscard]] std::vector<std::pair<SliceId, TimePoint>> SendableSlices()
    const;
  /// Increases whenever the result of `SendableSlices` may have changed.
  [[nodiscard]] std::uint64_t Generation() const noexcept;

  /// Slices to announce in the member record: held, waiting or draining.
  [[nodiscard]] std::vector<SliceId> OwnedSlices() const;
  /// Slices that are being handed over; the caller reports the end of the work
  /// on each with `MarkDrained`.
  [[nodiscard]] std::vector<SliceId> DrainingSlices() const;
  /// nullopt for a slice that the instance neither holds nor requests.
  [[nodiscard]] std::optional<LeaseState> StateOf(const SliceId& aSlice) const;

  /// Reports that no work on the slice is queued, in flight or unconfirmed. The
  /// next tick releases the lease. Ignored unless the slice is draining.
  void MarkDrained(const SliceId& aSlice);

  /// Peers whose replies since the last call stated a newer configuration or
  /// roster; at most one entry for each peer.
  [[nodiscard]] std::vector<NewerPeer> TakeNewerPeers();

  /// Leases acquired, lost and released since the last call; at most 256.
  [[nodiscard]] std::vector<AuditNote> TakeAuditNotes();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::process
