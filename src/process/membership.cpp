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

constexpr std::size_t kBlock = 64;
// Below this size every member is probed within the contact window, and the
// count of contacts is exact.
constexpr std::size_t kExactRoster = 16;
// With fewer members contacted, a sample says nothing.
constexpr std::size_t kSmallestSample = 12;
constexpr std::size_t kMaxNotes = 256;

std::uint64_t Hash(const InstanceId& aId, std::uint64_t aSeed) noexcept
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

// Of two records with the same incarnation and sequence, the one with the
// graver status wins, so that a suspicion replaces what it refers to.
int Gravity(MemberStatus aStatus) noexcept
{
  return aStatus == MemberStatus::Suspect ? 1
         : aStatus == MemberStatus::Dead  ? 2
                                          : 0;
}

struct Entry
{
  Member record;
  bool rosterLeaving = false;
  /// False for the own instance while no list names it.
  bool listed = true;
  /// The incarnation has announced that it leaves; it cannot take this back.
  bool left = false;
  /// Set when a later list added the entry to the first one.
  std::optional<TimePoint> addedAt;
  std::optional<TimePoint> heard;
  std::optional<TimePoint> reported;
  std::optional<TimePoint> tried;
  std::optional<TimePoint> triedBefore;
  TimePoint suspectSince{};
  /// Transmissions left for the full record.
  unsigned fullLeft = 0;
  /// Hash of id and incarnation, kept because digests are built often.
  std::uint64_t key = 0;
};

struct Probe
{
  InstanceId target;
  TimePoint start;
  bool indirect = false;
  /// Set when the probe is made for another instance.
  InstanceId origin;
  std::uint64_t originProbe = 0;
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
  if (aContact.contacted < kSmallestSample) {
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
         (aContact.contacted >= kSmallestSample &&
          aContact.reported * 2 > aContact.contacted);
}

struct Membership::Impl
{
  RosterEntry self;
  MembershipOptions options;
  std::mt19937_64 random;
  RosterRevision revision = 0;
  std::vector<RosterEntry> roster;
  std::vector<Entry> entries;
  std::unordered_map<InstanceId, std::size_t> index;
  /// The entries of the list in the order of their ids, 64 for each block.
  std::vector<std::size_t> listed;
  /// Digests and bits of `listed`, as of `mappedEpoch`.
  ProgressMap map;
  std::uint64_t mappedEpoch = 0;
  std::optional<TimePoint> mapChanged;
  std::uint64_t composed = 0;
  /// Since when the full records of a block differ from those of others.
  std::vector<std::optional<TimePoint>> differsSince;
  std::map<std::uint64_t, Probe> probes;
  std::vector<std::size_t> rotation;
  std::uint64_t lastProbe = 0;
  std::optional<TimePoint> lastTick;
  std::optional<TimePoint> nextProbe;
  std::optional<TimePoint> nextPush;
  std::optional<TimePoint> nextSync;
  std::uint64_t epoch = 1;
  std::uint64_t candidateEpoch = 1;
  /// The records of `entries` as of `copiedEpoch`.
  std::vector<Member> copies;
  std::uint64_t copiedEpoch = 0;
  std::vector<AuditNote> notes;
  /// False when no entry has transmissions left, or none is suspect.
  bool anyPending = true;
  bool anySuspect = false;
  /// Bytes of the message that is being composed.
  std::size_t used = 0;

  TimePoint LastTime() const { return lastTick.value_or(TimePoint{}); }

  Entry& Own() { return entries[index.at(self.id)]; }
  const Entry& Own() const { return entries[index.at(self.id)]; }

  Entry* Lookup(const InstanceId& aId)
  {
    const auto it = index.find(aId);
    return it == index.end() ? nullptr : &entries[it->second];
  }

  void Note(AuditKind aKind, std::string aDetail)
  {
    if (notes.size() < kMaxNotes) {
      notes.push_back(
        { aKind, Own().record.configVersion, std::move(aDetail) });
    }
  }

  void Reindex()
  {
    std::sort(
      entries.begin(), entries.end(), [](const auto& aL, const auto& aR) {
        return aL.record.id < aR.record.id;
      });
    index.clear();
    listed.clear();
    for (std::size_t i = 0; i < entries.size(); ++i) {
      auto& entry = entries[i];
      index[entry.record.id] = i;
      entry.key = Hash(entry.record.id, entry.record.incarnation);
      if (entries[i].listed) {
        listed.push_back(i);
      }
    }
    differsSince.assign((listed.size() + kBlock - 1) / kBlock, {});
    rotation.clear();
    ++epoch;
  }

  void SpreadFull(Entry& aEntry)
  {
    aEntry.fullLeft = options.transmitsPerRecord;
    anyPending = true;
    ++epoch;
  }

  void ChangeOwnRecord()
  {
    auto& own = Own();
    ++own.record.sequence;
    SpreadFull(own);
    ++candidateEpoch;
  }

  // The versions of one incarnation only rise, so the higher ones are kept.
  void MergeVersions(Entry& aEntry,
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
    mapChanged = aNow;
    ++epoch;
  }

  void SetStatus(Entry& aEntry, MemberStatus aStatus, TimePoint aNow)
  {
    if (aEntry.record.status == aStatus) {
      return;
    }
    Note(AuditKind::MemberStatusChanged,
         fmt::format("{} was {}, is {}",
                     aEntry.record.id,
                     NameOf(aEntry.record.status),
                     NameOf(aStatus)));
    aEntry.record.status = aStatus;
    if (aStatus == MemberStatus::Suspect) {
      aEntry.suspectSince = aNow;
      anySuspect = true;
    }
    aEntry.left = aEntry.left || aStatus == MemberStatus::Leaving;
    ++epoch;
    ++candidateEpoch;
  }

  // Replaces the record by one of a newer incarnation.
  void Replace(Entry& aEntry, Incarnation aIncarnation)
  {
    if (aEntry.record.incarnation != 0) {
      Note(AuditKind::MemberReplaced,
           fmt::format("{} has the newer incarnation {}",
                       aEntry.record.id,
                       aIncarnation));
    }
    auto& record = aEntry.record;
    record.incarnation = aIncarnation;
    aEntry.key = Hash(record.id, aIncarnation);
    record.sequence = 0;
    record.status = MemberStatus::Alive;
    record.configVersion = 0;
    record.configHash = {};
    record.rosterRevision = 0;
    record.fenced = false;
    record.slices.clear();
    record.settledVersion = 0;
    aEntry.left = false;
    aEntry.fullLeft = 0;
    aEntry.reported.reset();
    ++epoch;
    ++candidateEpoch;
  }

  SenderStatus AdmitSender(const InstanceId& aFrom,
                           Incarnation aIncarnation,
                           TimePoint aNow)
  {
    auto* entry = Lookup(aFrom);
    if (entry == nullptr) {
      Note(
        AuditKind::MessageRefused,
        fmt::format("{} is on no roster up to revision {}", aFrom, revision));
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
      Replace(*entry, aIncarnation);
    }
    entry->heard = aNow;
    return SenderStatus::Accepted;
  }

  void MergeOwn(const Member& aRecord)
  {
    auto& own = Own();
    if (aRecord.incarnation == own.record.incarnation &&
        Gravity(aRecord.status) > 0 &&
        aRecord.sequence >= own.record.sequence) {
      own.record.sequence = aRecord.sequence;
      ChangeOwnRecord();
    }
  }

  void Merge(const Member& aRecord, TimePoint aNow)
  {
    auto* entry = Lookup(aRecord.id);
    if (entry == nullptr || aRecord.incarnation == 0) {
      return;
    }
    if (aRecord.id == self.id) {
      MergeOwn(aRecord);
      return;
    }
    if (aRecord.incarnation < entry->record.incarnation) {
      return;
    }
    if (aRecord.incarnation > entry->record.incarnation) {
      Replace(*entry, aRecord.incarnation);
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
                        Gravity(aRecord.status) > Gravity(record.status));
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
    SpreadFull(*entry);
  }

  Entry& Listed(std::size_t aBlock, std::size_t aBit)
  {
    return entries[listed[aBlock * kBlock + aBit]];
  }

  std::size_t BlockSize(std::size_t aBlock) const
  {
    return std::min(kBlock, listed.size() - aBlock * kBlock);
  }

  // Brings `map` in line with the records.
  const ProgressMap& CurrentMap()
  {
    if (mappedEpoch == epoch) {
      return map;
    }
    mappedEpoch = epoch;
    map.rosterRevision = revision;
    for (const auto i : listed) {
      const auto& record = entries[i].record;
      if (record.configVersion > map.configVersion) {
        map.configVersion = record.configVersion;
        map.configHash = record.configHash;
      }
    }
    map.blocks.assign(differsSince.size(), {});
    for (std::size_t b = 0; b < map.blocks.size(); ++b) {
      auto& block = map.blocks[b];
      for (std::size_t n = 0; n < BlockSize(b); ++n) {
        const auto& entry = Listed(b, n);
        const auto& record = entry.record;
        const auto bit = std::uint64_t{ 1 } << n;
        const auto state = record.sequence * 4 +
                           static_cast<std::uint64_t>(Gravity(record.status));
        block.incarnations ^= entry.key;
        // Multiplicative hashing; the upper half depends on all input bits.
        block.records ^= static_cast<std::uint32_t>(
          ((entry.key ^ state) * 0x9E3779B97F4A7C15ULL) >> 32);
        const bool inForce = record.configVersion == map.configVersion &&
                             record.configHash == map.configHash;
        block.inForce |= inForce ? bit : 0;
        block.settled |=
          inForce && record.settledVersion >= map.configVersion ? bit : 0;
      }
    }
    return map;
  }

  void MergeMap(const ProgressMap& aMap, TimePoint aNow)
  {
    if (aMap.rosterRevision != revision ||
        aMap.blocks.size() != differsSince.size()) {
      return;
    }
    // A copy, since merging changes what `CurrentMap` returns.
    const auto own = CurrentMap().blocks;
    for (std::size_t b = 0; b < own.size(); ++b) {
      const auto& block = aMap.blocks[b];
      if (block.records == own[b].records) {
        differsSince[b].reset();
      } else if (!differsSince[b]) {
        differsSince[b] = aNow;
      }
      // The bits belong to the sender's incarnations of the members.
      if (block.incarnations != own[b].incarnations) {
        continue;
      }
      for (std::size_t n = 0; n < BlockSize(b); ++n) {
        const auto bit = std::uint64_t{ 1 } << n;
        auto& entry = Listed(b, n);
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

  static Member OnWire(const Entry& aEntry)
  {
    Member record = aEntry.record;
    record.httpAddress.clear();
    record.peerAddress.clear();
    record.failureDomain.clear();
    record.region.clear();
    return record;
  }

  bool AddFull(GossipMessage& aMessage, Entry& aEntry)
  {
    if (aEntry.record.sequence == 0) {
      return false;
    }
    auto record = OnWire(aEntry);
    const auto cost = EncodedSize(record);
    if (used + cost > options.maxPiggybackBytes) {
      return false;
    }
    used += cost;
    aMessage.records.push_back(std::move(record));
    if (aEntry.fullLeft > 0) {
      --aEntry.fullLeft;
    }
    return true;
  }

  // Adds full records with transmissions left, those with most left first.
  void AddPending(GossipMessage& aMessage)
  {
    if (!anyPending) {
      return;
    }
    std::vector<std::size_t> pending;
    for (std::size_t i = 0; i < entries.size(); ++i) {
      if (entries[i].fullLeft > 0) {
        pending.push_back(i);
      }
    }
    anyPending = !pending.empty();
    if (!anyPending) {
      return;
    }
    // Starting at a random place spreads equal entries over the targets.
    std::rotate(pending.begin(),
                pending.begin() +
                  static_cast<std::ptrdiff_t>(random() % pending.size()),
                pending.end());
    const auto n = std::min(options.maxPiggybackBytes / 40, pending.size());
    std::partial_sort(pending.begin(),
                      pending.begin() + static_cast<std::ptrdiff_t>(n),
                      pending.end(),
                      [&](std::size_t aL, std::size_t aR) {
                        return entries[aL].fullLeft > entries[aR].fullLeft;
                      });
    pending.resize(n);
    for (const auto i : pending) {
      const bool present = entries[i].record.id == self.id &&
                           !aMessage.records.empty() &&
                           aMessage.records[0].id == self.id;
      if (!present && !AddFull(aMessage, entries[i])) {
        break;
      }
    }
  }

  void AddMap(GossipMessage& aMessage, TimePoint aNow)
  {
    const bool fresh =
      mapChanged && aNow - *mapChanged <= options.mapPushDuration;
    const bool due = aMessage.kind != GossipKind::Push &&
                     ++composed % std::max(options.messagesPerMap, 1U) == 0;
    if (!fresh && !due) {
      return;
    }
    const auto& current = CurrentMap();
    const auto cost = EncodedSize(current);
    if (used + cost <= options.maxPiggybackBytes) {
      aMessage.progress = current;
      used += cost;
    }
  }

  GossipMessage Compose(GossipKind aKind,
                        std::uint64_t aProbe,
                        const InstanceId& aTarget,
                        const Entry* aReceiver,
                        TimePoint aNow)
  {
    GossipMessage message{ aKind, aProbe, aTarget, {}, {}, {} };
    used = 0;
    if (aKind != GossipKind::Push) {
      AddFull(message, Own());
      // The receiver learns at once that it is suspected, and refutes it.
      if (aReceiver != nullptr && Gravity(aReceiver->record.status) > 0) {
        message.records.push_back(OnWire(*aReceiver));
        used += EncodedSize(message.records.back());
      }
    }
    AddMap(message, aNow);
    AddPending(message);
    return message;
  }

  void SendPing(std::size_t aTarget,
                Probe aProbe,
                std::vector<OutgoingMessage>& aOut)
  {
    auto& entry = entries[aTarget];
    entry.triedBefore = entry.tried;
    entry.tried = aProbe.start;
    const auto id = ++lastProbe;
    const auto& target = entry.record.id;
    aProbe.target = target;
    const auto now = aProbe.start;
    probes[id] = std::move(aProbe);
    aOut.push_back(
      { target, Compose(GossipKind::Ping, id, target, &entry, now) });
  }

  std::optional<std::size_t> NextInRotation()
  {
    if (rotation.empty()) {
      for (std::size_t i = 0; i < entries.size(); ++i) {
        if (entries[i].record.id != self.id) {
          rotation.push_back(i);
        }
      }
      Shuffle(rotation);
    }
    if (rotation.empty()) {
      return std::nullopt;
    }
    const auto next = rotation.back();
    rotation.pop_back();
    return next;
  }

  // std::shuffle differs between standard libraries; a run must repeat.
  void Shuffle(std::vector<std::size_t>& aItems)
  {
    for (std::size_t i = aItems.size(); i > 1; --i) {
      std::swap(aItems[i - 1], aItems[random() % i]);
    }
  }

  // Random members that are not known to be dead.
  std::vector<std::size_t> Choose(std::size_t aCount, const InstanceId& aExcept)
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

  // A random member that is alive by its own record.
  std::optional<std::size_t> ChooseKnown()
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

  void TickProbes(TimePoint aNow, std::vector<OutgoingMessage>& aOut)
  {
    for (auto it = probes.begin(); it != probes.end();) {
      auto& probe = it->second;
      auto* target = Lookup(probe.target);
      const auto age = aNow - probe.start;
      if (target == nullptr || age >= options.probeTimeout) {
        if (target != nullptr && probe.origin.empty() &&
            target->record.sequence != 0 &&
            Gravity(target->record.status) == 0) {
          SetStatus(*target, MemberStatus::Suspect, aNow);
          SpreadFull(*target);
        }
        it = probes.erase(it);
        continue;
      }
      if (probe.origin.empty() && !probe.indirect &&
          age >= options.directProbeTimeout) {
        probe.indirect = true;
        for (const auto i : Choose(options.indirectProbeCount, probe.target)) {
          aOut.push_back({ entries[i].record.id,
                           Compose(GossipKind::PingRequest,
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
      if (const auto next = NextInRotation()) {
        SendPing(*next, { {}, aNow, false, {}, 0 }, aOut);
      }
    }
  }

  void TickSuspicions(TimePoint aNow)
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
        SpreadFull(it);
      } else {
        anySuspect = true;
      }
    }
  }

  void TickPush(TimePoint aNow, std::vector<OutgoingMessage>& aOut)
  {
    if (nextPush && aNow < *nextPush) {
      return;
    }
    nextPush = aNow + options.pushInterval;
    for (const auto i : Choose(options.pushFanout, self.id)) {
      auto message = Compose(GossipKind::Push, 0, {}, nullptr, aNow);
      if (message.records.empty() && message.progress.blocks.empty()) {
        return;
      }
      aOut.push_back({ entries[i].record.id, std::move(message) });
    }
  }

  // An instance that knows few records asks one peer for all; later only blocks
  // are asked for that have differed from those of others for a while.
  void TickSync(TimePoint aNow, std::vector<OutgoingMessage>& aOut)
  {
    if (nextSync && aNow < *nextSync) {
      return;
    }
    const auto peer = ChooseKnown();
    if (!peer) {
      return;
    }
    GossipMessage message{ GossipKind::Sync, 0, {}, {}, {}, {} };
    const auto known =
      std::count_if(entries.begin(), entries.end(), [](const Entry& aIt) {
        return aIt.record.sequence != 0;
      });
    // Asked again when the request or the answers were lost.
    if (2 * static_cast<std::size_t>(known) > entries.size()) {
      const auto due =
        std::find_if(differsSince.begin(), differsSince.end(), [&](auto& aIt) {
          return aIt && aNow - *aIt >= options.syncDelay;
        });
      if (due == differsSince.end()) {
        return;
      }
      due->reset();
      message.wantedBlocks.push_back(
        static_cast<std::uint32_t>(due - differsSince.begin()));
    }
    nextSync = aNow + options.syncDelay;
    aOut.push_back({ entries[*peer].record.id, std::move(message) });
  }

  void AnswerSync(const InstanceId& aFrom,
                  const GossipMessage& aMessage,
                  std::vector<OutgoingMessage>& aOut)
  {
    std::vector<std::size_t> wanted = listed;
    if (!aMessage.wantedBlocks.empty()) {
      std::erase_if(wanted, [&](std::size_t aIndex) {
        const auto place =
          std::lower_bound(listed.begin(), listed.end(), aIndex) -
          listed.begin();
        return static_cast<std::size_t>(place) / kBlock !=
               aMessage.wantedBlocks.front();
      });
    }
    GossipMessage push{ GossipKind::Push, 0, {}, {}, {}, {} };
    used = 0;
    for (const auto i : wanted) {
      if (entries[i].record.sequence == 0) {
        continue;
      }
      auto record = OnWire(entries[i]);
      const auto cost = EncodedSize(record);
      if (used + cost > options.maxPiggybackBytes && !push.records.empty()) {
        aOut.push_back({ aFrom, push });
        push.records.clear();
        used = 0;
      }
      used += cost;
      push.records.push_back(std::move(record));
    }
    if (!push.records.empty()) {
      aOut.push_back({ aFrom, std::move(push) });
    }
  }

  void OnAck(const GossipMessage& aMessage,
             TimePoint aNow,
             std::vector<OutgoingMessage>& aOut)
  {
    const auto it = probes.find(aMessage.probeId);
    if (it == probes.end() || it->second.target != aMessage.target) {
      return;
    }
    if (const auto* origin = Lookup(it->second.origin)) {
      aOut.push_back({ it->second.origin,
                       Compose(GossipKind::Ack,
                               it->second.originProbe,
                               aMessage.target,
                               origin,
                               aNow) });
    }
    probes.erase(it);
  }
};

Membership::Membership(RosterEntry aSelf,
                       Incarnation aIncarnation,
                       MembershipOptions aOptions)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->self = std::move(aSelf);
  mImpl->options = aOptions;
  mImpl->random.seed(aOptions.seed ^ Hash(mImpl->self.id, aIncarnation));
  Entry own;
  own.record.id = mImpl->self.id;
  own.record.httpAddress = mImpl->self.httpAddress;
  own.record.peerAddress = mImpl->self.peerAddress;
  own.record.failureDomain = mImpl->self.failureDomain;
  own.record.region = mImpl->self.region;
  own.record.incarnation = aIncarnation;
  own.record.sequence = 1;
  mImpl->entries.push_back(std::move(own));
  mImpl->Reindex();
  mImpl->SpreadFull(mImpl->Own());
}

Membership::~Membership() = default;
Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;

void Membership::SetRoster(RosterRevision aRevision,
                           std::vector<RosterEntry> aEntries,
                           TimePoint aNow)
{
  auto& impl = *mImpl;
  if (aRevision <= impl.revision) {
    return;
  }
  const bool first = impl.revision == 0;
  impl.revision = aRevision;
  impl.roster = std::move(aEntries);
  const auto byId = [](const auto& aL, const auto& aR) {
    return aL.id < aR.id;
  };
  std::sort(impl.roster.begin(), impl.roster.end(), byId);
  const auto same = [](const auto& aL, const auto& aR) {
    return aL.id == aR.id;
  };
  impl.roster.erase(std::unique(impl.roster.begin(), impl.roster.end(), same),
                    impl.roster.end());
  std::vector<Entry> entries;
  entries.push_back(std::move(impl.Own()));
  entries.front().listed = false;
  const auto own = impl.self.id;
  for (const auto& it : impl.roster) {
    if (it.id == own) {
      entries.front().listed = true;
      entries.front().rosterLeaving = it.leaving;
      continue;
    }
    Entry entry;
    if (auto* known = impl.Lookup(it.id)) {
      entry = std::move(*known);
    } else if (!first) {
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
  impl.Reindex();
  impl.Own().record.rosterRevision = aRevision;
  impl.mapChanged = aNow;
  ++impl.candidateEpoch;
}

TickResult Membership::Tick(TimePoint aNow, std::vector<OutgoingMessage>& aOut)
{
  auto& impl = *mImpl;
  TickResult result;
  if (impl.lastTick && aNow - *impl.lastTick > impl.options.pauseThreshold) {
    result.pauseDetected = true;
    // Silence during the pause is no sign of a failure of others.
    impl.probes.clear();
    for (auto& it : impl.entries) {
      it.suspectSince = aNow;
    }
    ClearContacts();
  }
  impl.lastTick = aNow;
  impl.TickProbes(aNow, aOut);
  impl.TickSuspicions(aNow);
  impl.TickPush(aNow, aOut);
  impl.TickSync(aNow, aOut);
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
    impl.Merge(it, aNow);
    if (it.id == aFrom && it.incarnation == aIncarnation &&
        (aMessage.kind == GossipKind::Ping ||
         aMessage.kind == GossipKind::Ack)) {
      impl.Lookup(aFrom)->reported = aNow;
    }
  }
  impl.MergeMap(aMessage.progress, aNow);
  switch (aMessage.kind) {
    case GossipKind::Ping:
      aOut.push_back({ aFrom,
                       impl.Compose(GossipKind::Ack,
                                    aMessage.probeId,
                                    impl.self.id,
                                    impl.Lookup(aFrom),
                                    aNow) });
      break;
    case GossipKind::Ack:
      impl.OnAck(aMessage, aNow, aOut);
      break;
    case GossipKind::PingRequest:
      if (const auto it = impl.index.find(aMessage.target);
          it != impl.index.end() && aMessage.target != impl.self.id) {
        impl.SendPing(
          it->second, { {}, aNow, false, aFrom, aMessage.probeId }, aOut);
      }
      break;
    case GossipKind::Sync:
      impl.AnswerSync(aFrom, aMessage, aOut);
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
  auto& own = impl.Own();
  auto& record = own.record;
  const bool leaving = aState.leaving || own.left;
  const auto status = leaving ? MemberStatus::Leaving : MemberStatus::Alive;
  const bool full = record.status != status || record.fenced != aState.fenced ||
                    record.slices != aState.slices;
  record.status = status;
  record.fenced = aState.fenced;
  record.slices = aState.slices;
  own.left = leaving;
  if (full) {
    impl.ChangeOwnRecord();
  }
  const auto settled = aState.oldestActiveVersion == 0
                         ? aState.configVersion
                         : aState.oldestActiveVersion;
  impl.MergeVersions(
    own, aState.configVersion, aState.configHash, settled, impl.LastTime());
}

const Member& Membership::Self() const noexcept
{
  return mImpl->Own().record;
}

const Member* Membership::Find(const InstanceId& aId) const
{
  const auto it = mImpl->index.find(aId);
  return it == mImpl->index.end() ? nullptr
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
  if (impl.copiedEpoch != impl.epoch) {
    impl.copiedEpoch = impl.epoch;
    impl.copies.resize(impl.entries.size());
    for (std::size_t i = 0; i < impl.entries.size(); ++i) {
      impl.copies[i] = impl.entries[i].record;
    }
  }
  return impl.copies;
}

std::vector<Candidate> Membership::Candidates() const
{
  std::vector<Candidate> candidates;
  for (const auto& it : mImpl->entries) {
    const auto& record = it.record;
    const bool alive = record.status == MemberStatus::Alive ||
                       record.status == MemberStatus::Suspect;
    if (alive && record.sequence != 0 && !record.fenced && !it.left &&
        !it.rosterLeaving && it.listed) {
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
  return std::exchange(mImpl->notes, {});
}

RosterRevision Membership::CurrentRosterRevision() const noexcept
{
  return mImpl->revision;
}

std::span<const RosterEntry> Membership::Roster() const noexcept
{
  return mImpl->roster;
}

ContactCounts Membership::CountContacts(TimePoint aNow) const
{
  const auto& impl = *mImpl;
  const auto window = impl.options.contactWindow;
  const bool small = impl.entries.size() <= kExactRoster;
  ContactCounts contact;
  if (impl.revision == 0) {
    return contact;
  }
  for (const auto& it : impl.entries) {
    // A list that grows must not fence those that had no time to meet the
    // added entries.
    if (it.addedAt && aNow - *it.addedAt < window && !it.heard) {
      continue;
    }
    ++contact.rosterSize;
    if (it.record.id == impl.self.id) {
      ++contact.contacted;
      ++contact.heardFrom;
      ++contact.reported;
      continue;
    }
    const auto triedAt = [&](const std::optional<TimePoint>& aTime) {
      return aTime && aNow - *aTime <= window &&
             aNow - *aTime >= impl.options.directProbeTimeout;
    };
    const bool heard = it.heard && aNow - *it.heard <= window;
    const bool reported = it.reported && aNow - *it.reported <= window;
    // Members that only pushed to this one would distort a sample.
    const bool sampled =
      reported || triedAt(it.tried) || triedAt(it.triedBefore);
    contact.contacted += sampled ? 1 : 0;
    contact.heardFrom += heard && (sampled || small) ? 1 : 0;
    contact.reported += reported ? 1 : 0;
  }
  if (small) {
    contact.contacted = contact.rosterSize;
  }
  return contact;
}

void Membership::ClearContacts()
{
  for (auto& it : mImpl->entries) {
    it.heard.reset();
    it.reported.reset();
    it.tried.reset();
    it.triedBefore.reset();
  }
}

} // namespace bronzedeal::process
