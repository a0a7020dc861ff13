#pragma once

#include "bronzedeal/result_code.hpp"
#include "bronzedeal/types.hpp"

#include <cstdint>
#include <string>

namespace bronzedeal::request {

/// Identifies one sub-request sent to one replica; unique in the process.
using AttemptId = std::uint64_t;

/// What is known about a request's content when its query is admitted.
enum class ContentState : std::uint8_t
{
  /// Ran without a crash recently.
  Proven,
  /// Not seen recently; goes to a canary shard first.
  Unproven,
  /// In flight on a server that crashed; runs alone and is never retried.
  Suspect,
  /// Crashed several servers; refused.
  Quarantined,
};

/// Load of a backend server as its owner attaches it to each answer.
struct ServerLoad
{
  std::uint32_t inFlight = 0;
  std::uint32_t queued = 0;
  /// Requests that the owner sends at once now; below `slots` while cold.
  std::uint32_t allowance = 0;
  /// 0 when the answer carries no load.
  std::uint32_t slots = 0;
  bool leaving = false;
};

/// The answer to one attempt, or the reason why there is none.
struct AttemptResult
{
  /// `Ok`; a not-run code; `ShardVersionMissing`, `ShardTimeout`,
  /// `ShardBadAnswer`; `ShardServerLost` when the server's connection broke
  /// while the request was in flight, which makes the content suspect;
  /// `OutcomeUnknown` when the owner or the link to it was lost, which says
  /// nothing about the content.
  ResultCode code = ResultCode::Ok;
  /// Version that the answer was computed from. With `ShardVersionMissing` the
  /// newest version that the server holds, or 0.
  IndexVersion indexVersion = 0;
  /// JSON text of the array of hits.
  std::string hits;
  ServerLoad load;
};

} // namespace bronzedeal::request
