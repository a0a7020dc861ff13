#include "bronzedeal/gateway/crash_quarantine.hpp"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace bronzedeal::gateway {

namespace {

/// More runs than these add nothing to the verdict.
constexpr std::size_t kMaxRuns = 4;

/// In the order of `ContentVerdict`.
constexpr std::array<std::string_view, 3> kVerdictNames{ "free",
                                                         "suspect",
                                                         "quarantined" };
/// In the order of `VerdictCause`.
constexpr std::array<std::string_view, 5> kCauseNames{ "server_ended",
                                                       "unanswered",
                                                       "answered",
                                                       "told",
                                                       "server_alive" };

bool HasServer(const std::vector<LostRun>& aRuns, std::uint32_t aServer)
{
  return std::any_of(aRuns.begin(), aRuns.end(), [&](const auto& aIt) {
    return aIt.server == aServer;
  });
}

void SortByEnd(std::vector<LostRun>& aRuns)
{
  std::sort(
    aRuns.begin(), aRuns.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.endedAt < aRight.endedAt;
    });
}

/// The longest sequence of runs that don't overlap. `aRuns` is in order of
/// time.
std::vector<LostRun> LongestSequence(const std::vector<LostRun>& aRuns)
{
  std::vector<LostRun> sequence;
  for (const auto& it : aRuns) {
    if (sequence.empty() || it.sentAt >= sequence.back().endedAt) {
      sequence.push_back(it);
    }
  }
  return sequence;
}

} // namespace

std::string_view Name(ContentVerdict aVerdict) noexcept
{
  return kVerdictNames.at(static_cast<std::size_t>(aVerdict));
}

std::string_view Name(VerdictCause aCause) noexcept
{
  return kCauseNames.at(static_cast<std::size_t>(aCause));
}

CrashQuarantine::CrashQuarantine(InstanceId aInstance,
                                 const Options& aOptions,
                                 ChangeHandler aOnChange)
  : mInstance(std::move(aInstance))
  , mOptions(aOptions)
  , mOnChange(std::move(aOnChange))
  , mAnswered(aOptions.answeredContents)
  , mLiveServers(aOptions.answeringServers)
{
}

template<typename Change>
void CrashQuarantine::Apply(Table::value_type& aEntry,
                            VerdictCause aCause,
                            TimePoint aNow,
                            const Change& aChange)
{
  const auto former = VerdictOf(aEntry, aNow);
  aChange(aEntry.second);
  const auto verdict = VerdictOf(aEntry, aNow);
  if (verdict != former && mOnChange) {
    mOnChange(
      { aEntry.first, former, verdict, aCause, aEntry.second.runs.size() });
  }
}

ContentVerdict CrashQuarantine::VerdictOf(const ContentId& aContent,
                                          TimePoint aNow) const
{
  const auto it = mContents.find(aContent);
  return it == mContents.end() ? ContentVerdict::Free : VerdictOf(*it, aNow);
}

ContentVerdict CrashQuarantine::VerdictOf(const Table::value_type& aEntry,
                                          TimePoint aNow) const
{
  const auto& [content, entry] = aEntry;
  if (IsOutdated(aEntry, aNow)) {
    return ContentVerdict::Free;
  }
  const bool awaitsProof = AwaitsProof(entry, aNow);
  if (IsProven(aEntry, aNow) ||
      (awaitsProof && CountLostRuns(entry) >= MaxLostRuns(content))) {
    return ContentVerdict::Quarantined;
  }
  const bool isSuspect =
    entry.runs.size() >= mOptions.suspectCrashes || IsUnanswered(entry, aNow) ||
    (awaitsProof && (entry.unprovenRuns.size() >= mOptions.suspectCrashes ||
                     CountLostRuns(entry) >= mOptions.suspectCrashes));
  return isSuspect ? ContentVerdict::Suspect : ContentVerdict::Free;
}

bool CrashQuarantine::IsProven(const Table::value_type& aEntry,
                               TimePoint aNow) const
{
  const auto& [content, entry] = aEntry;
  return entry.runs.size() >= MaxLostRuns(content) &&
         aNow < entry.runs.back().endedAt + HoldOf(content);
}

bool CrashQuarantine::IsQuarantineProven(const ContentId& aContent,
                                         TimePoint aNow) const
{
  const auto it = mContents.find(aContent);
  return it != mContents.end() && IsProven(*it, aNow);
}

bool CrashQuarantine::IsUnanswered(const Entry& aEntry, TimePoint aNow) const
{
  return aEntry.unansweredAt &&
         aNow < *aEntry.unansweredAt + mOptions.verdictTime;
}

std::size_t CrashQuarantine::MaxLostRuns(const ContentId& aContent) const
{
  return mIsIsolated && !mAnswered.Contains(aContent)
           ? mOptions.isolatedCrashes
           : mOptions.quarantineCrashes;
}

std::size_t CrashQuarantine::CountLostRuns(const Entry& aEntry) const
{
  auto runs = aEntry.runs;
  for (const auto& it : aEntry.unprovenRuns) {
    if (!HasServer(runs, it.server)) {
      runs.push_back(it);
    }
  }
  SortByEnd(runs);
  return LongestSequence(runs).size();
}

bool CrashQuarantine::AwaitsProof(const Entry& aEntry, TimePoint aNow) const
{
  return !aEntry.unprovenRuns.empty() &&
         aNow < aEntry.unprovenRuns.back().endedAt + mOptions.verdictTime;
}

bool CrashQuarantine::IsWeak(const Entry& aEntry) const
{
  return aEntry.runs.size() < mOptions.suspectCrashes &&
         aEntry.unprovenRuns.size() < mOptions.suspectCrashes &&
         !aEntry.trialUntil;
}

Duration CrashQuarantine::TimeUntilTrial(const ContentId& aContent,
                                         TimePoint aNow) const
{
  const auto it = mContents.find(aContent);
  if (it == mContents.end() ||
      VerdictOf(*it, aNow) != ContentVerdict::Quarantined) {
    return Duration::zero();
  }
  const auto& entry = it->second;
  if (mIsIsolated && CountLostRuns(entry) < mOptions.quarantineCrashes) {
    return mOptions.isolatedReturnDelay;
  }
  auto until = aNow;
  if (entry.runs.size() >= mOptions.quarantineCrashes) {
    until = entry.runs.back().endedAt + HoldOf(aContent);
  }
  if (AwaitsProof(entry, aNow)) {
    until =
      std::max(until, entry.unprovenRuns.back().endedAt + mOptions.verdictTime);
  }
  return until - aNow;
}

Duration CrashQuarantine::HoldOf(const ContentId& aContent) const
{
  const auto hash = XXH3_64bits_withSeed(
    mInstance.data(), mInstance.size(), ContentHash{}(aContent));
  constexpr std::uint64_t kSteps = 1024;
  return mOptions.hold + mOptions.hold * (hash % kSteps) / (2 * kSteps);
}

bool CrashQuarantine::IsOutdated(const Table::value_type& aEntry,
                                 TimePoint aNow) const
{
  const auto& [content, entry] = aEntry;
  auto until =
    std::max({ entry.unansweredAt.value_or(TimePoint{}) + mOptions.verdictTime,
               entry.otherTrialUntil,
               entry.answeredAt.value_or(TimePoint{}) + mOptions.memory });
  if (!entry.unprovenRuns.empty()) {
    until =
      std::max(until, entry.unprovenRuns.back().endedAt + mOptions.verdictTime);
  }
  if (!entry.runs.empty()) {
    const bool wasQuarantined = entry.runs.size() >= mOptions.quarantineCrashes;
    until = std::max(until,
                     entry.runs.back().endedAt + mOptions.memory +
                       (wasQuarantined ? HoldOf(content) : Duration::zero()));
  }
  return aNow >= until;
}

std::shared_ptr<void> CrashQuarantine::TryBeginTrial(const ContentId& aContent,
                                                     TimePoint aNow,
                                                     TimePoint aDeadline)
{
  const auto it = mContents.find(aContent);
  if (it == mContents.end() || it->second.trialInProgress ||
      aNow < it->second.otherTrialUntil) {
    return nullptr;
  }
  auto& entry = it->second;
  entry.trialInProgress = true;
  entry.trialUntil = aDeadline;
  entry.MarkChanged(aNow);
  mIsUrgent = true;
  NotifyIfUrgent();
  return std::shared_ptr<void>(this,
                               [this, aContent](void*) { EndTrial(aContent); });
}

void CrashQuarantine::EndTrial(const ContentId& aContent)
{
  if (const auto it = mContents.find(aContent); it != mContents.end()) {
    it->second.trialInProgress = false;
    it->second.trialUntil = TimePoint{};
    mIsUrgent = true;
    NotifyIfUrgent();
  }
}

void CrashQuarantine::NotifyIfUrgent()
{
  if (mIsUrgent && mOnUrgent) {
    mOnUrgent();
  }
}

void CrashQuarantine::SetUrgentHandler(std::function<void()> aHandler)
{
  mOnUrgent = std::move(aHandler);
}

unsigned CrashQuarantine::OnServerEnded(const ContentId& aContent,
                                        const LostRun& aRun,
                                        TimePoint aNow)
{
  if (WasAnsweredSince(aContent, aRun.endedAt)) {
    const auto it = mContents.find(aContent);
    return it == mContents.end()
             ? 0
             : static_cast<unsigned>(it->second.runs.size());
  }
  auto& row = FindOrCreate(aContent, aNow);
  Apply(row, VerdictCause::ServerEnded, aNow, [&](Entry& aEntry) {
    AddRun(aEntry, aRun, aNow);
  });
  NotifyIfUrgent();
  return static_cast<unsigned>(row.second.runs.size());
}

void CrashQuarantine::AddRun(Entry& aEntry, const LostRun& aRun, TimePoint aNow)
{
  auto& runs = aEntry.runs;
  if (HasServer(runs, aRun.server) ||
      (aEntry.answeredAt && aRun.endedAt <= *aEntry.answeredAt)) {
    return;
  }
  const auto formerCount = runs.size();
  runs.push_back(aRun);
  SortByEnd(runs);
  runs = LongestSequence(runs);
  if (runs.size() > kMaxRuns) {
    runs.erase(runs.begin());
  }
  if (HasServer(runs, aRun.server)) {
    aEntry.MarkChanged(aNow);
  }
  mIsUrgent = mIsUrgent || (runs.size() > formerCount &&
                            runs.size() >= mOptions.suspectCrashes);
}

void CrashQuarantine::AddUnprovenRun(Entry& aEntry,
                                     const LostRun& aRun,
                                     TimePoint aNow)
{
  auto& runs = aEntry.unprovenRuns;
  std::erase_if(runs, [&](const auto& aIt) {
    return aIt.endedAt + mOptions.verdictTime <= aNow;
  });
  if (HasServer(runs, aRun.server) || HasServer(aEntry.runs, aRun.server) ||
      aRun.endedAt + mOptions.verdictTime <= aNow || HasServerSurvived(aRun) ||
      (aEntry.answeredAt && aRun.endedAt <= *aEntry.answeredAt)) {
    return;
  }
  if (mUnprovenServers.size() >= mOptions.maxContents * kMaxRuns) {
    mUnprovenServers.clear();
  }
  mUnprovenServers.insert(aRun.server);
  runs.push_back(aRun);
  SortByEnd(runs);
  if (runs.size() > kMaxRuns) {
    // Runs that overlap others say least.
    const auto sequence = LongestSequence(runs);
    const auto overlapping =
      std::find_if(runs.begin(), runs.end(), [&](const auto& aIt) {
        return !HasServer(sequence, aIt.server);
      });
    runs.erase(overlapping == runs.end() ? runs.begin() : overlapping);
  }
  aEntry.MarkChanged(aNow);
  aEntry.otherTrialUntil = TimePoint{};
  mIsUrgent = mIsUrgent || runs.size() >= mOptions.suspectCrashes;
}

bool CrashQuarantine::TakeUrgent() noexcept
{
  return std::exchange(mIsUrgent, false);
}

void CrashQuarantine::OnCut(const ContentId& aContent,
                            const LostRun& aRun,
                            TimePoint aNow)
{
  if (WasAnsweredSince(aContent, aRun.endedAt) || HasServerSurvived(aRun)) {
    return;
  }
  auto& row = FindOrCreate(aContent, aNow);
  Apply(row, VerdictCause::Unanswered, aNow, [&](Entry& aEntry) {
    AddUnprovenRun(aEntry, aRun, aNow);
  });
  NotifyIfUrgent();
}

bool CrashQuarantine::WasAnsweredSince(const ContentId& aContent,
                                       TimePoint aEndedAt) const
{
  const auto answeredAt = mAnswered.LastAdded(aContent);
  return answeredAt && aEndedAt <= *answeredAt;
}

bool CrashQuarantine::HasServerSurvived(const LostRun& aRun) const
{
  return mLiveServers.HasRunThrough(aRun.server, aRun.sentAt, aRun.endedAt);
}

void CrashQuarantine::OnServerAnswered(std::uint32_t aServer,
                                       TimePoint aRunningSince,
                                       TimePoint aSentAt,
                                       TimePoint aNow)
{
  mLiveServers.OnAnswered(aServer, aRunningSince, aSentAt);
  if (!mUnprovenServers.contains(aServer)) {
    return;
  }
  bool isNeeded = false;
  for (auto& it : mContents) {
    if (!HasServer(it.second.unprovenRuns, aServer)) {
      continue;
    }
    Apply(it, VerdictCause::ServerAlive, aNow, [&](Entry& aEntry) {
      std::erase_if(aEntry.unprovenRuns, [&](const auto& aRun) {
        return aRun.server == aServer && HasServerSurvived(aRun);
      });
    });
    isNeeded = isNeeded || HasServer(it.second.unprovenRuns, aServer);
  }
  if (!isNeeded) {
    mUnprovenServers.erase(aServer);
  }
}

void CrashQuarantine::OnUnanswered(const ContentId& aContent,
                                   TimePoint aLostAt,
                                   TimePoint aNow)
{
  if (WasAnsweredSince(aContent, aLostAt)) {
    return;
  }
  auto& row = FindOrCreate(aContent, aNow);
  Apply(row, VerdictCause::Unanswered, aNow, [&](Entry& aEntry) {
    aEntry.unansweredAt =
      std::max(aEntry.unansweredAt.value_or(aLostAt), aLostAt);
  });
}

void CrashQuarantine::OnAnswered(const ContentId& aContent, TimePoint aNow)
{
  mAnswered.Add(aContent, aNow);
  if (const auto it = mContents.find(aContent); it != mContents.end()) {
    Apply(*it, VerdictCause::Answered, aNow, [&](Entry& aEntry) {
      AddAnswer(aEntry, aNow, aNow);
    });
    NotifyIfUrgent();
  }
}

void CrashQuarantine::AddAnswer(Entry& aEntry,
                                TimePoint aAnsweredAt,
                                TimePoint aNow)
{
  if (aEntry.answeredAt && aAnsweredAt <= *aEntry.answeredAt) {
    return;
  }
  aEntry.answeredAt = aAnsweredAt;
  if (aEntry.unansweredAt && *aEntry.unansweredAt <= aAnsweredAt) {
    aEntry.unansweredAt.reset();
  }
  aEntry.otherTrialUntil = TimePoint{};
  const bool wasWeak = IsWeak(aEntry);
  const auto isBefore = [&](const auto& aIt) {
    return aIt.endedAt <= aAnsweredAt;
  };
  const auto clearedCount = std::erase_if(aEntry.runs, isBefore) +
                            std::erase_if(aEntry.unprovenRuns, isBefore);
  if (clearedCount > 0) {
    aEntry.MarkChanged(aNow);
    mIsUrgent = mIsUrgent || !wasWeak;
  }
}

void CrashQuarantine::Merge(const std::vector<CrashNotice>& aNotices,
                            TimePoint aNow)
{
  for (const auto& notice : aNotices) {
    auto& row = FindOrCreate(notice.content, aNow);
    Apply(row, VerdictCause::Told, aNow, [&](Entry& aEntry) {
      if (const auto answeredAt = mAnswered.LastAdded(notice.content)) {
        AddAnswer(aEntry, *answeredAt, aNow);
      }
      if (notice.answeredAge) {
        AddAnswer(aEntry, aNow - *notice.answeredAge, aNow);
      }
      for (const auto& it : notice.runs) {
        AddRun(
          aEntry, { it.server, aNow - it.sentAge, aNow - it.endedAge }, aNow);
      }
      for (const auto& it : notice.unprovenRuns) {
        const LostRun run{ it.server, aNow - it.sentAge, aNow - it.endedAge };
        AddUnprovenRun(aEntry, run, aNow);
        if (aEntry.answeredAt && run.endedAt <= *aEntry.answeredAt) {
          // The sender doesn't know of the answer.
          aEntry.MarkChanged(aNow);
        }
      }
      if (notice.unansweredAge) {
        const auto lostAt = aNow - *notice.unansweredAge;
        if (!aEntry.answeredAt || *aEntry.answeredAt < lostAt) {
          aEntry.unansweredAt =
            std::max(aEntry.unansweredAt.value_or(lostAt), lostAt);
        }
      }
      if (notice.trialTime) {
        aEntry.otherTrialUntil = aNow + *notice.trialTime;
      }
    });
  }
}

CrashQuarantine::Table::value_type& CrashQuarantine::FindOrCreate(
  const ContentId& aContent,
  TimePoint aNow)
{
  if (const auto it = mContents.find(aContent); it != mContents.end()) {
    return *it;
  }
  if (mContents.size() >= mOptions.maxContents) {
    MakeRoom(aNow);
  }
  return *mContents.try_emplace(aContent).first;
}

void CrashQuarantine::MakeRoom(TimePoint aNow)
{
  std::erase_if(mContents,
                [&](const auto& aIt) { return IsOutdated(aIt, aNow); });
  if (mContents.size() < mOptions.maxContents) {
    return;
  }
  const auto least =
    std::min_element(mContents.begin(),
                     mContents.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       const auto value = [](const Entry& aEntry) {
                         return std::tuple(aEntry.runs.size(),
                                           aEntry.unprovenRuns.size(),
                                           aEntry.changedAt);
                       };
                       return value(aLeft.second) < value(aRight.second);
                     });
  mContents.erase(least);
}

std::size_t CrashQuarantine::QuarantinedCount(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mContents.begin(), mContents.end(), [&](const auto& aIt) {
      return VerdictOf(aIt, aNow) == ContentVerdict::Quarantined;
    }));
}

} // namespace bronzedeal::gateway
