#include "bronzedeal/gateway/crash_quarantine.hpp"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>
#include <xxhash.h>

namespace bronzedeal::gateway {

namespace json = boost::json;
using std::chrono::microseconds;

namespace {

/// More runs than these add nothing to the verdict.
constexpr std::size_t kMaxRuns = 4;
/// Ages above this are given as this.
constexpr microseconds kMaxAge = std::chrono::hours(24);
/// Key of the notices in a datagram. A datagram with states of instances is an
/// array, so earlier versions ignore these.
constexpr std::string_view kNoticesKey = "crashes";
/// Elements of a notice: the content, the age of the answer, and the runs as
/// three numbers each.
constexpr std::size_t kNoticeHeadCount = 2;
constexpr std::size_t kRunFieldCount = 3;

/// In the order of `ContentVerdict`.
constexpr std::array<std::string_view, 3> kVerdictNames{ "free",
                                                         "suspect",
                                                         "quarantined" };
/// In the order of `VerdictCause`.
constexpr std::array<std::string_view, 4> kCauseNames{ "server_ended",
                                                       "unanswered",
                                                       "answered",
                                                       "told" };

/// Rounding all times alike keeps their order: a run that follows another one
/// at once must not overlap it.
microseconds AgeAt(TimePoint aWhen, TimePoint aNow)
{
  return std::clamp<microseconds>(
    std::chrono::floor<microseconds>(aNow - aWhen), microseconds(0), kMaxAge);
}

std::optional<microseconds> AgeOf(const json::value& aValue)
{
  boost::system::error_code ec;
  const auto age = aValue.to_number<std::int64_t>(ec);
  if (ec || age < 0 || age > kMaxAge.count()) {
    return std::nullopt;
  }
  return microseconds(age);
}

std::optional<CrashNotice> DecodeNotice(const json::value& aValue)
{
  const auto* fields = aValue.if_array();
  if (fields == nullptr || fields->size() < kNoticeHeadCount ||
      (fields->size() - kNoticeHeadCount) % kRunFieldCount != 0 ||
      !(*fields)[0].is_string()) {
    return std::nullopt;
  }
  const auto content = ContentIdFromHex((*fields)[0].get_string());
  if (!content) {
    return std::nullopt;
  }
  CrashNotice notice{ *content, {}, std::nullopt };
  if (!(*fields)[1].is_null()) {
    notice.answeredAge = AgeOf((*fields)[1]);
    if (!notice.answeredAge) {
      return std::nullopt;
    }
  }
  for (auto n = kNoticeHeadCount; n < fields->size(); n += kRunFieldCount) {
    boost::system::error_code ec;
    const auto server = (*fields)[n].to_number<std::uint32_t>(ec);
    const auto sentAge = AgeOf((*fields)[n + 1]);
    const auto endedAge = AgeOf((*fields)[n + 2]);
    if (ec || !sentAge || !endedAge) {
      return std::nullopt;
    }
    notice.runs.push_back({ server, *sentAge, *endedAge });
  }
  return notice;
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

std::size_t CrashQuarantine::ContentHash::operator()(
  const ContentId& aContent) const noexcept
{
  return XXH3_64bits(aContent.data(), aContent.size());
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
  const auto& runs = aEntry.second.runs;
  if (runs.size() < mOptions.suspectCrashes || IsOutdated(aEntry, aNow)) {
    return aNow < aEntry.second.unansweredUntil ? ContentVerdict::Suspect
                                                : ContentVerdict::Free;
  }
  return runs.size() >= mOptions.quarantineCrashes &&
             aNow < runs.back().endedAt + HoldOf(aEntry.first)
           ? ContentVerdict::Quarantined
           : ContentVerdict::Suspect;
}

Duration CrashQuarantine::TimeUntilTrial(const ContentId& aContent,
                                         TimePoint aNow) const
{
  const auto it = mContents.find(aContent);
  if (it == mContents.end() ||
      VerdictOf(*it, aNow) != ContentVerdict::Quarantined) {
    return Duration::zero();
  }
  return it->second.runs.back().endedAt + HoldOf(aContent) - aNow;
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
    std::max({ entry.unansweredUntil,
               entry.lastCutAt + mOptions.verdictTime,
               entry.answeredAt.value_or(TimePoint{}) + mOptions.memory });
  if (!entry.runs.empty()) {
    const bool wasQuarantined = entry.runs.size() >= mOptions.quarantineCrashes;
    until = std::max(until,
                     entry.runs.back().endedAt + mOptions.memory +
                       (wasQuarantined ? HoldOf(content) : Duration::zero()));
  }
  return aNow >= until;
}

std::shared_ptr<void> CrashQuarantine::TryBeginTrial(const ContentId& aContent)
{
  const auto it = mContents.find(aContent);
  if (it == mContents.end() || it->second.trialInProgress) {
    return nullptr;
  }
  it->second.trialInProgress = true;
  return std::shared_ptr<void>(this, [this, aContent](void*) {
    if (const auto entry = mContents.find(aContent); entry != mContents.end()) {
      entry->second.trialInProgress = false;
    }
  });
}

unsigned CrashQuarantine::OnServerEnded(const ContentId& aContent,
                                        const CrashedRun& aRun,
                                        TimePoint aNow)
{
  auto& row = FindOrCreate(aContent, aNow);
  Apply(row, VerdictCause::ServerEnded, aNow, [&](Entry& aEntry) {
    AddRun(aEntry, aRun, aNow);
  });
  return static_cast<unsigned>(row.second.runs.size());
}

void CrashQuarantine::AddRun(Entry& aEntry,
                             const CrashedRun& aRun,
                             TimePoint aNow)
{
  auto& runs = aEntry.runs;
  const auto isSameServer = [&](const auto& aIt) {
    return aIt.server == aRun.server;
  };
  if (std::any_of(runs.begin(), runs.end(), isSameServer) ||
      (aEntry.answeredAt && aRun.endedAt <= *aEntry.answeredAt)) {
    return;
  }
  const auto formerCount = runs.size();
  runs.push_back(aRun);
  std::sort(
    runs.begin(), runs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.endedAt < aRight.endedAt;
    });
  // The longest sequence of runs that don't overlap.
  std::vector<CrashedRun> sequence;
  for (const auto& it : runs) {
    if (sequence.empty() || it.sentAt >= sequence.back().endedAt) {
      sequence.push_back(it);
    }
  }
  if (sequence.size() > kMaxRuns) {
    sequence.erase(sequence.begin());
  }
  runs = std::move(sequence);
  if (std::any_of(runs.begin(), runs.end(), isSameServer)) {
    aEntry.changedAt = aNow;
  }
  mHasGraver = mHasGraver || (runs.size() > formerCount &&
                              runs.size() >= mOptions.suspectCrashes);
}

bool CrashQuarantine::TakeGraver() noexcept
{
  return std::exchange(mHasGraver, false);
}

void CrashQuarantine::OnCut(const ContentId& aContent,
                            TimePoint aSentAt,
                            TimePoint aCutAt)
{
  auto& row = FindOrCreate(aContent, aCutAt);
  Apply(row, VerdictCause::Unanswered, aCutAt, [&](Entry& aEntry) {
    if (aEntry.cutCount == 0 || aSentAt >= aEntry.lastCutAt) {
      ++aEntry.cutCount;
    }
    aEntry.lastCutAt = std::max(aEntry.lastCutAt, aCutAt);
    if (aEntry.cutCount >= mOptions.suspectCrashes) {
      aEntry.unansweredUntil = aCutAt + mOptions.verdictTime;
    }
  });
}

void CrashQuarantine::OnUnanswered(const ContentId& aContent, TimePoint aNow)
{
  auto& row = FindOrCreate(aContent, aNow);
  Apply(row, VerdictCause::Unanswered, aNow, [&](Entry& aEntry) {
    aEntry.unansweredUntil = aNow + mOptions.verdictTime;
  });
}

void CrashQuarantine::OnAnswered(const ContentId& aContent, TimePoint aNow)
{
  if (const auto it = mContents.find(aContent); it != mContents.end()) {
    Apply(*it, VerdictCause::Answered, aNow, [&](Entry& aEntry) {
      AddAnswer(aEntry, aNow, aNow);
    });
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
  aEntry.cutCount = 0;
  aEntry.unansweredUntil = TimePoint{};
  const auto isBefore = [&](const auto& aIt) {
    return aIt.endedAt <= aAnsweredAt;
  };
  if (std::erase_if(aEntry.runs, isBefore) > 0) {
    aEntry.changedAt = aNow;
  }
}

void CrashQuarantine::Merge(const std::vector<CrashNotice>& aNotices,
                            TimePoint aNow)
{
  for (const auto& notice : aNotices) {
    auto& row = FindOrCreate(notice.content, aNow);
    Apply(row, VerdictCause::Told, aNow, [&](Entry& aEntry) {
      if (notice.answeredAge) {
        AddAnswer(aEntry, aNow - *notice.answeredAge, aNow);
      }
      for (const auto& it : notice.runs) {
        AddRun(
          aEntry, { it.server, aNow - it.sentAge, aNow - it.endedAge }, aNow);
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
  const auto least = std::min_element(
    mContents.begin(),
    mContents.end(),
    [](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft.second.runs.size(), aLeft.second.changedAt) <
             std::pair(aRight.second.runs.size(), aRight.second.changedAt);
    });
  mContents.erase(least);
}

CrashNotice CrashQuarantine::MakeNotice(const Table::value_type& aEntry,
                                        TimePoint aNow)
{
  CrashNotice notice{ aEntry.first, {}, std::nullopt };
  if (aEntry.second.answeredAt) {
    notice.answeredAge = AgeAt(*aEntry.second.answeredAt, aNow);
  }
  for (const auto& it : aEntry.second.runs) {
    notice.runs.push_back(
      { it.server, AgeAt(it.sentAt, aNow), AgeAt(it.endedAt, aNow) });
  }
  return notice;
}

std::vector<CrashNotice> CrashQuarantine::RecentNotices(TimePoint aNow) const
{
  std::vector<const Table::value_type*> recent;
  for (const auto& it : mContents) {
    const auto duration = it.second.runs.size() < mOptions.suspectCrashes
                            ? mOptions.weakTellDuration
                            : mOptions.tellDuration;
    if (aNow - it.second.changedAt < duration) {
      recent.push_back(&it);
    }
  }
  std::sort(
    recent.begin(), recent.end(), [](const auto* aLeft, const auto* aRight) {
      return std::pair(aLeft->second.runs.size(), aLeft->second.changedAt) >
             std::pair(aRight->second.runs.size(), aRight->second.changedAt);
    });
  std::vector<CrashNotice> notices;
  std::size_t weakCount = 0;
  for (const auto* it : recent) {
    if (it->second.runs.size() < mOptions.suspectCrashes &&
        ++weakCount > mOptions.maxWeakNotices) {
      break;
    }
    if (notices.size() == mOptions.maxNotices) {
      break;
    }
    notices.push_back(MakeNotice(*it, aNow));
  }
  return notices;
}

std::vector<CrashNotice> CrashQuarantine::AllNotices(TimePoint aNow) const
{
  std::vector<CrashNotice> notices;
  for (const auto& it : mContents) {
    if (!it.second.runs.empty() &&
        VerdictOf(it, aNow) != ContentVerdict::Free) {
      notices.push_back(MakeNotice(it, aNow));
    }
  }
  return notices;
}

std::size_t CrashQuarantine::QuarantinedCount(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mContents.begin(), mContents.end(), [&](const auto& aIt) {
      return VerdictOf(aIt, aNow) == ContentVerdict::Quarantined;
    }));
}

std::string EncodeCrashNotices(const std::vector<CrashNotice>& aNotices)
{
  json::array rows;
  for (const auto& notice : aNotices) {
    json::array row{ ToHex(notice.content), nullptr };
    if (notice.answeredAge) {
      row[1] = notice.answeredAge->count();
    }
    for (const auto& it : notice.runs) {
      row.push_back(it.server);
      row.push_back(it.sentAge.count());
      row.push_back(it.endedAge.count());
    }
    rows.push_back(std::move(row));
  }
  return json::serialize(json::object{ { kNoticesKey, std::move(rows) } });
}

std::optional<std::vector<CrashNotice>> DecodeCrashNotices(
  std::string_view aText)
{
  if (!aText.starts_with('{')) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  const auto value = json::parse(aText, ec);
  const auto* root = ec ? nullptr : value.if_object();
  const auto* rows = root != nullptr ? root->if_contains(kNoticesKey) : nullptr;
  if (rows == nullptr || !rows->is_array()) {
    return std::nullopt;
  }
  std::vector<CrashNotice> notices;
  for (const auto& it : rows->get_array()) {
    auto notice = DecodeNotice(it);
    if (!notice) {
      return std::nullopt;
    }
    notices.push_back(std::move(*notice));
  }
  return notices;
}

} // namespace bronzedeal::gateway
