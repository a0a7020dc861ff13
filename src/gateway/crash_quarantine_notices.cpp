#include "bronzedeal/gateway/crash_quarantine.hpp"

#include <algorithm>
#include <tuple>

// What an instance tells others of contents.
namespace bronzedeal::gateway {

using std::chrono::microseconds;

namespace {

/// Rounding all times alike keeps their order: a run that follows another one
/// at once must not overlap it.
microseconds AgeAt(TimePoint aWhen, TimePoint aNow)
{
  return std::clamp<microseconds>(
    std::chrono::floor<microseconds>(aNow - aWhen),
    microseconds(0),
    kMaxNoticeAge);
}

} // namespace

CrashNotice CrashQuarantine::MakeNotice(const Table::value_type& aEntry,
                                        TimePoint aNow)
{
  const auto& [content, entry] = aEntry;
  CrashNotice notice;
  notice.content = content;
  if (entry.answeredAt) {
    notice.answeredAge = AgeAt(*entry.answeredAt, aNow);
  }
  for (const auto& it : entry.runs) {
    notice.runs.push_back(
      { it.server, AgeAt(it.sentAt, aNow), AgeAt(it.endedAt, aNow) });
  }
  for (const auto& it : entry.unprovenRuns) {
    notice.unprovenRuns.push_back(
      { it.server, AgeAt(it.sentAt, aNow), AgeAt(it.endedAt, aNow) });
  }
  if (entry.trialUntil) {
    notice.trialTime = AgeAt(aNow, *entry.trialUntil);
  }
  return notice;
}

std::vector<CrashNotice> CrashQuarantine::RecentNotices(TimePoint aNow,
                                                        bool aWithUnproven)
{
  // Of contents that are alike in gravity, those come first that were told
  // least often.
  const auto isBefore = [this](const auto* aLeft, const auto* aRight) {
    const auto& left = aLeft->second;
    const auto& right = aRight->second;
    if (IsWeak(left) != IsWeak(right)) {
      return IsWeak(right);
    }
    if (left.toldCount != right.toldCount) {
      return left.toldCount < right.toldCount;
    }
    return std::tuple(
             left.runs.size(), left.unprovenRuns.size(), left.changedAt) >
           std::tuple(
             right.runs.size(), right.unprovenRuns.size(), right.changedAt);
  };
  std::vector<Table::value_type*> recent;
  for (auto& it : mContents) {
    const auto duration =
      IsWeak(it.second) ? mOptions.weakTellDuration : mOptions.tellDuration;
    if (aNow - it.second.changedAt < duration) {
      recent.push_back(&it);
    }
  }
  std::sort(recent.begin(), recent.end(), isBefore);
  std::vector<CrashNotice> notices;
  std::size_t weakCount = 0;
  for (auto* it : recent) {
    if (notices.size() == mOptions.maxNotices) {
      break;
    }
    if (IsWeak(it->second) && ++weakCount > mOptions.maxWeakNotices) {
      break;
    }
    ++it->second.toldCount;
    notices.push_back(MakeNotice(*it, aNow));
    if (!aWithUnproven) {
      notices.back().unprovenRuns.clear();
    }
    if (!it->second.trialInProgress) {
      // Told once: later it might end the trial of another instance.
      it->second.trialUntil.reset();
    }
  }
  return notices;
}

std::vector<CrashNotice> CrashQuarantine::AllNotices(TimePoint aNow) const
{
  std::vector<CrashNotice> notices;
  for (const auto& it : mContents) {
    if ((!it.second.runs.empty() || !it.second.unprovenRuns.empty()) &&
        VerdictOf(it, aNow) != ContentVerdict::Free) {
      notices.push_back(MakeNotice(it, aNow));
    }
  }
  return notices;
}

std::optional<CrashNotice> CrashQuarantine::NoticeOf(const ContentId& aContent,
                                                     TimePoint aNow) const
{
  const auto it = mContents.find(aContent);
  if (it == mContents.end() || VerdictOf(*it, aNow) == ContentVerdict::Free) {
    return std::nullopt;
  }
  auto notice = MakeNotice(*it, aNow);
  if (IsUnanswered(it->second, aNow)) {
    notice.unansweredAge = AgeAt(*it->second.unansweredAt, aNow);
  }
  // The trial may be that of the request that is handed over.
  notice.trialTime.reset();
  return notice;
}

} // namespace bronzedeal::gateway
