#pragma once

#include "bronzedeal/gateway/exchange.hpp"
#include "bronzedeal/gateway/route_config.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace bronzedeal::gateway {

/// Starts a request; the reply handler may be called before the return.
using RequestHandler =
  std::function<std::shared_ptr<Exchange>(CallerRequest, ReplyHandler)>;

/// HTTP/1.1 server: reads requests whole, one at a time per connection, and
/// abandons the exchange of a caller that closes its connection.
class HttpListener
{
public:
  /// Throws boost::system::system_error when the address can't be used.
  HttpListener(Process& aProcess,
               const boost::asio::ip::tcp::endpoint& aAddress,
               RequestHandler aHandler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  [[nodiscard]] boost::asio::ip::tcp::endpoint Address() const;

  /// Applies to requests that are read from now on.
  void SetLimits(const CallerLimits& aLimits);

  /// From now on each answer closes its connection.
  void BeginDrain();
  /// Accepts no more connections.
  void StopAccepting();
  /// Closes the connections that wait for a request.
  void CloseIdleConnections();

  /// Connections with a request in progress.
  [[nodiscard]] std::size_t BusyConnectionCount() const noexcept;
  [[nodiscard]] std::size_t ConnectionCount() const noexcept;

private:
  struct Impl;
  class Connection;
  std::shared_ptr<Impl> mImpl;
};

} // namespace bronzedeal::gateway
