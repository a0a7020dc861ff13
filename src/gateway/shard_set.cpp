#include "bronzedeal/gateway/shard_set.hpp"

#include "bronzedeal/gateway/record_merge.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

bool Contains(const UsedServers& aServers, const BackendServer* aServer)
{
  return std::find(aServers.begin(), aServers.end(), aServer) != aServers.end();
}

} // namespace

void ShardState::NoteRan(const BackendServer* aServer)
{
  if (!Contains(ran, aServer)) {
    ran.push_back(aServer);
  }
}

bool ShardState::MayHaveArrived() const
{
  return !ran.empty() || arrived ||
         std::any_of(running.begin(), running.end(), [](const auto& aIt) {
           return aIt.attempt && aIt.attempt->sent;
         });
}

bool ShardState::HasLeft() const
{
  return std::any_of(running.begin(), running.end(), [](const auto& aIt) {
    return aIt.attempt == nullptr || aIt.attempt->sent;
  });
}

bool ShardState::OnlyGathered() const
{
  return std::all_of(running.begin(), running.end(), [](const auto& aIt) {
    return aIt.attempt == nullptr;
  });
}

std::vector<ShardAttempt>::iterator ShardState::FindRunning(unsigned aSlot)
{
  return std::find_if(running.begin(), running.end(), [&](const auto& aIt) {
    return aIt.slot == aSlot;
  });
}

bool ShardSet::AnyMayHaveArrived() const
{
  return std::any_of(mShards.begin(), mShards.end(), [](const auto& aIt) {
    return aIt.done || aIt.MayHaveArrived();
  });
}

void ShardSet::TakePart(std::size_t aIndex,
                        std::string aSignature,
                        std::string aBody)
{
  auto& shard = mShards[aIndex];
  mDone += shard.done ? 0 : 1;
  shard.done = true;
  shard.signature = std::move(aSignature);
  shard.body = std::move(aBody);
}

bool ShardSet::TakeMerged(const std::vector<std::size_t>& aAsked,
                          const std::vector<PartialPart>& aParts,
                          std::string aRecords,
                          std::vector<std::size_t>& aIncluded)
{
  for (const auto n : aAsked) {
    mShards[n].notAsked = true;
  }
  std::vector<std::pair<std::size_t, const PartialPart*>> included;
  for (const auto& part : aParts) {
    const auto it =
      std::find_if(aAsked.begin(), aAsked.end(), [&](const auto aN) {
        return mShards[aN].group->name == part.group;
      });
    if (it == aAsked.end()) {
      return false;
    }
    mShards[*it].notAsked = false;
    if (!part.signature.empty()) {
      included.emplace_back(*it, &part);
    }
  }
  for (const auto& [n, part] : included) {
    TakePart(n, part->signature, {});
    aIncluded.push_back(n);
  }
  mMerged.push_back(std::move(aRecords));
  return true;
}

std::string ShardSet::Merge(std::size_t aTopRecords) const
{
  std::vector<std::string_view> bodies(mMerged.begin(), mMerged.end());
  for (const auto& it : mShards) {
    if (it.done) {
      bodies.emplace_back(it.body);
    }
  }
  return MergeGreatest(bodies, aTopRecords);
}

std::string ShardSet::Signatures() const
{
  std::string signatures;
  for (const auto& it : mShards) {
    if (it.done) {
      signatures += signatures.empty() ? "" : ", ";
      signatures += it.signature;
    }
  }
  return signatures;
}

std::vector<PartialPart> ShardSet::Parts() const
{
  std::vector<PartialPart> parts;
  for (const auto& it : mShards) {
    if (it.done || it.MayHaveArrived()) {
      parts.push_back({ it.group->name, it.signature });
    }
  }
  return parts;
}

std::string ShardSet::Missing() const
{
  constexpr std::size_t kShown = 4;
  std::string missing;
  std::size_t shown = 0;
  for (const auto& it : mShards) {
    if (!it.done && shown++ < kShown) {
      missing += it.group->name + ' ';
    }
  }
  return missing;
}

} // namespace bronzedeal::gateway
