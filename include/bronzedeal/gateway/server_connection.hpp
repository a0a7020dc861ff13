#pragma once

#include "bronzedeal/gateway/connection_options.hpp"
#include "bronzedeal/gateway/http_message.hpp"
#include "bronzedeal/gateway/timer_queue.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bronzedeal::gateway {

/// How a send on a connection ended.
enum class SendResult
{
  /// A complete response in the protocol.
  Answered,
  /// The connection broke, or other bytes than a response came.
  Broken,
};

/// One HTTP/1.1 connection to a backend server; one request at a time. Not
/// thread safe: belongs to the thread of its context.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  /// `false` when the connection could not be opened.
  using ConnectHandler = std::function<void(bool)>;
  /// The response is null unless the result is `Answered`.
  using SendHandler = std::function<void(SendResult, ResponseMessage*)>;

  ServerConnection(boost::asio::io_context& aContext,
                   TimerQueue& aTimers,
                   std::size_t aMaxResponseBodyBytes);

  void Connect(const boost::asio::ip::tcp::endpoint& aEndpoint,
               Duration aTimeout,
               ConnectHandler aHandler);

  /// Sends the bytes of one request. `aHeadOnly`: the response has no body.
  void Send(std::string aBytes, bool aIsHeadRequest, SendHandler aHandler);

  /// Closes at once; a handler that waits is called with `Broken`.
  void Close();

  /// Called when an idle connection is closed by the server.
  void SetIdleCloseHandler(std::function<void()> aHandler);

  /// True while another request may follow.
  [[nodiscard]] bool IsReusable(TimePoint aNow) const noexcept;

  /// How long it has been idle.
  [[nodiscard]] Duration IdleTime(TimePoint aNow) const noexcept
  {
    return aNow - mIdleSince;
  }

private:
  void WaitReadable();
  void OnReadable();
  void ParseInput(bool aEndOfStream);
  bool SkipInterimResponse();
  void FinishResponse();
  void CloseOnError();
  void Write(std::size_t aFrom);

  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  boost::asio::ip::tcp::socket mSocket;
  TimerQueue& mTimers;
  TimerQueue::Handle mConnectTimer;
  std::size_t mMaxResponseBodyBytes;
  ConnectHandler mConnectHandler;
  SendHandler mSendHandler;
  std::function<void()> mIdleCloseHandler;
  std::optional<Parser> mParser;
  std::string mWriteBuffer;
  std::string mReadBuffer;
  bool mIsOpen = false;
  bool mIsWriting = false;
  bool mIsHeadRequest = false;
  bool mKeepAlive = true;
  TimePoint mIdleSince{};
  /// Until when the server keeps the idle connection, where it says so.
  TimePoint mReusableUntil = TimePoint::max();
};

} // namespace bronzedeal::gateway
