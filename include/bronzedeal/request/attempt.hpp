#pragma once

#include "bronzedeal/result_code.hpp"
#include "bronzedeal/types.hpp"

#include <cstdint>
#include <string>

namespace bronzedeal::request {

/// Identifies one sub-request sent to one replica; unique within the process.
using AttemptId = std::uint64_t;

/// What is known about the content of a request when the request is admitted.
enum class ContentState : std::uint8_t
{
  /// Ran recently without a crash.
  Proven,
  /// Has not run recently; is sent to one canary shard first.
  Unproven,
  /// Was in flight on a server that crashed; runs alone on its server and is
  /// never retried.
  Suspect,
  /// Was in flight on several servers that crashed; is refused.
  Quarantined,
};

/// Load of a backend server, as its owner attaches it to each answer.
struct ServerLoad
{
  /// Requests that the owner has sent to the server and that are not answered.
  std::uint32_t inFlight = 0;
  /// Requests that wait at the owner.
  std::uint32_t queued = 0;
  /// Concurrent requests that the owner currently allows; below `slots` while
  /// the server is cold.
  std::uint32_t allowance = 0;
  /// Concurrent requests that the owner allows when the server is warm; 0 when
  /// the answer carries no load.
  std::uint32_t slots = 0;
  /// The owner is draining the server and sends it no new requests.
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
  /// Version that the answer was computed from. With `ShardVersionMissing`, the
  /// newest version that the server holds, or 0 when it is not known.
  IndexVersion indexVersion = 0;
  /// JSON text of the array of hits.
  std::string hits;
  ServerLoad load;
};

} // namespace bronzedeal::request
