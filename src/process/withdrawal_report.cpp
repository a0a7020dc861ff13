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
  std::map<InstanceId, Known> known;
  std::set<SliceId> slices;
  std::map<SliceId, std::vector<InstanceId>> witnesses;
  RosterRevision witnessRevision = 0;
  std::set<InstanceId> listed;
  std::map<std::tuple<InstanceId, Incarnation, ConfigVersion>, LedgerCounts>
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
                                                (1.0 + options.drift));
  }

  const Member* Find(const InstanceId& aId) const
  {
    const auto it = known.find(aId);
    return it == known.end() ? nullptr : &it->second.record;
  }

  std::size_t Reporting(const std::vector<InstanceId>& aWitnesses,
                        ConfigVersion aVersion) const
  {
    return static_cast<std::size_t>(
      std::count_if(aWitnesses.begin(), aWitnesses.end(), [&](const auto& aIt) {
        const auto* record = Find(aIt);
        return record != nullptr && record->configVersion >= aVersion;
      }));
  }

  std::size_t ReportingAll(ConfigVersion aVersion) const
  {
    return static_cast<std::size_t>(
      std::count_if(known.begin(), known.end(), [&](const auto& aIt) {
        return aIt.second.record.configVersion >= aVersion &&
               listed.contains(aIt.first);
      }));
  }

  // True when requests with a lower version can get no quorum any more.
  bool Refuses(ConfigVersion aVersion) const
  {
    return !listed.empty() && !slices.empty() &&
           ReportingAll(aVersion) * 2 > listed.size() &&
           std::all_of(
             witnesses.begin(), witnesses.end(), [&](const auto& aIt) {
               return Reporting(aIt.second, aVersion) >=
                      QuorumOf(aIt.second.size());
             });
  }

  void TakeMembers(std::span<const Member> aMembers, TimePoint aNow)
  {
    std::map<InstanceId, Known> next;
    for (const auto& it : aMembers) {
      Known entry{ it, aNow, true };
      entry.silent = it.incarnation == 0 || it.sequence == 0 ||
                     it.status == MemberStatus::Dead;
      const auto old = known.find(it.id);
      if (old != known.end()) {
        if (old->second.silent) {
          entry.silentSince = old->second.silentSince;
        }
      }
      for (const auto& slice : it.slices) {
        AddSlice(slice);
      }
      next.emplace(it.id, std::move(entry));
    }
    known = std::move(next);
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
    listed.clear();
    for (const auto& it : aInputs.roster) {
      listed.insert(it.id);
    }
    witnesses.clear();
    for (const auto& it : slices) {
      witnesses.emplace(it, WitnessSet(it, aInputs.roster));
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

  static std::string CountsText(const LedgerCounts& aCounts)
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

  static bool Any(const LedgerCounts& aCounts)
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
    if (n * 2 <= listed.size() || listed.empty() || slices.empty()) {
      aWaiting.push_back({ WaitReason::RosterMajority,
                           {},
                           {},
                           aFollowed.brokenSince,
                           fmt::format("{} of {} instances report the version",
                                       n,
                                       listed.size()) });
    }
    for (const auto& [slice, set] : witnesses) {
      const auto reporting = Reporting(set, aVersion);
      if (reporting < QuorumOf(set.size())) {
        aWaiting.push_back(
          { WaitReason::WitnessQuorum,
            {},
            slice,
            aFollowed.brokenSince,
            fmt::format("{} of {} witnesses report the version, {} needed",
                        reporting,
                        set.size(),
                        QuorumOf(set.size())) });
      }
    }
  }

  void WaitForMembers(ConfigVersion aVersion,
                      const Followed& aFollowed,
                      bool aLeasesOver,
                      std::vector<WaitItem>& aWaiting) const
  {
    for (const auto& [id, it] : known) {
      const auto& record = it.record;
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

  WithdrawalStatus Status(ConfigVersion aVersion, Followed& aFollowed) const
  {
    WithdrawalStatus status{ aVersion, aFollowed.complete, {} };
    if (aFollowed.complete || !lastObserved) {
      return status;
    }
    // Only what was observed counts, so the time is that of the observation.
    const auto now = *lastObserved;
    const bool leasesOver =
      aFollowed.refusedSince && now - *aFollowed.refusedSince >= Bound();
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
    status.complete = status.waiting.empty();
    aFollowed.complete = status.complete;
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

void WithdrawalReport::Follow(ConfigVersion aVersion, TimePoint aNow)
{
  auto& followed = mImpl->followed;
  followed.try_emplace(aVersion, Followed{ aNow, {}, aNow, false });
  mImpl->lastEpoch.reset();
  if (followed.size() > kFollowed) {
    followed.erase(followed.begin());
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
  if (impl.lastEpoch && *impl.lastEpoch == aInputs.epoch &&
      impl.witnessRevision == aInputs.rosterRevision) {
    return;
  }
  impl.lastEpoch = aInputs.epoch;
  impl.TakeMembers(aInputs.members, aNow);
  impl.TakeRoster(aInputs);
  impl.Update(aNow);
}

void WithdrawalReport::SetCounts(const InstanceId& aInstance,
                                 Incarnation aIncarnation,
                                 ConfigVersion aVersion,
                                 const LedgerCounts& aCounts)
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
    Follow(aVersion, aNow);
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

} // namespace bronzedeal::process
