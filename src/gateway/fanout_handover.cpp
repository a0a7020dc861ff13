#include "fanout_exchange.hpp"

#include <utility>

// A query that goes on at another instance, or has come from one.
namespace bronzedeal::gateway {

void FanoutExchange::AddServersUsedElsewhere(ShardState& aShard)
{
  if (!mRequest.usedServers) {
    return;
  }
  for (const auto& id : mRequest.usedServers->Of(aShard.group->name)) {
    aShard.reachedServer = true;
    if (const auto server = mContext.servers.Find(id)) {
      aShard.AddPossiblyRunBy(server.get());
      aShard.excludedServers.push_back(server.get());
    } else {
      ++aShard.unknownServerCount;
    }
  }
}

bool FanoutExchange::TryRelease()
{
  if (!mReply || mIsPartial || mCaution.IsAnswered() || !mBatches.empty()) {
    return false;
  }
  mReply = nullptr;
  for (auto& shard : mShards) {
    for (auto& it : std::exchange(shard.attempts, {})) {
      it.server->Detach(it.attempt, ReleasedAttemptDeadline(mRequest));
      if (it.attempt->sent) {
        mReleased.push_back(std::move(it));
      } else {
        RemoveUsedServer(shard, *it.server);
      }
    }
  }
  Stop(std::chrono::steady_clock::now());
  return true;
}

void FanoutExchange::AddUsedServer(const ShardState& aShard,
                                   const BackendServer& aServer)
{
  if (mRequest.usedServers) {
    mRequest.usedServers->Add(aShard.group->name, aServer.Record().id);
  }
}

void FanoutExchange::RemoveUsedServer(const ShardState& aShard,
                                      const BackendServer& aServer)
{
  if (mRequest.usedServers) {
    mRequest.usedServers->Remove(aShard.group->name, aServer.Record().id);
  }
}

} // namespace bronzedeal::gateway
