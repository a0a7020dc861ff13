#include "bronzedeal/gateway/metadata_relay.hpp"

#include "bronzedeal/gateway/metadata_schedule.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// Changes within this time are sent in one reply.
constexpr auto kCoalescingTime = milliseconds(20);
/// Maximum number of queries that wait at once; others are answered
/// immediately.
constexpr std::size_t kMaxPendingQueries = 256;
constexpr auto kRefusedRetryDelay = milliseconds(500);

} // namespace

/// A query that waits for a change.
class MetadataRelay::PendingQuery : public Exchange
{
public:
  PendingQuery(MetadataRelay& aRelay,
               const RelayQuery& aQuery,
               ReplyHandler aReply)
    : mRelay(aRelay)
    , mQuery(aQuery)
    , mReply(std::move(aReply))
  {
  }

  void Conclude() override { Reply(); }

  void Cancel() override { Finish(); }

  void Reply()
  {
    const auto reply = Finish();
    if (reply) {
      reply(mRelay.MakeReply(mQuery));
    }
  }

  [[nodiscard]] bool IsOutdated() const
  {
    return mQuery.afterSequence != mRelay.CurrentSequence(mQuery.topic);
  }

  TimerQueue::Handle timer;

private:
  ReplyHandler Finish()
  {
    mRelay.mProcess.timers.Cancel(timer);
    auto reply = std::exchange(mReply, nullptr);
    std::erase_if(mRelay.mPendingQueries,
                  [this](const auto& aIt) { return aIt.get() == this; });
    return reply;
  }

  MetadataRelay& mRelay;
  RelayQuery mQuery;
  ReplyHandler mReply;
};

MetadataRelay::MetadataRelay(Process& aProcess,
                             ServerRegistry& aServers,
                             Gateway& aGateway,
                             LastContactProvider aLastContact)
  : mProcess(aProcess)
  , mServers(aServers)
  , mGateway(aGateway)
  , mLastContact(std::move(aLastContact))
{
}

bool MetadataRelay::IsUpToDate(MetadataTopic aTopic, TimePoint aNow) const
{
  const auto isRecent = [&](MetadataTopic aIt, MetadataWait aLongestAge) {
    const auto contact = mLastContact(aIt);
    return contact &&
           aNow - *contact <= LengthOf(aLongestAge, mProcess.settings);
  };
  // The servers change often: a lack of their changes shows that the service is
  // out of reach before a watch of the operators' entries ends.
  return isRecent(MetadataTopic::Servers, MetadataWait::RelayedServerAge) &&
         (aTopic == MetadataTopic::Servers ||
          isRecent(MetadataTopic::Operators, MetadataWait::RelayedOperatorAge));
}

std::uint64_t MetadataRelay::CurrentSequence(MetadataTopic aTopic) const
{
  return aTopic == MetadataTopic::Servers ? mServers.Changes().LatestSequence()
                                          : mOperatorSequence;
}

void MetadataRelay::UpdateOperatorSequence()
{
  const auto version = mGateway.Table() ? mGateway.Table()->Version() : 0;
  const auto& withdrawn = mServers.WithdrawnDomains();
  if (version == mSequencedVersion && withdrawn == mSequencedWithdrawals) {
    return;
  }
  for (const auto& it : mSequencedWithdrawals) {
    mRestoredDomains.insert(it);
  }
  for (const auto& it : withdrawn) {
    mRestoredDomains.erase(it);
  }
  mSequencedVersion = version;
  mSequencedWithdrawals = withdrawn;
  ++mOperatorSequence;
}

bool MetadataRelay::AddServerChanges(const RelayQuery& aQuery,
                                     RelayReply& aReply,
                                     TimePoint aNow) const
{
  if (aQuery.epoch == 0) {
    aReply.servers = mServers.Records(mServers.ServerIds(), aNow);
    return true;
  }
  auto delta = mServers.Changes().ChangesAfter(aQuery.afterSequence);
  if (!delta) {
    return false;
  }
  aReply.servers = mServers.Records(delta->changed, aNow);
  aReply.removedServers = std::move(delta->removed);
  return true;
}

void MetadataRelay::AddOperatorEntries(const RelayQuery& aQuery,
                                       RelayReply& aReply) const
{
  if (mGateway.Table() && aQuery.configVersion < mSequencedVersion) {
    aReply.config = mGateway.Table()->Config();
  }
  aReply.withdrawnDomains.assign(mSequencedWithdrawals.begin(),
                                 mSequencedWithdrawals.end());
  aReply.restoredDomains.assign(mRestoredDomains.begin(),
                                mRestoredDomains.end());
}

CallerReply MetadataRelay::MakeReply(const RelayQuery& aQuery) const
{
  const auto now = steady_clock::now();
  if (!IsUpToDate(aQuery.topic, now)) {
    return RefusedReply("not in contact with the service", kRefusedRetryDelay);
  }
  RelayReply reply;
  reply.epoch = mProcess.peers.Self().incarnation;
  reply.era = mProcess.metadataHistory.Era();
  reply.sequence = CurrentSequence(aQuery.topic);
  if (aQuery.epoch != 0 &&
      (aQuery.epoch != reply.epoch || aQuery.afterSequence > reply.sequence)) {
    return TextReply(410, "changes since then aren't known");
  }
  if (aQuery.topic == MetadataTopic::Operators) {
    AddOperatorEntries(aQuery, reply);
  } else if (!AddServerChanges(aQuery, reply, now)) {
    return TextReply(410, "changes since then aren't known");
  }
  CallerReply out;
  out.headers = "Content-Type: application/json\r\n";
  out.body = EncodeRelayReply(reply);
  return out;
}

std::shared_ptr<Exchange> MetadataRelay::Handle(const RelayQuery& aQuery,
                                                ReplyHandler aReply)
{
  const auto now = steady_clock::now();
  UpdateOperatorSequence();
  const bool isUnchanged =
    aQuery.epoch == mProcess.peers.Self().incarnation &&
    aQuery.afterSequence == CurrentSequence(aQuery.topic) &&
    IsUpToDate(aQuery.topic, now);
  if (!isUnchanged || mPendingQueries.size() >= kMaxPendingQueries) {
    aReply(MakeReply(aQuery));
    return nullptr;
  }
  auto pending =
    std::make_shared<PendingQuery>(*this, aQuery, std::move(aReply));
  mPendingQueries.insert(pending);
  pending->timer = mProcess.timers.Schedule(now + aQuery.wait,
                                            [weak = std::weak_ptr(pending)] {
                                              if (const auto it = weak.lock()) {
                                                it->timer = {};
                                                it->Reply();
                                              }
                                            });
  return pending;
}

void MetadataRelay::ConcludeQueries()
{
  for (const auto pending = mPendingQueries; const auto& it : pending) {
    it->Conclude();
  }
}

void MetadataRelay::OnChange()
{
  if (mWakeupScheduled || mPendingQueries.empty()) {
    return;
  }
  mWakeupScheduled = true;
  mProcess.timers.Schedule(steady_clock::now() + kCoalescingTime, [this] {
    mWakeupScheduled = false;
    UpdateOperatorSequence();
    for (const auto pending = mPendingQueries; const auto& it : pending) {
      if (it->IsOutdated()) {
        it->Reply();
      }
    }
  });
}

} // namespace bronzedeal::gateway
