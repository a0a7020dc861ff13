#pragma once

#include <string>

namespace bronzedeal::gateway {

/// Names of the HTTP headers that the gateway reads and writes. A platform
/// adapter may replace the defaults.
struct HeaderNames
{
  /// Identifies one request of a caller; servers echo it.
  std::string requestId = "X-Request-Id";
  /// Milliseconds that the sender still waits for the response.
  std::string timeLeft = "X-Time-Left-Ms";
  /// Id of the only server that may run the request.
  std::string expectedServer = "X-Expected-Server";
  /// Present if the server states that it did not run the request.
  std::string notRun = "X-Not-Run";
  /// A server's signature of its answer.
  std::string signature = "X-Signature";
  /// Signatures of the shard answers that a merged answer includes.
  std::string partSignatures = "X-Part-Signatures";
  /// Number of shards that are missing from a merged answer.
  std::string missingShards = "X-Missing-Shards";
  /// Requests per second that a server accepts from all instances together; a
  /// decimal number, present while the server limits them.
  std::string rateLimit = "X-Rate-Limit";
  /// Present if the server is about to leave and wants no further requests.
  std::string leaving = "X-Leaving";
};

} // namespace bronzedeal::gateway
