#pragma once

#include "bronzedeal/request/query_run.hpp"

#include <fmt/format.h>
#include <string>
#include <variant>
#include <vector>

namespace bronzedeal::request {

/// Start of virtual time. It is not the epoch, which some classes treat as
/// "never".
inline constexpr TimePoint kStart{ std::chrono::hours(1) };

/// Returns a plan in which shard i is served by `svc-<i>-a`, `svc-<i>-b`, ...
inline version::RoutePlan MakePlan(std::size_t aShards,
                                   std::size_t aReplicas,
                                   IndexVersion aIndex = 3)
{
  version::RoutePlan plan;
  plan.code = ResultCode::Ok;
  plan.configVersion = 12;
  plan.indexVersion = aIndex;
  for (std::size_t i = 0; i < aShards; ++i) {
    auto& route = plan.shards.emplace_back();
    route.shard = fmt::format("shard-{:02}", i);
    for (std::size_t n = 0; n < aReplicas; ++n) {
      auto& replica = route.replicas.emplace_back();
      replica.service = fmt::format("svc-{:02}", i);
      replica.server =
        fmt::format("svc-{:02}-{}", i, static_cast<char>('a' + n));
      replica.selector = "search";
    }
  }
  return plan;
}

/// The objects that all queries of one instance share, and the options and
/// actions of one query.
struct QueryFixture
{
  HedgeBudget budget;
  LatencyDigests digests;
  ReplicaChooser chooser{ std::mt19937_64(1) };
  QueryOptions options;
  std::vector<QueryAction> actions;

  QueryFixture()
  {
    options.deadline = kStart + milliseconds(500);
    options.contentState = ContentState::Proven;
  }

  /// Removes the actions of one type and returns them.
  template<typename T>
  [[nodiscard]] std::vector<T> Take()
  {
    std::vector<T> found;
    for (auto& it : actions) {
      if (auto* action = std::get_if<T>(&it)) {
        found.push_back(std::move(*action));
      }
    }
    std::erase_if(actions, [](const QueryAction& aAction) {
      return std::holds_alternative<T>(aAction);
    });
    return found;
  }
};

inline AttemptResult Hits(IndexVersion aIndex = 3)
{
  return { ResultCode::Ok, aIndex, "[1]", {} };
}

inline AttemptResult Failure(ResultCode aCode, IndexVersion aIndex = 0)
{
  return { aCode, aIndex, {}, {} };
}

} // namespace bronzedeal::request
