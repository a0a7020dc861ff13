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
  Duration probeInterval = milliseconds(200);
  /// Without an acknowledgement for this long, the probe goes on through
  /// others.
  Duration directProbeTimeout = milliseconds(150);
  /// Time from the start of a probe until the target becomes suspect.
  Duration probeTimeout = milliseconds(500);
  Duration suspicionTimeout = milliseconds(1000);
  Duration contactWindow = milliseconds(3000);
  /// A larger gap between two ticks means that the process was paused.
  Duration pauseThreshold = milliseconds(1000);
  std::size_t indirectProbeCount = 3;
  /// Members that fresh updates are pushed to in each push interval.
  std::size_t pushFanout = 2;
  Duration pushInterval = milliseconds(100);
  std::size_t maxPiggybackBytes = 1200;
  /// Each full record is sent this many times by each member that learns it.
  /// Push gossip with k sends misses a member with probability e^-k; a sync
  /// repairs that.
  unsigned transmitsPerRecord = 6;
  /// Pushes carry the map of versions for this long after its last change.
  Duration mapPushDuration = milliseconds(600);
  /// Otherwise one in this many pings and acknowledgements carries it.
  unsigned messagesPerMap = 8;
  /// A difference of full records that lasts this long is repaired.
  Duration syncDelay = milliseconds(1000);
  std::uint64_t seed = 1;
};

/// How many roster members this instance reaches. In a large roster not every
/// member is contacted within the window, and the count is a sample.
struct ContactCounts
{
  /// Entries of the roster, the own instance included.
  std::size_t rosterSize = 0;
  /// Entries that were probed or reported within the window, self included; in
  /// a small roster all entries.
  std::size_t contacted = 0;
  /// Those of them that a message came from within the window.
  std::size_t heardFrom = 0;
  /// Entries that sent their own record within the window, self included; only
  /// these have stated their configuration version.
  std::size_t reported = 0;
};

/// True when the instance reaches at least half of the roster. With a partial
/// sample the threshold is lowered by two standard deviations, so that a
/// well-connected instance is not fenced by chance.
[[nodiscard]] bool ReachesHalf(const ContactCounts& aContact) noexcept;

/// True when enough members have reported to join or rejoin: more than half of
/// the roster, or of a sample of at least 12.
[[nodiscard]] bool MajorityHasReported(const ContactCounts& aContact) noexcept;

/// What an instance announces about itself.
struct SelfState
{
  ConfigVersion configVersion = 0;
  ConfigHash configHash{};
  bool fenced = false;
  bool leaving = false;
  std::vector<SliceId> slices;
  /// Oldest version with unfinished work, 0 for none. Work counts under the
  /// version that was in force when it began, so that this never falls below
  /// what was announced before.
  ConfigVersion oldestActiveVersion = 0;
};

struct TickResult
{
  /// The gap since the last tick exceeded `pauseThreshold`.
  bool pauseDetected = false;
};

/// Outcome of a received message.
enum class SenderStatus : std::uint8_t
{
  Accepted,
  /// The sender is on no roster.
  UnknownSender,
  /// A newer incarnation of the sender is known.
  StaleIncarnation,
};

/// The table of members, kept by SWIM-style probes with suspicion (Das, Gupta
/// and Motivala, "SWIM", DSN 2002) and gossip of records.
class Membership
{
public:
  Membership(RosterEntry aSelf,
             Incarnation aIncarnation,
             MembershipOptions aOptions = {});
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  /// Takes a published list; a revision that is not higher is ignored. Members
  /// that are no longer listed are forgotten. Of entries with the same id one
  /// is kept.
  void SetRoster(RosterRevision aRevision,
                 std::vector<RosterEntry> aEntries,
                 TimePoint aNow);

  /// To be called every 50 ms.
  TickResult Tick(TimePoint aNow, std::vector<OutgoingMessage>& aOut);

  /// Handles gossip and appends answers.
  SenderStatus Receive(const InstanceId& aFrom,
                       Incarnation aIncarnation,
                       const GossipMessage& aMessage,
                       TimePoint aNow,
                       std::vector<OutgoingMessage>& aOut);

  /// Checks the sender of any other message; an accepted one counts as contact.
  /// To be called before the message is passed on.
  SenderStatus AdmitSender(const InstanceId& aFrom,
                           Incarnation aIncarnation,
                           TimePoint aNow);

  /// Changes the own record. Versions that are lower than before are ignored.
  void UpdateSelf(const SelfState& aState);

  [[nodiscard]] const Member& Self() const noexcept;
  /// The record of a roster member, nullptr for an unknown id.
  [[nodiscard]] const Member* Find(const InstanceId& aId) const;
  /// All roster members, the own instance included, sorted by id.
  [[nodiscard]] std::vector<Member> CopyMembers() const;
  /// The same without a copy; valid until the next call that is not const.
  [[nodiscard]] std::span<const Member> Records() const;
  /// Members that may own slices: heard of, alive or suspect, not fenced, not
  /// leaving by their own record or by the roster.
  [[nodiscard]] std::vector<Candidate> Candidates() const;
  /// Rises whenever the result of `Candidates` may have changed.
  [[nodiscard]] std::uint64_t CandidateEpoch() const noexcept;
  /// Rises with any change of any record.
  [[nodiscard]] std::uint64_t Epoch() const noexcept;

  /// Status changes and refused senders since the last call.
  [[nodiscard]] std::vector<AuditNote> TakeAuditNotes();

  [[nodiscard]] RosterRevision CurrentRosterRevision() const noexcept;
  [[nodiscard]] std::span<const RosterEntry> Roster() const noexcept;

  /// Contacts within the last 3 s; all zero before the first roster.
  [[nodiscard]] ContactCounts CountContacts(TimePoint aNow) const;
  /// Forgets earlier contacts; used after a pause, to rejoin.
  void ClearContacts();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::process
