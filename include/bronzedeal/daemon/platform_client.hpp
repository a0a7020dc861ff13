#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace bronzedeal::daemon {

/// Reads the platform's service over HTTP: one request per connection, so that
/// a waiting watch never delays another read.
class PlatformClient
{
public:
  /// Status 0 stands for no answer; `body` then holds the cause.
  struct Response
  {
    int status = 0;
    std::string body;
  };
  using Handler = std::function<void(Response)>;

  /// The address of the service, `ip:port`.
  PlatformClient(boost::asio::io_context& aContext, std::string aAddress);

  /// Sends GET for a target such as `/v1/config?after=3&wait_ms=25000`. The
  /// handler is called once, from a thread of the context.
  void Get(std::string aTarget,
           std::chrono::milliseconds aTimeout,
           Handler aHandler);

private:
  boost::asio::io_context& mContext;
  std::string mAddress;
};

} // namespace bronzedeal::daemon
