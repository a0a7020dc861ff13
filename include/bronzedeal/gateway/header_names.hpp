#pragma once

#include <string>

namespace bronzedeal::gateway {

/// Names of the headers that the gateway reads and writes. The defaults are the
/// product's own; a platform adapter replaces them.
struct HeaderNames
{
  /// Identifies one try of a caller; servers echo it.
  std::string requestId = "X-Request-Id";
  /// Milliseconds that the sender still waits.
  std::string timeLeft = "X-Time-Left-Ms";
  /// Id of the only server that may run the request.
  std::string expectedServer = "X-Expected-Server";
  /// Present when a server states that it did not run the request.
  std::string notRun = "X-Not-Run";
  /// A server's signature of its answer.
  std::string signature = "X-Signature";
  /// Signatures of the shards' answers that a merged answer includes.
  std::string partSignatures = "X-Part-Signatures";
  /// Number of shards that a merged answer lacks.
  std::string missingShards = "X-Missing-Shards";
};

} // namespace bronzedeal::gateway
