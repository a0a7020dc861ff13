#pragma once

#include "bronzedeal/gateway/partial_query.hpp"
#include "bronzedeal/gateway/server_registry.hpp"

#include <memory>
#include <string>
#include <vector>

namespace bronzedeal::gateway {

/// One attempt for a shard: at a server, or as a part of another instance's
/// partial query, which has an attempt of its own.
struct ShardAttempt
{
  std::shared_ptr<BackendServer> server;
  /// Null for a part of a partial query.
  std::shared_ptr<Attempt> attempt;
  unsigned attemptId = 0;
};

/// One shard of a fan-out.
struct ShardState
{
  GroupState* group = nullptr;
  std::vector<ShardAttempt> attempts;
  /// Servers that may have run the request.
  ServerList possiblyRunBy;
  /// Servers that the next try leaves out.
  ServerList excludedServers;
  /// The only servers that may be asked; all when empty.
  ServerList allowedServers;
  unsigned sendCount = 0;
  bool reachedServer = false;
  /// The gathering instance has sent nothing for it.
  bool skippedByPeer = false;
  /// It is or was part of a batch: merged records can't be taken apart, so it
  /// must not be in two.
  bool wasBatched = false;
  bool answered = false;
  /// No send is possible before this.
  TimePoint retryAt{};
  TimePoint hedgeAt = TimePoint::max();
  std::string body;
  std::string signature;

  /// Notes that the server may have run the request.
  void AddPossiblyRunBy(const BackendServer* aServer);

  /// Whether a server may have received the request.
  [[nodiscard]] bool MayHaveReachedServer() const;

  /// Whether an attempt in progress has left for a server or an instance.
  [[nodiscard]] bool HasSentAttempt() const;

  /// Whether all attempts in progress are parts of partial queries.
  [[nodiscard]] bool AllAttemptsBatched() const;

  [[nodiscard]] std::vector<ShardAttempt>::iterator FindAttempt(
    unsigned aAttemptId);

  /// When something is due for a shard that isn't done.
  [[nodiscard]] TimePoint NextActionTime() const noexcept
  {
    return attempts.empty() ? retryAt : hedgeAt;
  }
};

/// The shards of one fan-out and their answers. Sends nothing.
class ShardSet
{
public:
  void Add(ShardState aShard) { mShards.push_back(std::move(aShard)); }

  [[nodiscard]] std::size_t size() const noexcept { return mShards.size(); }
  [[nodiscard]] ShardState& operator[](std::size_t aIndex)
  {
    return mShards[aIndex];
  }
  [[nodiscard]] auto begin() noexcept { return mShards.begin(); }
  [[nodiscard]] auto end() noexcept { return mShards.end(); }
  [[nodiscard]] auto begin() const noexcept { return mShards.begin(); }
  [[nodiscard]] auto end() const noexcept { return mShards.end(); }

  /// Shards that are answered.
  [[nodiscard]] std::size_t AnsweredCount() const noexcept
  {
    return mAnsweredCount;
  }
  [[nodiscard]] bool IsComplete() const noexcept
  {
    return mAnsweredCount == mShards.size();
  }

  /// Whether a server may have received a shard's request.
  [[nodiscard]] bool AnyMayHaveReachedServer() const;

  /// Takes a server's answer for a shard.
  void RecordAnswer(std::size_t aIndex,
                    std::string aSignature,
                    std::string aBody);

  /// Takes the merged records of a partial query over the shards `aAsked`.
  /// False when it names another shard. A shard that a server has answered
  /// meanwhile counts as part of the merged records, since these can't be taken
  /// apart. `aIncluded` receives the shards that they include.
  bool RecordMergedAnswer(const std::vector<std::size_t>& aAsked,
                          const std::vector<ShardResult>& aResults,
                          std::string aRecords,
                          std::vector<std::size_t>& aIncluded);

  /// The greatest records of all answers.
  [[nodiscard]] std::string MergeRecords(std::size_t aTopRecords) const;

  /// The signatures of the answers, separated by commas.
  [[nodiscard]] std::string Signatures() const;

  /// The shards that are answered, and those that servers were asked for in
  /// vain.
  [[nodiscard]] std::vector<ShardResult> ShardResults() const;

  /// The names of the first few shards that lack an answer, for the log.
  [[nodiscard]] std::string MissingShardNames() const;

private:
  std::vector<ShardState> mShards;
  /// Records that other instances have merged.
  std::vector<std::string> mMerged;
  std::size_t mAnsweredCount = 0;
};

} // namespace bronzedeal::gateway
