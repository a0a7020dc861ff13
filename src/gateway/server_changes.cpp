#include "bronzedeal/gateway/server_changes.hpp"

namespace bronzedeal::gateway {

void ServerChanges::RecordChange(const ServerId& aServer)
{
  ++mLatestSequence;
  const auto [it, isNew] = mChangedAt.try_emplace(aServer, mLatestSequence);
  if (!isNew) {
    mBySequence.erase(it->second);
    it->second = mLatestSequence;
  }
  mBySequence.emplace(mLatestSequence, aServer);
}

void ServerChanges::RecordRemoval(const ServerId& aServer)
{
  ++mLatestSequence;
  const auto it = mChangedAt.find(aServer);
  if (it != mChangedAt.end()) {
    mBySequence.erase(it->second);
    mChangedAt.erase(it);
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
  for (auto it = mBySequence.upper_bound(aSequence); it != mBySequence.end();
       ++it) {
    delta.changed.push_back(it->second);
  }
  for (auto it = mRemovals.rbegin();
       it != mRemovals.rend() && it->sequence > aSequence;
       ++it) {
    // A server that came back after its removal counts as changed.
    if (!mChangedAt.contains(it->server)) {
      delta.removed.push_back(it->server);
    }
  }
  return delta;
}

} // namespace bronzedeal::gateway
