#include "bronzedeal/gateway/shard_set.hpp"

#include "bronzedeal/gateway/record_merge.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

bool Contains(const ServerList& aServers, const BackendServer* aServer)
{
  return std::find(aServers.begin(), aServers.end(), aServer) != aServers.end();
}

} // namespace

void ShardState::AddPossiblyRunBy(const BackendServer* aServer)
{
  if (!Contains(possiblyRunBy, aServer)) {
    possiblyRunBy.push_back(aServer);
  }
}

bool ShardState::MayHaveReachedServer() const
{
  return reachedServer || MayHaveRun();
}

bool ShardState::MayHaveRun() const
{
  return answered || !possiblyRunBy.empty() || mayHaveRunAtPeer ||
         std::any_of(attempts.begin(), attempts.end(), [](const auto& aIt) {
           return aIt.attempt && aIt.attempt->sent;
         });
}

bool ShardState::HasSentAttempt() const
{
  return std::any_of(attempts.begin(), attempts.end(), [](const auto& aIt) {
    return aIt.attempt == nullptr || aIt.attempt->sent;
  });
}

bool ShardState::AllAttemptsBatched() const
{
  return std::all_of(attempts.begin(), attempts.end(), [](const auto& aIt) {
    return aIt.attempt == nullptr;
  });
}

std::vector<ShardAttempt>::iterator ShardState::FindAttempt(unsigned aAttemptId)
{
  return std::find_if(attempts.begin(), attempts.end(), [&](const auto& aIt) {
    return aIt.attemptId == aAttemptId;
  });
}

bool ShardSet::AnyMayHaveRun() const
{
  return std::any_of(mShards.begin(), mShards.end(), [](const auto& aIt) {
    return aIt.MayHaveRun();
  });
}

void ShardSet::RecordAnswer(std::size_t aIndex,
                            std::string aSignature,
                            std::string aBody)
{
  auto& shard = mShards[aIndex];
  mAnsweredCount += shard.answered ? 0 : 1;
  shard.answered = true;
  shard.signature = std::move(aSignature);
  shard.body = std::move(aBody);
}

bool ShardSet::RecordMergedAnswer(const std::vector<std::size_t>& aQueried,
                                  const std::vector<ShardResult>& aResults,
                                  std::string aRecords,
                                  std::vector<std::size_t>& aIncluded)
{
  for (const auto n : aQueried) {
    mShards[n].skippedByPeer = true;
  }
  std::vector<std::pair<std::size_t, const ShardResult*>> included;
  for (const auto& result : aResults) {
    const auto it =
      std::find_if(aQueried.begin(), aQueried.end(), [&](const auto aN) {
        return mShards[aN].group->name == result.group;
      });
    if (it == aQueried.end()) {
      return false;
    }
    mShards[*it].skippedByPeer = false;
    if (!result.signature.empty()) {
      included.emplace_back(*it, &result);
    }
  }
  for (const auto& [n, result] : included) {
    RecordAnswer(n, result->signature, {});
    aIncluded.push_back(n);
  }
  mMerged.push_back(std::move(aRecords));
  return true;
}

std::string ShardSet::MergeRecords(std::size_t aTopRecords) const
{
  std::vector<std::string_view> bodies(mMerged.begin(), mMerged.end());
  for (const auto& it : mShards) {
    if (it.answered) {
      bodies.emplace_back(it.body);
    }
  }
  return MergeTopRecords(bodies, aTopRecords);
}

std::string ShardSet::Signatures() const
{
  std::string signatures;
  for (const auto& it : mShards) {
    if (it.answered) {
      signatures += signatures.empty() ? "" : ", ";
      signatures += it.signature;
    }
  }
  return signatures;
}

std::vector<ShardResult> ShardSet::ShardResults() const
{
  std::vector<ShardResult> results;
  for (const auto& it : mShards) {
    if (it.MayHaveReachedServer()) {
      results.push_back({ it.group->name, it.signature });
    }
  }
  return results;
}

std::string ShardSet::MissingShardNames() const
{
  constexpr std::size_t kMaxShown = 4;
  std::string missing;
  std::size_t shown = 0;
  for (const auto& it : mShards) {
    if (!it.answered && shown++ < kMaxShown) {
      missing += it.group->name + ' ';
    }
  }
  return missing;
}

} // namespace bronzedeal::gateway
