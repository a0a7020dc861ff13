#include "bronzedeal/process/lease.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <random>
#include <unordered_map>
#include <utility>
#include <xxhash.h>

namespace bronzedeal::process {
namespace {

constexpr Duration kRetry = milliseconds(200);
constexpr Duration kPlanInterval = milliseconds(100);
constexpr std::size_t kRoundsKept = 8;
constexpr std::size_t kRanks = 3;
// A fresh instance in a large fleet knows few others and takes itself for the
// preferred owner of most slices; this bounds its requests until it knows more.
constexpr std::size_t kNewPerPlan = 16;
// A lost release only delays the next holder, so a few repetitions suffice.
constexpr unsigned kReleaseRepeats = 3;
constexpr std::size_t kMaxNotes = 256;

struct Grant
{
  std::uint64_t requestId = 0;
  /// When the granted request was sent; the lease counts from here.
  TimePoint sent;
  /// When no former work that the witness knows of can run any more.
  TimePoint readyAt;
};

struct Lease
{
  LeaseState state = LeaseState::Requesting;
  std::vector<InstanceId> witnesses;
  RosterRevision witnessRevision = 0;
  std::map<InstanceId, Grant> grants;
  std::map<std::uint64_t, TimePoint> rounds;
  std::uint64_t lastRequest = 0;
  TimePoint nextRequest;
  bool refusedAsHeld = false;
  /// Since when there have been grants without a quorum.
  std::optional<TimePoint> partialSince;
  /// Valid before this time while a quorum of grants stands.
  std::optional<TimePoint> until;
  bool drained = false;
  bool fallback = false;
  TimePoint heldSince;
};

struct Rank
{
  std::vector<InstanceId> order;
  /// Since when the first of the order has been the first.
  TimePoint firstSince;
  /// Since when no live member has announced the slice.
  std::optional<TimePoint> orphanSince;
};

struct PendingRelease
{
  LeaseReleaseMessage body;
  std::vector<InstanceId> targets;
  unsigned left = kReleaseRepeats;
  TimePoint next;
};

} // namespace

struct LeaseHolder::Impl
{
  InstanceId self;
  LeaseOptions options;
  std::mt19937_64 random;
  std::uint64_t lastRequest = 0;
  std::uint64_t generation = 1;
  std::map<SliceId, Lease> leases;
  std::map<SliceId, Rank> ranks;
  /// Until when own work on a slice may run after the lease was lost.
  std::map<SliceId, TimePoint> workUntil;
  std::vector<PendingRelease> releases;
  std::vector<NewerPeer> newer;
  std::vector<AuditNote> notes;
  std::optional<TimePoint> nextPlan;
  std::uint64_t rankedEpoch = 0;
  std::vector<SliceId> rankedSlices;
  ConfigVersion configVersion = 0;
  RosterRevision rosterRevision = 0;
  milliseconds maxSubrequest{ 0 };

  void Note(AuditKind aKind, std::string aDetail)
  {
    if (notes.size() < kMaxNotes) {
      notes.push_back({ aKind, configVersion, std::move(aDetail) });
    }
  }

  Duration Usable() const
  {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(options.duration) *
      (1.0 - options.maxClockDrift));
  }

  Duration Stretch(Duration aDuration) const
  {
    return aDuration +
           std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(aDuration) * options.maxClockDrift);
  }

  Duration Jitter(milliseconds aFrom, milliseconds aTo)
  {
    const auto span = static_cast<std::uint64_t>((aTo - aFrom).count()) + 1;
    return aFrom + milliseconds(random() % span);
  }

  static bool Holds(const Lease& aLease)
  {
    return aLease.state != LeaseState::Requesting;
  }

  // The time that a quorum of the values reaches or exceeds; nullopt when there
  // are too few.
  static std::optional<TimePoint> QuorumTime(std::vector<TimePoint> aTimes,
                                             std::size_t aQuorum)
  {
    if (aQuorum == 0 || aTimes.size() < aQuorum) {
      return std::nullopt;
    }
    std::sort(aTimes.begin(), aTimes.end(), std::greater<>());
    return aTimes[aQuorum - 1];
  }

  std::optional<TimePoint> ValidUntil(const Lease& aLease) const
  {
    std::vector<TimePoint> ends;
    for (const auto& it : aLease.witnesses) {
      if (const auto grant = aLease.grants.find(it);
          grant != aLease.grants.end()) {
        ends.push_back(grant->second.sent + Usable());
      }
    }
    return QuorumTime(std::move(ends), QuorumSize(aLease.witnesses.size()));
  }

  // When a quorum of standing grants says that no former work runs any more.
  std::optional<TimePoint> ReadyAt(const Lease& aLease, TimePoint aNow) const
  {
    std::vector<TimePoint> times;
    for (const auto& it : aLease.witnesses) {
      const auto grant = aLease.grants.find(it);
      if (grant != aLease.grants.end() &&
          aNow < grant->second.sent + Usable()) {
        times.push_back(grant->second.readyAt);
      }
    }
    const auto quorum = QuorumSize(aLease.witnesses.size());
    if (quorum == 0 || times.size() < quorum) {
      return std::nullopt;
    }
    std::sort(times.begin(), times.end());
    return times[quorum - 1];
  }

  void Lapse(const SliceId& aSlice, Lease& aLease, const char* aReason)
  {
    if (Holds(aLease)) {
      Note(AuditKind::LeaseLost,
           fmt::format("{}: {}", ToString(aSlice), aReason));
      if (aLease.state != LeaseState::Waiting && aLease.until) {
        workUntil[aSlice] =
          std::max(workUntil[aSlice], *aLease.until + maxSubrequest);
      }
      ++generation;
    }
    aLease.state = LeaseState::Requesting;
    aLease.until.reset();
    aLease.grants.clear();
    aLease.drained = false;
  }

  // Brings the state in line with the grants and the time.
  void Refresh(const SliceId& aSlice, Lease& aLease, TimePoint aNow)
  {
    if (aLease.until && aNow >= *aLease.until) {
      Lapse(aSlice, aLease, "expired");
      return;
    }
    const auto until = ValidUntil(aLease);
    if (!until || aNow >= *until) {
      if (Holds(aLease)) {
        Lapse(aSlice, aLease, "too few witnesses of the present roster");
      }
      return;
    }
    if (aLease.until != until) {
      aLease.until = until;
      ++generation;
    }
    if (aLease.state == LeaseState::Requesting) {
      aLease.state = LeaseState::Waiting;
      aLease.partialSince.reset();
    }
    if (aLease.state == LeaseState::Waiting) {
      if (const auto ready = ReadyAt(aLease, aNow); ready && aNow >= *ready) {
        aLease.state = LeaseState::Held;
        aLease.heldSince = aNow;
        ++generation;
        Note(AuditKind::LeaseAcquired, ToString(aSlice));
      }
    }
  }

  void Release(const SliceId& aSlice,
               Lease& aLease,
               bool aClean,
               TimePoint aNow)
  {
    if (aLease.lastRequest == 0) {
      return;
    }
    auto targets = aLease.witnesses;
    for (const auto& it : aLease.grants) {
      if (std::find(targets.begin(), targets.end(), it.first) ==
          targets.end()) {
        targets.push_back(it.first);
      }
    }
    releases.push_back({ { aSlice, aLease.lastRequest, aClean },
                         std::move(targets),
                         kReleaseRepeats,
                         aNow });
  }

  // True when no own work of an earlier, lost lease can run any more.
  bool WorkEnded(const SliceId& aSlice, TimePoint aNow) const
  {
    const auto it = workUntil.find(aSlice);
    return it == workUntil.end() || aNow >= it->second;
  }

  void DropAll(TimePoint aNow)
  {
    for (auto& [slice, lease] : leases) {
      const bool held = Holds(lease) && lease.state != LeaseState::Waiting;
      // Sends may have happened until now; the lease's end bounds them.
      Lapse(slice, lease, "dropped");
      Release(slice, lease, !held && WorkEnded(slice, aNow), aNow);
    }
    leases.clear();
    nextPlan.reset();
  }

  void RankSlices(const LeaseInputs& aInputs, TimePoint aNow)
  {
    std::map<FailureDomain, std::vector<Candidate>> byDomain;
    for (const auto& it : aInputs.candidates) {
      byDomain[it.failureDomain].push_back(it);
    }
    std::map<SliceId, Rank> fresh;
    for (const auto& slice : aInputs.slices) {
      const auto domain = byDomain.find(slice.failureDomain);
      std::string region;
      if (aInputs.regionByDomain != nullptr) {
        if (const auto it = aInputs.regionByDomain->find(slice.failureDomain);
            it != aInputs.regionByDomain->end()) {
          region = it->second;
        }
      }
      Rank rank;
      const bool enough =
        domain != byDomain.end() && domain->second.size() >= kRanks;
      rank.order =
        PreferredOwners(slice,
                        region,
                        enough ? std::span<const Candidate>(domain->second)
                               : aInputs.candidates,
                        kRanks);
      rank.firstSince = aNow;
      if (const auto old = ranks.find(slice); old != ranks.end()) {
        if (!old->second.order.empty() && !rank.order.empty() &&
            old->second.order[0] == rank.order[0]) {
          rank.firstSince = old->second.firstSince;
        }
        rank.orphanSince = old->second.orphanSince;
      }
      // At 820 instances only a few slices concern this one.
      if (leases.contains(slice) ||
          std::find(rank.order.begin(), rank.order.end(), self) !=
            rank.order.end()) {
        fresh.emplace(slice, std::move(rank));
      }
    }
    ranks = std::move(fresh);
  }

  // Whether this instance should hold a slice, and whether as a fallback.
  std::pair<bool, bool> Wants(const Rank& aRank, TimePoint aNow) const
  {
    const auto it = std::find(aRank.order.begin(), aRank.order.end(), self);
    if (it == aRank.order.end()) {
      return { false, false };
    }
    const auto k = it - aRank.order.begin();
    if (k == 0) {
      return { true, false };
    }
    const bool orphan = aRank.orphanSince &&
                        aNow - *aRank.orphanSince >= k * options.fallbackDelay;
    return { orphan, true };
  }

  void PlanDraining(Lease& aLease, const Rank* aRank, TimePoint aNow) const
  {
    const bool preferred =
      aRank != nullptr && !aRank->order.empty() && aRank->order[0] == self;
    bool drain = aRank == nullptr;
    if (aRank != nullptr && !aRank->order.empty() && !preferred) {
      drain =
        aNow - aRank->firstSince >= options.handoverDelay &&
        !(aLease.fallback && aNow - aLease.heldSince < options.minFallbackHold);
    }
    if (preferred) {
      aLease.fallback = false;
    }
    if (drain && aLease.state == LeaseState::Held) {
      aLease.state = LeaseState::Draining;
      aLease.drained = false;
    } else if (!drain && aLease.state == LeaseState::Draining) {
      aLease.state = LeaseState::Held;
    }
  }

  void Plan(const LeaseInputs& aInputs, TimePoint aNow)
  {
    const bool sameSlices = std::equal(aInputs.slices.begin(),
                                       aInputs.slices.end(),
                                       rankedSlices.begin(),
                                       rankedSlices.end());
    if (aInputs.candidateEpoch != rankedEpoch || !sameSlices) {
      RankSlices(aInputs, aNow);
      rankedEpoch = aInputs.candidateEpoch;
      rankedSlices.assign(aInputs.slices.begin(), aInputs.slices.end());
    }
    std::size_t added = 0;
    for (auto& [slice, rank] : ranks) {
      const auto held = leases.find(slice);
      const bool announced =
        std::find(aInputs.announcedByOthers.begin(),
                  aInputs.announcedByOthers.end(),
                  slice) != aInputs.announcedByOthers.end();
      if (announced || (held != leases.end() && Holds(held->second))) {
        rank.orphanSince.reset();
      } else if (!rank.orphanSince) {
        rank.orphanSince = aNow;
      }
      if (held != leases.end() || aInputs.leaving || added == kNewPerPlan) {
        continue;
      }
      const auto [wanted, fallback] = Wants(rank, aNow);
      if (wanted) {
        ++added;
        auto& lease = leases[slice];
        lease.fallback = fallback;
        lease.nextRequest = aNow;
      }
    }
    for (auto it = leases.begin(); it != leases.end();) {
      auto& [slice, lease] = *it;
      const auto found = ranks.find(slice);
      const auto* rank = found == ranks.end() ? nullptr : &found->second;
      if (!Holds(lease) || lease.state == LeaseState::Waiting) {
        const bool wanted =
          rank != nullptr && !aInputs.leaving && Wants(*rank, aNow).first;
        const bool waiting = lease.state == LeaseState::Waiting &&
                             rank != nullptr && !aInputs.leaving;
        if (!wanted && !waiting) {
          const auto ended = WorkEnded(slice, aNow);
          Lapse(slice, lease, "no longer wanted");
          Release(slice, lease, ended, aNow);
          it = leases.erase(it);
          continue;
        }
      } else {
        const auto before = lease.state;
        PlanDraining(lease, aInputs.leaving ? nullptr : rank, aNow);
        generation += before == lease.state ? 0 : 1;
      }
      ++it;
    }
  }

  void FinishDrained(TimePoint aNow)
  {
    for (auto it = leases.begin(); it != leases.end();) {
      auto& [slice, lease] = *it;
      if (lease.state == LeaseState::Draining && lease.drained) {
        workUntil.erase(slice);
        Note(AuditKind::LeaseReleased, ToString(slice));
        Release(slice, lease, true, aNow);
        ++generation;
        it = leases.erase(it);
      } else {
        ++it;
      }
    }
  }

  // Partial grants of two requesters would exclude each other for ever. They
  // are given back when another one holds the slice, and when they did not
  // become a quorum within the duration of a lease: this instance may be cut
  // off from the other witnesses, and another owner needs those that it
  // reaches.
  bool GivesBack(Lease& aLease, TimePoint aNow)
  {
    const bool refused = std::exchange(aLease.refusedAsHeld, false);
    if (aLease.grants.empty()) {
      aLease.partialSince.reset();
      return false;
    }
    if (!aLease.partialSince) {
      aLease.partialSince = aNow;
    }
    const bool stuck = aNow - *aLease.partialSince >= options.duration;
    if (!refused && !stuck) {
      return false;
    }
    aLease.partialSince.reset();
    aLease.nextRequest =
      aNow + (stuck ? Jitter(milliseconds(1000), milliseconds(3000))
                    : Jitter(milliseconds(100), milliseconds(300)));
    return true;
  }

  void Request(const SliceId& aSlice,
               Lease& aLease,
               const LeaseInputs& aInputs,
               TimePoint aNow,
               std::vector<OutgoingMessage>& aOut)
  {
    if (aNow < aLease.nextRequest) {
      return;
    }
    if (aLease.state == LeaseState::Requesting && GivesBack(aLease, aNow)) {
      Release(aSlice, aLease, WorkEnded(aSlice, aNow), aNow);
      aLease.grants.clear();
      // A grant that arrives after the release no longer stands.
      aLease.rounds.clear();
      return;
    }
    aLease.lastRequest = ++lastRequest;
    aLease.rounds[aLease.lastRequest] = aNow;
    while (aLease.rounds.size() > kRoundsKept) {
      aLease.rounds.erase(aLease.rounds.begin());
    }
    aLease.nextRequest =
      aNow + (Holds(aLease) ? options.renewInterval
                            : std::min(kRetry, options.renewInterval));
    for (const auto& it : aLease.witnesses) {
      aOut.push_back({ it,
                       LeaseRequestMessage{ aSlice,
                                            aLease.lastRequest,
                                            aInputs.configVersion,
                                            aInputs.rosterRevision,
                                            options.duration,
                                            aInputs.maxSubrequest } });
    }
  }

  void SendReleases(TimePoint aNow, std::vector<OutgoingMessage>& aOut)
  {
    for (auto& it : releases) {
      if (aNow < it.next) {
        continue;
      }
      for (const auto& target : it.targets) {
        aOut.push_back({ target, it.body });
      }
      --it.left;
      it.next = aNow + kRetry;
    }
    std::erase_if(releases, [](const auto& aIt) { return aIt.left == 0; });
  }
};

LeaseHolder::LeaseHolder(InstanceId aSelf, LeaseOptions aOptions)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->random.seed(XXH64(aSelf.data(), aSelf.size(), 1));
  mImpl->self = std::move(aSelf);
  mImpl->options = aOptions;
}

LeaseHolder::~LeaseHolder() = default;
LeaseHolder::LeaseHolder(LeaseHolder&&) noexcept = default;
LeaseHolder& LeaseHolder::operator=(LeaseHolder&&) noexcept = default;

void LeaseHolder::Tick(TimePoint aNow,
                       const LeaseInputs& aInputs,
                       std::vector<OutgoingMessage>& aOut)
{
  auto& impl = *mImpl;
  const auto first = static_cast<std::ptrdiff_t>(aOut.size());
  impl.configVersion = std::max(impl.configVersion, aInputs.configVersion);
  impl.rosterRevision = aInputs.rosterRevision;
  impl.maxSubrequest = std::max(impl.maxSubrequest, aInputs.maxSubrequest);
  if (!aInputs.active) {
    impl.DropAll(aNow);
  } else {
    for (auto& [slice, lease] : impl.leases) {
      impl.Refresh(slice, lease, aNow);
    }
    if (!impl.nextPlan || aNow >= *impl.nextPlan) {
      impl.nextPlan = aNow + kPlanInterval;
      impl.Plan(aInputs, aNow);
    }
    impl.FinishDrained(aNow);
    for (auto& [slice, lease] : impl.leases) {
      if (lease.witnessRevision != aInputs.rosterRevision) {
        lease.witnesses = WitnessSet(slice, aInputs.roster);
        lease.witnessRevision = aInputs.rosterRevision;
        impl.Refresh(slice, lease, aNow);
      }
      impl.Request(slice, lease, aInputs, aNow, aOut);
    }
  }
  impl.SendReleases(aNow, aOut);
  std::stable_sort(
    aOut.begin() + first, aOut.end(), [](const auto& aL, const auto& aR) {
      return aL.to < aR.to;
    });
}

void LeaseHolder::Receive(const InstanceId& aFrom,
                          const LeaseReplyMessage& aReply,
                          TimePoint aNow)
{
  auto& impl = *mImpl;
  if (aReply.configVersion > impl.configVersion ||
      aReply.rosterRevision > impl.rosterRevision) {
    const auto known =
      std::find_if(impl.newer.begin(), impl.newer.end(), [&](const auto& aIt) {
        return aIt.id == aFrom;
      });
    const NewerPeer peer{ aFrom, aReply.configVersion, aReply.rosterRevision };
    if (known == impl.newer.end()) {
      impl.newer.push_back(peer);
    } else {
      *known = peer;
    }
  }
  const auto found = impl.leases.find(aReply.slice);
  if (found == impl.leases.end()) {
    return;
  }
  auto& lease = found->second;
  const auto round = lease.rounds.find(aReply.requestId);
  if (round == lease.rounds.end()) {
    return;
  }
  // An expired lease must not be revived by a late grant: another instance may
  // have held the slice since.
  impl.Refresh(aReply.slice, lease, aNow);
  if (aReply.answer != LeaseAnswer::Granted) {
    lease.refusedAsHeld =
      lease.refusedAsHeld || aReply.answer == LeaseAnswer::HeldByAnother;
    return;
  }
  auto& grant = lease.grants[aFrom];
  if (aReply.requestId > grant.requestId) {
    grant = { aReply.requestId,
              round->second,
              aReply.cleanHandover ? aNow : aNow + impl.Stretch(aReply.wait) };
  }
  impl.Refresh(aReply.slice, lease, aNow);
}

void LeaseHolder::DropAll(TimePoint aNow)
{
  mImpl->DropAll(aNow);
}

std::optional<TimePoint> LeaseHolder::SendableUntil(const SliceId& aSlice) const
{
  const auto it = mImpl->leases.find(aSlice);
  return it != mImpl->leases.end() && it->second.state == LeaseState::Held
           ? it->second.until
           : std::nullopt;
}

std::vector<std::pair<SliceId, TimePoint>> LeaseHolder::SendableSlices() const
{
  std::vector<std::pair<SliceId, TimePoint>> result;
  for (const auto& [slice, lease] : mImpl->leases) {
    if (lease.state == LeaseState::Held && lease.until) {
      result.emplace_back(slice, *lease.until);
    }
  }
  return result;
}

std::uint64_t LeaseHolder::Generation() const noexcept
{
  return mImpl->generation;
}

std::vector<SliceId> LeaseHolder::OwnedSlices() const
{
  std::vector<SliceId> result;
  for (const auto& [slice, lease] : mImpl->leases) {
    if (Impl::Holds(lease)) {
      result.push_back(slice);
    }
  }
  return result;
}

std::vector<SliceId> LeaseHolder::DrainingSlices() const
{
  std::vector<SliceId> result;
  for (const auto& [slice, lease] : mImpl->leases) {
    if (lease.state == LeaseState::Draining) {
      result.push_back(slice);
    }
  }
  return result;
}

std::optional<LeaseState> LeaseHolder::StateOf(const SliceId& aSlice) const
{
  const auto it = mImpl->leases.find(aSlice);
  return it == mImpl->leases.end() ? std::nullopt
                                   : std::optional(it->second.state);
}

void LeaseHolder::MarkDrained(const SliceId& aSlice)
{
  const auto it = mImpl->leases.find(aSlice);
  if (it != mImpl->leases.end() && it->second.state == LeaseState::Draining) {
    it->second.drained = true;
  }
}

std::vector<NewerPeer> LeaseHolder::TakeNewerPeers()
{
  return std::exchange(mImpl->newer, {});
}

std::vector<AuditNote> LeaseHolder::TakeAuditNotes()
{
  return std::exchange(mImpl->notes, {});
}

} // namespace bronzedeal::process
