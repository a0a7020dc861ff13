#pragma once

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bronzedeal::connection {

/// HTTP server on a free port of 127.0.0.1 that echoes the body of each
/// request. A part of the target changes that: `/close` closes the connection
/// without a response, `/hold` responds after `ReleaseHeldRequests`, `/refuse`
/// responds with 503, and `/answer-then-close` closes the connection after the
/// response. Responses state the id of the request, but not after `/anonymous`;
/// after `/copy` that of the request before on the connection.
class FakeHttpServer
{
public:
  FakeHttpServer()
    : mAcceptor(mContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , mHoldTimer(mContext, boost::asio::steady_timer::time_point::max())
  {
    boost::asio::co_spawn(mContext, Accept(), boost::asio::detached);
    mThread = std::thread([this] { mContext.run(); });
  }
  ~FakeHttpServer()
  {
    mContext.stop();
    mThread.join();
  }
  FakeHttpServer(const FakeHttpServer&) = delete;
  FakeHttpServer& operator=(const FakeHttpServer&) = delete;

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  /// Responds to all held requests; later ones are no longer held.
  void ReleaseHeldRequests()
  {
    boost::asio::post(mContext, [this] {
      mReleased = true;
      mHoldTimer.cancel();
    });
  }
  /// Method and target of each request received so far.
  std::vector<std::string> Requests() const
  {
    const std::lock_guard lock(mMutex);
    return mRequests;
  }
  /// Largest number of connections that were open at the same time.
  int MaxOpenConnections() const { return mMaxOpenConnections; }

private:
  using Socket = boost::asio::ip::tcp::socket;
  template<typename T>
  using Awaitable = boost::asio::awaitable<T>;

  Awaitable<void> Accept()
  {
    for (;;) {
      auto socket = co_await mAcceptor.async_accept(boost::asio::use_awaitable);
      boost::asio::co_spawn(
        mContext, Serve(std::move(socket)), boost::asio::detached);
    }
  }

  Awaitable<void> Serve(Socket aSocket)
  {
    namespace http = boost::beast::http;
    boost::system::error_code ec;
    auto token = boost::asio::redirect_error(boost::asio::use_awaitable, ec);
    boost::beast::flat_buffer buf;
    mMaxOpenConnections =
      std::max<int>(mMaxOpenConnections, ++mOpenConnections);
    std::string formerId;
    for (;;) {
      http::request<http::string_body> request;
      co_await http::async_read(aSocket, buf, request, token);
      if (ec) {
        break;
      }
      {
        const std::lock_guard lock(mMutex);
        mRequests.push_back(std::string(request.method_string()) + " " +
                            std::string(request.target()));
      }
      if (request.target().find("/close") != std::string_view::npos) {
        break;
      }
      if (request.target().find("/hold") != std::string_view::npos &&
          !mReleased) {
        co_await mHoldTimer.async_wait(token);
      }
      if (request.target().starts_with("/status/")) {
        // Of any three digits, also those that the library doesn't write.
        const auto bytes = "HTTP/1.1 " +
                           std::string(request.target().substr(8)) +
                           " X\r\nContent-Length: 0\r\n\r\n";
        co_await boost::asio::async_write(
          aSocket, boost::asio::buffer(bytes), token);
        continue;
      }
      http::response<http::string_body> response;
      const bool refused =
        request.target().find("/refuse") != std::string_view::npos;
      response.result(refused ? 503 : 200);
      response.set("x-outcome", "not-run");
      const bool isCopy =
        request.target().find("/copy") != std::string_view::npos;
      const std::string id(request["x-request-id"]);
      if (request.target().find("/anonymous") == std::string_view::npos) {
        response.set("x-request-id", isCopy ? formerId : id);
      }
      formerId = id;
      response.body() = std::move(request.body());
      response.prepare_payload();
      co_await http::async_write(aSocket, response, token);
      if (ec || request.target() == "/answer-then-close") {
        break;
      }
    }
    --mOpenConnections;
  }

  boost::asio::io_context mContext{ 1 };
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mHoldTimer;
  bool mReleased = false;
  int mOpenConnections = 0;
  std::atomic<int> mMaxOpenConnections{ 0 };
  mutable std::mutex mMutex;
  std::vector<std::string> mRequests;
  std::thread mThread;
};

} // namespace bronzedeal::connection
