#pragma once

#include "bronzedeal/gateway/partial_query.hpp"
#include "bronzedeal/gateway/server_registry.hpp"

#include <memory>
#include <string>
#include <vector>

namespace bronzedeal::gateway {

/// One attempt for a shard: either sent to one of its servers, or part of a
/// partial query at another instance, whose own `Attempt` the batch holds.
struct ShardAttempt
{
  /// The server, or the instance that runs the partial query.
  std::shared_ptr<BackendServer> server;
  /// Null for a part of a partial query, and until `BackendServer::Send`
  /// returns.
  std::shared_ptr<Attempt> attempt;
  /// Unique within the exchange; the shards of one batch share it.
  unsigned attemptId = 0;
};

/// State of one shard of a fan-out.
struct ShardState
{
  GroupState* group = nullptr;
  /// Attempts in progress.
  std::vector<ShardAttempt> attempts;
  /// Servers that may have run the request.
  ServerList possiblyRunBy;
  /// Number of servers unknown here that may have run the request at the
  /// instance which handed it over.
  std::size_t unknownServerCount = 0;
  /// Servers that the next attempt does not use.
  ServerList excludedServers;
  /// The only servers that may be used; any server of the group when empty.
  ServerList allowedServers;
  /// Sends so far, including those that servers refused.
  unsigned sendCount = 0;
  /// An earlier attempt reached a server, whether or not the server ran it.
  bool reachedServer = false;
  /// An instance that got the shard in a partial query may have sent its
  /// request to a server.
  bool mayHaveRunAtPeer = false;
  /// The partial answer shows that the instance sent no request for this shard.
  bool skippedByPeer = false;
  /// The shard is or was part of a partial query. It must not be in a second
  /// one: merged records can't be separated, so its records would count twice.
  bool wasBatched = false;
  bool answered = false;
  /// Left out until the query can't get its coverage from the other shards.
  bool skipped = false;
  /// Earliest time of the next attempt while none is in progress; the maximum
  /// when no further attempt is allowed.
  TimePoint retryAt{};
  /// Time of the next hedge while an attempt is in progress.
  TimePoint hedgeAt = TimePoint::max();
  /// Records of the answer; empty when they came merged.
  std::string body;
  std::string signature;

  /// Number of servers that may have run the request or may be running it.
  [[nodiscard]] std::size_t UsedServerCount() const noexcept
  {
    return possiblyRunBy.size() + unknownServerCount + attempts.size();
  }

  /// Records that the server may have run the request.
  void AddPossiblyRunBy(const BackendServer* aServer);

  /// True if a server may have received the request.
  [[nodiscard]] bool MayHaveReachedServer() const;

  /// True if a server may have run the request, or may do so yet: one that has
  /// refused it has not.
  [[nodiscard]] bool MayHaveRun() const;

  /// True if an attempt in progress was sent to a server, or handed to another
  /// instance.
  [[nodiscard]] bool HasSentAttempt() const;

  /// True if all attempts in progress are parts of partial queries, and also if
  /// there are none.
  [[nodiscard]] bool AllAttemptsBatched() const;

  [[nodiscard]] std::vector<ShardAttempt>::iterator FindAttempt(
    unsigned aAttemptId);

  /// Time of the next retry or hedge of an unanswered shard.
  [[nodiscard]] TimePoint NextActionTime() const noexcept
  {
    if (skipped) {
      return TimePoint::max();
    }
    return attempts.empty() ? retryAt : hedgeAt;
  }
};

/// The shards of one fan-out and their answers. Does no I/O.
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

  /// Number of answered shards.
  [[nodiscard]] std::size_t AnsweredCount() const noexcept
  {
    return mAnsweredCount;
  }
  [[nodiscard]] bool IsComplete() const noexcept
  {
    return mAnsweredCount == mShards.size();
  }

  /// True if a server may have run the request of any shard, or may do so yet.
  [[nodiscard]] bool AnyMayHaveRun() const;

  /// Records a server's answer for a shard, replacing an earlier one.
  void RecordAnswer(std::size_t aIndex,
                    std::string aSignature,
                    std::string aBody);

  /// Records the merged answer of a partial query over the shards `aQueried`
  /// (by index). Returns false and takes no records if the answer names a shard
  /// outside `aQueried`. If a server has answered one of the shards meanwhile,
  /// that answer is dropped, since merged records can't be separated. Appends
  /// the indexes of the shards that the records include to `aIncluded`.
  bool RecordMergedAnswer(const std::vector<std::size_t>& aQueried,
                          const std::vector<ShardResult>& aResults,
                          std::string aRecords,
                          std::vector<std::size_t>& aIncluded);

  /// The `aTopRecords` greatest records of all answers, in descending order.
  [[nodiscard]] std::string MergeRecords(std::size_t aTopRecords) const;

  /// The signatures of all answers, separated by ", ".
  [[nodiscard]] std::string Signatures() const;

  /// The answered shards, and those whose request may have reached a server
  /// without an answer.
  [[nodiscard]] std::vector<ShardResult> ShardResults() const;

  /// Names of the first four unanswered shards, each followed by a space; for
  /// the log.
  [[nodiscard]] std::string MissingShardNames() const;

private:
  std::vector<ShardState> mShards;
  /// Bodies of partial answers: records merged by other instances.
  std::vector<std::string> mMerged;
  std::size_t mAnsweredCount = 0;
};

} // namespace bronzedeal::gateway
