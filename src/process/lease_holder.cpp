#include "bronzedeal/process/lease.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <random>
#include <unordered_map>
#include <utility>
#include <xxhash.h>

namespace bronzedeal::process {
namespace {

// Between two requests without a quorum, and between repeated releases.
constexpr Duration kRetryInterval = milliseconds(200);
constexpr Duration kPlanInterval = milliseconds(100);
// Latest requests of a lease whose replies still count.
constexpr std::size_t kMaxRequestsKept = 8;
// Preferred owners of a slice that may request it.
constexpr std::size_t kOwnersRanked = 3;
// A starting instance in a large fleet knows few others and ranks itself as the
// preferred owner of most slices; this limits its requests until it knows more.
constexpr std::size_t kMaxNewLeasesPerPlan = 16;
// How often a release is sent. A lost one only delays the next holder, so a few
// repetitions suffice.
constexpr unsigned kReleaseSends = 3;
constexpr std::size_t kMaxAuditNotes = 256;

struct Grant
{
  std::uint64_t requestId = 0;
  /// When the granted request was sent; the lease is measured from this time.
  TimePoint requestSentAt;
  /// From when no work of former holders that the witness knows can be running.
  TimePoint formerWorkEndsAt;
};

struct Lease
{
  LeaseState state = LeaseState::Requesting;
  std::vector<InstanceId> witnesses;
  /// Roster revision that `witnesses` was computed from.
  RosterRevision witnessRevision = 0;
  std::map<InstanceId, Grant> grants;
  /// Time of sending of the latest requests, by request id.
  std::map<std::uint64_t, TimePoint> requestSentAt;
  std::uint64_t lastRequestId = 0;
  TimePoint nextRequestAt;
  bool refusedAsHeldByAnother = false;
  /// Since when there have been grants, but no quorum of them.
  std::optional<TimePoint> partialGrantsSince;
  /// End of the lease; set while a quorum of grants is valid.
  std::optional<TimePoint> validUntil;
  bool isDrained = false;
  bool isFallback = false;
  TimePoint heldSince;
};

struct OwnerRanking
{
  /// Possible owners in order of preference.
  std::vector<InstanceId> owners;
  /// Since when the first of `owners` has been the preferred one.
  TimePoint preferredSince;
  /// Since when no live member has announced the slice.
  std::optional<TimePoint> unownedSince;
};

struct PendingRelease
{
  LeaseReleaseMessage release;
  std::vector<InstanceId> targets;
  unsigned sendsLeft = kReleaseSends;
  TimePoint nextSendAt;
};

} // namespace

struct LeaseHolder::Impl
{
  InstanceId self;
  LeaseOptions options;
  std::mt19937_64 random;
  std::uint64_t lastRequestId = 0;
  std::uint64_t generation = 1;
  std::map<SliceId, Lease> leases;
  std::map<SliceId, OwnerRanking> rankings;
  /// Time until which own work on a slice may run after its lease was lost.
  std::map<SliceId, TimePoint> ownWorkUntil;
  std::vector<PendingRelease> pendingReleases;
  std::vector<NewerPeer> newerPeers;
  std::vector<AuditNote> auditNotes;
  std::optional<TimePoint> nextPlanAt;
  std::uint64_t rankedCandidateEpoch = 0;
  std::vector<SliceId> rankedSlices;
  ConfigVersion configVersion = 0;
  RosterRevision rosterRevision = 0;
  milliseconds maxSubrequest{ 0 };

  void AddAuditNote(AuditKind aKind, std::string aDetail)
  {
    if (auditNotes.size() < kMaxAuditNotes) {
      auditNotes.push_back({ aKind, configVersion, std::move(aDetail) });
    }
  }

  // The duration of a lease on the own clock, shortened by the assumed drift.
  Duration UsableDuration() const
  {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(options.duration) *
      (1.0 - options.maxClockDrift));
  }

  // Lengthens a duration measured on another clock by the assumed drift.
  Duration AddClockDrift(Duration aDuration) const
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

  static bool IsGranted(const Lease& aLease)
  {
    return aLease.state != LeaseState::Requesting;
  }

  // The latest time that `aQuorum` of the values reach or exceed; nullopt when
  // there are too few.
  static std::optional<TimePoint> LatestTimeWithQuorum(
    std::vector<TimePoint> aTimes,
    std::size_t aQuorum)
  {
    if (aQuorum == 0 || aTimes.size() < aQuorum) {
      return std::nullopt;
    }
    std::sort(aTimes.begin(), aTimes.end(), std::greater<>());
    return aTimes[aQuorum - 1];
  }

  // The end of the lease by its present grants; nullopt without a quorum.
  std::optional<TimePoint> ValidUntil(const Lease& aLease) const
  {
    std::vector<TimePoint> ends;
    for (const auto& it : aLease.witnesses) {
      if (const auto grant = aLease.grants.find(it);
          grant != aLease.grants.end()) {
        ends.push_back(grant->second.requestSentAt + UsableDuration());
      }
    }
    return LatestTimeWithQuorum(std::move(ends),
                                QuorumSize(aLease.witnesses.size()));
  }

  // The time by which, according to a quorum of unexpired grants, all work of
  // former holders has ended; nullopt without a quorum.
  std::optional<TimePoint> FormerWorkEndsAt(const Lease& aLease,
                                            TimePoint aNow) const
  {
    std::vector<TimePoint> times;
    for (const auto& it : aLease.witnesses) {
      const auto grant = aLease.grants.find(it);
      if (grant != aLease.grants.end() &&
          aNow < grant->second.requestSentAt + UsableDuration()) {
        times.push_back(grant->second.formerWorkEndsAt);
      }
    }
    const auto quorum = QuorumSize(aLease.witnesses.size());
    if (quorum == 0 || times.size() < quorum) {
      return std::nullopt;
    }
    std::sort(times.begin(), times.end());
    return times[quorum - 1];
  }

  // Drops the grants, and records the loss of a lease that was granted.
  void ResetLease(const SliceId& aSlice, Lease& aLease, const char* aReason)
  {
    if (IsGranted(aLease)) {
      AddAuditNote(AuditKind::LeaseLost,
                   fmt::format("{}: {}", ToString(aSlice), aReason));
      if (aLease.state != LeaseState::Waiting && aLease.validUntil) {
        ownWorkUntil[aSlice] =
          std::max(ownWorkUntil[aSlice], *aLease.validUntil + maxSubrequest);
      }
      ++generation;
    }
    aLease.state = LeaseState::Requesting;
    aLease.validUntil.reset();
    aLease.grants.clear();
    aLease.isDrained = false;
  }

  // Updates the state of a lease to its grants and the time.
  void UpdateState(const SliceId& aSlice, Lease& aLease, TimePoint aNow)
  {
    if (aLease.validUntil && aNow >= *aLease.validUntil) {
      ResetLease(aSlice, aLease, "expired");
      return;
    }
    const auto until = ValidUntil(aLease);
    if (!until || aNow >= *until) {
      if (IsGranted(aLease)) {
        ResetLease(aSlice, aLease, "too few witnesses of the present roster");
      }
      return;
    }
    if (aLease.validUntil != until) {
      aLease.validUntil = until;
      ++generation;
    }
    if (aLease.state == LeaseState::Requesting) {
      aLease.state = LeaseState::Waiting;
      aLease.partialGrantsSince.reset();
    }
    if (aLease.state == LeaseState::Waiting) {
      if (const auto ready = FormerWorkEndsAt(aLease, aNow);
          ready && aNow >= *ready) {
        aLease.state = LeaseState::Held;
        aLease.heldSince = aNow;
        ++generation;
        AddAuditNote(AuditKind::LeaseAcquired, ToString(aSlice));
      }
    }
  }

  void ScheduleRelease(const SliceId& aSlice,
                       Lease& aLease,
                       bool aClean,
                       TimePoint aNow)
  {
    if (aLease.lastRequestId == 0) {
      return;
    }
    auto targets = aLease.witnesses;
    for (const auto& it : aLease.grants) {
      if (std::find(targets.begin(), targets.end(), it.first) ==
          targets.end()) {
        targets.push_back(it.first);
      }
    }
    pendingReleases.push_back({ { aSlice, aLease.lastRequestId, aClean },
                                std::move(targets),
                                kReleaseSends,
                                aNow });
  }

  // True when no own work of an earlier lease that was lost can be running.
  bool FormerLeaseWorkEnded(const SliceId& aSlice, TimePoint aNow) const
  {
    const auto it = ownWorkUntil.find(aSlice);
    return it == ownWorkUntil.end() || aNow >= it->second;
  }

  void DropAll(TimePoint aNow)
  {
    for (auto& [slice, lease] : leases) {
      const bool held = IsGranted(lease) && lease.state != LeaseState::Waiting;
      // Work may have been sent until now, so the release of a held lease is
      // not clean; the end of the lease bounds how long that work may run.
      ResetLease(slice, lease, "dropped");
      ScheduleRelease(
        slice, lease, !held && FormerLeaseWorkEnded(slice, aNow), aNow);
    }
    leases.clear();
    nextPlanAt.reset();
  }

  void RankSlices(const LeaseInputs& aInputs, TimePoint aNow)
  {
    std::map<FailureDomain, std::vector<Candidate>> byDomain;
    for (const auto& it : aInputs.candidates) {
      byDomain[it.failureDomain].push_back(it);
    }
    std::map<SliceId, OwnerRanking> newRankings;
    for (const auto& slice : aInputs.slices) {
      const auto domain = byDomain.find(slice.failureDomain);
      std::string region;
      if (aInputs.regionByDomain != nullptr) {
        if (const auto it = aInputs.regionByDomain->find(slice.failureDomain);
            it != aInputs.regionByDomain->end()) {
          region = it->second;
        }
      }
      OwnerRanking ranking;
      // With enough candidates in the failure domain no others need ranking.
      const bool domainSuffices =
        domain != byDomain.end() && domain->second.size() >= kOwnersRanked;
      ranking.owners = PreferredOwners(
        slice,
        region,
        domainSuffices ? std::span<const Candidate>(domain->second)
                       : aInputs.candidates,
        kOwnersRanked);
      ranking.preferredSince = aNow;
      if (const auto old = rankings.find(slice); old != rankings.end()) {
        if (!old->second.owners.empty() && !ranking.owners.empty() &&
            old->second.owners[0] == ranking.owners[0]) {
          ranking.preferredSince = old->second.preferredSince;
        }
        ranking.unownedSince = old->second.unownedSince;
      }
      // With 820 instances only a few slices concern this one.
      if (leases.contains(slice) ||
          std::find(ranking.owners.begin(), ranking.owners.end(), self) !=
            ranking.owners.end()) {
        newRankings.emplace(slice, std::move(ranking));
      }
    }
    rankings = std::move(newRankings);
  }

  // Whether this instance should hold the slice, and whether as a fallback.
  std::pair<bool, bool> ShouldHold(const OwnerRanking& aRanking,
                                   TimePoint aNow) const
  {
    const auto it =
      std::find(aRanking.owners.begin(), aRanking.owners.end(), self);
    if (it == aRanking.owners.end()) {
      return { false, false };
    }
    const auto k = it - aRanking.owners.begin();
    if (k == 0) {
      return { true, false };
    }
    const bool unowned =
      aRanking.unownedSince &&
      aNow - *aRanking.unownedSince >= k * options.fallbackDelay;
    return { unowned, true };
  }

  // Starts or stops draining; without a ranking the slice is not to be kept.
  void UpdateDraining(Lease& aLease,
                      const OwnerRanking* aRanking,
                      TimePoint aNow) const
  {
    const bool isPreferred = aRanking != nullptr && !aRanking->owners.empty() &&
                             aRanking->owners[0] == self;
    bool shouldDrain = aRanking == nullptr;
    if (aRanking != nullptr && !aRanking->owners.empty() && !isPreferred) {
      shouldDrain = aNow - aRanking->preferredSince >= options.handoverDelay &&
                    !(aLease.isFallback &&
                      aNow - aLease.heldSince < options.minFallbackHold);
    }
    if (isPreferred) {
      aLease.isFallback = false;
    }
    if (shouldDrain && aLease.state == LeaseState::Held) {
      aLease.state = LeaseState::Draining;
      aLease.isDrained = false;
    } else if (!shouldDrain && aLease.state == LeaseState::Draining) {
      aLease.state = LeaseState::Held;
    }
  }

  void PlanLeases(const LeaseInputs& aInputs, TimePoint aNow)
  {
    const bool sameSlices = std::equal(aInputs.slices.begin(),
                                       aInputs.slices.end(),
                                       rankedSlices.begin(),
                                       rankedSlices.end());
    if (aInputs.candidateEpoch != rankedCandidateEpoch || !sameSlices) {
      RankSlices(aInputs, aNow);
      rankedCandidateEpoch = aInputs.candidateEpoch;
      rankedSlices.assign(aInputs.slices.begin(), aInputs.slices.end());
    }
    std::size_t added = 0;
    for (auto& [slice, ranking] : rankings) {
      const auto existing = leases.find(slice);
      const bool announced =
        std::find(aInputs.announcedByOthers.begin(),
                  aInputs.announcedByOthers.end(),
                  slice) != aInputs.announcedByOthers.end();
      if (announced ||
          (existing != leases.end() && IsGranted(existing->second))) {
        ranking.unownedSince.reset();
      } else if (!ranking.unownedSince) {
        ranking.unownedSince = aNow;
      }
      if (existing != leases.end() || aInputs.leaving ||
          added == kMaxNewLeasesPerPlan) {
        continue;
      }
      const auto [wanted, fallback] = ShouldHold(ranking, aNow);
      if (wanted) {
        ++added;
        auto& lease = leases[slice];
        lease.isFallback = fallback;
        lease.nextRequestAt = aNow;
      }
    }
    for (auto it = leases.begin(); it != leases.end();) {
      auto& [slice, lease] = *it;
      const auto found = rankings.find(slice);
      const auto* ranking = found == rankings.end() ? nullptr : &found->second;
      if (!IsGranted(lease) || lease.state == LeaseState::Waiting) {
        const bool wanted = ranking != nullptr && !aInputs.leaving &&
                            ShouldHold(*ranking, aNow).first;
        const bool waiting = lease.state == LeaseState::Waiting &&
                             ranking != nullptr && !aInputs.leaving;
        if (!wanted && !waiting) {
          const auto ended = FormerLeaseWorkEnded(slice, aNow);
          ResetLease(slice, lease, "no longer wanted");
          ScheduleRelease(slice, lease, ended, aNow);
          it = leases.erase(it);
          continue;
        }
      } else {
        const auto before = lease.state;
        UpdateDraining(lease, aInputs.leaving ? nullptr : ranking, aNow);
        generation += before == lease.state ? 0 : 1;
      }
      ++it;
    }
  }

  void ReleaseDrained(TimePoint aNow)
  {
    for (auto it = leases.begin(); it != leases.end();) {
      auto& [slice, lease] = *it;
      if (lease.state == LeaseState::Draining && lease.isDrained) {
        ownWorkUntil.erase(slice);
        AddAuditNote(AuditKind::LeaseReleased, ToString(slice));
        ScheduleRelease(slice, lease, true, aNow);
        ++generation;
        it = leases.erase(it);
      } else {
        ++it;
      }
    }
  }

  // Returns true, and delays the next request, when partial grants are to be
  // released. Partial grants of two requesters would block each other for ever.
  // They are released when another instance holds the slice, and when they did
  // not become a quorum within the duration of a lease: this instance may be
  // unable to reach the other witnesses, and another owner needs the ones that
  // it reaches.
  bool BackOffPartialGrants(Lease& aLease, TimePoint aNow)
  {
    const bool refused = std::exchange(aLease.refusedAsHeldByAnother, false);
    if (aLease.grants.empty()) {
      aLease.partialGrantsSince.reset();
      return false;
    }
    if (!aLease.partialGrantsSince) {
      aLease.partialGrantsSince = aNow;
    }
    const bool stuck = aNow - *aLease.partialGrantsSince >= options.duration;
    if (!refused && !stuck) {
      return false;
    }
    aLease.partialGrantsSince.reset();
    aLease.nextRequestAt =
      aNow + (stuck ? Jitter(milliseconds(1000), milliseconds(3000))
                    : Jitter(milliseconds(100), milliseconds(300)));
    return true;
  }

  void SendRequest(const SliceId& aSlice,
                   Lease& aLease,
                   const LeaseInputs& aInputs,
                   TimePoint aNow,
                   std::vector<OutgoingMessage>& aOut)
  {
    if (aNow < aLease.nextRequestAt) {
      return;
    }
    if (aLease.state == LeaseState::Requesting &&
        BackOffPartialGrants(aLease, aNow)) {
      ScheduleRelease(aSlice, aLease, FormerLeaseWorkEnded(aSlice, aNow), aNow);
      aLease.grants.clear();
      // A grant that arrives after the release is no longer valid.
      aLease.requestSentAt.clear();
      return;
    }
    aLease.lastRequestId = ++lastRequestId;
    aLease.requestSentAt[aLease.lastRequestId] = aNow;
    while (aLease.requestSentAt.size() > kMaxRequestsKept) {
      aLease.requestSentAt.erase(aLease.requestSentAt.begin());
    }
    aLease.nextRequestAt =
      aNow + (IsGranted(aLease)
                ? options.renewInterval
                : std::min(kRetryInterval, options.renewInterval));
    for (const auto& it : aLease.witnesses) {
      aOut.push_back({ it,
                       LeaseRequestMessage{ aSlice,
                                            aLease.lastRequestId,
                                            aInputs.configVersion,
                                            aInputs.rosterRevision,
                                            options.duration,
                                            aInputs.maxSubrequest } });
    }
  }

  void SendPendingReleases(TimePoint aNow, std::vector<OutgoingMessage>& aOut)
  {
    for (auto& it : pendingReleases) {
      if (aNow < it.nextSendAt) {
        continue;
      }
      for (const auto& target : it.targets) {
        aOut.push_back({ target, it.release });
      }
      --it.sendsLeft;
      it.nextSendAt = aNow + kRetryInterval;
    }
    std::erase_if(pendingReleases,
                  [](const auto& aIt) { return aIt.sendsLeft == 0; });
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
      impl.UpdateState(slice, lease, aNow);
    }
    if (!impl.nextPlanAt || aNow >= *impl.nextPlanAt) {
      impl.nextPlanAt = aNow + kPlanInterval;
      impl.PlanLeases(aInputs, aNow);
    }
    impl.ReleaseDrained(aNow);
    for (auto& [slice, lease] : impl.leases) {
      if (lease.witnessRevision != aInputs.rosterRevision) {
        lease.witnesses = WitnessSet(slice, aInputs.roster);
        lease.witnessRevision = aInputs.rosterRevision;
        impl.UpdateState(slice, lease, aNow);
      }
      impl.SendRequest(slice, lease, aInputs, aNow, aOut);
    }
  }
  impl.SendPendingReleases(aNow, aOut);
  std::stable_sort(
    aOut.begin() + first,
    aOut.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft.to < aRight.to; });
}

void LeaseHolder::Receive(const InstanceId& aFrom,
                          const LeaseReplyMessage& aReply,
                          TimePoint aNow)
{
  auto& impl = *mImpl;
  if (aReply.configVersion > impl.configVersion ||
      aReply.rosterRevision > impl.rosterRevision) {
    const auto known =
      std::find_if(impl.newerPeers.begin(),
                   impl.newerPeers.end(),
                   [&](const auto& aIt) { return aIt.id == aFrom; });
    const NewerPeer peer{ aFrom, aReply.configVersion, aReply.rosterRevision };
    if (known == impl.newerPeers.end()) {
      impl.newerPeers.push_back(peer);
    } else {
      *known = peer;
    }
  }
  const auto found = impl.leases.find(aReply.slice);
  if (found == impl.leases.end()) {
    return;
  }
  auto& lease = found->second;
  const auto request = lease.requestSentAt.find(aReply.requestId);
  if (request == lease.requestSentAt.end()) {
    return;
  }
  // Expires the lease first: a late grant must not revive it, since another
  // instance may have held the slice in the meantime.
  impl.UpdateState(aReply.slice, lease, aNow);
  if (aReply.answer != LeaseAnswer::Granted) {
    lease.refusedAsHeldByAnother = lease.refusedAsHeldByAnother ||
                                   aReply.answer == LeaseAnswer::HeldByAnother;
    return;
  }
  auto& grant = lease.grants[aFrom];
  if (aReply.requestId > grant.requestId) {
    grant = { aReply.requestId,
              request->second,
              aReply.cleanHandover ? aNow
                                   : aNow + impl.AddClockDrift(aReply.wait) };
  }
  impl.UpdateState(aReply.slice, lease, aNow);
}

void LeaseHolder::DropAll(TimePoint aNow)
{
  mImpl->DropAll(aNow);
}

std::optional<TimePoint> LeaseHolder::SendableUntil(const SliceId& aSlice) const
{
  const auto it = mImpl->leases.find(aSlice);
  return it != mImpl->leases.end() && it->second.state == LeaseState::Held
           ? it->second.validUntil
           : std::nullopt;
}

std::vector<std::pair<SliceId, TimePoint>> LeaseHolder::SendableSlices() const
{
  std::vector<std::pair<SliceId, TimePoint>> result;
  for (const auto& [slice, lease] : mImpl->leases) {
    if (lease.state == LeaseState::Held && lease.validUntil) {
      result.emplace_back(slice, *lease.validUntil);
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
    if (Impl::IsGranted(lease)) {
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
    it->second.isDrained = true;
  }
}

std::vector<NewerPeer> LeaseHolder::TakeNewerPeers()
{
  return std::exchange(mImpl->newerPeers, {});
}

std::vector<AuditNote> LeaseHolder::TakeAuditNotes()
{
  return std::exchange(mImpl->auditNotes, {});
}

} // namespace bronzedeal::process
