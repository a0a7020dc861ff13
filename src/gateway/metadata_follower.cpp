#include "bronzedeal/gateway/metadata_follower.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// With this many new servers in one reply, more are probably starting.
constexpr std::size_t kManyNewServers = 8;
/// A reply holds about 500 changes at most. From this number on, more are
/// assumed to be pending, and the next watch follows at once.
constexpr std::size_t kFullReplyChanges = 400;
/// Pause before another source is asked. Without it, sources that refuse at
/// once would cause unbounded recursion.
constexpr auto kSourceChangePause = milliseconds(5);
/// In an outage at least this long, entries may have expired.
constexpr auto kMinExpiryOutage = milliseconds(1500);

/// Prevents instances whose calls failed at the same time from retrying at the
/// same time. The stored backoff excludes the jitter, which would otherwise
/// accumulate.
Duration Jittered(Duration aDelay, std::minstd_rand& aRandom)
{
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  return std::chrono::duration_cast<Duration>(aDelay * factor(aRandom));
}

} // namespace

MetadataFollower::MetadataFollower(Process& aProcess,
                                   Gateway& aGateway,
                                   ServerRegistry& aServers,
                                   MetadataSource& aSource,
                                   MetadataTopic aTopic)
  : mProcess(aProcess)
  , mGateway(aGateway)
  , mServers(aServers)
  , mSource(aSource)
  , mTopic(aTopic)
  , mRandom(std::random_device{}())
{
  mProcess.metadataHistory.OnNewHistory([this, running = mRunning] {
    if (*running) {
      OnNewHistory();
    }
  });
}

Duration MetadataFollower::WatchPause(bool aIsRelayed, bool aIsGrowing) const
{
  const bool isServing = mProcess.fleetShares.IsServing();
  if (mTopic == MetadataTopic::Operators) {
    // Changes in quick succession arrive in one reply.
    return LengthOf(aIsRelayed  ? MetadataWait::RelayedOperatorPause
                    : isServing ? MetadataWait::OperatorPause
                                : MetadataWait::NonServingOperatorPause);
  }
  // Each call to the service is charged, and one reply holds all changes since
  // the last.
  const auto regular =
    LengthOf(aIsRelayed  ? MetadataWait::RelayedServerPause
             : isServing ? MetadataWait::ServerPause
                         : MetadataWait::NonServingServerPause);
  // A new server's cold time counts from when its record is read.
  return aIsGrowing
           ? std::min(LengthOf(MetadataWait::GrowingServerPause), regular)
           : regular;
}

milliseconds MetadataFollower::WatchWait() const
{
  if (mDisconnected) {
    return LengthOf(MetadataWait::ReconnectWatch);
  }
  return LengthOf(mTopic == MetadataTopic::Servers
                    ? MetadataWait::ServerWatch
                    : MetadataWait::OperatorWatch);
}

milliseconds MetadataFollower::LengthOf(MetadataWait aWait) const noexcept
{
  return gateway::LengthOf(aWait, mProcess.settings);
}

void MetadataFollower::Start()
{
  *mRunning = true;
  mLastContactTime = steady_clock::now();
  mCompleteAsOf = mLastContactTime;
  ListPage();
}

void MetadataFollower::Stop()
{
  *mRunning = false;
}

void MetadataFollower::RunAfter(Duration aDelay,
                                void (MetadataFollower::*aStep)())
{
  mProcess.timers.Schedule(steady_clock::now() + aDelay,
                           [this, running = mRunning, aStep] {
                             if (*running) {
                               (this->*aStep)();
                             }
                           });
}

void MetadataFollower::ListPage()
{
  if (mListProgress.pageToken.empty()) {
    mMustListAgain = false;
  }
  mLastCall = "list";
  mLastCallAt = steady_clock::now();
  mSource.List(mTopic,
               mListProgress.pageToken,
               LengthOf(MetadataWait::List),
               [this, running = mRunning](MetadataReply aReply) {
                 if (*running) {
                   OnListReply(std::move(aReply));
                 }
               });
}

void MetadataFollower::CountServiceCall(const MetadataReply& aReply)
{
  if (!aReply.relayed && aReply.status != MetadataStatus::SourceChanged) {
    mProcess.metrics.Add(process::Counter::PlatformReads);
  }
}

void MetadataFollower::ListAgain()
{
  mListProgress = {};
  ListPage();
}

bool MetadataFollower::AcceptsHistory(const MetadataReply& aReply)
{
  if (mMustListAgain) {
    // The call was made before the new history was known.
    ListAgain();
    return false;
  }
  const auto former = mProcess.metadataHistory.Era();
  const auto verdict = mProcess.metadataHistory.OnReply(
    aReply.era, aReply.relayed, steady_clock::now());
  if (verdict != MetadataHistory::Verdict::Current) {
    mProcess.log.Write(
      "metadata_era",
      { { "topic", TopicName(mTopic) },
        { "era", static_cast<std::int64_t>(*aReply.era) },
        { "former", static_cast<std::int64_t>(*former) },
        { "followed_revision", static_cast<std::int64_t>(mRevision) },
        { "revision", static_cast<std::int64_t>(aReply.revision) },
        { "list_in_progress", !mListProgress.pageToken.empty() } });
  }
  if (verdict == MetadataHistory::Verdict::Former) {
    MetadataReply failure;
    failure.errorDetail = "the reply belongs to a former history";
    OnFailure(failure);
    mListProgress = {};
    RunAfter(Jittered(mBackoff, mRandom), &MetadataFollower::ListPage);
    return false;
  }
  if (mMustListAgain) {
    ListAgain();
    return false;
  }
  return true;
}

void MetadataFollower::OnNewHistory()
{
  mGrowthExpectedUntil = mProcess.metadataHistory.SettledAt();
  if (mIsRelayed) {
    return; // the relaying instance lists again
  }
  RunAfter(kReregistrationGrace + milliseconds(1),
           &MetadataFollower::RemoveExpiredServers);
  mMustListAgain = true;
  mSource.Cancel(mTopic);
  RunAfter(kReregistrationGrace + milliseconds(1),
           &MetadataFollower::ConfirmAfterSettling);
}

void MetadataFollower::ConfirmAfterSettling()
{
  const auto now = steady_clock::now();
  if (!mIsRelayed && !mProcess.metadataHistory.IsSettling(now)) {
    mMustListAgain = true;
    mSource.Cancel(mTopic);
  }
}

void MetadataFollower::OnListReply(MetadataReply aReply)
{
  CountServiceCall(aReply);
  if (!AcceptsHistory(aReply)) {
    return;
  }
  if (aReply.status == MetadataStatus::SourceChanged) {
    mListProgress = {};
    RunAfter(kSourceChangePause, &MetadataFollower::ListPage);
    return;
  }
  if (aReply.status != MetadataStatus::Ok) {
    OnFailure(aReply);
    mListProgress = {};
    RunAfter(Jittered(mBackoff, mRandom), &MetadataFollower::ListPage);
    return;
  }
  OnContact();
  mIsRelayed = aReply.relayed;
  const bool isSettling = IsSettling(steady_clock::now());
  // The pages are not one snapshot, so the watch begins at the revision of the
  // first page.
  if (mListProgress.revision == 0) {
    mListProgress.revision = aReply.revision;
    mListProgress.beganAt = steady_clock::now();
  }
  for (auto& it : aReply.changes) {
    if (const auto* server = std::get_if<ServerChanged>(&it.change)) {
      mListProgress.servers.insert(server->record.id);
      if (isSettling && mServers.IsOutdated(server->record)) {
        continue; // newer entries will be written again
      }
    } else if (const auto* domain =
                 std::get_if<DomainWithdrawalChanged>(&it.change)) {
      mListProgress.domains.insert(domain->domain);
    }
    Apply(it);
  }
  const auto former =
    std::exchange(mListProgress.pageToken, aReply.nextPageToken);
  // Tokens ascend.
  if (mListProgress.pageToken > former) {
    ListPage();
    return;
  }
  if (!aReply.isLastPage || !aReply.nextPageToken.empty()) {
    mProcess.metrics.Add(process::Counter::ListsIncomplete);
    mProcess.log.Write("metadata_list_incomplete",
                       { { "topic", TopicName(mTopic) },
                         { "after", former },
                         { "next", aReply.nextPageToken } });
    FinishIncompleteList();
    return;
  }
  FinishList();
}

void MetadataFollower::FinishList()
{
  const auto list = std::exchange(mListProgress, {});
  if (mTopic == MetadataTopic::Servers) {
    for (const auto& id : mServers.ServerIds()) {
      if (!list.servers.contains(id)) {
        RemoveOrDeferServer(id, "not_listed");
      }
    }
  } else if (!IsSettling(steady_clock::now())) {
    const auto withdrawn = mServers.WithdrawnDomains();
    for (const auto& domain : withdrawn) {
      if (!list.domains.contains(domain)) {
        mServers.SetWithdrawn(domain, false);
      }
    }
  }
  BeginWatch(list);
}

void MetadataFollower::FinishIncompleteList()
{
  // What isn't listed may stand on a page that can't be read.
  BeginWatch(std::exchange(mListProgress, {}));
}

void MetadataFollower::BeginWatch(const ListProgress& aList)
{
  mRevision = aList.revision;
  mCompleteAsOf = aList.beganAt;
  if (!mIsSynchronized) {
    // The service may have just recovered from an outage.
    mGrowthExpectedUntil = steady_clock::now() + kReregistrationGrace;
    mProcess.log.Write(
      "metadata_synchronized",
      { { "topic", TopicName(mTopic) },
        { "revision", static_cast<std::int64_t>(mRevision) } });
  }
  mIsSynchronized = true;
  Watch();
}

void MetadataFollower::Watch()
{
  if (mMustListAgain) {
    ListAgain();
    return;
  }
  const auto wait = WatchWait();
  mLastCall = "watch";
  mLastCallAt = steady_clock::now();
  mSource.Watch(mTopic,
                mRevision,
                wait,
                wait + LengthOf(MetadataWait::Reply),
                [this, running = mRunning](MetadataReply aReply) {
                  if (*running) {
                    OnWatchReply(std::move(aReply));
                  }
                });
}

void MetadataFollower::OnWatchReply(MetadataReply aReply)
{
  CountServiceCall(aReply);
  if (!AcceptsHistory(aReply)) {
    return;
  }
  switch (aReply.status) {
    case MetadataStatus::HistoryCompacted:
      mProcess.log.Write(
        "metadata_history_gone",
        { { "topic", TopicName(mTopic) },
          { "revision", static_cast<std::int64_t>(mRevision) } });
      OnContact();
      ListPage();
      return;
    case MetadataStatus::SourceChanged:
      RunAfter(kSourceChangePause, &MetadataFollower::ListPage);
      return;
    case MetadataStatus::Unavailable:
      OnFailure(aReply);
      RunAfter(Jittered(mBackoff, mRandom), &MetadataFollower::Watch);
      return;
    case MetadataStatus::Ok:
      break;
  }
  OnContact();
  mIsRelayed = aReply.relayed;
  mCompleteAsOf = steady_clock::now();
  const auto formerCount = mServers.size();
  for (auto& it : aReply.changes) {
    Apply(it);
  }
  // After an outage, servers whose entries have expired register again soon.
  const bool isGrowing = mTopic == MetadataTopic::Servers &&
                         (mServers.size() >= formerCount + kManyNewServers ||
                          steady_clock::now() < mGrowthExpectedUntil);
  mRevision = std::max(mRevision, aReply.revision);
  const bool isBehind = aReply.changes.size() >= kFullReplyChanges;
  if (isBehind) {
    mProcess.log.Write(
      "metadata_behind",
      { { "topic", TopicName(mTopic) },
        { "changes", static_cast<std::int64_t>(aReply.changes.size()) },
        { "revision", static_cast<std::int64_t>(mRevision) } });
  }
  if (isBehind) {
    Watch();
  } else {
    RunAfter(WatchPause(aReply.relayed, isGrowing), &MetadataFollower::Watch);
  }
}

void MetadataFollower::Apply(RevisionedChange& aChange)
{
  try {
    ApplyChange(aChange);
  } catch (const std::exception& e) {
    // The other changes of the reply still count.
    mProcess.metrics.Add(process::Counter::InternalErrors);
    mProcess.log.Write(
      "internal_error",
      { { "source", TopicName(mTopic) }, { "reason", e.what() } });
  }
}

void MetadataFollower::ApplyChange(RevisionedChange& aChange)
{
  const auto now = steady_clock::now();
  struct Visitor
  {
    MetadataFollower& follower;
    TimePoint now;

    void operator()(ServerChanged& aServer) const
    {
      follower.mExpiredServers.erase(aServer.record.id);
      follower.mServers.Upsert(std::move(aServer.record), now);
    }
    void operator()(const ServerRemoved& aServer) const
    {
      follower.RemoveOrDeferServer(aServer.id, "deleted");
    }
    void operator()(ConfigPublished& aConfig) const
    {
      follower.mGateway.ActivateConfig(std::move(aConfig.config));
    }
    void operator()(const DomainWithdrawalChanged& aDomain) const
    {
      follower.mServers.SetWithdrawn(aDomain.domain, aDomain.withdrawn);
    }
    void operator()(const InvalidEntry& aEntry) const
    {
      follower.mProcess.log.Write(
        "entry_invalid",
        { { "key", aEntry.key }, { "reason", aEntry.reason } });
      follower.mProcess.metrics.Add(process::Counter::ConfigRejected);
      if (!aEntry.server.empty()) {
        follower.mServers.Remove(
          aEntry.server, "invalid_entry", RemovedRun::MayGoOn);
      }
    }
  };
  std::visit(Visitor{ *this, now }, aChange.change);
}

void MetadataFollower::RemoveOrDeferServer(const ServerId& aServer,
                                           std::string_view aReason)
{
  if (AwaitsReregistration(steady_clock::now())) {
    mExpiredServers.insert(aServer);
  } else {
    mServers.Remove(aServer, aReason, RemovedRun::HasEnded);
  }
}

bool MetadataFollower::IsSettling(TimePoint aNow) const
{
  return !mIsRelayed && mProcess.metadataHistory.IsSettling(aNow);
}

bool MetadataFollower::AwaitsReregistration(TimePoint aNow) const
{
  return aNow < mReregistrationUntil || IsSettling(aNow);
}

void MetadataFollower::RemoveExpiredServers()
{
  if (AwaitsReregistration(steady_clock::now())) {
    return; // another outage has extended the grace time
  }
  for (const auto& it : std::exchange(mExpiredServers, {})) {
    mServers.Remove(it, "lapsed", RemovedRun::HasEnded);
  }
}

void MetadataFollower::OnFailure(const MetadataReply& aReply)
{
  const auto longest = mProcess.fleetShares.IsServing()
                         ? MetadataWait::LastRetry
                         : MetadataWait::NonServingLastRetry;
  mBackoff = std::clamp<Duration>(
    mBackoff * 2, LengthOf(MetadataWait::FirstRetry), LengthOf(longest));
  if (!mDisconnected) {
    mDisconnected = true;
    mDisconnectedSince = mLastContactTime;
    mProcess.log.Write(
      "metadata_lost",
      { { "topic", TopicName(mTopic) },
        { "detail", aReply.errorDetail },
        { "call", mLastCall },
        { "waited_ms", Milliseconds(steady_clock::now() - mLastCallAt) } });
  }
}

void MetadataFollower::OnContact()
{
  const auto now = steady_clock::now();
  mBackoff = {};
  mLastContactTime = now;
  if (!mDisconnected) {
    return;
  }
  mDisconnected = false;
  const auto outage = now - mDisconnectedSince;
  mProcess.log.Write(
    "metadata_regained",
    { { "topic", TopicName(mTopic) }, { "away_ms", Milliseconds(outage) } });
  if (outage >= kMinExpiryOutage) {
    mReregistrationUntil = now + kReregistrationGrace;
    mGrowthExpectedUntil = mReregistrationUntil;
    RunAfter(kReregistrationGrace + milliseconds(1),
             &MetadataFollower::RemoveExpiredServers);
  }
}

} // namespace bronzedeal::gateway
