#include "bronzedeal/process/membership.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <map>
#include <random>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <xxhash.h>

namespace bronzedeal::process {
namespace {

constexpr std::size_t kBlockSize = 64;
// Up to this size every entry is probed within the contact window, and the
// contact counts are exact.
constexpr std::size_t kMaxExactRoster = 16;
// A smaller sample of contacts is too inaccurate to use.
constexpr std::size_t kMinSampleSize = 12;
constexpr std::size_t kMaxAuditNotes = 256;

std::uint64_t HashId(const InstanceId& aId, std::uint64_t aSeed) noexcept
{
  return XXH64(aId.data(), aId.size(), aSeed);
}

constexpr std::string_view NameOf(MemberStatus aStatus) noexcept
{
  switch (aStatus) {
    case MemberStatus::Alive:
      return "alive";
    case MemberStatus::Suspect:
      return "suspect";
    case MemberStatus::Leaving:
      return "leaving";
    case MemberStatus::Dead:
      return "dead";
  }
  return "unknown";
}

// Precedence of a status: of two records with the same incarnation and sequence
// the one of higher severity wins, so that a suspicion replaces the record that
// it refers to.
int Severity(MemberStatus aStatus) noexcept
{
  return aStatus == MemberStatus::Suspect ? 1
         : aStatus == MemberStatus::Dead  ? 2
                                          : 0;
}

struct MemberEntry
{
  Member record;
  bool rosterLeaving = false;
  /// False only for the own instance while the roster does not list it.
  bool inRoster = true;
  /// The incarnation has announced that it leaves, which it cannot revoke.
  bool hasAnnouncedLeaving = false;
  /// When a roster after the first one added the entry.
  std::optional<TimePoint> addedAt;
  std::optional<TimePoint> lastHeard;
  std::optional<TimePoint> lastReported;
  std::optional<TimePoint> lastProbed;
  std::optional<TimePoint> previouslyProbed;
  TimePoint suspectSince{};
  /// Number of times the full record is still to be passed on.
  unsigned transmitsLeft = 0;
  /// Hash of id and incarnation, cached because digests are computed often.
  std::uint64_t incarnationHash = 0;
};

struct Probe
{
  InstanceId target;
  TimePoint startedAt;
  bool indirectRequestsSent = false;
  /// The instance that asked for this indirect probe; empty for an own probe.
  InstanceId requester;
  std::uint64_t requesterProbeId = 0;
};

} // namespace

bool ReachesHalf(const ContactCounts& aContact) noexcept
{
  if (aContact.rosterSize == 0) {
    return false;
  }
  if (aContact.contacted >= aContact.rosterSize) {
    return aContact.heardFrom * 2 >= aContact.rosterSize;
  }
  if (aContact.contacted < kMinSampleSize) {
    return false;
  }
  const auto n = static_cast<double>(aContact.contacted);
  return static_cast<double>(aContact.heardFrom) >= n / 2 - std::sqrt(n);
}

bool MajorityHasReported(const ContactCounts& aContact) noexcept
{
  if (aContact.rosterSize == 0) {
    return false;
  }
  if (aContact.contacted >= aContact.rosterSize) {
    return aContact.reported * 2 > aContact.rosterSize;
  }
  return aContact.reported * 2 > aContact.rosterSize ||
         (aContact.contacted >= kMinSampleSize &&
          aContact.reported * 2 > aContact.contacted);
}

struct Membership::Impl
{
  RosterEntry self;
  MembershipOptions options;
  std::mt19937_64 random;
  RosterRevision rosterRevision = 0;
  std::vector<RosterEntry> roster;
  std::vector<MemberEntry> entries;
  std::unordered_map<InstanceId, std::size_t> indexById;
  /// Indices in `entries` of the roster members, in the order of their ids;
  /// each block of the progress map covers 64 of them.
  std::vector<std::size_t> rosterIndices;
  /// Digests and bits of the roster members, as of `progressMapEpoch`.
  ProgressMap progressMap;
  std::uint64_t progressMapEpoch = 0;
  std::optional<TimePoint> progressMapChangedAt;
  /// Messages so far of which one in `messagesPerMap` carries the map.
  std::uint64_t mapOpportunities = 0;
  /// Since when the full records of each block have differed from a peer's.
  std::vector<std::optional<TimePoint>> blockDiffersSince;
  std::map<std::uint64_t, Probe> openProbes;
  std::vector<std::size_t> probeRotation;
  std::uint64_t lastProbeId = 0;
  std::optional<TimePoint> lastTick;
  std::optional<TimePoint> nextProbe;
  std::optional<TimePoint> nextPush;
  std::optional<TimePoint> nextSync;
  std::uint64_t epoch = 1;
  std::uint64_t candidateEpoch = 1;
  /// The records of `entries` as of `recordCopiesEpoch`.
  std::vector<Member> recordCopies;
  std::uint64_t recordCopiesEpoch = 0;
  std::vector<AuditNote> auditNotes;
  /// False only when no entry has transmissions left.
  bool anyTransmitsLeft = true;
  /// False only when no entry is suspect.
  bool anySuspect = false;
  /// Encoded size of the records and map of the message being composed.
  std::size_t messageBytes = 0;

  TimePoint LastTickTime() const { return lastTick.value_or(TimePoint{}); }

  MemberEntry& OwnEntry() { return entries[indexById.at(self.id)]; }
  const MemberEntry& OwnEntry() const { return entries[indexById.at(self.id)]; }

  MemberEntry* FindEntry(const InstanceId& aId)
  {
    const auto it = indexById.find(aId);
    return it == indexById.end() ? nullptr : &entries[it->second];
  }

  void AddAuditNote(AuditKind aKind, std::string aDetail)
  {
    if (auditNotes.size() < kMaxAuditNotes) {
      auditNotes.push_back(
        { aKind, OwnEntry().record.configVersion, std::move(aDetail) });
    }
  }

  void RebuildIndex()
  {
    std::sort(entries.begin(),
              entries.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.record.id < aRight.record.id;
              });
    indexById.clear();
    rosterIndices.clear();
    for (std::size_t i = 0; i < entries.size(); ++i) {
      auto& entry = entries[i];
      indexById[entry.record.id] = i;
      entry.incarnationHash = HashId(entry.record.id, entry.record.incarnation);
      if (entries[i].inRoster) {
        rosterIndices.push_back(i);
      }
    }
    blockDiffersSince.assign(
      (rosterIndices.size() + kBlockSize - 1) / kBlockSize, {});
    probeRotation.clear();
    ++epoch;
  }

  void ScheduleTransmits(MemberEntry& aEntry)
  {
    aEntry.transmitsLeft = options.transmitsPerRecord;
    anyTransmitsLeft = true;
    ++epoch;
  }

  void AdvanceOwnSequence()
  {
    auto& own = OwnEntry();
    ++own.record.sequence;
    ScheduleTransmits(own);
    ++candidateEpoch;
  }

  // Keeps the higher versions, since those of one incarnation never decrease.
  void MergeVersions(MemberEntry& aEntry,
                     ConfigVersion aVersion,
                     const ConfigHash& aHash,
                     ConfigVersion aSettled,
                     TimePoint aNow)
  {
    auto& record = aEntry.record;
    if (aVersion > record.configVersion) {
      record.configVersion = aVersion;
      record.configHash = aHash;
    } else if (aSettled <= record.settledVersion) {
      return;
    }
    record.settledVersion = std::max(record.settledVersion, aSettled);
    progressMapChangedAt = aNow;
    ++epoch;
  }

  void SetStatus(MemberEntry& aEntry, MemberStatus aStatus, TimePoint aNow)
  {
    if (aEntry.record.status == aStatus) {
      return;
    }
    AddAuditNote(AuditKind::MemberStatusChanged,
                 fmt::format("{} was {}, is {}",
                             aEntry.record.id,
                             NameOf(aEntry.record.status),
                             NameOf(aStatus)));
    aEntry.record.status = aStatus;
    if (aStatus == MemberStatus::Suspect) {
      aEntry.suspectSince = aNow;
      anySuspect = true;
    }
    aEntry.hasAnnouncedLeaving =
      aEntry.hasAnnouncedLeaving || aStatus == MemberStatus::Leaving;
    ++epoch;
    ++candidateEpoch;
  }

  // Resets the record to that of a newer incarnation, of which nothing else is
  // known.
  void ResetForIncarnation(MemberEntry& aEntry, Incarnation aIncarnation)
  {
    if (aEntry.record.incarnation != 0) {
      AddAuditNote(AuditKind::MemberReplaced,
                   fmt::format("{} has the newer incarnation {}",
                               aEntry.record.id,
                               aIncarnation));
    }
    auto& record = aEntry.record;
    record.incarnation = aIncarnation;
    aEntry.incarnationHash = HashId(record.id, aIncarnation);
    record.sequence = 0;
    record.status = MemberStatus::Alive;
    record.configVersion = 0;
    record.configHash = {};
    record.rosterRevision = 0;
    record.fenced = false;
    record.slices.clear();
    record.settledVersion = 0;
    aEntry.hasAnnouncedLeaving = false;
    aEntry.transmitsLeft = 0;
    aEntry.lastReported.reset();
    ++epoch;
    ++candidateEpoch;
  }

  SenderStatus AdmitSender(const InstanceId& aFrom,
                           Incarnation aIncarnation,
                           TimePoint aNow)
  {
    auto* entry = FindEntry(aFrom);
    if (entry == nullptr) {
      AddAuditNote(AuditKind::MessageRefused,
                   fmt::format("{} is on no roster up to revision {}",
                               aFrom,
                               rosterRevision));
      return SenderStatus::UnknownSender;
    }
    if (aIncarnation < entry->record.incarnation || aIncarnation == 0) {
      return SenderStatus::StaleIncarnation;
    }
    if (aFrom == self.id) {
      return aIncarnation == entry->record.incarnation
               ? SenderStatus::Accepted
               : SenderStatus::StaleIncarnation;
    }
    if (aIncarnation > entry->record.incarnation) {
      ResetForIncarnation(*entry, aIncarnation);
    }
    entry->lastHeard = aNow;
    return SenderStatus::Accepted;
  }

  // Advances the own sequence beyond a record that calls this incarnation
  // suspect or dead, so that the own record replaces it.
  void RefuteSuspicion(const Member& aRecord)
  {
    auto& own = OwnEntry();
    if (aRecord.incarnation == own.record.incarnation &&
        Severity(aRecord.status) > 0 &&
        aRecord.sequence >= own.record.sequence) {
      own.record.sequence = aRecord.sequence;
      AdvanceOwnSequence();
    }
  }

  void MergeRecord(const Member& aRecord, TimePoint aNow)
  {
    auto* entry = FindEntry(aRecord.id);
    if (entry == nullptr || aRecord.incarnation == 0) {
      return;
    }
    if (aRecord.id == self.id) {
      RefuteSuspicion(aRecord);
      return;
    }
    if (aRecord.incarnation < entry->record.incarnation) {
      return;
    }
    if (aRecord.incarnation > entry->record.incarnation) {
      ResetForIncarnation(*entry, aRecord.incarnation);
    }
    auto& record = entry->record;
    MergeVersions(*entry,
                  aRecord.configVersion,
                  aRecord.configHash,
                  aRecord.settledVersion,
                  aNow);
    record.rosterRevision =
      std::max(record.rosterRevision, aRecord.rosterRevision);
    const bool newer = aRecord.sequence > record.sequence ||
                       (aRecord.sequence == record.sequence &&
                        Severity(aRecord.status) > Severity(record.status));
    if (!newer || aRecord.sequence == 0) {
      return;
    }
    if (record.fenced != aRecord.fenced || record.sequence == 0) {
      ++candidateEpoch;
    }
    record.sequence = aRecord.sequence;
    record.fenced = aRecord.fenced;
    record.slices = aRecord.slices;
    SetStatus(*entry, aRecord.status, aNow);
    ScheduleTransmits(*entry);
  }

  MemberEntry& EntryAt(std::size_t aBlock, std::size_t aBit)
  {
    return entries[rosterIndices[aBlock * kBlockSize + aBit]];
  }

  std::size_t MembersInBlock(std::size_t aBlock) const
  {
    return std::min(kBlockSize, rosterIndices.size() - aBlock * kBlockSize);
  }

  // The progress map, recomputed if any record has changed.
  const ProgressMap& UpdatedProgressMap()
  {
    if (progressMapEpoch == epoch) {
      return progressMap;
    }
    progressMapEpoch = epoch;
    progressMap.rosterRevision = rosterRevision;
    for (const auto i : rosterIndices) {
      const auto& record = entries[i].record;
      if (record.configVersion > progressMap.configVersion) {
        progressMap.configVersion = record.configVersion;
        progressMap.configHash = record.configHash;
      }
    }
    progressMap.blocks.assign(blockDiffersSince.size(), {});
    for (std::size_t b = 0; b < progressMap.blocks.size(); ++b) {
      auto& block = progressMap.blocks[b];
      for (std::size_t n = 0; n < MembersInBlock(b); ++n) {
        const auto& entry = EntryAt(b, n);
        const auto& record = entry.record;
        const auto bit = std::uint64_t{ 1 } << n;
        const auto state = record.sequence * 4 +
                           static_cast<std::uint64_t>(Severity(record.status));
        block.incarnations ^= entry.incarnationHash;
        // Multiplicative hashing: the upper half depends on all input bits.
        block.records ^= static_cast<std::uint32_t>(
          ((entry.incarnationHash ^ state) * 0x9E3779B97F4A7C15ULL) >> 32);
        const bool inForce =
          record.configVersion == progressMap.configVersion &&
          record.configHash == progressMap.configHash;
        block.inForce |= inForce ? bit : 0;
        block.settled |=
          inForce && record.settledVersion >= progressMap.configVersion ? bit
                                                                        : 0;
      }
    }
    return progressMap;
  }

  void MergeProgressMap(const ProgressMap& aMap, TimePoint aNow)
  {
    if (aMap.rosterRevision != rosterRevision ||
        aMap.blocks.size() != blockDiffersSince.size()) {
      return;
    }
    // A copy, since merging changes the map that `UpdatedProgressMap` returns.
    const auto own = UpdatedProgressMap().blocks;
    for (std::size_t b = 0; b < own.size(); ++b) {
      const auto& block = aMap.blocks[b];
      if (block.records == own[b].records) {
        blockDiffersSince[b].reset();
      } else if (!blockDiffersSince[b]) {
        blockDiffersSince[b] = aNow;
      }
      // The bits refer to the incarnations that the sender knows, so they are
      // valid only if those are the ones known here.
      if (block.incarnations != own[b].incarnations) {
        continue;
      }
      for (std::size_t n = 0; n < MembersInBlock(b); ++n) {
        const auto bit = std::uint64_t{ 1 } << n;
        auto& entry = EntryAt(b, n);
        if ((block.inForce & bit) == 0 || entry.record.id == self.id) {
          continue;
        }
        MergeVersions(entry,
                      aMap.configVersion,
                      aMap.configHash,
                      (block.settled & bit) != 0 ? aMap.configVersion : 0,
                      aNow);
      }
    }
  }

  // The record without the fields that every member takes from the roster.
  static Member GossipedRecord(const MemberEntry& aEntry)
  {
    Member record = aEntry.record;
    record.httpAddress.clear();
    record.peerAddress.clear();
    record.failureDomain.clear();
    record.region.clear();
    return record;
  }

  // False when the record is unknown or does not fit.
  bool AppendRecord(GossipMessage& aMessage, MemberEntry& aEntry)
  {
    if (aEntry.record.sequence == 0) {
      return false;
    }
    auto record = GossipedRecord(aEntry);
    const auto cost = EncodedSize(record);
    if (messageBytes + cost > options.maxPiggybackBytes) {
      return false;
    }
    messageBytes += cost;
    aMessage.records.push_back(std::move(record));
    if (aEntry.transmitsLeft > 0) {
      --aEntry.transmitsLeft;
    }
    return true;
  }

  // Appends full records with transmissions left, those with most left first.
  void AppendPendingRecords(GossipMessage& aMessage)
  {
    if (!anyTransmitsLeft) {
      return;
    }
    std::vector<std::size_t> pending;
    for (std::size_t i = 0; i < entries.size(); ++i) {
      if (entries[i].transmitsLeft > 0) {
        pending.push_back(i);
      }
    }
    anyTransmitsLeft = !pending.empty();
    if (!anyTransmitsLeft) {
      return;
    }
    // A random start distributes entries with equal counts over the targets.
    std::rotate(pending.begin(),
                pending.begin() +
                  static_cast<std::ptrdiff_t>(random() % pending.size()),
                pending.end());
    // An estimate of how many records fit, at 40 bytes each.
    const auto n = std::min(options.maxPiggybackBytes / 40, pending.size());
    std::partial_sort(pending.begin(),
                      pending.begin() + static_cast<std::ptrdiff_t>(n),
                      pending.end(),
                      [&](std::size_t aLeft, std::size_t aRight) {
                        return entries[aLeft].transmitsLeft >
                               entries[aRight].transmitsLeft;
                      });
    pending.resize(n);
    for (const auto i : pending) {
      const bool alreadyIncluded = entries[i].record.id == self.id &&
                                   !aMessage.records.empty() &&
                                   aMessage.records[0].id == self.id;
      if (!alreadyIncluded && !AppendRecord(aMessage, entries[i])) {
        break;
      }
    }
  }

  void AppendProgressMap(GossipMessage& aMessage, TimePoint aNow)
  {
    const bool changedRecently =
      progressMapChangedAt &&
      aNow - *progressMapChangedAt <= options.mapPushDuration;
    const bool due =
      aMessage.kind != GossipKind::Push &&
      ++mapOpportunities % std::max(options.messagesPerMap, 1U) == 0;
    if (!changedRecently && !due) {
      return;
    }
    const auto& current = UpdatedProgressMap();
    const auto cost = EncodedSize(current);
    if (messageBytes + cost <= options.maxPiggybackBytes) {
      aMessage.progress = current;
      messageBytes += cost;
    }
  }

  GossipMessage ComposeMessage(GossipKind aKind,
                               std::uint64_t aProbe,
                               const InstanceId& aTarget,
                               const MemberEntry* aReceiver,
                               TimePoint aNow)
  {
    GossipMessage message{ aKind, aProbe, aTarget, {}, {}, {} };
    messageBytes = 0;
    if (aKind != GossipKind::Push) {
      AppendRecord(message, OwnEntry());
      // Tells the receiver that it is suspected, so that it can refute this.
      if (aReceiver != nullptr && Severity(aReceiver->record.status) > 0) {
        message.records.push_back(GossipedRecord(*aReceiver));
        messageBytes += EncodedSize(message.records.back());
      }
    }
    AppendProgressMap(message, aNow);
    AppendPendingRecords(message);
    return message;
  }

  void StartProbe(std::size_t aTarget,
                  Probe aProbe,
                  std::vector<OutgoingMessage>& aOut)
  {
    auto& entry = entries[aTarget];
    entry.previouslyProbed = entry.lastProbed;
    entry.lastProbed = aProbe.startedAt;
    const auto id = ++lastProbeId;
    const auto& target = entry.record.id;
    aProbe.target = target;
    const auto now = aProbe.startedAt;
    openProbes[id] = std::move(aProbe);
    aOut.push_back(
      { target, ComposeMessage(GossipKind::Ping, id, target, &entry, now) });
  }

  std::optional<std::size_t> NextProbeTarget()
  {
    if (probeRotation.empty()) {
      for (std::size_t i = 0; i < entries.size(); ++i) {
        if (entries[i].record.id != self.id) {
          probeRotation.push_back(i);
        }
      }
      Shuffle(probeRotation);
    }
    if (probeRotation.empty()) {
      return std::nullopt;
    }
    const auto next = probeRotation.back();
    probeRotation.pop_back();
    return next;
  }

  // std::shuffle differs between standard libraries, and runs must be
  // reproducible.
  void Shuffle(std::vector<std::size_t>& aItems)
  {
    for (std::size_t i = aItems.size(); i > 1; --i) {
      std::swap(aItems[i - 1], aItems[random() % i]);
    }
  }

  // Up to `aCount` random members that are not known to be dead, other than the
  // own instance and `aExcept`.
  std::vector<std::size_t> ChooseRandomMembers(std::size_t aCount,
                                               const InstanceId& aExcept)
  {
    std::vector<std::size_t> chosen;
    for (std::size_t attempt = 0;
         attempt < 8 * aCount && chosen.size() < aCount && entries.size() > 1;
         ++attempt) {
      const auto i = random() % entries.size();
      const auto& record = entries[i].record;
      if (record.id != self.id && record.id != aExcept &&
          record.status != MemberStatus::Dead &&
          std::find(chosen.begin(), chosen.end(), i) == chosen.end()) {
        chosen.push_back(i);
      }
    }
    return chosen;
  }

  // A random member whose record is known and alive.
  std::optional<std::size_t> ChooseAliveMember()
  {
    const auto first = random() % entries.size();
    for (std::size_t n = 0; n < entries.size(); ++n) {
      const auto i = (first + n) % entries.size();
      const auto& record = entries[i].record;
      if (record.id != self.id && record.sequence != 0 &&
          record.status == MemberStatus::Alive) {
        return i;
      }
    }
    return std::nullopt;
  }

  void AdvanceProbes(TimePoint aNow, std::vector<OutgoingMessage>& aOut)
  {
    for (auto it = openProbes.begin(); it != openProbes.end();) {
      auto& probe = it->second;
      auto* target = FindEntry(probe.target);
      const auto age = aNow - probe.startedAt;
      if (target == nullptr || age >= options.probeTimeout) {
        if (target != nullptr && probe.requester.empty() &&
            target->record.sequence != 0 &&
            Severity(target->record.status) == 0) {
          SetStatus(*target, MemberStatus::Suspect, aNow);
          ScheduleTransmits(*target);
        }
        it = openProbes.erase(it);
        continue;
      }
      if (probe.requester.empty() && !probe.indirectRequestsSent &&
          age >= options.directProbeTimeout) {
        probe.indirectRequestsSent = true;
        for (const auto i :
             ChooseRandomMembers(options.indirectProbeCount, probe.target)) {
          aOut.push_back({ entries[i].record.id,
                           ComposeMessage(GossipKind::PingRequest,
                                          it->first,
                                          probe.target,
                                          nullptr,
                                          aNow) });
        }
      }
      ++it;
    }
    if (!nextProbe || aNow >= *nextProbe) {
      nextProbe = aNow + options.probeInterval;
      if (const auto next = NextProbeTarget()) {
        StartProbe(*next, { {}, aNow, false, {}, 0 }, aOut);
      }
    }
  }

  void ExpireSuspicions(TimePoint aNow)
  {
    if (!anySuspect) {
      return;
    }
    anySuspect = false;
    for (auto& it : entries) {
      if (it.record.status != MemberStatus::Suspect) {
        continue;
      }
      if (aNow - it.suspectSince >= options.suspicionTimeout) {
        SetStatus(it, MemberStatus::Dead, aNow);
        ScheduleTransmits(it);
      } else {
        anySuspect = true;
      }
    }
  }

  void SendPushes(TimePoint aNow, std::vector<OutgoingMessage>& aOut)
  {
    if (nextPush && aNow < *nextPush) {
      return;
    }
    nextPush = aNow + options.pushInterval;
    for (const auto i : ChooseRandomMembers(options.pushFanout, self.id)) {
      auto message = ComposeMessage(GossipKind::Push, 0, {}, nullptr, aNow);
      if (message.records.empty() && message.progress.blocks.empty()) {
        return;
      }
      aOut.push_back({ entries[i].record.id, std::move(message) });
    }
  }

  // An instance that knows at most half of the records requests all of them
  // from one peer; later it requests a block whose records have differed from a
  // peer's for `syncDelay`.
  void SendSync(TimePoint aNow, std::vector<OutgoingMessage>& aOut)
  {
    if (nextSync && aNow < *nextSync) {
      return;
    }
    const auto peer = ChooseAliveMember();
    if (!peer) {
      return;
    }
    GossipMessage message{ GossipKind::Sync, 0, {}, {}, {}, {} };
    const auto knownRecords =
      std::count_if(entries.begin(), entries.end(), [](const MemberEntry& aIt) {
        return aIt.record.sequence != 0;
      });
    // The full request is repeated if it or the replies were lost.
    if (2 * static_cast<std::size_t>(knownRecords) > entries.size()) {
      const auto due = std::find_if(
        blockDiffersSince.begin(), blockDiffersSince.end(), [&](auto& aIt) {
          return aIt && aNow - *aIt >= options.syncDelay;
        });
      if (due == blockDiffersSince.end()) {
        return;
      }
      due->reset();
      message.wantedBlocks.push_back(
        static_cast<std::uint32_t>(due - blockDiffersSince.begin()));
    }
    nextSync = aNow + options.syncDelay;
    aOut.push_back({ entries[*peer].record.id, std::move(message) });
  }

  void ReplyToSync(const InstanceId& aFrom,
                   const GossipMessage& aMessage,
                   std::vector<OutgoingMessage>& aOut)
  {
    std::vector<std::size_t> wanted = rosterIndices;
    if (!aMessage.wantedBlocks.empty()) {
      std::erase_if(wanted, [&](std::size_t aIndex) {
        const auto place =
          std::lower_bound(rosterIndices.begin(), rosterIndices.end(), aIndex) -
          rosterIndices.begin();
        return static_cast<std::size_t>(place) / kBlockSize !=
               aMessage.wantedBlocks.front();
      });
    }
    GossipMessage push{ GossipKind::Push, 0, {}, {}, {}, {} };
    messageBytes = 0;
    for (const auto i : wanted) {
      if (entries[i].record.sequence == 0) {
        continue;
      }
      auto record = GossipedRecord(entries[i]);
      const auto cost = EncodedSize(record);
      if (messageBytes + cost > options.maxPiggybackBytes &&
          !push.records.empty()) {
        aOut.push_back({ aFrom, push });
        push.records.clear();
        messageBytes = 0;
      }
      messageBytes += cost;
      push.records.push_back(std::move(record));
    }
    if (!push.records.empty()) {
      aOut.push_back({ aFrom, std::move(push) });
    }
  }

  void HandleAck(const GossipMessage& aMessage,
                 TimePoint aNow,
                 std::vector<OutgoingMessage>& aOut)
  {
    const auto it = openProbes.find(aMessage.probeId);
    if (it == openProbes.end() || it->second.target != aMessage.target) {
      return;
    }
    if (const auto* requester = FindEntry(it->second.requester)) {
      aOut.push_back({ it->second.requester,
                       ComposeMessage(GossipKind::Ack,
                                      it->second.requesterProbeId,
                                      aMessage.target,
                                      requester,
                                      aNow) });
    }
    openProbes.erase(it);
  }
};

Membership::Membership(RosterEntry aSelf,
                       Incarnation aIncarnation,
                       MembershipOptions aOptions)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->self = std::move(aSelf);
  mImpl->options = aOptions;
  mImpl->random.seed(aOptions.seed ^ HashId(mImpl->self.id, aIncarnation));
  MemberEntry own;
  own.record.id = mImpl->self.id;
  own.record.httpAddress = mImpl->self.httpAddress;
  own.record.peerAddress = mImpl->self.peerAddress;
  own.record.failureDomain = mImpl->self.failureDomain;
  own.record.region = mImpl->self.region;
  own.record.incarnation = aIncarnation;
  own.record.sequence = 1;
  mImpl->entries.push_back(std::move(own));
  mImpl->RebuildIndex();
  mImpl->ScheduleTransmits(mImpl->OwnEntry());
}

Membership::~Membership() = default;
Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;

void Membership::SetRoster(RosterRevision aRevision,
                           std::vector<RosterEntry> aEntries,
                           TimePoint aNow)
{
  auto& impl = *mImpl;
  if (aRevision <= impl.rosterRevision) {
    return;
  }
  const bool isFirstRoster = impl.rosterRevision == 0;
  impl.rosterRevision = aRevision;
  impl.roster = std::move(aEntries);
  const auto byId = [](const auto& aLeft, const auto& aRight) {
    return aLeft.id < aRight.id;
  };
  std::sort(impl.roster.begin(), impl.roster.end(), byId);
  const auto sameId = [](const auto& aLeft, const auto& aRight) {
    return aLeft.id == aRight.id;
  };
  impl.roster.erase(std::unique(impl.roster.begin(), impl.roster.end(), sameId),
                    impl.roster.end());
  std::vector<MemberEntry> entries;
  entries.push_back(std::move(impl.OwnEntry()));
  entries.front().inRoster = false;
  const auto own = impl.self.id;
  for (const auto& it : impl.roster) {
    if (it.id == own) {
      entries.front().inRoster = true;
      entries.front().rosterLeaving = it.leaving;
      continue;
    }
    MemberEntry entry;
    if (auto* known = impl.FindEntry(it.id)) {
      entry = std::move(*known);
    } else if (!isFirstRoster) {
      entry.addedAt = aNow;
    }
    entry.record.id = it.id;
    entry.record.httpAddress = it.httpAddress;
    entry.record.peerAddress = it.peerAddress;
    entry.record.failureDomain = it.failureDomain;
    entry.record.region = it.region;
    entry.rosterLeaving = it.leaving;
    entries.push_back(std::move(entry));
  }
  impl.entries = std::move(entries);
  impl.RebuildIndex();
  impl.OwnEntry().record.rosterRevision = aRevision;
  impl.progressMapChangedAt = aNow;
  ++impl.candidateEpoch;
}

TickResult Membership::Tick(TimePoint aNow, std::vector<OutgoingMessage>& aOut)
{
  auto& impl = *mImpl;
  TickResult result;
  if (impl.lastTick && aNow - *impl.lastTick > impl.options.pauseThreshold) {
    result.pauseDetected = true;
    // Silence during the pause does not indicate failures of other members.
    impl.openProbes.clear();
    for (auto& it : impl.entries) {
      it.suspectSince = aNow;
    }
    ClearContacts();
  }
  impl.lastTick = aNow;
  impl.AdvanceProbes(aNow, aOut);
  impl.ExpireSuspicions(aNow);
  impl.SendPushes(aNow, aOut);
  impl.SendSync(aNow, aOut);
  return result;
}

SenderStatus Membership::Receive(const InstanceId& aFrom,
                                 Incarnation aIncarnation,
                                 const GossipMessage& aMessage,
                                 TimePoint aNow,
                                 std::vector<OutgoingMessage>& aOut)
{
  auto& impl = *mImpl;
  const auto reception = impl.AdmitSender(aFrom, aIncarnation, aNow);
  if (reception != SenderStatus::Accepted || aFrom == impl.self.id) {
    return reception;
  }
  for (const auto& it : aMessage.records) {
    impl.MergeRecord(it, aNow);
    if (it.id == aFrom && it.incarnation == aIncarnation &&
        (aMessage.kind == GossipKind::Ping ||
         aMessage.kind == GossipKind::Ack)) {
      impl.FindEntry(aFrom)->lastReported = aNow;
    }
  }
  impl.MergeProgressMap(aMessage.progress, aNow);
  switch (aMessage.kind) {
    case GossipKind::Ping:
      aOut.push_back({ aFrom,
                       impl.ComposeMessage(GossipKind::Ack,
                                           aMessage.probeId,
                                           impl.self.id,
                                           impl.FindEntry(aFrom),
                                           aNow) });
      break;
    case GossipKind::Ack:
      impl.HandleAck(aMessage, aNow, aOut);
      break;
    case GossipKind::PingRequest:
      if (const auto it = impl.indexById.find(aMessage.target);
          it != impl.indexById.end() && aMessage.target != impl.self.id) {
        impl.StartProbe(
          it->second, { {}, aNow, false, aFrom, aMessage.probeId }, aOut);
      }
      break;
    case GossipKind::Sync:
      impl.ReplyToSync(aFrom, aMessage, aOut);
      break;
    case GossipKind::Push:
      break;
  }
  return reception;
}

SenderStatus Membership::AdmitSender(const InstanceId& aFrom,
                                     Incarnation aIncarnation,
                                     TimePoint aNow)
{
  return mImpl->AdmitSender(aFrom, aIncarnation, aNow);
}

void Membership::UpdateSelf(const SelfState& aState)
{
  auto& impl = *mImpl;
  auto& own = impl.OwnEntry();
  auto& record = own.record;
  const bool leaving = aState.leaving || own.hasAnnouncedLeaving;
  const auto status = leaving ? MemberStatus::Leaving : MemberStatus::Alive;
  const bool recordChanged = record.status != status ||
                             record.fenced != aState.fenced ||
                             record.slices != aState.slices;
  record.status = status;
  record.fenced = aState.fenced;
  record.slices = aState.slices;
  own.hasAnnouncedLeaving = leaving;
  if (recordChanged) {
    impl.AdvanceOwnSequence();
  }
  const auto settled = aState.oldestActiveVersion == 0
                         ? aState.configVersion
                         : aState.oldestActiveVersion;
  impl.MergeVersions(
    own, aState.configVersion, aState.configHash, settled, impl.LastTickTime());
}

const Member& Membership::Self() const noexcept
{
  return mImpl->OwnEntry().record;
}

const Member* Membership::Find(const InstanceId& aId) const
{
  const auto it = mImpl->indexById.find(aId);
  return it == mImpl->indexById.end() ? nullptr
                                      : &mImpl->entries[it->second].record;
}

std::vector<Member> Membership::CopyMembers() const
{
  const auto records = Records();
  return { records.begin(), records.end() };
}

std::span<const Member> Membership::Records() const
{
  auto& impl = *mImpl;
  if (impl.recordCopiesEpoch != impl.epoch) {
    impl.recordCopiesEpoch = impl.epoch;
    impl.recordCopies.resize(impl.entries.size());
    for (std::size_t i = 0; i < impl.entries.size(); ++i) {
      impl.recordCopies[i] = impl.entries[i].record;
    }
  }
  return impl.recordCopies;
}

std::vector<Candidate> Membership::Candidates() const
{
  std::vector<Candidate> candidates;
  for (const auto& it : mImpl->entries) {
    const auto& record = it.record;
    const bool alive = record.status == MemberStatus::Alive ||
                       record.status == MemberStatus::Suspect;
    if (alive && record.sequence != 0 && !record.fenced &&
        !it.hasAnnouncedLeaving && !it.rosterLeaving && it.inRoster) {
      candidates.push_back({ record.id, record.failureDomain, record.region });
    }
  }
  return candidates;
}

std::uint64_t Membership::CandidateEpoch() const noexcept
{
  return mImpl->candidateEpoch;
}

std::uint64_t Membership::Epoch() const noexcept
{
  return mImpl->epoch;
}

std::vector<AuditNote> Membership::TakeAuditNotes()
{
  return std::exchange(mImpl->auditNotes, {});
}

RosterRevision Membership::CurrentRosterRevision() const noexcept
{
  return mImpl->rosterRevision;
}

std::span<const RosterEntry> Membership::Roster() const noexcept
{
  return mImpl->roster;
}

ContactCounts Membership::CountContacts(TimePoint aNow) const
{
  const auto& impl = *mImpl;
  const auto window = impl.options.contactWindow;
  const bool isExact = impl.entries.size() <= kMaxExactRoster;
  ContactCounts contact;
  if (impl.rosterRevision == 0) {
    return contact;
  }
  for (const auto& it : impl.entries) {
    // A growing roster must not fence instances that had no time to contact the
    // added entries.
    if (it.addedAt && aNow - *it.addedAt < window && !it.lastHeard) {
      continue;
    }
    ++contact.rosterSize;
    if (it.record.id == impl.self.id) {
      ++contact.contacted;
      ++contact.heardFrom;
      ++contact.reported;
      continue;
    }
    const auto probedInWindow = [&](const std::optional<TimePoint>& aTime) {
      return aTime && aNow - *aTime <= window &&
             aNow - *aTime >= impl.options.directProbeTimeout;
    };
    const bool heardInWindow = it.lastHeard && aNow - *it.lastHeard <= window;
    const bool reportedInWindow =
      it.lastReported && aNow - *it.lastReported <= window;
    // Counting members that only pushed to this one would bias the sample.
    const bool sampled = reportedInWindow || probedInWindow(it.lastProbed) ||
                         probedInWindow(it.previouslyProbed);
    contact.contacted += sampled ? 1 : 0;
    contact.heardFrom += heardInWindow && (sampled || isExact) ? 1 : 0;
    contact.reported += reportedInWindow ? 1 : 0;
  }
  if (isExact) {
    contact.contacted = contact.rosterSize;
  }
  return contact;
}

void Membership::ClearContacts()
{
  for (auto& it : mImpl->entries) {
    it.lastHeard.reset();
    it.lastReported.reset();
    it.lastProbed.reset();
    it.previouslyProbed.reset();
  }
}

} // namespace bronzedeal::process
