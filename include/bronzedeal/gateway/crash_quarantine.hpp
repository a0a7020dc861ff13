#pragma once

#include "bronzedeal/gateway/content_id.hpp"
#include "bronzedeal/gateway/crash_notice.hpp"
#include "bronzedeal/gateway/cut_runs.hpp"
#include "bronzedeal/gateway/live_servers.hpp"
#include "bronzedeal/gateway/recent_contents.hpp"
#include "bronzedeal/types.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bronzedeal::gateway {

/// What may be sent for a content.
enum class ContentVerdict
{
  /// Any number of requests, with retries and hedges.
  Free,
  /// One request at a time, at one server, without retries and hedges.
  Suspect,
  /// None.
  Quarantined,
};

[[nodiscard]] std::string_view Name(ContentVerdict aVerdict) noexcept;

/// Why a verdict has changed.
enum class VerdictCause
{
  /// A server ended during a run of the content.
  ServerEnded,
  /// A run had no answer; whether its server has ended isn't known yet.
  Unanswered,
  /// A server answered.
  Answered,
  /// Another instance has told of one of these.
  Told,
  /// A server that left a run without an answer has not ended.
  ServerAlive,
};

[[nodiscard]] std::string_view Name(VerdictCause aCause) noexcept;

/// A change of a verdict. The end of a verdict by time is not reported.
struct VerdictChange
{
  ContentId content{};
  ContentVerdict former = ContentVerdict::Free;
  ContentVerdict verdict = ContentVerdict::Free;
  VerdictCause cause = VerdictCause::ServerEnded;
  /// Servers that ended one after the other.
  std::size_t crashes = 0;
};

/// A run of a content that had no answer: its server ended, or has perhaps
/// ended.
struct LostRun
{
  /// Hash of the server's id and start; a server ends once.
  std::uint32_t server = 0;
  TimePoint sentAt{};
  TimePoint endedAt{};
};

/// Finds the contents that crash the servers which run them, from the runs that
/// ended together with their servers.
///
/// One crash proves nothing: all contents that a server is running are cut
/// when it ends for whatever reason. What counts is how many servers ended one
/// after the other, each under a run that was sent after the server before had
/// ended, while no server has answered. Two make a content suspect, three
/// quarantine it. Concurrent runs that end together, as in the loss of a
/// failure domain, count as one.
///
/// The end of a server is proven some seconds later. Until then, runs without
/// an answer count like ends, but what follows from them holds only for the
/// time of the proof; two servers that left the content unanswered at the same
/// time make it suspect, too. Such a run may as well have been lost with a link
/// of the instance that sent it. It doesn't count once its server is known to
/// have run on, or once the content was answered after it, by any server and at
/// any instance.
///
/// An instance that hears of no instance in other failure domains doesn't know
/// how many servers the content has ended there. What all of them may still
/// send has to stay within one bound, so a content that was never answered here
/// is quarantined after the first lost run, until there is news.
///
/// An answer that proves a run clears the content, since a crashing one gets
/// none. An error proves nothing: a server may fail requests that it hasn't
/// begun to run.
///
/// Performs no I/O and reads no clock. Not thread-safe.
class CrashQuarantine
{
public:
  struct Options
  {
    /// Number of servers that ended one after the other.
    unsigned suspectCrashes = 2;
    unsigned quarantineCrashes = 3;
    /// The same for a content that was never answered here, while this instance
    /// hears of no instance in other failure domains.
    unsigned isolatedCrashes = 1;
    /// Number of contents, and of servers, whose last answers are remembered.
    std::size_t answeredContents = 8192;
    std::size_t answeringServers = 16384;
    /// Time after which a caller may return if its content is quarantined for
    /// lack of news from others.
    Duration isolatedReturnDelay = std::chrono::seconds(1);
    /// A content that is not quarantined is forgotten so long after its last
    /// crash or answer.
    Duration memory = std::chrono::minutes(5);
    /// Time from the last crash to the next trial of a quarantined content. It
    /// is up to a half longer, by a hash of the instance and the content, so
    /// that one instance tries first and tells the others the result.
    Duration hold = std::chrono::minutes(10);
    /// Runs without an answer count for this long, until it is known whether
    /// their servers have ended.
    Duration verdictTime = kServerEndProofTime;
    /// A change is told to others for this long.
    Duration tellDuration = std::chrono::seconds(10);
    /// The same for a content with a single crash: most are innocent, and
    /// bytes between failure domains are dear.
    Duration weakTellDuration = std::chrono::seconds(2);
    /// Bound of the table. Contents with fewer crashes give way first, then
    /// older ones.
    std::size_t maxContents = 1024;
    /// Contents per notice, and how many of them may have a single crash.
    std::size_t maxNotices = 16;
    std::size_t maxWeakNotices = 4;
  };

  using ChangeHandler = std::function<void(const VerdictChange&)>;

  CrashQuarantine(InstanceId aInstance,
                  const Options& aOptions,
                  ChangeHandler aOnChange = {});

  [[nodiscard]] ContentVerdict VerdictOf(const ContentId& aContent,
                                         TimePoint aNow) const;

  /// True if the content is quarantined whether or not the runs without an
  /// answer are evidence against it.
  [[nodiscard]] bool IsQuarantineProven(const ContentId& aContent,
                                        TimePoint aNow) const;

  /// Time until a quarantined content may be tried again; 0 for others.
  [[nodiscard]] Duration TimeUntilTrial(const ContentId& aContent,
                                        TimePoint aNow) const;

  /// Reserves the only request of a suspect content, which ends at `aDeadline`
  /// at the latest, and tells the others of it. The trial ends when the
  /// returned object is destroyed, which must happen before the destruction of
  /// this one. Null while another trial is in progress here or at another
  /// instance.
  [[nodiscard]] std::shared_ptr<void> TryBeginTrial(const ContentId& aContent,
                                                    TimePoint aNow,
                                                    TimePoint aDeadline);

  /// Records that a server has ended during a run of the content. Returns the
  /// number of servers that ended one after the other under it.
  unsigned OnServerEnded(const ContentId& aContent,
                         const LostRun& aRun,
                         TimePoint aNow);

  /// Records that a request ended without an answer, and that a server had
  /// broken off one of its runs at `aRun.endedAt`, or had not answered it by
  /// then.
  void OnCut(const ContentId& aContent, const LostRun& aRun, TimePoint aNow);

  /// Records that servers broke off several attempts of a request, the last one
  /// at `aLostAt`, and answered none. This makes the content suspect at this
  /// instance until the ends of these servers are proven.
  void OnUnanswered(const ContentId& aContent,
                    TimePoint aLostAt,
                    TimePoint aNow);

  /// Records an answer that proves a run of the content.
  void OnAnswered(const ContentId& aContent, TimePoint aNow);

  /// Records that a server has answered a request of any content, which was
  /// sent at `aSentAt`, and that it has not ended since `aRunningSince`.
  void OnServerAnswered(std::uint32_t aServer,
                        TimePoint aRunningSince,
                        TimePoint aSentAt,
                        TimePoint aNow);

  /// Adopts what another instance knows.
  void Merge(const std::vector<CrashNotice>& aNotices, TimePoint aNow);

  /// Tells whether this instance hears of no instance in other failure domains.
  void SetIsolated(bool aIsolated) noexcept { mIsIsolated = aIsolated; }

  /// True if something has happened since the last call that others should be
  /// told at once: a verdict that has become graver, or that an answer has
  /// ended, or a trial.
  [[nodiscard]] bool TakeUrgent() noexcept;

  /// Calls `aHandler` when something urgent has happened at this instance.
  void SetUrgentHandler(std::function<void()> aHandler);

  /// Recent changes, the gravest first. Without `aWithUnproven`, runs without
  /// proof are left out: an instance that is cut off loses all runs.
  [[nodiscard]] std::vector<CrashNotice> RecentNotices(
    TimePoint aNow,
    bool aWithUnproven = true);

  /// All suspect and quarantined contents, for an instance that has started; at
  /// most as many as `maxContents`.
  [[nodiscard]] std::vector<CrashNotice> AllNotices(TimePoint aNow) const;

  /// What makes a content suspect or quarantined, for the instance that a
  /// request with it is handed to; nothing for others.
  [[nodiscard]] std::optional<CrashNotice> NoticeOf(const ContentId& aContent,
                                                    TimePoint aNow) const;

  [[nodiscard]] std::size_t QuarantinedCount(TimePoint aNow) const;

  /// Number of contents in the table.
  [[nodiscard]] std::size_t size() const noexcept { return mContents.size(); }

private:
  struct Entry
  {
    void MarkChanged(TimePoint aNow) noexcept
    {
      changedAt = aNow;
      toldCount = 0;
    }

    /// Runs one after the other, in order of time; at most `kMaxRuns`.
    std::vector<LostRun> runs;
    /// Runs without an answer, in order of time; at most `kMaxRuns`.
    std::vector<LostRun> unprovenRuns;
    std::optional<TimePoint> answeredAt;
    /// When several attempts of one request had been lost.
    std::optional<TimePoint> unansweredAt;
    TimePoint changedAt{};
    /// Rounds that have told the last change.
    unsigned toldCount = 0;
    bool trialInProgress = false;
    /// End of the trial of this instance, at the latest.
    std::optional<TimePoint> trialUntil;
    /// The same of another instance's.
    TimePoint otherTrialUntil{};
  };
  using Table = std::unordered_map<ContentId, Entry, ContentHash>;

  [[nodiscard]] ContentVerdict VerdictOf(const Table::value_type& aEntry,
                                         TimePoint aNow) const;
  [[nodiscard]] Duration HoldOf(const ContentId& aContent) const;
  [[nodiscard]] bool IsOutdated(const Table::value_type& aEntry,
                                TimePoint aNow) const;
  [[nodiscard]] bool IsProven(const Table::value_type& aEntry,
                              TimePoint aNow) const;
  /// True while lost attempts of one request make the content suspect.
  [[nodiscard]] bool IsUnanswered(const Entry& aEntry, TimePoint aNow) const;
  /// Applies a change to the entry of a content and reports a new verdict.
  template<typename Change>
  void Apply(Table::value_type& aEntry,
             VerdictCause aCause,
             TimePoint aNow,
             const Change& aChange);
  void AddRun(Entry& aEntry, const LostRun& aRun, TimePoint aNow);
  void AddUnprovenRun(Entry& aEntry, const LostRun& aRun, TimePoint aNow);
  /// Number of runs one after the other, those without proof included.
  [[nodiscard]] std::size_t CountLostRuns(const Entry& aEntry) const;
  /// True while runs without proof count.
  [[nodiscard]] bool AwaitsProof(const Entry& aEntry, TimePoint aNow) const;
  /// Number of lost runs from which on the content is quarantined.
  [[nodiscard]] std::size_t MaxLostRuns(const ContentId& aContent) const;
  [[nodiscard]] bool IsWeak(const Entry& aEntry) const;
  /// True if the content was answered after a run of it had ended.
  [[nodiscard]] bool WasAnsweredSince(const ContentId& aContent,
                                      TimePoint aEndedAt) const;
  /// True if the server of a run without an answer has not ended with it.
  [[nodiscard]] bool HasServerSurvived(const LostRun& aRun) const;
  void EndTrial(const ContentId& aContent);
  /// Calls the handler if something urgent hasn't been told yet.
  void NotifyIfUrgent();
  void AddAnswer(Entry& aEntry, TimePoint aAnsweredAt, TimePoint aNow);
  Table::value_type& FindOrCreate(const ContentId& aContent, TimePoint aNow);
  void MakeRoom(TimePoint aNow);
  [[nodiscard]] static CrashNotice MakeNotice(const Table::value_type& aEntry,
                                              TimePoint aNow);

  InstanceId mInstance;
  Options mOptions;
  ChangeHandler mOnChange;
  Table mContents;
  RecentContents mAnswered;
  LiveServers mLiveServers;
  /// Servers of the runs without an answer, and some of former ones.
  std::unordered_set<std::uint32_t> mUnprovenServers;
  bool mIsIsolated = false;
  std::function<void()> mOnUrgent;
  bool mIsUrgent = false;
};

} // namespace bronzedeal::gateway
