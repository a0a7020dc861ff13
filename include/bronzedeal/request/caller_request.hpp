#pragma once

#include "bronzedeal/error.hpp"
#include "bronzedeal/request/address_chooser.hpp"
#include "bronzedeal/request/query_run.hpp"
#include "bronzedeal/request/ticket_table.hpp"
#include "bronzedeal/types.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace bronzedeal::request {

/// Largest body of a caller's request.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{ 1 } << 20U;
/// Deepest nesting of arrays and objects in a body.
inline constexpr std::size_t kMaxNestingDepth = 32;
/// Largest accepted `deadline_ms`.
inline constexpr milliseconds kMaxDeadline{ 10'000 };
/// Deadline of a request without `deadline_ms`.
inline constexpr milliseconds kDefaultDeadline{ 1'000 };

/// Body of `POST /v1/query`.
struct QueryRequest
{
  Labels caller;
  /// Has a label `kind` that is not empty.
  Labels request;
  /// Canonical JSON text.
  std::string query;
  milliseconds deadline = kDefaultDeadline;
  double minCoverage = 0;
};

/// Body of `POST /v1/operations`.
struct OperationRequest
{
  TicketId ticket;
  Labels caller;
  /// Has a label `kind` that is not empty.
  Labels request;
  ShardId shard;
  /// Canonical JSON text.
  std::string operation;
  milliseconds deadline = kDefaultDeadline;
};

/// Answer of a backend server to a search.
struct ShardAnswer
{
  ShardId shard;
  IndexVersion indexVersion = 0;
  /// JSON text of the array of hits.
  std::string hits;
};

/// Errors: `BodyTooLarge`; `InvalidJson`; `InvalidField`, `UnknownField` or
/// `InvalidTicket` with all invalid fields of the body in one error.
[[nodiscard]] Result<QueryRequest> ParseQuery(std::string_view aBody);
[[nodiscard]] Result<OperationRequest> ParseOperation(std::string_view aBody);
/// Accepts the body of `POST /v1/tickets`, which is empty or `{}`. Errors as of
/// `ParseQuery`.
[[nodiscard]] Result<void> ParseTicketRequest(std::string_view aBody);
/// Error: `ShardBadAnswer`. Unknown fields are ignored, because servers may
/// return more than bronzedeal uses.
[[nodiscard]] Result<ShardAnswer> ParseShardAnswer(std::string_view aBody);

/// Returns the JSON text of `operation_result`. Error: `ShardBadAnswer`.
[[nodiscard]] Result<std::string> ParseOperationAnswer(std::string_view aBody);

/// Returns a text that depends only on the JSON value: without white space and
/// with sorted keys. Numbers keep their text, so `1.0` and `1` are different
/// contents. Errors: `BodyTooLarge`, `InvalidJson`.
[[nodiscard]] Result<std::string> CanonicalJson(std::string_view aText);

[[nodiscard]] std::string WriteQueryAnswer(std::string_view aRequestId,
                                           const QueryAnswer& aAnswer);
/// Writes the answer to a query that was refused before it had a plan.
[[nodiscard]] std::string WriteRefusal(std::string_view aRequestId,
                                       ResultCode aCode);
[[nodiscard]] std::string WriteTicket(const TicketId& aTicket,
                                      milliseconds aValidity);
[[nodiscard]] std::string WriteOutcome(const TicketOutcome& aOutcome);
[[nodiscard]] std::string WriteAddresses(const AddressReply& aReply);
/// Writes
/// `{"code","code_name","message","fields":[{"pointer","seen","allowed"}]}`.
[[nodiscard]] std::string WriteError(const Error& aError);

} // namespace bronzedeal::request
