#pragma once

#include "bronzedeal/result_code.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace bronzedeal::daemon {

/// A parsed HTTP/1.1 request.
struct HttpRequest
{
  std::string method;
  std::string path;
  /// Text after the question mark, still encoded.
  std::string queryString;
  std::string body;
};

struct HttpResponse
{
  int status = 200;
  std::string body;
  std::string contentType = "application/json";
};

/// Called once per request from any thread of the context. The reply function
/// may be called later and from any thread, once.
using HttpReply = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

/// The answer for an error: its code, name and message as JSON.
[[nodiscard]] HttpResponse ErrorResponse(ResultCode aCode,
                                         std::string_view aMessage);

/// The value of a parameter of a query string, percent-decoded; empty when it
/// is absent.
[[nodiscard]] std::string QueryParameter(std::string_view aQueryString,
                                         std::string_view aName);

/// HTTP/1.1 server on Beast. Keeps connections alive; one request at a time per
/// connection.
class HttpServer
{
public:
  struct Impl;

  /// Largest accepted body, in bytes.
  static constexpr std::size_t kMaxBodyBytes = std::size_t{ 1 } << 20;

  /// Listens on `ip:port`, with port 0 for one chosen by the system. Throws
  /// boost::system::system_error when the address can't be used.
  HttpServer(boost::asio::io_context& aContext,
             const std::string& aAddress,
             HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The bound address, `ip:port`.
  [[nodiscard]] std::string Address() const;

  /// From now on each answer asks the caller to close its connection.
  void BeginDrain();

  /// Stops accepting and closes connections that wait for a request. Running
  /// requests finish and are answered.
  void StopAccepting();

  /// Requests read but not answered in full.
  [[nodiscard]] std::size_t RunningRequestCount() const noexcept;

private:
  std::shared_ptr<Impl> mImpl;
};

} // namespace bronzedeal::daemon
