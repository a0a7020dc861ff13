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

/// Largest body of a caller's request, in bytes.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{ 1 } << 20U;
/// Deepest nesting of arrays and objects in a body.
inline constexpr std::size_t kMaxNestingDepth = 32;
inline constexpr milliseconds kMaxDeadline{ 10'000 };
inline constexpr milliseconds kDefaultDeadline{ 1'000 };

/// Body of `POST /v1/query`.
struct QueryRequest
{
  Labels caller;
  /// Has a label `kind`.
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
  /// Has a label `kind`.
  Labels request;
  ShardId shard;
  /// Canonical JSON text.
  std::string operation;
  milliseconds deadline = kDefaultDeadline;
};

/// A backend server's answer to a search.
struct ShardAnswer
{
  ShardId shard;
  IndexVersion indexVersion = 0;
  /// JSON text of the array of hits.
  std::string hits;
};

/// Errors: `BodyTooLarge`, `InvalidJson`, `InvalidTicket`, or `InvalidField`
/// and `UnknownField` with all findings of the body in one pass.
[[nodiscard]] Result<QueryRequest> ParseQuery(std::string_view aBody);
[[nodiscard]] Result<OperationRequest> ParseOperation(std::string_view aBody);
/// The body of `POST /v1/tickets`: empty or `{}`.
[[nodiscard]] Result<void> ParseTicketRequest(std::string_view aBody);
/// Error: `ShardBadAnswer`. Unknown fields are ignored, because servers may
/// answer more than bronzedeal uses.
[[nodiscard]] Result<ShardAnswer> ParseShardAnswer(std::string_view aBody);

/// The JSON text of `operation_result`. Error: `ShardBadAnswer`.
[[nodiscard]] Result<std::string> ParseOperationAnswer(std::string_view aBody);

/// The same JSON value gives the same text: no white space, keys sorted.
/// Numbers keep their text, so `1.0` and `1` are different contents.
/// Errors as of `ParseQuery`.
[[nodiscard]] Result<std::string> CanonicalJson(std::string_view aText);

[[nodiscard]] std::string WriteQueryAnswer(std::string_view aRequestId,
                                           const QueryAnswer& aAnswer);
/// A query that was refused before it had a plan.
[[nodiscard]] std::string WriteRefusal(std::string_view aRequestId,
                                       ResultCode aCode);
[[nodiscard]] std::string WriteTicket(const TicketId& aTicket,
                                      milliseconds aValid);
[[nodiscard]] std::string WriteOutcome(const TicketOutcome& aOutcome);
[[nodiscard]] std::string WriteAddresses(const AddressReply& aReply);
/// `{"code","code_name","message","fields":[{"pointer","seen","allowed"}]}`.
[[nodiscard]] std::string WriteError(const Error& aError);

} // namespace bronzedeal::request
