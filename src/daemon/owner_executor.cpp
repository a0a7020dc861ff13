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
       bool aColdRamp,
       Hooks aHooks)
    : strand(boost::asio::make_strand(aContext))
    , timer(strand)
    , environment{ aContext,  aSnapshots,        aLeases, aLedger,
                   aColdRamp, std::move(aHooks), {} }
  {
  }

  std::shared_ptr<ServerAgent> Find(const ServerId& aServer) const
  {
    const std::shared_lock lock(mutex);
    const auto it = agents.find(aServer);
    return it == agents.end() ? nullptr : it->second;
  }

  std::vector<std::shared_ptr<ServerAgent>> All() const
  {
    const std::shared_lock lock(mutex);
    std::vector<std::shared_ptr<ServerAgent>> all;
    all.reserve(agents.size());
    for (const auto& [id, agent] : agents) {
      all.push_back(agent);
    }
    return all;
  }

  void NoteQueued()
  {
    if (!armed.exchange(true)) {
      boost::asio::post(strand,
                        [self = shared_from_this()] { self->ArmTimer(); });
    }
  }

  bool ExpireAll(TimePoint aNow) const
  {
    bool left = false;
    for (const auto& it : All()) {
      left = it->ExpireQueue(aNow) || left;
    }
    return left;
  }

  void ArmTimer()
  {
    timer.expires_after(kExpiryInterval);
    timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code aError) {
        const auto self = weak.lock();
        if (!self || aError) {
          return;
        }
        // Cleared first: an attempt queued from here on arms the timer again.
        self->armed.store(false);
        if (self->ExpireAll(std::chrono::steady_clock::now())) {
          self->NoteQueued();
        }
      });
  }

  boost::asio::strand<boost::asio::io_context::executor_type> strand;
  std::atomic<bool> armed{ false };
  boost::asio::steady_timer timer;
  AgentEnvironment environment;
  mutable std::shared_mutex mutex;
  std::map<ServerId, std::shared_ptr<ServerAgent>, std::less<>> agents;
  std::set<ServerId> leaving;
};

OwnerExecutor::OwnerExecutor(boost::asio::io_context& aContext,
                             const version::SnapshotHolder& aSnapshots,
                             const LeaseTable& aLeases,
                             version::WorkLedger& aLedger,
                             bool aColdRamp,
                             Hooks aHooks)
  : mImpl(std::make_shared<Impl>(aContext,
                                 aSnapshots,
                                 aLeases,
                                 aLedger,
                                 aColdRamp,
                                 std::move(aHooks)))
{
  mImpl->environment.queued = [weak = std::weak_ptr(mImpl)] {
    if (const auto impl = weak.lock()) {
      impl->NoteQueued();
    }
  };
}

OwnerExecutor::~OwnerExecutor()
{
  for (const auto& it : mImpl->All()) {
    it->Close();
  }
}

void OwnerExecutor::Execute(OwnerAttempt aAttempt, Handler aHandler)
{
  const auto agent = mImpl->Find(aAttempt.server);
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
  for (const auto& it : mImpl->All()) {
    if (it->Cancel(aKey)) {
      return;
    }
  }
}

void OwnerExecutor::Refresh(TimePoint aNow)
{
  mImpl->ExpireAll(aNow);
  const auto snapshot = mImpl->environment.snapshots.Load();
  if (!snapshot) {
    return;
  }
  const std::unique_lock lock(mImpl->mutex);
  for (const auto& it : snapshot->Servers()) {
    auto found = mImpl->agents.find(it.id);
    const bool sendable = mImpl->environment.leases.MaySend(it.slice, aNow);
    if (found == mImpl->agents.end()) {
      if (!sendable) {
        continue;
      }
      const auto agent =
        std::make_shared<ServerAgent>(mImpl->environment, it, aNow);
      agent->SetLeaving(mImpl->leaving.contains(it.id));
      mImpl->agents.emplace(it.id, agent);
      continue;
    }
    found->second->Update(it, snapshot->Content().limits, sendable, aNow);
  }
  std::erase_if(mImpl->agents, [&](const auto& aEntry) {
    const auto& agent = aEntry.second;
    if (snapshot->FindServer(aEntry.first) == nullptr) {
      agent->Withdraw();
    }
    return agent->Disposable();
  });
}

void OwnerExecutor::SetLeaving(std::set<ServerId> aServers)
{
  const std::unique_lock lock(mImpl->mutex);
  mImpl->leaving = std::move(aServers);
  for (const auto& [id, agent] : mImpl->agents) {
    agent->SetLeaving(mImpl->leaving.contains(id));
  }
}

bool OwnerExecutor::Idle(const SliceId& aSlice) const
{
  const auto all = mImpl->All();
  return std::all_of(all.begin(), all.end(), [&](const auto& aAgent) {
    return aAgent->Slice() != aSlice || aAgent->Idle();
  });
}

std::size_t OwnerExecutor::InFlight() const
{
  std::size_t n = 0;
  for (const auto& it : mImpl->All()) {
    n += it->InFlight();
  }
  return n;
}

} // namespace bronzedeal::daemon
