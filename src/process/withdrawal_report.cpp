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

constexpr std::size_t kFollowed = 16;
constexpr Duration kLongestGap = milliseconds(1000);

constexpr std::array<std::string_view, 6> kReasonNames{
  "witness_quorum",  "roster_majority", "older_version",
  "unfinished_work", "silent",          "leases_running",
};

// One followed version.
struct Followed
{
  TimePoint since;
  /// Since when the witness quorums and the majority hold without a break.
  std::optional<TimePoint> refusedSince;
  /// Since when some of them do not hold.
  TimePoint brokenSince;
  bool complete = false;
};

// What is known of one instance, and since when it has been silent.
struct Known
{
  Member record;
  TimePoint silentSince;
  bool silent = true;
  bool listed = false;
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
  std::map<ConfigVersion, Followed> followed;
  /// Sorted by id.
  std::vector<Known> known;
  std::set<SliceId> slices;
  /// Places in `known`; a witness that is not there is left out and counts in
  /// the size only.
  struct Witnesses
  {
    std::size_t size = 0;
    std::vector<std::size_t> places;
  };
  std::map<SliceId, Witnesses> witnesses;
  RosterRevision witnessRevision = 0;
  std::size_t rosterSize = 0;
  std::vector<ConfigVersion> completed;
  std::map<std::tuple<InstanceId, Incarnation, ConfigVersion>,
           UnfinishedWorkCounts>
    counts;
  std::optional<TimePoint> lastObserved;
  std::optional<std::uint64_t> lastEpoch;
  milliseconds maxSubrequest{ 0 };

  // How long an instance may act after its last grant: the lease, and then the
  // longest sub-request.
  Duration Bound() const
  {
    const std::chrono::duration<double> longest(options.duration +
                                                maxSubrequest);
    return std::chrono::duration_cast<Duration>(longest *
                                                (1.0 + options.maxClockDrift));
  }

  std::optional<std::size_t> PlaceOf(const InstanceId& aId) const
  {
    const auto it = std::lower_bound(known.begin(),
                                     known.end(),
                                     aId,
                                     [](const auto& aKnown, const auto& aKey) {
                                       return aKnown.record.id < aKey;
                                     });
    return it == known.end() || it->record.id != aId
             ? std::nullopt
             : std::optional(static_cast<std::size_t>(it - known.begin()));
  }

  std::size_t Reporting(const Witnesses& aWitnesses,
                        ConfigVersion aVersion) const
  {
    return static_cast<std::size_t>(std::count_if(
      aWitnesses.places.begin(), aWitnesses.places.end(), [&](auto aPlace) {
        return known[aPlace].record.configVersion >= aVersion;
      }));
  }

  std::size_t ReportingAll(ConfigVersion aVersion) const
  {
    return static_cast<std::size_t>(
      std::count_if(known.begin(), known.end(), [&](const auto& aIt) {
        return aIt.listed && !aIt.silent &&
               aIt.record.configVersion >= aVersion;
      }));
  }

  // True when the version survives one restart: a joining instance hears from
  // a majority, which includes itself and knows the version unless half of the
  // list or more lacks it.
  bool IsKept(std::size_t aReporting) const
  {
    const auto lacking = rosterSize - std::min(aReporting, rosterSize);
    return rosterSize > 0 && (lacking == 0 || lacking < rosterSize / 2);
  }

  // True when requests with a lower version can get no quorum any more.
  bool Refuses(ConfigVersion aVersion) const
  {
    return !slices.empty() && IsKept(ReportingAll(aVersion)) &&
           std::all_of(
             witnesses.begin(), witnesses.end(), [&](const auto& aIt) {
               return Reporting(aIt.second, aVersion) >=
                      QuorumSize(aIt.second.size);
             });
  }

  // Takes the records; returns true when the set of ids has changed.
  bool TakeMembers(std::span<const Member> aMembers, TimePoint aNow)
  {
    std::vector<Known> next;
    next.reserve(aMembers.size());
    for (const auto& it : aMembers) {
      Known entry{ it, aNow, true, false };
      entry.silent = it.incarnation == 0 || it.sequence == 0 ||
                     it.status == MemberStatus::Dead;
      if (const auto old = PlaceOf(it.id)) {
        entry.listed = known[*old].listed;
        if (known[*old].silent) {
          entry.silentSince = known[*old].silentSince;
        }
      }
      for (const auto& slice : it.slices) {
        AddSlice(slice);
      }
      next.push_back(std::move(entry));
    }
    std::sort(next.begin(), next.end(), [](const auto& aL, const auto& aR) {
      return aL.record.id < aR.record.id;
    });
    const bool changed = !std::equal(next.begin(),
                                     next.end(),
                                     known.begin(),
                                     known.end(),
                                     [](const auto& aL, const auto& aR) {
                                       return aL.record.id == aR.record.id;
                                     });
    known = std::move(next);
    return changed;
  }

  void AddSlice(const SliceId& aSlice)
  {
    if (slices.insert(aSlice).second) {
      witnessRevision = 0;
    }
  }

  void TakeRoster(const WithdrawalInputs& aInputs)
  {
    for (const auto& it : aInputs.slices) {
      AddSlice(it);
    }
    if (witnessRevision == aInputs.rosterRevision) {
      return;
    }
    witnessRevision = aInputs.rosterRevision;
    rosterSize = aInputs.roster.size();
    for (auto& it : known) {
      it.listed = false;
    }
    for (const auto& it : aInputs.roster) {
      if (const auto place = PlaceOf(it.id)) {
        known[*place].listed = true;
      }
    }
    witnesses.clear();
    for (const auto& slice : slices) {
      const auto set = WitnessSet(slice, aInputs.roster);
      auto& entry = witnesses[slice];
      entry.size = set.size();
      for (const auto& it : set) {
        if (const auto place = PlaceOf(it)) {
          entry.places.push_back(*place);
        }
      }
    }
  }

  void Update(TimePoint aNow)
  {
    for (auto& [version, it] : followed) {
      if (it.complete) {
        continue;
      }
      if (!Refuses(version)) {
        it.brokenSince = it.refusedSince ? aNow : it.brokenSince;
        it.refusedSince.reset();
      } else if (!it.refusedSince) {
        it.refusedSince = aNow;
      }
    }
  }

  static std::string CountsText(const UnfinishedWorkCounts& aCounts)
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

  static bool Any(const UnfinishedWorkCounts& aCounts)
  {
    return aCounts.admitted + aCounts.queued + aCounts.inFlight +
             aCounts.hedged + aCounts.forwarded + aCounts.unconfirmed >
           0;
  }

  void WaitForWitnesses(ConfigVersion aVersion,
                        const Followed& aFollowed,
                        std::vector<WaitItem>& aWaiting) const
  {
    const auto n = ReportingAll(aVersion);
    if (!IsKept(n) || slices.empty()) {
      aWaiting.push_back({ WaitReason::RosterMajority,
                           {},
                           {},
                           aFollowed.brokenSince,
                           fmt::format("{} of {} instances report the version",
                                       n,
                                       rosterSize) });
    }
    for (const auto& [slice, set] : witnesses) {
      const auto reporting = Reporting(set, aVersion);
      if (reporting < QuorumSize(set.size)) {
        aWaiting.push_back(
          { WaitReason::WitnessQuorum,
            {},
            slice,
            aFollowed.brokenSince,
            fmt::format("{} of {} witnesses report the version, {} needed",
                        reporting,
                        set.size,
                        QuorumSize(set.size)) });
      }
    }
  }

  void WaitForMembers(ConfigVersion aVersion,
                      const Followed& aFollowed,
                      bool aLeasesOver,
                      std::vector<WaitItem>& aWaiting) const
  {
    for (const auto& it : known) {
      const auto& record = it.record;
      const auto& id = record.id;
      const auto found = counts.find({ id, record.incarnation, aVersion });
      if (!it.silent && found != counts.end() && Any(found->second)) {
        aWaiting.push_back({ WaitReason::UnfinishedWork,
                             id,
                             {},
                             aFollowed.since,
                             CountsText(found->second) });
        continue;
      }
      if (record.incarnation != 0 && record.sequence != 0 &&
          IsSettled(record, aVersion)) {
        continue;
      }
      if (it.silent) {
        if (!aLeasesOver) {
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
            aFollowed.since,
            fmt::format("reports version {}", record.configVersion) });
      } else {
        aWaiting.push_back(
          { WaitReason::UnfinishedWork,
            id,
            {},
            aFollowed.since,
            fmt::format("has work under version {}", record.settledVersion) });
      }
    }
  }

  bool LeasesOver(const Followed& aFollowed) const
  {
    return aFollowed.refusedSince &&
           *lastObserved - *aFollowed.refusedSince >= Bound();
  }

  bool IsCounted(const Member& aRecord, ConfigVersion aVersion) const
  {
    const auto found =
      counts.find({ aRecord.id, aRecord.incarnation, aVersion });
    return found != counts.end() && Any(found->second);
  }

  // The condition for the claim; `Status` says what is missing.
  bool IsComplete(ConfigVersion aVersion, const Followed& aFollowed) const
  {
    return LeasesOver(aFollowed) &&
           std::all_of(known.begin(), known.end(), [&](const Known& aIt) {
             return aIt.silent || (IsSettled(aIt.record, aVersion) &&
                                   !IsCounted(aIt.record, aVersion));
           });
  }

  void Complete()
  {
    for (auto& [version, it] : followed) {
      if (!it.complete && IsComplete(version, it)) {
        it.complete = true;
        completed.push_back(version);
      }
    }
  }

  WithdrawalStatus Status(ConfigVersion aVersion,
                          const Followed& aFollowed) const
  {
    WithdrawalStatus status{ aVersion, aFollowed.complete, {} };
    if (aFollowed.complete || !lastObserved) {
      return status;
    }
    // Only what was observed counts, so the time is that of the observation.
    const bool leasesOver = LeasesOver(aFollowed);
    WaitForWitnesses(aVersion, aFollowed, status.waiting);
    WaitForMembers(aVersion, aFollowed, leasesOver, status.waiting);
    if (aFollowed.refusedSince && !leasesOver) {
      status.waiting.push_back(
        { WaitReason::LeasesRunning,
          {},
          {},
          *aFollowed.refusedSince,
          fmt::format("leases under lower versions end {} ms after the last "
                      "possible grant",
                      std::chrono::ceil<milliseconds>(Bound()).count()) });
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
  auto& followed = mImpl->followed;
  followed.try_emplace(aVersion, Followed{ aNow, {}, aNow, false });
  mImpl->lastEpoch.reset();
  if (followed.size() > kFollowed) {
    followed.erase(followed.begin());
    const auto lowest = followed.begin()->first;
    std::erase_if(mImpl->counts, [&](const auto& aIt) {
      return std::get<2>(aIt.first) < lowest;
    });
  }
}

void WithdrawalReport::Observe(const WithdrawalInputs& aInputs, TimePoint aNow)
{
  auto& impl = *mImpl;
  if (impl.lastObserved && aNow - *impl.lastObserved > kLongestGap) {
    // Records may have changed and changed back in between.
    for (auto& [version, it] : impl.followed) {
      it.refusedSince.reset();
    }
    impl.lastEpoch.reset();
  }
  impl.lastObserved = aNow;
  impl.maxSubrequest = std::max(impl.maxSubrequest, aInputs.maxSubrequest);
  if (!impl.lastEpoch || *impl.lastEpoch != aInputs.epoch ||
      impl.witnessRevision != aInputs.rosterRevision) {
    impl.lastEpoch = aInputs.epoch;
    if (impl.TakeMembers(aInputs.members, aNow)) {
      impl.witnessRevision = 0;
    }
    impl.TakeRoster(aInputs);
    impl.Update(aNow);
  }
  impl.Complete();
}

void WithdrawalReport::SetUnfinishedWork(const InstanceId& aInstance,
                                         Incarnation aIncarnation,
                                         ConfigVersion aVersion,
                                         const UnfinishedWorkCounts& aCounts)
{
  if (mImpl->followed.contains(aVersion)) {
    mImpl->counts[{ aInstance, aIncarnation, aVersion }] = aCounts;
  }
}

WithdrawalStatus WithdrawalReport::Evaluate(ConfigVersion aVersion,
                                            TimePoint aNow)
{
  auto& impl = *mImpl;
  // A claim for a higher version includes the lower ones.
  for (auto it = impl.followed.rbegin();
       it != impl.followed.rend() && it->first > aVersion;
       ++it) {
    if (it->second.complete) {
      return { aVersion, true, {} };
    }
  }
  if (!impl.followed.contains(aVersion)) {
    Track(aVersion, aNow);
  }
  const auto it = impl.followed.find(aVersion);
  if (it == impl.followed.end()) {
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
  return std::exchange(mImpl->completed, {});
}

} // namespace bronzedeal::process
