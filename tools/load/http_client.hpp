#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bronzedeal::load {

/// Why a request has no answer.
enum class ClientError
{
  None,
  /// No connection; no byte was sent.
  Connect,
  /// The connection ended before the whole answer arrived.
  Cut,
  Timeout,
};

[[nodiscard]] std::string_view NameOf(ClientError aError) noexcept;

struct ClientRequest
{
  std::string method = "POST";
  std::string target;
  std::string body;
  /// Headers of the backend protocol, left out when empty or 0.
  std::string requestId;
  std::uint64_t indexVersion = 0;
  std::uint64_t deadlineMs = 0;
};

struct ClientResponse
{
  ClientError error = ClientError::None;
  unsigned status = 0;
  std::string body;
};

using ClientHandler = std::function<void(ClientResponse)>;

/// HTTP/1.1 client with a pool of kept connections per address. All calls and
/// callbacks happen on the single thread that runs the context.
class HttpClient
{
public:
  /// `aLimit` bounds the connections per address, further requests wait in
  /// order; 0 means no bound.
  HttpClient(boost::asio::io_context& aContext, std::size_t aLimit);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// Calls the handler exactly once, with `Timeout` at the latest at `aUntil`.
  void Send(const std::string& aAddress,
            ClientRequest aRequest,
            std::chrono::steady_clock::time_point aUntil,
            ClientHandler aHandler);

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace bronzedeal::load
