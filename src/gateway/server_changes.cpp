#include "bronzedeal/gateway/server_changes.hpp"

namespace bronzedeal::gateway {

void ServerChanges::RecordChange(const ServerId& aServer)
{
  ++mLatestSequence;
  const auto [it, isNew] =
    mSequenceByServer.try_emplace(aServer, mLatestSequence);
  if (!isNew) {
    mServersBySequence.erase(it->second);
    it->second = mLatestSequence;
  }
  mServersBySequence.emplace(mLatestSequence, aServer);
}

void ServerChanges::RecordRemoval(const ServerId& aServer)
{
  ++mLatestSequence;
  const auto it = mSequenceByServer.find(aServer);
  if (it != mSequenceByServer.end()) {
    mServersBySequence.erase(it->second);
    mSequenceByServer.erase(it);
  }
  mRemovals.push_back({ mLatestSequence, aServer });
  if (mRemovals.size() > kMaxRemovals) {
    mLastDroppedRemoval = mRemovals.front().sequence;
    mRemovals.pop_front();
  }
}

std::optional<ServerChanges::Delta> ServerChanges::ChangesAfter(
  std::uint64_t aSequence) const
{
  if (aSequence < mLastDroppedRemoval || aSequence > mLatestSequence) {
    return std::nullopt;
  }
  Delta delta;
  for (auto it = mServersBySequence.upper_bound(aSequence);
       it != mServersBySequence.end();
       ++it) {
    delta.changed.push_back(it->second);
  }
  for (auto it = mRemovals.rbegin();
       it != mRemovals.rend() && it->sequence > aSequence;
       ++it) {
    // A server that was added again after its removal is listed as changed.
    if (!mSequenceByServer.contains(it->server)) {
      delta.removed.push_back(it->server);
    }
  }
  return delta;
}

} // namespace bronzedeal::gateway
