#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace bronzedeal {

/// Numbered outcome of a caller's request or an operator's call. The hundreds
/// digit is the class: 0 success, 1xx invalid input, 2xx not run, 3xx outcome
/// unknown, 4xx shard missing from an answer, 5xx operator and process errors.
enum class ResultCode : int
{
  Ok = 0,
  Partial = 1,

  MalformedHttp = 100,
  BodyTooLarge = 101,
  InvalidJson = 102,
  InvalidField = 103,
  UnknownField = 104,
  InvalidSelector = 105,
  InvalidConfiguration = 106,
  InvalidTicket = 107,
  UnknownPath = 108,
  UnknownShard = 109,
  InvalidArguments = 110,

  NotRunDenied = 200,
  NotRunWithdrawn = 201,
  NotRunFenced = 202,
  NotRunOverloaded = 203,
  NotRunDeadline = 204,
  NotRunQuarantined = 205,
  NotRunNoOwner = 206,
  NotRunShed = 207,
  NotRunLeaving = 208,
  NotRunNoConfiguration = 209,
  NotRunTicketExpired = 210,
  NotRunUnreachable = 211,
  NotRunCancelled = 212,
  NotRunLowCoverage = 213,

  OutcomeUnknown = 300,
  OutcomeUnknownIssuerGone = 301,
  OutcomeUnknownRecordExpired = 302,
  OutcomeUnknownLowCoverage = 303,

  ShardTimeout = 400,
  ShardServerLost = 401,
  ShardVersionMissing = 402,
  ShardCancelled = 403,
  ShardBadAnswer = 404,

  StaleVersion = 500,
  VersionConflict = 501,
  UnknownInstance = 502,
  StaleIncarnation = 503,
  ServiceUnreachable = 504,
  IoError = 505,
  Internal = 599,
};

/// One row of the table of result codes.
struct ResultCodeInfo
{
  ResultCode code;
  /// The enumerator's name.
  std::string_view name;
  /// Status of an HTTP response with this code.
  int httpStatus;
  /// One sentence for callers and operators.
  std::string_view meaning;
};

inline constexpr std::size_t kResultCodeCount = 43;

/// The table of all result codes. base_test checks that docs/result-codes.md
/// lists the same rows.
[[nodiscard]] const std::array<ResultCodeInfo, kResultCodeCount>&
ResultCodeTable() noexcept;

/// The row of a code; the row of `Internal` for a number not in the table.
[[nodiscard]] const ResultCodeInfo& Describe(ResultCode aCode) noexcept;

/// True for the codes that guarantee that the request did not run.
[[nodiscard]] constexpr bool IsNotRun(ResultCode aCode) noexcept
{
  const auto n = static_cast<int>(aCode);
  return n >= 100 && n < 300;
}

/// True when the request may or may not have run.
[[nodiscard]] constexpr bool IsOutcomeUnknown(ResultCode aCode) noexcept
{
  const auto n = static_cast<int>(aCode);
  return n >= 300 && n < 400;
}

} // namespace bronzedeal
