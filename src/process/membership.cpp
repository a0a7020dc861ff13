#include "bronzedeal/process/membership.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <map>
#include <random>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace bronzedeal::process {
namespace {

constexpr std::uint64_t kFullStep = 256;
// Below this size every member is probed within the contact window, and the
// count of contacts is exact.
constexpr std::size_t kExactRoster = 12;
constexpr std::size_t kSampleForMajority = 15;
// Bytes of a ProgressGroup apart from its entries, and of one entry.
constexpr std::size_t kGroupBytes = 44;
constexpr std::size_t kEntryBytes = 13;
constexpr std::size_t kMaxNotes = 256;

std::uint64_t FullPart(std::uint64_t aSequence) noexcept
{
  return aSequence / kFullStep;
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
  /// Transmissions left for the full record and for the progress entry.
  unsigned fullLeft = 0;
  unsigned progressLeft = 0;
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

auto GroupOf(const Member& aMember)
{
  return std::tie(aMember.configVersion,
                  aMember.configHash,
                  aMember.rosterRevision,
                  aMember.oldestActiveVersion);
}

} // namespace

bool ReachesHalf(const Contact& aContact) noexcept
{
  if (aContact.roster == 0) {
    return false;
  }
  if (aContact.tried >= aContact.roster) {
    return aContact.heard * 2 >= aContact.roster;
  }
  const auto n = static_cast<double>(aContact.tried);
  return static_cast<double>(aContact.heard) >= n / 2 - std::sqrt(n);
}

bool ReachesMajority(const Contact& aContact) noexcept
{
  if (aContact.roster == 0) {
    return false;
  }
  if (aContact.tried >= aContact.roster) {
    return aContact.reported * 2 > aContact.roster;
  }
  return aContact.reported * 2 > aContact.roster ||
         (aContact.tried >= kSampleForMajority &&
          aContact.reported * 2 > aContact.tried);
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
  std::unordered_map<std::uint64_t, std::size_t> keys;
  std::unordered_map<std::uint64_t, TimePoint> missing;
  std::map<std::uint64_t, Probe> probes;
  std::vector<std::size_t> rotation;
  std::size_t refreshProgress = 0;
  std::size_t refreshFull = 0;
  std::uint64_t lastProbe = 0;
  std::optional<TimePoint> lastTick;
  std::optional<TimePoint> nextProbe;
  std::optional<TimePoint> nextPush;
  std::optional<TimePoint> nextSync;
  /// The own table is new and has not been filled from a peer.
  bool empty = true;
  std::uint64_t epoch = 1;
  std::uint64_t candidateEpoch = 1;
  /// The records of `entries` as of `copiedEpoch`.
  std::vector<Member> copies;
  std::uint64_t copiedEpoch = 0;
  std::vector<AuditNote> notes;
  /// Bytes of the message that is being composed.
  std::size_t used = 0;

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
    keys.clear();
    for (std::size_t i = 0; i < entries.size(); ++i) {
      index[entries[i].record.id] = i;
      Rekey(i);
    }
    rotation.clear();
  }

  void Rekey(std::size_t aIndex)
  {
    auto& it = entries[aIndex];
    if (const auto old = keys.find(it.key);
        old != keys.end() && old->second == aIndex) {
      keys.erase(old);
    }
    if (it.record.incarnation != 0) {
      it.key = MemberKey(it.record.id, it.record.incarnation);
      keys[it.key] = aIndex;
    }
  }

  void SpreadFull(Entry& aEntry)
  {
    aEntry.fullLeft = options.retransmits;
    aEntry.progressLeft = 0;
    ++epoch;
  }

  void SpreadProgress(Entry& aEntry)
  {
    // A pending full record carries the same values.
    if (aEntry.fullLeft < options.retransmits) {
      aEntry.progressLeft = options.retransmits;
    }
    ++epoch;
  }

  void ChangeOwnRecord()
  {
    auto& own = Own();
    own.record.sequence = (FullPart(own.record.sequence) + 1) * kFullStep;
    SpreadFull(own);
    ++candidateEpoch;
  }

  // For changes that a ProgressGroup can carry.
  void ChangeOwnProgress()
  {
    auto& own = Own();
    if ((own.record.sequence + 1) % kFullStep == 0) {
      ChangeOwnRecord();
    } else {
      ++own.record.sequence;
      SpreadProgress(own);
    }
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
    record.sequence = 0;
    record.status = MemberStatus::Alive;
    record.configVersion = 0;
    record.configHash = {};
    record.rosterRevision = 0;
    record.fenced = false;
    record.slices.clear();
    record.oldestActiveVersion = 0;
    aEntry.left = false;
    aEntry.fullLeft = 0;
    aEntry.progressLeft = 0;
    aEntry.reported.reset();
    Rekey(static_cast<std::size_t>(&aEntry - entries.data()));
    ++epoch;
    ++candidateEpoch;
  }

  Reception Admit(const InstanceId& aFrom,
                  Incarnation aIncarnation,
                  TimePoint aNow)
  {
    auto* entry = Lookup(aFrom);
    if (entry == nullptr) {
      Note(
        AuditKind::MessageRefused,
        fmt::format("{} is on no roster up to revision {}", aFrom, revision));
      return Reception::UnknownSender;
    }
    if (aIncarnation < entry->record.incarnation || aIncarnation == 0) {
      return Reception::StaleIncarnation;
    }
    if (aFrom == self.id) {
      return aIncarnation == entry->record.incarnation
               ? Reception::Accepted
               : Reception::StaleIncarnation;
    }
    if (aIncarnation > entry->record.incarnation) {
      Replace(*entry, aIncarnation);
    }
    entry->heard = aNow;
    return Reception::Accepted;
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
    record.configVersion = aRecord.configVersion;
    record.configHash = aRecord.configHash;
    record.rosterRevision = aRecord.rosterRevision;
    record.fenced = aRecord.fenced;
    record.slices = aRecord.slices;
    record.oldestActiveVersion = aRecord.oldestActiveVersion;
    SetStatus(*entry, aRecord.status, aNow);
    SpreadFull(*entry);
    missing.erase(entry->key);
  }

  void MergeProgress(const ProgressGroup& aGroup, TimePoint aNow)
  {
    const auto n = std::min(aGroup.members.size(), aGroup.sequences.size());
    for (std::size_t i = 0; i < n; ++i) {
      const auto found = keys.find(aGroup.members[i]);
      if (found == keys.end()) {
        if (missing.size() < 2 * entries.size()) {
          missing.try_emplace(aGroup.members[i], aNow);
        }
        continue;
      }
      auto& entry = entries[found->second];
      const auto sequence = aGroup.sequences[i];
      if (sequence <= entry.record.sequence || entry.record.id == self.id) {
        continue;
      }
      if (FullPart(sequence) != FullPart(entry.record.sequence)) {
        missing.try_emplace(entry.key, aNow);
        continue;
      }
      entry.record.sequence = sequence;
      entry.record.configVersion = aGroup.configVersion;
      entry.record.configHash = aGroup.configHash;
      entry.record.rosterRevision = aGroup.rosterRevision;
      entry.record.oldestActiveVersion = aGroup.oldestActiveVersion;
      // The member has made this change after whatever it was suspected for.
      if (Gravity(entry.record.status) > 0) {
        SetStatus(entry,
                  entry.left ? MemberStatus::Leaving : MemberStatus::Alive,
                  aNow);
      }
      SpreadProgress(entry);
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

  // Adds progress entries of the given members, in as many groups as needed.
  template<typename Range>
  std::size_t AddProgress(GossipMessage& aMessage,
                          const Range& aIndices,
                          std::size_t aBudget)
  {
    std::size_t spent = 0;
    std::size_t added = 0;
    for (const auto i : aIndices) {
      auto& entry = entries[i];
      auto group = std::find_if(
        aMessage.progress.begin(), aMessage.progress.end(), [&](auto& aGroup) {
          return std::tie(aGroup.configVersion,
                          aGroup.configHash,
                          aGroup.rosterRevision,
                          aGroup.oldestActiveVersion) == GroupOf(entry.record);
        });
      const auto cost =
        kEntryBytes + (group == aMessage.progress.end() ? kGroupBytes : 0);
      if (spent + cost > aBudget) {
        break;
      }
      spent += cost;
      ++added;
      if (group == aMessage.progress.end()) {
        aMessage.progress.push_back({ entry.record.configVersion,
                                      entry.record.configHash,
                                      entry.record.rosterRevision,
                                      entry.record.oldestActiveVersion,
                                      {},
                                      {} });
        group = std::prev(aMessage.progress.end());
      }
      group->members.push_back(entry.key);
      group->sequences.push_back(entry.record.sequence);
      if (entry.progressLeft > 0) {
        --entry.progressLeft;
      }
    }
    used += spent;
    return added;
  }

  bool AddFull(GossipMessage& aMessage, Entry& aEntry)
  {
    if (aEntry.record.sequence == 0) {
      return false;
    }
    auto record = OnWire(aEntry);
    const auto cost = EncodedSize(record);
    if (used + cost > options.piggybackBytes) {
      return false;
    }
    used += cost;
    aMessage.records.push_back(std::move(record));
    if (aEntry.fullLeft > 0) {
      --aEntry.fullLeft;
    }
    return true;
  }

  std::size_t Left() const
  {
    return options.piggybackBytes > used ? options.piggybackBytes - used : 0;
  }

  // Indices with transmissions left, those with most left first.
  std::vector<std::size_t> Pending(unsigned Entry::*aLeft, std::size_t aCount)
  {
    std::vector<std::size_t> pending;
    for (std::size_t i = 0; i < entries.size(); ++i) {
      if (entries[i].*aLeft > 0) {
        pending.push_back(i);
      }
    }
    // Starting at a random place spreads equal entries over the targets.
    if (!pending.empty()) {
      std::rotate(pending.begin(),
                  pending.begin() +
                    static_cast<std::ptrdiff_t>(random() % pending.size()),
                  pending.end());
    }
    const auto n = std::min(aCount, pending.size());
    std::partial_sort(pending.begin(),
                      pending.begin() + static_cast<std::ptrdiff_t>(n),
                      pending.end(),
                      [&](std::size_t aL, std::size_t aR) {
                        return entries[aL].*aLeft > entries[aR].*aLeft;
                      });
    pending.resize(n);
    return pending;
  }

  void AddPending(GossipMessage& aMessage)
  {
    for (const auto i :
         Pending(&Entry::fullLeft, options.piggybackBytes / 40)) {
      if (&entries[i] != &Own() || aMessage.records.empty()) {
        if (!AddFull(aMessage, entries[i])) {
          break;
        }
      }
    }
    AddProgress(
      aMessage, Pending(&Entry::progressLeft, Left() / kEntryBytes), Left());
  }

  // Repeats records in turn, for members that missed every transmission.
  void AddRefresh(GossipMessage& aMessage)
  {
    const auto budget = std::min(options.refreshBytes, Left());
    std::vector<std::size_t> turn;
    const auto wanted = std::min(budget / kEntryBytes, entries.size());
    for (std::size_t n = 0; n < entries.size() && turn.size() < wanted; ++n) {
      const auto i = (refreshProgress + n) % entries.size();
      if (FullPart(entries[i].record.sequence) != 0) {
        turn.push_back(i);
      }
    }
    const auto added = AddProgress(aMessage, turn, budget);
    if (added > 0) {
      refreshProgress = (turn[added - 1] + 1) % entries.size();
    }
  }

  GossipMessage Compose(GossipKind aKind,
                        std::uint64_t aProbe,
                        const InstanceId& aTarget,
                        const Entry* aReceiver)
  {
    GossipMessage message{ aKind, aProbe, aTarget, {}, {} };
    used = 0;
    if (aKind != GossipKind::Push) {
      AddFull(message, Own());
      // The receiver learns at once that it is suspected, and refutes it.
      if (aReceiver != nullptr && Gravity(aReceiver->record.status) > 0) {
        message.records.push_back(OnWire(*aReceiver));
        used += EncodedSize(message.records.back());
      }
    }
    AddPending(message);
    if (aKind == GossipKind::Ping || aKind == GossipKind::Ack) {
      AddRefresh(message);
    }
    return message;
  }

  void SendPing(std::size_t aTarget, Probe aProbe, std::vector<Outgoing>& aOut)
  {
    auto& entry = entries[aTarget];
    entry.triedBefore = entry.tried;
    entry.tried = aProbe.start;
    const auto id = ++lastProbe;
    const auto& target = entry.record.id;
    aProbe.target = target;
    probes[id] = std::move(aProbe);
    aOut.push_back({ target, Compose(GossipKind::Ping, id, target, &entry) });
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

  void TickProbes(TimePoint aNow, std::vector<Outgoing>& aOut)
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
          age >= options.directTimeout) {
        probe.indirect = true;
        for (const auto i : Choose(options.indirectProbes, probe.target)) {
          aOut.push_back(
            { entries[i].record.id,
              Compose(
                GossipKind::PingRequest, it->first, probe.target, nullptr) });
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
    for (auto& it : entries) {
      if (it.record.status == MemberStatus::Suspect &&
          aNow - it.suspectSince >= options.suspicion) {
        SetStatus(it, MemberStatus::Dead, aNow);
        SpreadFull(it);
      }
    }
  }

  void TickPush(TimePoint aNow, std::vector<Outgoing>& aOut)
  {
    if (nextPush && aNow < *nextPush) {
      return;
    }
    nextPush = aNow + options.pushInterval;
    for (const auto i : Choose(options.pushFanout, self.id)) {
      auto message = Compose(GossipKind::Push, 0, {}, nullptr);
      if (message.records.empty() && message.progress.empty()) {
        return;
      }
      aOut.push_back({ entries[i].record.id, std::move(message) });
    }
  }

  // A new instance asks one peer for all records; later only those are asked
  // for that progress entries refer to and gossip has not brought.
  void TickSync(TimePoint aNow, std::vector<Outgoing>& aOut)
  {
    if (nextSync && aNow < *nextSync) {
      return;
    }
    std::vector<std::size_t> known;
    for (const auto i : Choose(1, self.id)) {
      if (entries[i].record.sequence != 0) {
        known.push_back(i);
      }
    }
    if (known.empty()) {
      return;
    }
    GossipMessage message{ GossipKind::Sync, 0, {}, {}, {} };
    if (!empty) {
      ProgressGroup wanted;
      for (auto it = missing.begin(); it != missing.end();) {
        if (aNow - it->second >= 20 * options.syncDelay) {
          it = missing.erase(it);
          continue;
        }
        if (aNow - it->second >= options.syncDelay &&
            wanted.members.size() < 100) {
          wanted.members.push_back(it->first);
          wanted.sequences.push_back(0);
        }
        ++it;
      }
      if (wanted.members.empty()) {
        return;
      }
      message.progress.push_back(std::move(wanted));
    }
    empty = false;
    nextSync = aNow + options.syncDelay;
    aOut.push_back({ entries[known[0]].record.id, std::move(message) });
  }

  void AnswerSync(const InstanceId& aFrom,
                  const GossipMessage& aMessage,
                  std::vector<Outgoing>& aOut)
  {
    std::vector<std::size_t> wanted;
    if (aMessage.progress.empty()) {
      for (std::size_t i = 0; i < entries.size(); ++i) {
        wanted.push_back(i);
      }
    } else {
      for (const auto key : aMessage.progress[0].members) {
        if (const auto it = keys.find(key); it != keys.end()) {
          wanted.push_back(it->second);
        }
      }
    }
    GossipMessage push{ GossipKind::Push, 0, {}, {}, {} };
    used = 0;
    for (const auto i : wanted) {
      if (entries[i].record.sequence == 0) {
        continue;
      }
      auto record = OnWire(entries[i]);
      const auto cost = EncodedSize(record);
      if (used + cost > options.piggybackBytes && !push.records.empty()) {
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

  void OnAck(const GossipMessage& aMessage, std::vector<Outgoing>& aOut)
  {
    const auto it = probes.find(aMessage.probe);
    if (it == probes.end() || it->second.target != aMessage.target) {
      return;
    }
    if (const auto* origin = Lookup(it->second.origin)) {
      aOut.push_back({ it->second.origin,
                       Compose(GossipKind::Ack,
                               it->second.originProbe,
                               aMessage.target,
                               origin) });
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
  mImpl->random.seed(aOptions.seed ^ MemberKey(mImpl->self.id, aIncarnation));
  Entry own;
  own.record.id = mImpl->self.id;
  own.record.httpAddress = mImpl->self.httpAddress;
  own.record.peerAddress = mImpl->self.peerAddress;
  own.record.failureDomain = mImpl->self.failureDomain;
  own.record.region = mImpl->self.region;
  own.record.incarnation = aIncarnation;
  own.record.sequence = kFullStep;
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
  impl.missing.clear();
  impl.Own().record.rosterRevision = aRevision;
  impl.ChangeOwnProgress();
  ++impl.epoch;
  ++impl.candidateEpoch;
}

TickResult Membership::Tick(TimePoint aNow, std::vector<Outgoing>& aOut)
{
  auto& impl = *mImpl;
  TickResult result;
  if (impl.lastTick && aNow - *impl.lastTick > impl.options.pauseGap) {
    result.paused = true;
    // Silence during the pause is no sign of a failure of others.
    impl.probes.clear();
    for (auto& it : impl.entries) {
      it.suspectSince = aNow;
    }
    ForgetContacts();
  }
  impl.lastTick = aNow;
  impl.TickProbes(aNow, aOut);
  impl.TickSuspicions(aNow);
  impl.TickPush(aNow, aOut);
  impl.TickSync(aNow, aOut);
  return result;
}

Reception Membership::Receive(const InstanceId& aFrom,
                              Incarnation aIncarnation,
                              const GossipMessage& aMessage,
                              TimePoint aNow,
                              std::vector<Outgoing>& aOut)
{
  auto& impl = *mImpl;
  const auto reception = impl.Admit(aFrom, aIncarnation, aNow);
  if (reception != Reception::Accepted || aFrom == impl.self.id) {
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
  if (aMessage.kind != GossipKind::Sync) {
    for (const auto& it : aMessage.progress) {
      impl.MergeProgress(it, aNow);
    }
  }
  switch (aMessage.kind) {
    case GossipKind::Ping:
      aOut.push_back({ aFrom,
                       impl.Compose(GossipKind::Ack,
                                    aMessage.probe,
                                    impl.self.id,
                                    impl.Lookup(aFrom)) });
      break;
    case GossipKind::Ack:
      impl.OnAck(aMessage, aOut);
      break;
    case GossipKind::PingRequest:
      if (const auto it = impl.index.find(aMessage.target);
          it != impl.index.end() && aMessage.target != impl.self.id) {
        impl.SendPing(
          it->second, { {}, aNow, false, aFrom, aMessage.probe }, aOut);
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

Reception Membership::Admit(const InstanceId& aFrom,
                            Incarnation aIncarnation,
                            TimePoint aNow)
{
  return mImpl->Admit(aFrom, aIncarnation, aNow);
}

void Membership::UpdateSelf(const SelfState& aState)
{
  auto& impl = *mImpl;
  auto& own = impl.Own();
  auto& record = own.record;
  const bool leaving = aState.leaving || own.left;
  const auto status = leaving ? MemberStatus::Leaving : MemberStatus::Alive;
  const bool progress =
    record.configVersion != aState.configVersion ||
    record.configHash != aState.configHash ||
    record.oldestActiveVersion != aState.oldestActiveVersion;
  const bool full = record.status != status || record.fenced != aState.fenced ||
                    record.slices != aState.slices;
  record.configVersion = aState.configVersion;
  record.configHash = aState.configHash;
  record.oldestActiveVersion = aState.oldestActiveVersion;
  record.status = status;
  record.fenced = aState.fenced;
  record.slices = aState.slices;
  own.left = leaving;
  if (full) {
    impl.ChangeOwnRecord();
  } else if (progress) {
    impl.ChangeOwnProgress();
  }
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

std::vector<Member> Membership::Members() const
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

std::vector<AuditNote> Membership::TakeNotes()
{
  return std::exchange(mImpl->notes, {});
}

RosterRevision Membership::Revision() const noexcept
{
  return mImpl->revision;
}

std::span<const RosterEntry> Membership::Roster() const noexcept
{
  return mImpl->roster;
}

Contact Membership::ContactSince(TimePoint aNow) const
{
  const auto& impl = *mImpl;
  const auto window = impl.options.contactWindow;
  Contact contact;
  if (impl.revision == 0) {
    return contact;
  }
  for (const auto& it : impl.entries) {
    // A list that grows must not fence those that had no time to meet the
    // added entries.
    if (it.addedAt && aNow - *it.addedAt < window && !it.heard) {
      continue;
    }
    ++contact.roster;
    if (it.record.id == impl.self.id) {
      ++contact.tried;
      ++contact.heard;
      ++contact.reported;
      continue;
    }
    const auto triedAt = [&](const std::optional<TimePoint>& aTime) {
      return aTime && aNow - *aTime <= window &&
             aNow - *aTime >= impl.options.directTimeout;
    };
    const bool heard = it.heard && aNow - *it.heard <= window;
    contact.heard += heard ? 1 : 0;
    contact.reported += it.reported && aNow - *it.reported <= window ? 1 : 0;
    contact.tried +=
      heard || triedAt(it.tried) || triedAt(it.triedBefore) ? 1 : 0;
  }
  if (contact.roster <= kExactRoster) {
    contact.tried = contact.roster;
  }
  return contact;
}

void Membership::ForgetContacts()
{
  for (auto& it : mImpl->entries) {
    it.heard.reset();
    it.reported.reset();
    it.tried.reset();
    it.triedBefore.reset();
  }
}

} // namespace bronzedeal::process
