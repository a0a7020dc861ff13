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

/// Why a request got no response.
enum class SendError
{
  /// The response is complete.
  None,
  /// `SendRequest::maySend` returned false; no byte was written.
  Vetoed,
  /// No byte was written: no connection is open or being opened, because
  /// connects fail, or writes failed on several connections in turn.
  ConnectFailed,
  /// The deadline passed before a connection was free; no byte was written.
  NoConnection,
  /// Cancelled before the first byte was written.
  CancelledUnsent,
  /// Cancelled after a byte was written. The server may still run the request:
  /// the slot stays in use until `SendRequest::onEnded`.
  Cancelled,
  /// The connection broke before the response was complete.
  Closed,
  /// No response by the deadline; the slot stays in use until
  /// `SendRequest::onEnded`.
  Timeout,
  /// The response is not valid HTTP, exceeds `maxResponseBodyBytes` or belongs
  /// to another request.
  BadAnswer,
  /// The pool was closed, before or after a byte was written.
  PoolClosed,
};

/// The error's name in logs, such as `connect_failed`.
[[nodiscard]] std::string_view Name(SendError aError) noexcept;

/// The response to a request, or why there is none.
struct SendResult
{
  SendError error = SendError::None;
  /// False when no byte of the request can have reached the server.
  bool byteWritten = false;
  /// HTTP status; 0 without a response.
  unsigned status = 0;
  /// Header fields of the response whose name starts with `x-`; the names are
  /// in lower case.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Time from the write of the first byte to this result; 0 when no byte was
  /// written.
  Duration latency{};

  /// Value of a field of `headers` such as `x-outcome`; empty when it is
  /// absent.
  [[nodiscard]] std::string_view Header(std::string_view aName) const noexcept;
};

/// Why the pool takes the server's work on a request as ended.
enum class AttemptEnd
{
  /// No byte was written.
  NotSent,
  /// The response arrived, possibly after a timeout or a cancellation.
  Answered,
  /// The connection broke before the response was complete, or the pool closed
  /// it because the response was invalid or the pool itself was closed.
  ConnectionLost,
  /// No response within `unconfirmedTimeout` after a timeout or a cancellation;
  /// the pool closed the connection.
  GivenUp,
};

/// One HTTP request to the pool's server.
struct SendRequest
{
  std::string method = "POST";
  /// Path and query of the request line.
  std::string target;
  /// Extra header fields; the pool adds `host`, `content-length` and
  /// `x-request-id`.
  std::vector<std::pair<std::string, std::string>> headers;
  /// Requests to several servers may share one body; null for no body.
  std::shared_ptr<const std::string> body;
  /// Sent as `x-request-id` and different for each send; a response that states
  /// another one is not accepted. After a timeout or a cancellation the pool
  /// asks the server to cancel the request of this id; empty for a request that
  /// can't be cancelled at the server.
  std::string requestId;
  /// When the request fails with `NoConnection` or `Timeout`.
  TimePoint deadline;
  /// Called directly before the first byte is written, and again before each
  /// retry on another connection. False vetoes the send. May be empty.
  std::function<bool()> maySend;
  /// Called exactly once with the result.
  std::function<void(SendResult&&)> onResult;
  /// Called exactly once, after `onResult`, when the server no longer works on
  /// the request; the caller frees the limiter's slot here. `aLatency` is the
  /// time since the write of the first byte. May be empty.
  std::function<void(AttemptEnd, Duration aLatency)> onEnded;
};

struct ServerPoolOptions
{
  /// `host:port`; the host is an IPv4 address, or an IPv6 address in brackets.
  /// With an invalid address every connect fails.
  std::string address;
  /// Upper limit of the open connections and those being opened.
  unsigned maxConnections = 1;
  /// Connections that are kept open without traffic, limited by
  /// `maxConnections`. Slots plus one (for cancellations) suffice.
  unsigned minConnections = 1;
  Duration connectTimeout = milliseconds(1000);
  /// Back-off after a failed connect. It doubles with each failure up to
  /// `maxBackoff`; each wait is multiplied by a random factor from 0.5 to 1.
  Duration initialBackoff = milliseconds(20);
  Duration maxBackoff = milliseconds(1000);
  /// Longest time that a timed-out or cancelled attempt keeps its connection
  /// while it waits for the response: `limits.max_subrequest_ms`, after which
  /// the server has abandoned the work.
  Duration unconfirmedTimeout = milliseconds(1000);
  std::size_t maxResponseBodyBytes = 8U << 20U;
  /// Seed of the back-off's random factor.
  std::uint64_t seed = 1;
  /// Called when a connection was opened.
  std::function<void()> onConnected;
  /// Called when a connection broke that had carried a response before or had a
  /// request in flight; `aInFlight` is true in the latter case. Not called for
  /// a connection that the pool closes itself.
  std::function<void(bool aInFlight)> onConnectionLost;
  /// Called when a connect failed or the server closed the connection before
  /// its first response, as a server above its connection limit does.
  std::function<void()> onConnectFailed;
};

/// Present numbers and, from `connectionsOpened` on, totals since the start.
struct ServerPoolStats
{
  /// Established connections, idle or busy.
  unsigned openConnections = 0;
  unsigned connectingConnections = 0;
  /// Connections with a request that the server still works on.
  unsigned busyConnections = 0;
  /// Timed-out or cancelled attempts that still hold a connection.
  unsigned unconfirmedAttempts = 0;
  /// Requests that wait for a connection.
  unsigned waitingRequests = 0;
  std::uint64_t connectionsOpened = 0;
  std::uint64_t connectFailures = 0;
  std::uint64_t connectionLosses = 0;
  /// Requests of which a byte was written, cancellations included.
  std::uint64_t requestsSent = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
};

/// Pool of HTTP/1.1 keep-alive connections to one backend server, with one
/// request at a time on each. A request is never sent again once one of its
/// bytes was written.
///
/// Thread safe. The callbacks run one at a time on threads that run the
/// `io_context`, never inside a call of this class, and may call the pool. The
/// pool must be destroyed before its `io_context`.
class ServerPool
{
public:
  /// Identifies a request; 0 is never used.
  using Handle = std::uint64_t;

  ServerPool(boost::asio::io_context& aContext, ServerPoolOptions aOptions);
  /// Closes the pool. Pending callbacks run after the destructor.
  ~ServerPool();
  ServerPool(const ServerPool&) = delete;
  ServerPool& operator=(const ServerPool&) = delete;

  /// Sends the request over a free connection, or over the first one that
  /// becomes free before the deadline.
  Handle AsyncSend(SendRequest aRequest);
  /// Ends a request that was not sent with `CancelledUnsent`. Ends a sent one
  /// with `Cancelled`, sends `DELETE /v1/requests/{id}` over another connection
  /// and keeps the attempt unconfirmed until its response, the loss of its
  /// connection or `unconfirmedTimeout`. Has no effect after the result.
  void Cancel(Handle aHandle);
  /// Changes `maxConnections` and `minConnections`. Idle connections above the
  /// maximum are closed.
  void SetConnectionLimits(unsigned aMax, unsigned aMin);
  /// Closes all connections; requests without a result end with `PoolClosed`.
  void Close();

  [[nodiscard]] ServerPoolStats Stats() const;

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace bronzedeal::connection
