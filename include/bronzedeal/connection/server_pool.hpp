#pragma once

#include "bronzedeal/types.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace bronzedeal::connection {

/// Why a send has no answer.
enum class SendError
{
  None,
  /// The guard refused; no byte was written.
  Vetoed,
  /// No connection could be opened in time; no byte was written.
  ConnectFailed,
  /// The deadline passed before a connection was free; no byte was written.
  NoConnection,
  /// Cancelled before the first byte was written.
  CancelledUnsent,
  /// Cancelled after a byte was written. The server may still run it: the slot
  /// stays in use until `ended`.
  Cancelled,
  /// The connection broke before the answer was complete.
  Closed,
  /// No answer by the deadline; the slot stays in use until `ended`.
  Timeout,
  /// The answer is not valid HTTP or exceeds the limit of its size.
  BadAnswer,
  /// The pool was closed.
  PoolClosed,
};

[[nodiscard]] std::string_view Name(SendError aError) noexcept;

struct SendResult
{
  SendError error = SendError::None;
  /// False: no byte of the request can have reached the server.
  bool byteWritten = false;
  /// HTTP status; 0 without an answer.
  unsigned status = 0;
  /// Header fields of the answer whose name starts with `x-`, in lower case.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// From the write of the first byte to the result; 0 when nothing was
  /// written.
  Duration latency{};

  /// Value of a field such as `x-outcome`; empty when it is absent.
  [[nodiscard]] std::string_view Header(std::string_view aName) const noexcept;
};

/// How the server is known to have ended its work on a request.
enum class AttemptEnd
{
  /// No byte was written.
  NotSent,
  /// The answer arrived, possibly after a timeout or a cancellation.
  Answered,
  /// The connection broke before the answer.
  ConnectionLost,
  /// No answer within `unconfirmedTimeout` after a timeout or a cancellation;
  /// the pool closed the connection.
  GivenUp,
};

/// One HTTP request to the pool's server.
struct SendRequest
{
  std::string method = "POST";
  std::string target;
  /// Extra header fields; `host`, `content-length` and `x-request-id` are
  /// added.
  std::vector<std::pair<std::string, std::string>> headers;
  /// May be shared by the requests of several servers; null for no body.
  std::shared_ptr<const std::string> body;
  /// Sent as `x-request-id` and used by `Cancel`; empty for a request that
  /// can't be cancelled at the server.
  std::string requestId;
  TimePoint deadline;
  /// Called directly before the first byte is written, again before each
  /// further try on another connection. False vetoes the send. May be empty.
  std::function<bool()> maySend;
  /// Called exactly once with the result.
  std::function<void(SendResult&&)> onResult;
  /// Called exactly once, after `handler`, when the server no longer works on
  /// the request. The limiter's slot is freed here. `aLatency` is the time from
  /// the first byte. May be empty.
  std::function<void(AttemptEnd, Duration aLatency)> onEnded;
};

struct ServerPoolOptions
{
  /// `host:port`; IPv4, or IPv6 in brackets.
  std::string address;
  /// Never exceeded, connections being opened included.
  unsigned maxConnections = 1;
  /// Connections that are kept open without traffic, at most `maxConnections`.
  /// Slots plus one (for cancellations) suffice.
  unsigned minConnections = 1;
  Duration connectTimeout = milliseconds(1000);
  /// Back-off after a failed connect: doubles up to the longest, each time
  /// multiplied by a random factor between 0.5 and 1.
  Duration initialBackoff = milliseconds(20);
  Duration maxBackoff = milliseconds(1000);
  /// Longest time that a timed-out or cancelled attempt keeps its connection
  /// while it waits for the answer: `limits.max_subrequest_ms`, past which the
  /// server has given the work up.
  Duration unconfirmedTimeout = milliseconds(1000);
  std::size_t maxResponseBodyBytes = 8U << 20U;
  /// Seeds the jitter.
  std::uint64_t seed = 1;
  /// A connection was opened.
  std::function<void()> onConnected;
  /// A connection broke that had answered before or had a request in flight.
  /// `aInFlight` tells whether a request without an answer was on it. A
  /// connection that the pool closes itself is not reported.
  std::function<void(bool aInFlight)> onConnectionLost;
  /// A connect failed or the server closed the connection before its first
  /// answer, as a server over its connection limit does.
  std::function<void()> onConnectFailed;
};

struct ServerPoolStats
{
  unsigned openConnections = 0;
  unsigned connectingConnections = 0;
  unsigned busyConnections = 0;
  /// Timed-out or cancelled attempts that still hold a connection.
  unsigned unconfirmedAttempts = 0;
  /// Requests that wait for a connection.
  unsigned waitingRequests = 0;
  std::uint64_t connectionsOpened = 0;
  std::uint64_t connectFailures = 0;
  std::uint64_t connectionLosses = 0;
  std::uint64_t requestsSent = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
};

/// Keep-alive HTTP/1.1 connections to one backend server, with one request at a
/// time on each. A request is never sent again after one of its bytes was
/// written.
///
/// Thread safe. All callbacks run one at a time on threads that run the
/// `io_context`, never inside a call of this class, and may call it. The pool
/// must be destroyed before its `io_context`.
class ServerPool
{
public:
  /// Names one request; 0 is never used.
  using Handle = std::uint64_t;

  ServerPool(boost::asio::io_context& aContext, ServerPoolOptions aOptions);
  /// Closes the pool. Callbacks that are still due run afterwards.
  ~ServerPool();
  ServerPool(const ServerPool&) = delete;
  ServerPool& operator=(const ServerPool&) = delete;

  /// Sends over a free connection, or over the first one to become free before
  /// the deadline.
  Handle AsyncSend(SendRequest aRequest);
  /// Drops a request that was not sent; otherwise reports it as cancelled,
  /// sends `DELETE /v1/requests/{id}` over another connection and keeps the
  /// attempt unconfirmed until its answer or the loss of its connection. No
  /// effect after the result.
  void Cancel(Handle aHandle);
  /// Changes the limits; surplus idle connections are closed.
  void SetConnectionLimits(unsigned aMax, unsigned aMin);
  /// Closes all connections; requests without a result get `PoolClosed`.
  void Close();

  [[nodiscard]] ServerPoolStats Stats() const;

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace bronzedeal::connection
