#include "bronzedeal/gateway/server_relay.hpp"

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
class ServerRelay::Waiting : public Exchange
{
public:
  Waiting(ServerRelay& aRelay, const RelayQuery& aQuery, ReplyHandler aReply)
    : mRelay(aRelay)
    , mQuery(aQuery)
    , mReply(std::move(aReply))
  {
  }

  void Abandon() override { End(); }

  void Answer()
  {
    const auto reply = End();
    if (reply) {
      reply(mRelay.Answer(mQuery));
    }
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

  ServerRelay& mRelay;
  RelayQuery mQuery;
  ReplyHandler mReply;
};

ServerRelay::ServerRelay(Process& aProcess,
                         ServerRegistry& aServers,
                         LastContact aLastContact)
  : mProcess(aProcess)
  , mServers(aServers)
  , mLastContact(std::move(aLastContact))
{
}

bool ServerRelay::Current(TimePoint aNow) const
{
  const auto contact = mLastContact();
  const auto bound =
    std::chrono::duration<double>(mProcess.settings.drainBound) * kMaxAge;
  return contact && aNow - *contact <= bound;
}

CallerReply ServerRelay::Answer(const RelayQuery& aQuery) const
{
  const auto now = steady_clock::now();
  if (!Current(now)) {
    return RefusedReply("not in contact with the service", kRetryAfter);
  }
  RelayReply reply;
  reply.epoch = mProcess.peers.Self().incarnation;
  reply.sequence = mServers.Changes().Sequence();
  if (aQuery.epoch == 0) {
    reply.servers = mServers.Records(mServers.Ids(), now);
  } else {
    auto delta = aQuery.epoch == reply.epoch
                   ? mServers.Changes().After(aQuery.after)
                   : std::nullopt;
    if (!delta) {
      return OwnReply(410, "changes since then aren't known");
    }
    reply.servers = mServers.Records(delta->changed, now);
    reply.removed = std::move(delta->removed);
  }
  CallerReply out;
  out.headers = "Content-Type: application/json\r\n";
  out.body = EncodeRelayReply(reply);
  return out;
}

std::shared_ptr<Exchange> ServerRelay::Handle(const RelayQuery& aQuery,
                                              ReplyHandler aReply)
{
  const auto now = steady_clock::now();
  const bool nothingNew = aQuery.epoch == mProcess.peers.Self().incarnation &&
                          aQuery.after == mServers.Changes().Sequence() &&
                          Current(now);
  if (!nothingNew || mWaiting.size() >= kMaxWaiting) {
    aReply(Answer(aQuery));
    return nullptr;
  }
  auto waiting = std::make_shared<Waiting>(*this, aQuery, std::move(aReply));
  mWaiting.insert(waiting);
  waiting->timer =
    mProcess.timers.At(now + aQuery.wait, [weak = std::weak_ptr(waiting)] {
      if (const auto it = weak.lock()) {
        it->timer = {};
        it->Answer();
      }
    });
  return waiting;
}

void ServerRelay::OnChange()
{
  if (mWaking || mWaiting.empty()) {
    return;
  }
  mWaking = true;
  mProcess.timers.At(steady_clock::now() + kGather, [this] {
    mWaking = false;
    for (const auto waiting = mWaiting; const auto& it : waiting) {
      it->Answer();
    }
  });
}

} // namespace bronzedeal::gateway
