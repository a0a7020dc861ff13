#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bronzedeal::standin {

struct HttpRequest
{
  std::string method;
  std::string target;
  std::string body;
  /// Headers of the backend protocol; empty or 0 when absent.
  std::string requestId;
  std::uint64_t indexVersion = 0;
  std::uint64_t deadlineMs = 0;
};

struct HttpResponse
{
  unsigned status = 200;
  std::string body;
  /// Adds `x-outcome: not-run` and `x-reason` with this word unless empty.
  std::string notRun;
  /// Closes the connection without an answer.
  bool abort = false;
};

using HttpAnswer = std::function<void(HttpResponse)>;
/// Must call the answer once, at any time, on the listener's thread.
using HttpHandler = std::function<void(HttpRequest&&, HttpAnswer)>;

/// HTTP/1.1 server of one port with keep-alive. All calls and callbacks happen
/// on the single thread that runs the given context.
class HttpListener
{
public:
  struct Options
  {
    /// `ip:port`; port 0 lets the system choose.
    std::string address = "127.0.0.1:0";
    /// Further connections are accepted and closed; 0 means no limit.
    unsigned connectionLimit = 0;
    /// Wait before the first read of a connection, which stands for the time
    /// that it takes to open one.
    std::chrono::microseconds acceptDelay{ 0 };
  };

  /// Reserves the port. Throws boost::system::system_error.
  HttpListener(boost::asio::io_context& aContext,
               Options aOptions,
               HttpHandler aHandler);
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;
  ~HttpListener();

  /// Accepts connections until `Close`.
  void Open();
  /// Closes all connections and refuses new ones. The port stays reserved, so
  /// that no other process can take it before the next `Open`.
  void Close();
  [[nodiscard]] const std::string& Address() const noexcept;

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

/// The number given for a key in the query part of a target; else the default.
[[nodiscard]] std::uint64_t QueryNumber(std::string_view aTarget,
                                        std::string_view aKey,
                                        std::uint64_t aDefault);

/// The target without its query part.
[[nodiscard]] std::string_view PathOf(std::string_view aTarget) noexcept;

} // namespace bronzedeal::standin
