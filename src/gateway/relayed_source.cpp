#include "bronzedeal/gateway/relayed_source.hpp"

#include "bronzedeal/gateway/metadata_schedule.hpp"
#include "bronzedeal/gateway/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// Above the largest reply of a relay: 6,000 servers of about 120 bytes each,
/// or a configuration of one megabyte.
constexpr std::size_t kMaxReplyBytes = std::size_t{ 4 } << 20;
/// A relay that failed a call is not used for this long.
constexpr auto kSuspension = milliseconds(3000);
constexpr auto kRelayPollInterval = milliseconds(100);

} // namespace

struct RelayedSource::Call
{
  std::string bytes;
  Handler handler;
  TimerQueue::Handle timeout;
};

RelayedSource::RelayedSource(Process& aProcess,
                             MetadataSource& aService,
                             MetadataTopic aTopic)
  : mProcess(aProcess)
  , mService(aService)
  , mTopic(aTopic)
{
}

RelayedSource::~RelayedSource()
{
  *mRunning = false;
  if (mConnection) {
    mConnection->Close();
  }
}

void RelayedSource::SetRelays(const std::vector<PeerState>& aRelays,
                              bool aReadsService)
{
  mReadsService = aReadsService;
  mRelays.clear();
  for (const auto& it : aRelays) {
    mRelays.emplace(it.instance, it);
  }
}

bool RelayedSource::ShouldAwaitRelay(TimePoint aNow) const
{
  return !mReadsService && mRelays.empty() &&
         aNow - mStartedAt <
           LengthOf(MetadataWait::RelayStart, mProcess.settings);
}

std::optional<InstanceId> RelayedSource::ChooseRelay(TimePoint aNow)
{
  std::erase_if(mSuspendedUntil,
                [&](const auto& aEntry) { return aEntry.second <= aNow; });
  const auto isUsable = [&](const InstanceId& aRelay) {
    return mRelays.contains(aRelay) && !mSuspendedUntil.contains(aRelay);
  };
  if (mCurrentRelay && isUsable(*mCurrentRelay)) {
    return mCurrentRelay;
  }
  std::optional<InstanceId> chosen;
  std::uint64_t lowestRank = 0;
  for (const auto& [instance, state] : mRelays) {
    const auto rank = RendezvousHash(mProcess.settings.instance, instance);
    if (isUsable(instance) && (!chosen || rank < lowestRank)) {
      chosen = instance;
      lowestRank = rank;
    }
  }
  return chosen;
}

void RelayedSource::SwitchTo(std::optional<InstanceId> aRelay)
{
  if (aRelay == mCurrentRelay) {
    return;
  }
  mProcess.log.Write("metadata_read_from",
                     { { "topic", TopicName(mTopic) },
                       { "former", mCurrentRelay.value_or("service") },
                       { "source", aRelay.value_or("service") } });
  mCurrentRelay = std::move(aRelay);
  mEpoch = 0;
  mLastConfigVersion = 0;
  if (mConnection) {
    std::exchange(mConnection, nullptr)->Close();
  }
}

void RelayedSource::List(MetadataTopic aTopic,
                         const std::string& aPageToken,
                         Duration aTimeout,
                         Handler aHandler)
{
  const auto now = steady_clock::now();
  if (aPageToken.empty() && ShouldAwaitRelay(now)) {
    mProcess.timers.Schedule(now + kRelayPollInterval,
                             [this,
                              running = mRunning,
                              aTopic,
                              aTimeout,
                              handler = std::move(aHandler)] {
                               if (*running) {
                                 List(aTopic, {}, aTimeout, handler);
                               }
                             });
    return;
  }
  if (aPageToken.empty()) {
    SwitchTo(ChooseRelay(now));
  }
  if (IsDirect()) {
    mService.List(aTopic, aPageToken, aTimeout, std::move(aHandler));
    return;
  }
  mLastConfigVersion = 0;
  SendQuery(RelayQuery{ mTopic },
            std::min<Duration>(
              aTimeout, LengthOf(MetadataWait::RelayList, mProcess.settings)),
            std::move(aHandler));
}

void RelayedSource::Watch(MetadataTopic aTopic,
                          std::uint64_t aRevision,
                          milliseconds aWait,
                          Duration aTimeout,
                          Handler aHandler)
{
  if (ChooseRelay(steady_clock::now()) != mCurrentRelay) {
    MetadataReply reply;
    reply.status = MetadataStatus::SourceChanged;
    aHandler(std::move(reply));
    return;
  }
  if (IsDirect()) {
    mService.Watch(aTopic, aRevision, aWait, aTimeout, std::move(aHandler));
    return;
  }
  const auto maxWait = LengthOf(mTopic == MetadataTopic::Servers
                                  ? MetadataWait::RelayServerWatch
                                  : MetadataWait::RelayOperatorWatch,
                                mProcess.settings);
  const auto wait = std::min(aWait, maxWait);
  SendQuery(RelayQuery{ mTopic, mEpoch, aRevision, mLastConfigVersion, wait },
            wait + LengthOf(MetadataWait::RelayReply, mProcess.settings),
            std::move(aHandler));
}

void RelayedSource::Cancel(MetadataTopic aTopic)
{
  if (IsDirect()) {
    mService.Cancel(aTopic);
  }
}

void RelayedSource::SendQuery(const RelayQuery& aQuery,
                              Duration aTimeout,
                              Handler aHandler)
{
  const auto now = steady_clock::now();
  auto call = std::make_shared<Call>();
  call->bytes = EncodeRelayQuery(aQuery);
  call->handler = std::move(aHandler);
  call->timeout =
    mProcess.timers.Schedule(now + aTimeout, [this, running = mRunning, call] {
      if (*running) {
        call->timeout = {};
        FailCall(call, "timeout");
      }
    });
  if (mConnection && mConnection->IsReusable(now)) {
    SendCall(call);
    return;
  }
  mConnection = std::make_shared<ServerConnection>(mProcess.context,
                                                   mProcess.timers,
                                                   mProcess.responseMemory,
                                                   mProcess.serverConnections,
                                                   kMaxReplyBytes);
  mConnection->Connect({ mRelays.at(*mCurrentRelay).address,
                         mProcess.settings.gossipEndpoint.port() },
                       LengthOf(MetadataWait::RelayConnect, mProcess.settings),
                       [this, running = mRunning, call](bool aOpen) {
                         if (!*running) {
                           return;
                         }
                         if (aOpen) {
                           SendCall(call);
                         } else {
                           FailCall(call, "connect");
                         }
                       });
}

void RelayedSource::SendCall(const std::shared_ptr<Call>& aCall)
{
  if (!aCall->handler) {
    return; // the call has timed out meanwhile
  }
  mConnection->Send(aCall->bytes,
                    nullptr,
                    false,
                    [this, running = mRunning, aCall](
                      SendResult aResult, ResponseMessage* aResponse) {
                      if (!*running || !aCall->handler) {
                        return;
                      }
                      if (aResult == SendResult::Answered) {
                        OnResponse(aCall, *aResponse);
                      } else {
                        FailCall(aCall, "broken");
                      }
                    });
}

MetadataReply RelayedSource::ToReply(RelayReply aReply)
{
  mEpoch = aReply.epoch;
  MetadataReply reply;
  reply.status = MetadataStatus::Ok;
  reply.relayed = true;
  reply.era = aReply.era;
  reply.revision = aReply.sequence;
  const auto add = [&](MetadataChange aChange) {
    reply.changes.push_back({ aReply.sequence, std::move(aChange) });
  };
  for (auto& it : aReply.servers) {
    add(ServerChanged{ std::move(it) });
  }
  for (auto& it : aReply.removedServers) {
    add(ServerRemoved{ std::move(it) });
  }
  if (aReply.config) {
    mLastConfigVersion = aReply.config->version;
    add(ConfigPublished{ std::move(*aReply.config) });
  }
  for (auto& it : aReply.withdrawnDomains) {
    add(DomainWithdrawalChanged{ std::move(it), true });
  }
  for (auto& it : aReply.restoredDomains) {
    add(DomainWithdrawalChanged{ std::move(it), false });
  }
  return reply;
}

void RelayedSource::OnResponse(const std::shared_ptr<Call>& aCall,
                               const ResponseMessage& aResponse)
{
  MetadataReply reply;
  if (aResponse.result_int() == 410) {
    reply.status = MetadataStatus::SourceChanged;
  } else {
    auto decoded = aResponse.result_int() == 200
                     ? DecodeRelayReply(aResponse.body())
                     : std::nullopt;
    if (!decoded) {
      FailCall(aCall, aResponse.result_int() == 200 ? "unreadable" : "refused");
      return;
    }
    const auto era = mProcess.metadataHistory.Era();
    if (decoded->era && era && *decoded->era < *era) {
      FailCall(aCall, "former_history");
      return;
    }
    reply = ToReply(std::move(*decoded));
  }
  mProcess.timers.Cancel(aCall->timeout);
  std::exchange(aCall->handler, nullptr)(std::move(reply));
}

void RelayedSource::FailCall(const std::shared_ptr<Call>& aCall,
                             std::string_view aReason)
{
  // The handler is taken first because closing the connection ends the call a
  // second time.
  const auto handler = std::exchange(aCall->handler, nullptr);
  if (!handler) {
    return;
  }
  mProcess.timers.Cancel(aCall->timeout);
  mProcess.log.Write(
    "relay_failed",
    { { "instance", mCurrentRelay.value_or("") }, { "reason", aReason } });
  if (mCurrentRelay) {
    mSuspendedUntil[*mCurrentRelay] = steady_clock::now() + kSuspension;
  }
  if (mConnection) {
    std::exchange(mConnection, nullptr)->Close();
  }
  MetadataReply reply;
  reply.status = MetadataStatus::SourceChanged;
  handler(std::move(reply));
}

} // namespace bronzedeal::gateway
