#include "bronzedeal/gateway/metadata_relay.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// When the service last answered longer ago than this part of the time within
/// which a leaving server must be out of use, nothing is passed on. Above the
/// usual time between two answers (see MetadataFollower), 0.2 + 0.3.
constexpr double kMaxAge = 0.65;
/// Changes within this time leave in one answer.
constexpr auto kGather = milliseconds(20);
/// Instances that may wait at once.
constexpr std::size_t kMaxWaiting = 256;
constexpr auto kRetryAfter = milliseconds(500);

} // namespace

/// One instance that waits for a change.
class MetadataRelay::Waiting : public Exchange
{
public:
  Waiting(MetadataRelay& aRelay, const RelayQuery& aQuery, ReplyHandler aReply)
    : mRelay(aRelay)
    , mQuery(aQuery)
    , mReply(std::move(aReply))
  {
  }

  void Cancel() override { End(); }

  void Answer()
  {
    const auto reply = End();
    if (reply) {
      reply(mRelay.Answer(mQuery));
    }
  }

  [[nodiscard]] bool Outdated() const
  {
    return mQuery.afterSequence != mRelay.Sequence(mQuery.topic);
  }

  TimerQueue::Handle timer;

private:
  ReplyHandler End()
  {
    mRelay.mProcess.timers.Cancel(timer);
    auto reply = std::exchange(mReply, nullptr);
    std::erase_if(mRelay.mWaiting,
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

bool MetadataRelay::Current(TimePoint aNow) const
{
  const auto contact = mLastContact();
  const auto bound =
    std::chrono::duration<double>(mProcess.settings.maxDrainTime) * kMaxAge;
  return contact && aNow - *contact <= bound;
}

std::uint64_t MetadataRelay::Sequence(MetadataTopic aTopic) const
{
  return aTopic == MetadataTopic::Servers ? mServers.Changes().LatestSequence()
                                          : mOperatorSequence;
}

void MetadataRelay::NoteOperators()
{
  const auto version = mGateway.Table() ? mGateway.Table()->Version() : 0;
  const auto& withdrawn = mServers.WithdrawnDomains();
  if (version == mVersion && withdrawn == mWithdrawn) {
    return;
  }
  for (const auto& it : mWithdrawn) {
    mRestored.insert(it);
  }
  for (const auto& it : withdrawn) {
    mRestored.erase(it);
  }
  mVersion = version;
  mWithdrawn = withdrawn;
  ++mOperatorSequence;
}

bool MetadataRelay::AddServers(const RelayQuery& aQuery,
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

void MetadataRelay::AddOperators(const RelayQuery& aQuery,
                                 RelayReply& aReply) const
{
  if (mGateway.Table() && aQuery.configVersion < mVersion) {
    aReply.config = mGateway.Table()->Config();
  }
  aReply.withdrawnDomains.assign(mWithdrawn.begin(), mWithdrawn.end());
  aReply.restoredDomains.assign(mRestored.begin(), mRestored.end());
}

CallerReply MetadataRelay::Answer(const RelayQuery& aQuery) const
{
  const auto now = steady_clock::now();
  if (!Current(now)) {
    return RefusedReply("not in contact with the service", kRetryAfter);
  }
  RelayReply reply;
  reply.epoch = mProcess.peers.Self().incarnation;
  reply.sequence = Sequence(aQuery.topic);
  if (aQuery.epoch != 0 &&
      (aQuery.epoch != reply.epoch || aQuery.afterSequence > reply.sequence)) {
    return TextReply(410, "changes since then aren't known");
  }
  if (aQuery.topic == MetadataTopic::Operators) {
    AddOperators(aQuery, reply);
  } else if (!AddServers(aQuery, reply, now)) {
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
  NoteOperators();
  const bool nothingNew = aQuery.epoch == mProcess.peers.Self().incarnation &&
                          aQuery.afterSequence == Sequence(aQuery.topic) &&
                          Current(now);
  if (!nothingNew || mWaiting.size() >= kMaxWaiting) {
    aReply(Answer(aQuery));
    return nullptr;
  }
  auto waiting = std::make_shared<Waiting>(*this, aQuery, std::move(aReply));
  mWaiting.insert(waiting);
  waiting->timer = mProcess.timers.Schedule(now + aQuery.wait,
                                            [weak = std::weak_ptr(waiting)] {
                                              if (const auto it = weak.lock()) {
                                                it->timer = {};
                                                it->Answer();
                                              }
                                            });
  return waiting;
}

void MetadataRelay::OnChange()
{
  if (mWaking || mWaiting.empty()) {
    return;
  }
  mWaking = true;
  mProcess.timers.Schedule(steady_clock::now() + kGather, [this] {
    mWaking = false;
    NoteOperators();
    for (const auto waiting = mWaiting; const auto& it : waiting) {
      if (it->Outdated()) {
        it->Answer();
      }
    }
  });
}

} // namespace bronzedeal::gateway
