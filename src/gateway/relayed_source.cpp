#include "bronzedeal/gateway/relayed_source.hpp"

#include "bronzedeal/gateway/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// Largest answer of an instance: 6,000 servers of about 120 bytes, or a
/// configuration of a megabyte.
constexpr std::size_t kMaxReplyBytes = std::size_t{ 4 } << 20;
/// Within a failure domain a connection opens within a millisecond or two.
constexpr auto kConnectTimeout = milliseconds(300);
/// An answer may wait this part of the time within which a leaving server must
/// be out of use.
constexpr double kMaxWait = 0.3;
/// Beyond the wait until the instance is given up.
constexpr auto kReplySlack = milliseconds(400);
/// An instance that didn't answer is left alone for this long.
constexpr auto kSuspension = milliseconds(3000);
/// After the start of many instances at once, those that callers are sent to
/// have read the service by then.
constexpr auto kPatience = milliseconds(2000);
constexpr auto kWaitPause = milliseconds(100);

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

bool RelayedSource::ShouldWait(TimePoint aNow) const
{
  return !mReadsService && mRelays.empty() && aNow - mStarted < kPatience;
}

std::optional<InstanceId> RelayedSource::Choose(TimePoint aNow)
{
  std::erase_if(mSuspendedUntil,
                [&](const auto& aEntry) { return aEntry.second <= aNow; });
  const auto usable = [&](const InstanceId& aRelay) {
    return mRelays.contains(aRelay) && !mSuspendedUntil.contains(aRelay);
  };
  if (mCurrent && usable(*mCurrent)) {
    return mCurrent;
  }
  std::optional<InstanceId> best;
  std::uint64_t least = 0;
  for (const auto& [instance, state] : mRelays) {
    const auto rank = RendezvousHash(mProcess.settings.instance, instance);
    if (usable(instance) && (!best || rank < least)) {
      best = instance;
      least = rank;
    }
  }
  return best;
}

void RelayedSource::SwitchTo(std::optional<InstanceId> aRelay)
{
  if (aRelay == mCurrent) {
    return;
  }
  mProcess.log.Write("metadata_read_from",
                     { { "topic", TopicName(mTopic) },
                       { "former", mCurrent.value_or("service") },
                       { "source", aRelay.value_or("service") } });
  mCurrent = std::move(aRelay);
  mEpoch = 0;
  mVersion = 0;
  if (mConnection) {
    std::exchange(mConnection, nullptr)->Close();
  }
}

void RelayedSource::List(MetadataTopic aTopic,
                         const std::string& aPage,
                         Duration aTimeout,
                         Handler aHandler)
{
  const auto now = steady_clock::now();
  if (aPage.empty() && ShouldWait(now)) {
    mProcess.timers.Schedule(now + kWaitPause,
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
  if (aPage.empty()) {
    SwitchTo(Choose(now));
  }
  if (IsDirect()) {
    mService.List(aTopic, aPage, aTimeout, std::move(aHandler));
    return;
  }
  mVersion = 0;
  Ask(RelayQuery{ mTopic }, aTimeout, std::move(aHandler));
}

void RelayedSource::Watch(MetadataTopic aTopic,
                          std::uint64_t aRevision,
                          milliseconds aWait,
                          Duration aTimeout,
                          Handler aHandler)
{
  if (Choose(steady_clock::now()) != mCurrent) {
    MetadataReply reply;
    reply.status = MetadataStatus::SourceChanged;
    aHandler(std::move(reply));
    return;
  }
  if (IsDirect()) {
    mService.Watch(aTopic, aRevision, aWait, aTimeout, std::move(aHandler));
    return;
  }
  const auto longest = std::chrono::duration_cast<milliseconds>(
    kMaxWait * std::chrono::duration<double>(mProcess.settings.maxDrainTime));
  const auto wait = std::min(aWait, longest);
  Ask(RelayQuery{ mTopic, mEpoch, aRevision, mVersion, wait },
      wait + kReplySlack,
      std::move(aHandler));
}

void RelayedSource::Ask(const RelayQuery& aQuery,
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
        Fail(call, "timeout");
      }
    });
  if (mConnection && mConnection->IsReusable(now)) {
    Send(call);
    return;
  }
  mConnection = std::make_shared<ServerConnection>(
    mProcess.context, mProcess.timers, kMaxReplyBytes);
  mConnection->Connect(
    { mRelays.at(*mCurrent).address, mProcess.settings.gossipEndpoint.port() },
    kConnectTimeout,
    [this, running = mRunning, call](bool aOpen) {
      if (!*running) {
        return;
      }
      if (aOpen) {
        Send(call);
      } else {
        Fail(call, "connect");
      }
    });
}

void RelayedSource::Send(const std::shared_ptr<Call>& aCall)
{
  if (!aCall->handler) {
    return; // it has timed out meanwhile
  }
  mConnection->Send(aCall->bytes,
                    false,
                    [this, running = mRunning, aCall](
                      SendResult aResult, ResponseMessage* aResponse) {
                      if (!*running || !aCall->handler) {
                        return;
                      }
                      if (aResult == SendResult::Answered) {
                        OnResponse(aCall, *aResponse);
                      } else {
                        Fail(aCall, "broken");
                      }
                    });
}

MetadataReply RelayedSource::ToReply(RelayReply aReply)
{
  mEpoch = aReply.epoch;
  MetadataReply reply;
  reply.status = MetadataStatus::Ok;
  reply.relayed = true;
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
    mVersion = aReply.config->version;
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
      Fail(aCall, aResponse.result_int() == 200 ? "unreadable" : "refused");
      return;
    }
    reply = ToReply(std::move(*decoded));
  }
  mProcess.timers.Cancel(aCall->timeout);
  std::exchange(aCall->handler, nullptr)(std::move(reply));
}

void RelayedSource::Fail(const std::shared_ptr<Call>& aCall,
                         std::string_view aReason)
{
  // Taken first: closing the connection ends the call once more.
  const auto handler = std::exchange(aCall->handler, nullptr);
  if (!handler) {
    return;
  }
  mProcess.timers.Cancel(aCall->timeout);
  mProcess.log.Write(
    "relay_failed",
    { { "instance", mCurrent.value_or("") }, { "reason", aReason } });
  if (mCurrent) {
    mSuspendedUntil[*mCurrent] = steady_clock::now() + kSuspension;
  }
  if (mConnection) {
    std::exchange(mConnection, nullptr)->Close();
  }
  MetadataReply reply;
  reply.status = MetadataStatus::SourceChanged;
  handler(std::move(reply));
}

} // namespace bronzedeal::gateway
