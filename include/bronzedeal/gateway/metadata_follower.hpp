#pragma once

#include "bronzedeal/gateway/gateway.hpp"
#include "bronzedeal/gateway/metadata_schedule.hpp"
#include "bronzedeal/gateway/metadata_source.hpp"

#include <memory>
#include <random>
#include <set>
#include <string>

namespace bronzedeal::gateway {

/// Keeps the server registry and the configuration up to date with one topic of
/// the metadata service: lists all entries, then watches for changes.
class MetadataFollower
{
public:
  MetadataFollower(Process& aProcess,
                   Gateway& aGateway,
                   ServerRegistry& aServers,
                   MetadataSource& aSource,
                   MetadataTopic aTopic);

  /// Begins to list and watch; the handlers run on the context.
  void Start();
  /// Ignores the reply to the call in progress and makes no further ones.
  void Stop();

  /// True while calls to the source fail.
  [[nodiscard]] bool IsDisconnected() const noexcept { return mDisconnected; }

  /// The time as of which all changes have been applied: that of the last
  /// answer to a watch, or of the first page of a list that is complete. The
  /// time of the start before that.
  [[nodiscard]] TimePoint LastContactTime() const noexcept
  {
    return mCompleteAsOf;
  }
  /// True once all pages of a list have been applied.
  [[nodiscard]] bool IsSynchronized() const noexcept { return mIsSynchronized; }

private:
  /// State of a list between its pages: the entries seen so far.
  struct ListProgress
  {
    std::string pageToken;
    std::uint64_t revision = 0;
    /// When the first page arrived.
    TimePoint beganAt{};
    std::set<ServerId> servers;
    std::set<FailureDomain> domains;
  };

  void ListPage();
  /// Begins a list, without the pages read so far.
  void ListAgain();
  /// Applies the history that the reply belongs to; returns false if the reply
  /// must be dropped, and then continues with a list.
  bool AcceptsHistory(const MetadataReply& aReply);
  /// Called when a new history of the service begins: the followed revision and
  /// the pages read so far mean nothing there.
  void OnNewHistory();
  /// Lists again once the entries that the service had lost are written again.
  void ConfirmAfterSettling();
  /// Counts the reply in the metrics if the service itself answered.
  void CountServiceCall(const MetadataReply& aReply);
  void OnListReply(MetadataReply aReply);
  void FinishList();
  /// Ends a list of which pages are missing: nothing is removed.
  void FinishIncompleteList();
  /// Follows the changes after a list.
  void BeginWatch(const ListProgress& aList);
  void Watch();
  void OnWatchReply(MetadataReply aReply);
  /// Applies a change; an error is logged and ends there.
  void Apply(RevisionedChange& aChange);
  void ApplyChange(RevisionedChange& aChange);
  /// Removes a server, unless its entry may be registered again soon.
  void RemoveOrDeferServer(const ServerId& aServer, std::string_view aReason);
  void RemoveExpiredServers();
  /// True while deleted or missing entries may be written again.
  [[nodiscard]] bool AwaitsReregistration(TimePoint aNow) const;
  /// True while entries may be those of a copy. A relaying instance waits
  /// itself until they are written again.
  [[nodiscard]] bool IsSettling(TimePoint aNow) const;
  void OnFailure(const MetadataReply& aReply);
  void OnContact();
  void RunAfter(Duration aDelay, void (MetadataFollower::*aStep)());
  [[nodiscard]] milliseconds LengthOf(MetadataWait aWait) const noexcept;
  /// How long a watch waits for a change.
  [[nodiscard]] milliseconds WatchWait() const;
  /// Time between a reply and the next watch.
  [[nodiscard]] Duration WatchPause(bool aIsRelayed, bool aIsGrowing) const;

  Process& mProcess;
  Gateway& mGateway;
  ServerRegistry& mServers;
  MetadataSource& mSource;
  MetadataTopic mTopic;
  /// False when stopped; callbacks in progress share it and may outlive this.
  std::shared_ptr<bool> mRunning = std::make_shared<bool>(false);
  std::minstd_rand mRandom;
  ListProgress mListProgress;
  std::uint64_t mRevision = 0;
  bool mIsSynchronized = false;
  /// The next step must be a list.
  bool mMustListAgain = false;
  /// The last reply came from another instance, whose revisions don't depend on
  /// the history of the service.
  bool mIsRelayed = false;
  /// The call in progress or the last one, and when it was made.
  std::string_view mLastCall;
  TimePoint mLastCallAt{};
  Duration mBackoff{};
  bool mDisconnected = false;
  TimePoint mDisconnectedSince{};
  TimePoint mLastContactTime{};
  TimePoint mCompleteAsOf{};
  /// Until when deleted entries may be registered again (see
  /// kReregistrationGrace).
  TimePoint mReregistrationUntil{};
  std::set<ServerId> mExpiredServers;
  /// Until when many servers are expected to register.
  TimePoint mGrowthExpectedUntil{};
};

} // namespace bronzedeal::gateway
