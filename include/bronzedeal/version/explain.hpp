#pragma once

#include "bronzedeal/error.hpp"
#include "bronzedeal/result_code.hpp"
#include "bronzedeal/types.hpp"
#include "bronzedeal/version/snapshot.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::version {

/// One selector for a caller and a request.
struct SelectorExplanation
{
  std::string name;
  bool matches = false;
  /// Why it does not match; empty when it does.
  std::string why;
  std::string targets;
  /// Shards in the scope of `targets`.
  std::size_t shards = 0;
};

/// One server as replica of one shard.
struct ServerExplanation
{
  ServerId server;
  FailureDomain failureDomain;
  SliceId slice;
  bool permitted = false;
  /// The selector that permits the server; empty when none does.
  std::string selector;
  /// Why each matching selector refuses the server; empty when permitted.
  std::string why;
};

/// One shard in the scope of the request.
struct ShardExplanation
{
  ShardId shard;
  ServiceId service;
  /// The label `group` of the target; empty when there is none.
  std::string group;
  std::vector<ServerExplanation> servers;
};

struct Explanation
{
  ResultCode code = ResultCode::NotRunDenied;
  ConfigVersion configVersion = 0;
  IndexVersion indexVersion = 0;
  std::vector<SelectorExplanation> selectors;
  std::vector<ShardExplanation> shards;
};

/// Why a request of a caller reaches the servers that it does.
[[nodiscard]] Explanation Explain(const Snapshot& aSnapshot,
                                  const Labels& aCaller,
                                  const Labels& aRequest);

/// The answer of `POST /v1/explain`.
[[nodiscard]] std::string ToJson(const Explanation& aExplanation);

/// Body of `POST /v1/explain`: `{"caller": {labels}, "request": {labels}}`.
struct ExplainRequest
{
  Labels caller;
  Labels request;
};

/// Fails with `InvalidJson` or `InvalidField`; lists all errors.
[[nodiscard]] Result<ExplainRequest> ParseExplainRequest(
  std::string_view aText);

} // namespace bronzedeal::version
