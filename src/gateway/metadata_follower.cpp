#include "bronzedeal/gateway/metadata_follower.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// Between two watches of the servers, as a part of the time within which a
/// leaving server must be out of use: each call is priced, and one answer
/// brings all changes since the last.
constexpr double kServerPace = 0.2;
/// The same for an instance that callers aren't sent to.
constexpr double kIdleServerPace = 0.6;
/// The same after many servers were new: others start at the same time, and a
/// new server's cold time counts from when its record is read.
constexpr double kGrowthPace = 0.04;
constexpr std::size_t kManyNew = 8;
/// The same when another instance passes the changes on: no call is priced.
constexpr double kRelayedPace = 0.1;
/// The same for the operators' entries: changes in quick succession are taken
/// together.
constexpr double kOperatorPace = 0.1;
constexpr double kIdleOperatorPace = 0.3;
/// A watch of the operators' entries answers as soon as there is a change. A
/// connection that has fallen silent is noticed by its keep-alive probes.
/// A service that was silent for a moment may have lost a watch without an end
/// of its connection: the wait is below the time for which the service counts
/// as disturbed (4 s) plus the time within which a version is in force (3 s).
constexpr auto kOperatorWait = milliseconds(4500);
/// A watch of the servers waits for this part of the time within which a
/// leaving server must be out of use.
constexpr double kServerWait = 0.3;
/// The first watches after a failure are short, so that the service's return
/// is noticed soon.
constexpr auto kProbeWait = milliseconds(200);
/// An answer holds about 500 changes at most; from this number on, more are
/// taken to wait, and the next watch follows at once.
constexpr std::size_t kFullReply = 400;
/// Beyond the wait until a call is given up.
constexpr auto kReplySlack = milliseconds(700);
constexpr auto kListTimeout = milliseconds(1500);
/// Before another source is asked: an instance that refuses doesn't recurse.
constexpr auto kSwitchPause = milliseconds(5);
/// After a failed call; doubles up to the maximum, with jitter.
constexpr auto kMinBackoff = milliseconds(100);
constexpr auto kMaxBackoff = milliseconds(800);
/// The same for an instance that callers aren't sent to.
constexpr auto kIdleMaxBackoff = milliseconds(2000);
/// Servers whose entries lapsed while the service was away register again
/// within about two seconds.
constexpr auto kLapseGrace = milliseconds(2300);
/// Away for longer than this, entries may have lapsed.
constexpr auto kLapseAfter = milliseconds(1500);

/// Keeps instances that failed together from calling together. The backoff
/// itself stays free of the jitter, which would otherwise add up.
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
}

Duration MetadataFollower::Pace(bool aRelayed, bool aGrowing) const
{
  const bool serving = mProcess.fleetShares.IsServing();
  const double direct = mTopic == MetadataTopic::Servers
                          ? (serving ? kServerPace : kIdleServerPace)
                          : (serving ? kOperatorPace : kIdleOperatorPace);
  const double usual = aRelayed ? kRelayedPace : direct;
  const double part = aGrowing ? std::min(kGrowthPace, usual) : usual;
  return std::chrono::duration_cast<Duration>(part *
                                              mProcess.settings.maxDrainTime);
}

milliseconds MetadataFollower::Wait() const
{
  return mTopic == MetadataTopic::Servers
           ? std::chrono::duration_cast<milliseconds>(
               kServerWait *
               std::chrono::duration<double>(mProcess.settings.maxDrainTime))
           : kOperatorWait;
}

void MetadataFollower::Start()
{
  *mRunning = true;
  mLastContactTime = steady_clock::now();
  ListPage();
}

void MetadataFollower::Stop()
{
  *mRunning = false;
}

void MetadataFollower::After(Duration aDelay, void (MetadataFollower::*aStep)())
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
  mSource.List(mTopic,
               mListing.page,
               kListTimeout,
               [this, running = mRunning](MetadataReply aReply) {
                 if (*running) {
                   OnListed(std::move(aReply));
                 }
               });
}

void MetadataFollower::CountRead(const MetadataReply& aReply)
{
  if (!aReply.relayed && aReply.status != MetadataStatus::SourceChanged) {
    mProcess.metrics.Add(process::Counter::PlatformReads);
  }
}

void MetadataFollower::OnListed(MetadataReply aReply)
{
  CountRead(aReply);
  if (aReply.status == MetadataStatus::SourceChanged) {
    mListing = {};
    After(kSwitchPause, &MetadataFollower::ListPage);
    return;
  }
  if (aReply.status != MetadataStatus::Ok) {
    OnFailure(aReply);
    mListing = {};
    After(Jittered(mBackoff, mRandom), &MetadataFollower::ListPage);
    return;
  }
  OnContact();
  // Pages are no snapshot: changes since the first one are watched again.
  if (mListing.revision == 0) {
    mListing.revision = aReply.revision;
  }
  for (auto& it : aReply.changes) {
    if (const auto* server = std::get_if<ServerChanged>(&it.change)) {
      mListing.servers.insert(server->record.id);
    } else if (const auto* domain =
                 std::get_if<DomainWithdrawalChanged>(&it.change)) {
      mListing.domains.insert(domain->domain);
    }
    Apply(it);
  }
  mListing.page = aReply.nextPageToken;
  if (!mListing.page.empty()) {
    ListPage();
    return;
  }
  FinishList();
}

void MetadataFollower::FinishList()
{
  const auto listing = std::exchange(mListing, {});
  if (mTopic == MetadataTopic::Servers) {
    for (const auto& id : mServers.ServerIds()) {
      if (!listing.servers.contains(id)) {
        ForgetServer(id, "not_listed");
      }
    }
  } else {
    const auto withdrawn = mServers.WithdrawnDomains();
    for (const auto& domain : withdrawn) {
      if (!listing.domains.contains(domain)) {
        mServers.SetWithdrawn(domain, false);
      }
    }
  }
  mRevision = listing.revision;
  if (!mSynchronized) {
    // The service may have come back just now, too.
    mGrowthUntil = steady_clock::now() + kLapseGrace;
    mProcess.log.Write(
      "metadata_synchronized",
      { { "topic", TopicName(mTopic) },
        { "revision", static_cast<std::int64_t>(mRevision) } });
  }
  mSynchronized = true;
  Watch();
}

void MetadataFollower::Watch()
{
  const auto wait = mDisconnected ? kProbeWait : Wait();
  mSource.Watch(mTopic,
                mRevision,
                wait,
                wait + kReplySlack,
                [this, running = mRunning](MetadataReply aReply) {
                  if (*running) {
                    OnWatched(std::move(aReply));
                  }
                });
}

void MetadataFollower::OnWatched(MetadataReply aReply)
{
  CountRead(aReply);
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
      After(kSwitchPause, &MetadataFollower::ListPage);
      return;
    case MetadataStatus::Unavailable:
      OnFailure(aReply);
      After(Jittered(mBackoff, mRandom), &MetadataFollower::Watch);
      return;
    case MetadataStatus::Ok:
      break;
  }
  OnContact();
  const auto known = mServers.size();
  for (auto& it : aReply.changes) {
    Apply(it);
  }
  // Servers whose entries lapsed while the service was away come back soon.
  const bool growing =
    mTopic == MetadataTopic::Servers &&
    (mServers.size() >= known + kManyNew || steady_clock::now() < mGrowthUntil);
  mRevision = std::max(mRevision, aReply.revision);
  const bool behind = aReply.changes.size() >= kFullReply;
  if (behind) {
    mProcess.log.Write(
      "metadata_behind",
      { { "topic", TopicName(mTopic) },
        { "changes", static_cast<std::int64_t>(aReply.changes.size()) },
        { "revision", static_cast<std::int64_t>(mRevision) } });
  }
  if (behind) {
    Watch();
  } else {
    After(Pace(aReply.relayed, growing), &MetadataFollower::Watch);
  }
}

void MetadataFollower::Apply(RevisionedChange& aChange)
{
  const auto now = steady_clock::now();
  struct Visitor
  {
    MetadataFollower& follower;
    TimePoint now;

    void operator()(ServerChanged& aServer) const
    {
      follower.mLapsed.erase(aServer.record.id);
      follower.mServers.Upsert(std::move(aServer.record), now);
    }
    void operator()(const ServerRemoved& aServer) const
    {
      follower.ForgetServer(aServer.id, "deleted");
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
        follower.mServers.Remove(aEntry.server, "invalid_entry");
      }
    }
  };
  std::visit(Visitor{ *this, now }, aChange.change);
}

void MetadataFollower::ForgetServer(const ServerId& aServer,
                                    std::string_view aReason)
{
  if (steady_clock::now() < mLapseUntil) {
    mLapsed.insert(aServer);
  } else {
    mServers.Remove(aServer, aReason);
  }
}

void MetadataFollower::RemoveLapsed()
{
  if (steady_clock::now() < mLapseUntil) {
    return; // the service was away again meanwhile
  }
  for (const auto& it : std::exchange(mLapsed, {})) {
    mServers.Remove(it, "lapsed");
  }
}

void MetadataFollower::OnFailure(const MetadataReply& aReply)
{
  mBackoff = std::clamp<Duration>(
    mBackoff * 2,
    kMinBackoff,
    mProcess.fleetShares.IsServing() ? kMaxBackoff : kIdleMaxBackoff);
  if (!mDisconnected) {
    mDisconnected = true;
    mDisconnectedSince = mLastContactTime;
    mProcess.log.Write(
      "metadata_lost",
      { { "topic", TopicName(mTopic) }, { "detail", aReply.errorDetail } });
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
  const auto away = now - mDisconnectedSince;
  mProcess.log.Write(
    "metadata_regained",
    { { "topic", TopicName(mTopic) }, { "away_ms", Milliseconds(away) } });
  if (away >= kLapseAfter) {
    mLapseUntil = now + kLapseGrace;
    mGrowthUntil = mLapseUntil;
    After(kLapseGrace + milliseconds(1), &MetadataFollower::RemoveLapsed);
  }
}

} // namespace bronzedeal::gateway
