#include "bronzedeal/daemon/owner_executor.hpp"

#include "server_agent.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <mutex>
#include <shared_mutex>

namespace bronzedeal::daemon {

using version::WorkKind;

namespace {

// While attempts are queued, those whose deadline can't be met are refused at
// this interval. A timer that ran without a queue cost 0.5% of a core.
constexpr milliseconds kExpiryInterval{ 5 };

} // namespace

struct OwnerExecutor::Impl : std::enable_shared_from_this<OwnerExecutor::Impl>
{
  Impl(boost::asio::io_context& aContext,
       const version::SnapshotHolder& aSnapshots,
       const LeaseTable& aLeases,
       version::WorkLedger& aLedger,
       bool aColdRampEnabled,
       Hooks aHooks)
    : strand(boost::asio::make_strand(aContext))
    , expiryTimer(strand)
    , environment{ aContext,         aSnapshots,        aLeases, aLedger,
                   aColdRampEnabled, std::move(aHooks), {} }
  {
  }

  std::shared_ptr<ServerAgent> FindAgent(const ServerId& aServer) const
  {
    const std::shared_lock lock(mutex);
    const auto it = agents.find(aServer);
    return it == agents.end() ? nullptr : it->second;
  }

  std::vector<std::shared_ptr<ServerAgent>> Agents() const
  {
    const std::shared_lock lock(mutex);
    std::vector<std::shared_ptr<ServerAgent>> all;
    all.reserve(agents.size());
    for (const auto& [id, agent] : agents) {
      all.push_back(agent);
    }
    return all;
  }

  void EnsureTimerArmed()
  {
    if (!timerArmed.exchange(true)) {
      boost::asio::post(strand,
                        [self = shared_from_this()] { self->ArmTimer(); });
    }
  }

  bool ExpireQueues(TimePoint aNow) const
  {
    bool hasQueued = false;
    for (const auto& it : Agents()) {
      hasQueued = it->ExpireQueue(aNow) || hasQueued;
    }
    return hasQueued;
  }

  void ArmTimer()
  {
    expiryTimer.expires_after(kExpiryInterval);
    expiryTimer.async_wait(
      [weak = weak_from_this()](boost::system::error_code aError) {
        const auto self = weak.lock();
        if (!self || aError) {
          return;
        }
        // Cleared first: an attempt queued from here on arms the timer again.
        self->timerArmed.store(false);
        if (self->ExpireQueues(std::chrono::steady_clock::now())) {
          self->EnsureTimerArmed();
        }
      });
  }

  boost::asio::strand<boost::asio::io_context::executor_type> strand;
  std::atomic<bool> timerArmed{ false };
  boost::asio::steady_timer expiryTimer;
  AgentEnvironment environment;
  mutable std::shared_mutex mutex;
  std::map<ServerId, std::shared_ptr<ServerAgent>, std::less<>> agents;
  std::set<ServerId> leavingServers;
};

OwnerExecutor::OwnerExecutor(boost::asio::io_context& aContext,
                             const version::SnapshotHolder& aSnapshots,
                             const LeaseTable& aLeases,
                             version::WorkLedger& aLedger,
                             bool aColdRampEnabled,
                             Hooks aHooks)
  : mImpl(std::make_shared<Impl>(aContext,
                                 aSnapshots,
                                 aLeases,
                                 aLedger,
                                 aColdRampEnabled,
                                 std::move(aHooks)))
{
  mImpl->environment.onQueued = [weak = std::weak_ptr(mImpl)] {
    if (const auto impl = weak.lock()) {
      impl->EnsureTimerArmed();
    }
  };
}

OwnerExecutor::~OwnerExecutor()
{
  for (const auto& it : mImpl->Agents()) {
    it->Close();
  }
}

void OwnerExecutor::Execute(OwnerAttempt aAttempt, Handler aHandler)
{
  const auto agent = mImpl->FindAgent(aAttempt.server);
  if (!agent) {
    aHandler({ ResultCode::NotRunNoOwner, {}, {}, {} });
    return;
  }
  agent->Execute(std::move(aAttempt), std::move(aHandler));
}

void OwnerExecutor::Cancel(const AttemptKey& aKey)
{
  // Cancellations are rare and carry no server; each agent looks the key up in
  // its own small table.
  for (const auto& it : mImpl->Agents()) {
    if (it->Cancel(aKey)) {
      return;
    }
  }
}

void OwnerExecutor::Refresh(TimePoint aNow)
{
  mImpl->ExpireQueues(aNow);
  const auto snapshot = mImpl->environment.snapshots.Load();
  if (!snapshot) {
    return;
  }
  const std::unique_lock lock(mImpl->mutex);
  for (const auto& it : snapshot->Servers()) {
    auto found = mImpl->agents.find(it.id);
    const bool maySend = mImpl->environment.leases.MaySend(it.slice, aNow);
    if (found == mImpl->agents.end()) {
      if (!maySend) {
        continue;
      }
      const auto agent =
        std::make_shared<ServerAgent>(mImpl->environment, it, aNow);
      agent->SetLeaving(mImpl->leavingServers.contains(it.id));
      mImpl->agents.emplace(it.id, agent);
      continue;
    }
    found->second->Update(it, snapshot->Content().limits, maySend, aNow);
  }
  std::erase_if(mImpl->agents, [&](const auto& aEntry) {
    const auto& agent = aEntry.second;
    if (snapshot->FindServer(aEntry.first) == nullptr) {
      agent->Withdraw();
    }
    return agent->IsDisposable();
  });
}

void OwnerExecutor::SetLeavingServers(std::set<ServerId> aServers)
{
  const std::unique_lock lock(mImpl->mutex);
  mImpl->leavingServers = std::move(aServers);
  for (const auto& [id, agent] : mImpl->agents) {
    agent->SetLeaving(mImpl->leavingServers.contains(id));
  }
}

bool OwnerExecutor::IsIdle(const SliceId& aSlice) const
{
  const auto agents = mImpl->Agents();
  return std::all_of(agents.begin(), agents.end(), [&](const auto& aAgent) {
    return aAgent->Slice() != aSlice || aAgent->IsIdle();
  });
}

std::size_t OwnerExecutor::InFlightCount() const
{
  std::size_t n = 0;
  for (const auto& it : mImpl->Agents()) {
    n += it->InFlightCount();
  }
  return n;
}

} // namespace bronzedeal::daemon
