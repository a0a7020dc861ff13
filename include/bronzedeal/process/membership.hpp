#pragma once

#include "bronzedeal/process/audit_trail.hpp"
#include "bronzedeal/process/messages.hpp"
#include "bronzedeal/process/roster.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace bronzedeal::process {

struct MembershipOptions
{
  /// Each interval one member is probed, in the order of a shuffled rotation.
  Duration probeInterval = milliseconds(200);
  /// A probe that is unacknowledged for this long continues through other
  /// members. A probe younger than this does not count as contact yet.
  Duration directProbeTimeout = milliseconds(150);
  /// Time from the start of an unacknowledged probe until its target becomes
  /// suspect.
  Duration probeTimeout = milliseconds(500);
  /// Time from suspect to dead.
  Duration suspicionTimeout = milliseconds(1000);
  /// Length of the window of `Membership::CountContacts`.
  Duration contactWindow = milliseconds(3000);
  /// A larger gap between two ticks means that the process was paused.
  Duration pauseThreshold = milliseconds(1000);
  /// Members that are asked to probe the target of an unacknowledged probe.
  std::size_t indirectProbeCount = 3;
  /// Random members that each push goes to.
  std::size_t pushFanout = 2;
  Duration pushInterval = milliseconds(100);
  /// Limit on the encoded records and progress map of a message. The record of
  /// a suspected receiver is added beyond it.
  std::size_t maxPiggybackBytes = 1200;
  /// Each member that learns a full record passes it on this many times. Push
  /// gossip with k sends misses a member with probability e^-k; a sync repairs
  /// that.
  unsigned transmitsPerRecord = 6;
  /// Every message carries the progress map for this long after its last
  /// change.
  Duration mapPushDuration = milliseconds(600);
  /// Later one in this many pings, ping requests and acknowledgements does.
  unsigned messagesPerMap = 8;
  /// A difference of full records that lasts this long is repaired by a sync;
  /// also the shortest time between two syncs.
  Duration syncDelay = milliseconds(1000);
  /// Seed of all random choices.
  std::uint64_t seed = 1;
};

/// How many roster entries this instance has recently been in contact with. In
/// a large roster not every entry is contacted within the window, and the
/// counts are those of a sample.
struct ContactCounts
{
  /// Entries of the roster, the own instance included. Added entries that have
  /// not been heard from are left out for the length of the window.
  std::size_t rosterSize = 0;
  /// Entries that were probed or reported within the window, the own instance
  /// included; in a small roster all entries.
  std::size_t contacted = 0;
  /// Entries among `contacted` that sent a message within the window.
  std::size_t heardFrom = 0;
  /// Entries that sent their own record within the window, the own instance
  /// included. Only these have stated their configuration version.
  std::size_t reported = 0;
};

/// True when the instance reaches at least half of the roster. With a partial
/// sample the threshold is lowered by two standard deviations, so that a
/// well-connected instance is not fenced by chance; a sample of fewer than 12
/// never suffices.
[[nodiscard]] bool ReachesHalf(const ContactCounts& aContact) noexcept;

/// True when enough members have reported for this instance to join or rejoin:
/// more than half of the roster, or of a sample of at least 12.
[[nodiscard]] bool MajorityHasReported(const ContactCounts& aContact) noexcept;

/// What an instance announces about itself.
struct SelfState
{
  ConfigVersion configVersion = 0;
  ConfigHash configHash{};
  bool fenced = false;
  bool leaving = false;
  std::vector<SliceId> slices;
  /// Oldest version with unfinished work; 0 for none. Work counts under the
  /// version that was in force when it began, so this never falls below a value
  /// announced earlier.
  ConfigVersion oldestActiveVersion = 0;
};

struct TickResult
{
  /// The gap since the last tick exceeded `pauseThreshold`.
  bool pauseDetected = false;
};

/// Whether the sender of a message is accepted.
enum class SenderStatus : std::uint8_t
{
  Accepted,
  /// The sender is not in the roster.
  UnknownSender,
  /// A newer incarnation of the sender is known.
  StaleIncarnation,
};

/// The member table of one instance, maintained by SWIM-style probes with
/// suspicion (Das, Gupta and Motivala, "SWIM", DSN 2002) and by gossip of
/// member records.
class Membership
{
public:
  Membership(RosterEntry aSelf,
             Incarnation aIncarnation,
             MembershipOptions aOptions = {});
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  /// Applies a published instance list; a revision that is not higher is
  /// ignored. Members that are no longer listed are removed. Of several entries
  /// with the same id one is kept.
  void SetRoster(RosterRevision aRevision,
                 std::vector<RosterEntry> aEntries,
                 TimePoint aNow);

  /// Sends due probes, pushes and syncs and updates suspicions. To be called
  /// every 50 ms.
  TickResult Tick(TimePoint aNow, std::vector<OutgoingMessage>& aOut);

  /// Checks the sender as `AdmitSender` does, merges the records and appends
  /// the replies.
  SenderStatus Receive(const InstanceId& aFrom,
                       Incarnation aIncarnation,
                       const GossipMessage& aMessage,
                       TimePoint aNow,
                       std::vector<OutgoingMessage>& aOut);

  /// Checks the sender of a message other than gossip, before the message is
  /// handled. A message from an accepted sender counts as contact, and a newer
  /// incarnation replaces the sender's record.
  SenderStatus AdmitSender(const InstanceId& aFrom,
                           Incarnation aIncarnation,
                           TimePoint aNow);

  /// Updates the own record. Lower versions than before are ignored, and an
  /// instance that has announced that it leaves stays so.
  void UpdateSelf(const SelfState& aState);

  [[nodiscard]] const Member& Self() const noexcept;
  /// The record of a roster member; nullptr for an unknown id. Valid until the
  /// next non-const call.
  [[nodiscard]] const Member* Find(const InstanceId& aId) const;
  /// The records of all roster members and of the own instance, sorted by id.
  [[nodiscard]] std::vector<Member> CopyMembers() const;
  /// The same without a copy; valid until the next non-const call.
  [[nodiscard]] std::span<const Member> Records() const;
  /// Members that may own slices: their record is known, they are alive or
  /// suspect, not fenced, and not leaving by their record or by the roster.
  [[nodiscard]] std::vector<Candidate> Candidates() const;
  /// Increases whenever the result of `Candidates` may have changed.
  [[nodiscard]] std::uint64_t CandidateEpoch() const noexcept;
  /// Increases with each change to any record.
  [[nodiscard]] std::uint64_t Epoch() const noexcept;

  /// Status changes, replaced members and refused senders since the last call;
  /// at most 256.
  [[nodiscard]] std::vector<AuditNote> TakeAuditNotes();

  [[nodiscard]] RosterRevision CurrentRosterRevision() const noexcept;
  [[nodiscard]] std::span<const RosterEntry> Roster() const noexcept;

  /// Contacts within `contactWindow` before `aNow`; all zero before the first
  /// roster.
  [[nodiscard]] ContactCounts CountContacts(TimePoint aNow) const;
  /// Discards all earlier contacts, so that an instance rejoins after a pause
  /// on new contacts only.
  void ClearContacts();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::process
