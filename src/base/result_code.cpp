#include "bronzedeal/result_code.hpp"

#include <algorithm>

namespace bronzedeal {

namespace {

using enum ResultCode;

constexpr std::array<ResultCodeInfo, kResultCodeCount> kTable{ {
  { Ok, "Ok", 200, "The request ran; the answer is whole." },
  { Partial, "Partial", 200, "Answered; some shards are missing." },
  { MalformedHttp, "MalformedHttp", 400, "The HTTP message is malformed." },
  { BodyTooLarge, "BodyTooLarge", 413, "The body exceeds the limit." },
  { InvalidJson, "InvalidJson", 400, "The body is not valid JSON." },
  { InvalidField, "InvalidField", 400, "A field is missing or out of range." },
  { UnknownField, "UnknownField", 400, "A field is not known." },
  { InvalidSelector, "InvalidSelector", 400, "A selector does not parse." },
  { InvalidConfiguration,
    "InvalidConfiguration",
    422,
    "The configuration document is rejected as a whole." },
  { InvalidTicket, "InvalidTicket", 400, "The ticket does not parse." },
  { UnknownPath, "UnknownPath", 404, "No such path or method." },
  { UnknownShard, "UnknownShard", 404, "The shard is not in the index." },
  { InvalidArguments, "InvalidArguments", 400, "Bad command line." },
  { NotRunDenied, "NotRunDenied", 403, "No selector permits the request." },
  { NotRunWithdrawn,
    "NotRunWithdrawn",
    503,
    "The version in force at the owner withdrew the server." },
  { NotRunFenced,
    "NotRunFenced",
    503,
    "The instance is out of contact with its peers; use another address." },
  { NotRunOverloaded, "NotRunOverloaded", 503, "A queue is full." },
  { NotRunDeadline,
    "NotRunDeadline",
    504,
    "The deadline could not be met any more before the send." },
  { NotRunQuarantined,
    "NotRunQuarantined",
    429,
    "Requests with this content crashed backend servers." },
  { NotRunNoOwner,
    "NotRunNoOwner",
    503,
    "No instance holds the lease on the server's slice." },
  { NotRunShed, "NotRunShed", 503, "The backend server refused the work." },
  { NotRunLeaving,
    "NotRunLeaving",
    503,
    "The server or the instance is leaving; use another address." },
  { NotRunNoConfiguration,
    "NotRunNoConfiguration",
    503,
    "No configuration is in force yet." },
  { NotRunTicketExpired,
    "NotRunTicketExpired",
    410,
    "The ticket expired before its first use." },
  { NotRunUnreachable,
    "NotRunUnreachable",
    503,
    "No connection to the server; no byte was sent." },
  { NotRunCancelled, "NotRunCancelled", 499, "Cancelled before the send." },
  { NotRunLowCoverage,
    "NotRunLowCoverage",
    503,
    "The query can't reach the asked coverage; no result is given." },
  { OutcomeUnknown,
    "OutcomeUnknown",
    504,
    "The request may have run; it is never run again." },
  { OutcomeUnknownIssuerGone,
    "OutcomeUnknownIssuerGone",
    504,
    "The incarnation that issued the ticket is gone." },
  { OutcomeUnknownRecordExpired,
    "OutcomeUnknownRecordExpired",
    504,
    "The record of the ticket is no longer kept." },
  { OutcomeUnknownLowCoverage,
    "OutcomeUnknownLowCoverage",
    503,
    "Shards may have run; the answer has less than the asked coverage." },
  { ShardTimeout, "ShardTimeout", 504, "The shard did not answer in time." },
  { ShardServerLost, "ShardServerLost", 502, "The connection broke." },
  { ShardVersionMissing,
    "ShardVersionMissing",
    409,
    "The server does not hold the pinned index version." },
  { ShardCancelled, "ShardCancelled", 499, "The attempt was cancelled." },
  { ShardBadAnswer, "ShardBadAnswer", 502, "The server's answer is invalid." },
  { StaleVersion, "StaleVersion", 409, "A newer version is in force." },
  { VersionConflict,
    "VersionConflict",
    409,
    "The same version was seen with other content." },
  { UnknownInstance, "UnknownInstance", 403, "The sender is on no roster." },
  { StaleIncarnation,
    "StaleIncarnation",
    409,
    "A later incarnation of the sender is known." },
  { ServiceUnreachable,
    "ServiceUnreachable",
    502,
    "The configuration service did not answer." },
  { IoError, "IoError", 502, "A file or socket operation failed." },
  { Internal, "Internal", 500, "A fault of bronzedeal itself." },
} };

} // namespace

const std::array<ResultCodeInfo, kResultCodeCount>& ResultCodeTable() noexcept
{
  return kTable;
}

const ResultCodeInfo& Describe(ResultCode aCode) noexcept
{
  const auto* it = std::find_if(
    kTable.begin(), kTable.end(), [aCode](const ResultCodeInfo& aRow) {
      return aRow.code == aCode;
    });
  return it == kTable.end() ? kTable.back() : *it;
}

} // namespace bronzedeal
