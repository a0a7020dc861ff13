#pragma once

#include "bronzedeal/gateway/exchange.hpp"
#include "bronzedeal/gateway/listener_limits.hpp"
#include "bronzedeal/gateway/route_config.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace bronzedeal::gateway {

/// Starts a request. The reply handler may be called before the return, which
/// may then be null.
using RequestHandler =
  std::function<std::shared_ptr<Exchange>(CallerRequest, ReplyHandler)>;

/// HTTP/1.1 server. Reads each request completely, processes one at a time per
/// connection, and cancels the exchange if the caller closes its connection.
/// What all clients hold together is bounded by the limits of the port's role.
class HttpListener
{
public:
  /// Throws boost::system::system_error if the address can't be bound.
  HttpListener(Process& aProcess,
               const boost::asio::ip::tcp::endpoint& aAddress,
               RequestHandler aHandler,
               ListenerRole aRole = ListenerRole::Callers);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  [[nodiscard]] boost::asio::ip::tcp::endpoint Address() const;

  /// Applies to each request that begins from now on, and to the time for which
  /// connections may stay idle, on open connections as well.
  void SetLimits(const CallerLimits& aLimits);

  /// From now on, closes each connection after its next reply, unless a further
  /// request has been read.
  void BeginDrain();
  /// Closes the listening socket, once the connections that callers have opened
  /// are accepted.
  void StopAccepting();
  /// Closes the connections on which no request has arrived.
  void CloseIdleConnections();

  /// Ends all requests in progress, see `Exchange::Conclude`, and refuses those
  /// that have arrived in part.
  void ConcludeRequests();

  /// Reads what has arrived. Returns the number of connections with a request
  /// that is in progress or has arrived in part.
  [[nodiscard]] std::size_t CountRequests();

  /// Number of connections with a request in progress.
  [[nodiscard]] std::size_t BusyConnectionCount() const noexcept;
  /// Number of open connections.
  [[nodiscard]] std::size_t ConnectionCount() const noexcept;

private:
  struct Impl;
  class Connection;
  std::shared_ptr<Impl> mImpl;
};

} // namespace bronzedeal::gateway
