#include "bronzedeal/process/withdrawal_report.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace bronzedeal::process {
namespace {

constexpr std::size_t kMaxTrackedVersions = 16;
// A longer gap between two observations discards evidence of continuity.
constexpr Duration kMaxObservationGap = milliseconds(1000);

constexpr std::array<std::string_view, 6> kReasonNames{
  "witness_quorum",  "roster_majority", "older_version",
  "unfinished_work", "silent",          "leases_running",
};

// A version whose withdrawal of lower ones is tracked.
struct TrackedVersion
{
  TimePoint trackedSince;
  /// Since when the witness quorums and the roster majority have reported the
  /// version continuously.
  std::optional<TimePoint> lowerVersionsRefusedSince;
  /// Since when some of them have not.
  TimePoint notRefusedSince;
  bool isComplete = false;
};

// The latest record of an instance. It is silent while it is dead or has never
// been heard from.
struct KnownInstance
{
  Member record;
  TimePoint silentSince;
  bool isSilent = true;
  bool inRoster = false;
};

bool IsSettled(const Member& aRecord, ConfigVersion aVersion)
{
  return aRecord.configVersion >= aVersion &&
         aRecord.settledVersion >= aVersion;
}

} // namespace

std::string_view NameOf(WaitReason aReason) noexcept
{
  const auto n = static_cast<std::size_t>(aReason);
  return n < kReasonNames.size() ? kReasonNames[n] : "unknown";
}

struct WithdrawalReport::Impl
{
  LeaseOptions options;
  std::map<ConfigVersion, TrackedVersion> trackedVersions;
  /// Sorted by id.
  std::vector<KnownInstance> instances;
  std::set<SliceId> slices;
  /// The witnesses of a slice as indices in `instances`. One that is not there
  /// is left out and counts only towards the size.
  struct Witnesses
  {
    std::size_t size = 0;
    std::vector<std::size_t> indices;
  };
  std::map<SliceId, Witnesses> witnesses;
  RosterRevision witnessRosterRevision = 0;
  std::size_t rosterSize = 0;
  std::vector<ConfigVersion> newlyCompleted;
  std::map<std::tuple<InstanceId, Incarnation, ConfigVersion>,
           UnfinishedWorkCounts>
    workCounts;
  std::optional<TimePoint> lastObserved;
  std::optional<std::uint64_t> lastEpoch;
  milliseconds maxSubrequest{ 0 };

  // How long an instance may act after its last grant: for the lease and then
  // the longest sub-request, with clock drift.
  Duration LongestActivity() const
  {
    const std::chrono::duration<double> longest(options.duration +
                                                maxSubrequest);
    return std::chrono::duration_cast<Duration>(longest *
                                                (1.0 + options.maxClockDrift));
  }

  std::optional<std::size_t> IndexOf(const InstanceId& aId) const
  {
    const auto it = std::lower_bound(instances.begin(),
                                     instances.end(),
                                     aId,
                                     [](const auto& aKnown, const auto& aKey) {
                                       return aKnown.record.id < aKey;
                                     });
    return it == instances.end() || it->record.id != aId
             ? std::nullopt
             : std::optional(static_cast<std::size_t>(it - instances.begin()));
  }

  std::size_t WitnessesReporting(const Witnesses& aWitnesses,
                                 ConfigVersion aVersion) const
  {
    return static_cast<std::size_t>(std::count_if(
      aWitnesses.indices.begin(), aWitnesses.indices.end(), [&](auto aIndex) {
        return instances[aIndex].record.configVersion >= aVersion;
      }));
  }

  std::size_t InstancesReporting(ConfigVersion aVersion) const
  {
    return static_cast<std::size_t>(
      std::count_if(instances.begin(), instances.end(), [&](const auto& aIt) {
        return aIt.inRoster && !aIt.isSilent &&
               aIt.record.configVersion >= aVersion;
      }));
  }

  // True when the version survives the restart of one instance. A joining
  // instance hears from a majority that includes itself; that majority knows
  // the version unless at least half of the roster lacks it.
  bool SurvivesOneRestart(std::size_t aReporting) const
  {
    const auto lacking = rosterSize - std::min(aReporting, rosterSize);
    return rosterSize > 0 && (lacking == 0 || lacking < rosterSize / 2);
  }

  // True when lease requests with a lower version can no longer get a quorum.
  bool RefusesLowerVersions(ConfigVersion aVersion) const
  {
    return !slices.empty() &&
           SurvivesOneRestart(InstancesReporting(aVersion)) &&
           std::all_of(
             witnesses.begin(), witnesses.end(), [&](const auto& aIt) {
               return WitnessesReporting(aIt.second, aVersion) >=
                      QuorumSize(aIt.second.size);
             });
  }

  // Stores the records; returns true when the set of ids has changed.
  bool UpdateInstances(std::span<const Member> aMembers, TimePoint aNow)
  {
    std::vector<KnownInstance> updated;
    updated.reserve(aMembers.size());
    for (const auto& it : aMembers) {
      KnownInstance entry{ it, aNow, true, false };
      entry.isSilent = it.incarnation == 0 || it.sequence == 0 ||
                       it.status == MemberStatus::Dead;
      if (const auto old = IndexOf(it.id)) {
        entry.inRoster = instances[*old].inRoster;
        if (instances[*old].isSilent) {
          entry.silentSince = instances[*old].silentSince;
        }
      }
      for (const auto& slice : it.slices) {
        AddSlice(slice);
      }
      updated.push_back(std::move(entry));
    }
    std::sort(updated.begin(),
              updated.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.record.id < aRight.record.id;
              });
    const bool changed =
      !std::equal(updated.begin(),
                  updated.end(),
                  instances.begin(),
                  instances.end(),
                  [](const auto& aLeft, const auto& aRight) {
                    return aLeft.record.id == aRight.record.id;
                  });
    instances = std::move(updated);
    return changed;
  }

  void AddSlice(const SliceId& aSlice)
  {
    if (slices.insert(aSlice).second) {
      witnessRosterRevision = 0;
    }
  }

  void UpdateWitnesses(const WithdrawalInputs& aInputs)
  {
    for (const auto& it : aInputs.slices) {
      AddSlice(it);
    }
    if (witnessRosterRevision == aInputs.rosterRevision) {
      return;
    }
    witnessRosterRevision = aInputs.rosterRevision;
    rosterSize = aInputs.roster.size();
    for (auto& it : instances) {
      it.inRoster = false;
    }
    for (const auto& it : aInputs.roster) {
      if (const auto index = IndexOf(it.id)) {
        instances[*index].inRoster = true;
      }
    }
    witnesses.clear();
    for (const auto& slice : slices) {
      const auto set = WitnessSet(slice, aInputs.roster);
      auto& entry = witnesses[slice];
      entry.size = set.size();
      for (const auto& it : set) {
        if (const auto index = IndexOf(it)) {
          entry.indices.push_back(*index);
        }
      }
    }
  }

  void UpdateTrackedVersions(TimePoint aNow)
  {
    for (auto& [version, it] : trackedVersions) {
      if (it.isComplete) {
        continue;
      }
      if (!RefusesLowerVersions(version)) {
        it.notRefusedSince =
          it.lowerVersionsRefusedSince ? aNow : it.notRefusedSince;
        it.lowerVersionsRefusedSince.reset();
      } else if (!it.lowerVersionsRefusedSince) {
        it.lowerVersionsRefusedSince = aNow;
      }
    }
  }

  static std::string DescribeCounts(const UnfinishedWorkCounts& aCounts)
  {
    return fmt::format("admitted {}, queued {}, in flight {}, hedged {}, "
                       "forwarded {}, unconfirmed {}",
                       aCounts.admitted,
                       aCounts.queued,
                       aCounts.inFlight,
                       aCounts.hedged,
                       aCounts.forwarded,
                       aCounts.unconfirmed);
  }

  static bool HasWork(const UnfinishedWorkCounts& aCounts)
  {
    return aCounts.admitted + aCounts.queued + aCounts.inFlight +
             aCounts.hedged + aCounts.forwarded + aCounts.unconfirmed >
           0;
  }

  void AppendWitnessWaits(ConfigVersion aVersion,
                          const TrackedVersion& aTracked,
                          std::vector<WaitItem>& aWaiting) const
  {
    const auto n = InstancesReporting(aVersion);
    if (!SurvivesOneRestart(n) || slices.empty()) {
      aWaiting.push_back({ WaitReason::RosterMajority,
                           {},
                           {},
                           aTracked.notRefusedSince,
                           fmt::format("{} of {} instances report the version",
                                       n,
                                       rosterSize) });
    }
    for (const auto& [slice, set] : witnesses) {
      const auto reporting = WitnessesReporting(set, aVersion);
      if (reporting < QuorumSize(set.size)) {
        aWaiting.push_back(
          { WaitReason::WitnessQuorum,
            {},
            slice,
            aTracked.notRefusedSince,
            fmt::format("{} of {} witnesses report the version, {} needed",
                        reporting,
                        set.size,
                        QuorumSize(set.size)) });
      }
    }
  }

  void AppendInstanceWaits(ConfigVersion aVersion,
                           const TrackedVersion& aTracked,
                           bool aLeasesHaveExpired,
                           std::vector<WaitItem>& aWaiting) const
  {
    for (const auto& it : instances) {
      const auto& record = it.record;
      const auto& id = record.id;
      const auto found = workCounts.find({ id, record.incarnation, aVersion });
      if (!it.isSilent && found != workCounts.end() && HasWork(found->second)) {
        aWaiting.push_back({ WaitReason::UnfinishedWork,
                             id,
                             {},
                             aTracked.trackedSince,
                             DescribeCounts(found->second) });
        continue;
      }
      if (record.incarnation != 0 && record.sequence != 0 &&
          IsSettled(record, aVersion)) {
        continue;
      }
      if (it.isSilent) {
        if (!aLeasesHaveExpired) {
          aWaiting.push_back(
            { WaitReason::Silent,
              id,
              {},
              it.silentSince,
              fmt::format("last known version {}", record.configVersion) });
        }
      } else if (record.configVersion < aVersion) {
        aWaiting.push_back(
          { WaitReason::OlderVersion,
            id,
            {},
            aTracked.trackedSince,
            fmt::format("reports version {}", record.configVersion) });
      } else {
        aWaiting.push_back(
          { WaitReason::UnfinishedWork,
            id,
            {},
            aTracked.trackedSince,
            fmt::format("has work under version {}", record.settledVersion) });
      }
    }
  }

  bool LeasesHaveExpired(const TrackedVersion& aTracked) const
  {
    return aTracked.lowerVersionsRefusedSince &&
           *lastObserved - *aTracked.lowerVersionsRefusedSince >=
             LongestActivity();
  }

  bool HasReportedWork(const Member& aRecord, ConfigVersion aVersion) const
  {
    const auto found =
      workCounts.find({ aRecord.id, aRecord.incarnation, aVersion });
    return found != workCounts.end() && HasWork(found->second);
  }

  // Whether the withdrawal is complete; `Status` lists the conditions that do
  // not hold.
  bool IsComplete(ConfigVersion aVersion, const TrackedVersion& aTracked) const
  {
    return LeasesHaveExpired(aTracked) &&
           std::all_of(
             instances.begin(), instances.end(), [&](const KnownInstance& aIt) {
               return aIt.isSilent || (IsSettled(aIt.record, aVersion) &&
                                       !HasReportedWork(aIt.record, aVersion));
             });
  }

  void UpdateCompletion()
  {
    for (auto& [version, it] : trackedVersions) {
      if (!it.isComplete && IsComplete(version, it)) {
        it.isComplete = true;
        newlyCompleted.push_back(version);
      }
    }
  }

  WithdrawalStatus Status(ConfigVersion aVersion,
                          const TrackedVersion& aTracked) const
  {
    WithdrawalStatus status{ aVersion, aTracked.isComplete, {} };
    if (aTracked.isComplete || !lastObserved) {
      return status;
    }
    // Only observed evidence counts, so the times are compared with that of the
    // last observation.
    const bool leasesHaveExpired = LeasesHaveExpired(aTracked);
    AppendWitnessWaits(aVersion, aTracked, status.waiting);
    AppendInstanceWaits(aVersion, aTracked, leasesHaveExpired, status.waiting);
    if (aTracked.lowerVersionsRefusedSince && !leasesHaveExpired) {
      status.waiting.push_back(
        { WaitReason::LeasesRunning,
          {},
          {},
          *aTracked.lowerVersionsRefusedSince,
          fmt::format(
            "leases under lower versions end {} ms after the last "
            "possible grant",
            std::chrono::ceil<milliseconds>(LongestActivity()).count()) });
    }
    return status;
  }
};

WithdrawalReport::WithdrawalReport(LeaseOptions aOptions)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->options = aOptions;
}

WithdrawalReport::~WithdrawalReport() = default;
WithdrawalReport::WithdrawalReport(WithdrawalReport&&) noexcept = default;
WithdrawalReport& WithdrawalReport::operator=(WithdrawalReport&&) noexcept =
  default;

void WithdrawalReport::Track(ConfigVersion aVersion, TimePoint aNow)
{
  auto& trackedVersions = mImpl->trackedVersions;
  trackedVersions.try_emplace(aVersion,
                              TrackedVersion{ aNow, {}, aNow, false });
  mImpl->lastEpoch.reset();
  if (trackedVersions.size() > kMaxTrackedVersions) {
    trackedVersions.erase(trackedVersions.begin());
    const auto lowest = trackedVersions.begin()->first;
    std::erase_if(mImpl->workCounts, [&](const auto& aIt) {
      return std::get<2>(aIt.first) < lowest;
    });
  }
}

void WithdrawalReport::Observe(const WithdrawalInputs& aInputs, TimePoint aNow)
{
  auto& impl = *mImpl;
  if (impl.lastObserved && aNow - *impl.lastObserved > kMaxObservationGap) {
    // Records may have changed and changed back during the gap.
    for (auto& [version, it] : impl.trackedVersions) {
      it.lowerVersionsRefusedSince.reset();
    }
    impl.lastEpoch.reset();
  }
  impl.lastObserved = aNow;
  impl.maxSubrequest = std::max(impl.maxSubrequest, aInputs.maxSubrequest);
  if (!impl.lastEpoch || *impl.lastEpoch != aInputs.epoch ||
      impl.witnessRosterRevision != aInputs.rosterRevision) {
    impl.lastEpoch = aInputs.epoch;
    if (impl.UpdateInstances(aInputs.members, aNow)) {
      impl.witnessRosterRevision = 0;
    }
    impl.UpdateWitnesses(aInputs);
    impl.UpdateTrackedVersions(aNow);
  }
  impl.UpdateCompletion();
}

void WithdrawalReport::SetUnfinishedWork(const InstanceId& aInstance,
                                         Incarnation aIncarnation,
                                         ConfigVersion aVersion,
                                         const UnfinishedWorkCounts& aCounts)
{
  if (mImpl->trackedVersions.contains(aVersion)) {
    mImpl->workCounts[{ aInstance, aIncarnation, aVersion }] = aCounts;
  }
}

WithdrawalStatus WithdrawalReport::Evaluate(ConfigVersion aVersion,
                                            TimePoint aNow)
{
  auto& impl = *mImpl;
  // Completion for a higher version includes all lower ones.
  for (auto it = impl.trackedVersions.rbegin();
       it != impl.trackedVersions.rend() && it->first > aVersion;
       ++it) {
    if (it->second.isComplete) {
      return { aVersion, true, {} };
    }
  }
  if (!impl.trackedVersions.contains(aVersion)) {
    Track(aVersion, aNow);
  }
  const auto it = impl.trackedVersions.find(aVersion);
  if (it == impl.trackedVersions.end()) {
    return { aVersion,
             false,
             { { WaitReason::RosterMajority,
                 {},
                 {},
                 aNow,
                 "the version is older than those followed" } } };
  }
  if (!impl.lastObserved) {
    return { aVersion,
             false,
             { { WaitReason::RosterMajority,
                 {},
                 {},
                 aNow,
                 "nothing has been observed yet" } } };
  }
  return impl.Status(aVersion, it->second);
}

std::vector<ConfigVersion> WithdrawalReport::TakeCompleted()
{
  return std::exchange(mImpl->newlyCompleted, {});
}

} // namespace bronzedeal::process
