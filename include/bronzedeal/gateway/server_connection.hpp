#pragma once

#include "bronzedeal/gateway/carried_requests.hpp"
#include "bronzedeal/gateway/connection_count.hpp"
#include "bronzedeal/gateway/connection_options.hpp"
#include "bronzedeal/gateway/http_message.hpp"
#include "bronzedeal/gateway/memory_budget.hpp"
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
  /// A complete and valid HTTP response arrived.
  Answered,
  /// The connection failed, or the received bytes are no valid response.
  Broken,
};

/// One HTTP/1.1 connection to a backend server; carries one request at a time.
/// Not thread-safe: use it on the thread of its context only.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  /// Called once; the argument is false if the connection could not be opened.
  using ConnectHandler = std::function<void(bool)>;
  /// Called once; the response is null unless the result is `Answered`.
  using SendHandler = std::function<void(SendResult, ResponseMessage*)>;

  ServerConnection(boost::asio::io_context& aContext,
                   TimerQueue& aTimers,
                   MemoryBudget& aMemory,
                   ConnectionCount& aCount,
                   std::size_t aMaxResponseBodyBytes);

  void Connect(const boost::asio::ip::tcp::endpoint& aEndpoint,
               Duration aTimeout,
               ConnectHandler aHandler);

  /// Sends one request: its head, and its body unless that is null. The
  /// response to a HEAD request has no body even if it states a length.
  void Send(std::string aHead,
            std::shared_ptr<const std::string> aBody,
            bool aIsHeadRequest,
            SendHandler aHandler);

  /// Closes the connection immediately. A pending send handler is called with
  /// `Broken`, a pending connect handler with false.
  void Close();

  /// The handler is called when the server closes the connection, or sends
  /// bytes, while it is idle.
  void SetIdleCloseHandler(std::function<void()> aHandler);

  /// The handler gets each interim (1xx) response.
  void SetInterimHandler(std::function<void(const ResponseMessage&)> aHandler);

  /// True if another request may be sent: the connection is open and idle, and
  /// the server's idle timeout is not close.
  [[nodiscard]] bool IsReusable(TimePoint aNow) const noexcept;

  /// Time since the connect or the last response.
  [[nodiscard]] Duration IdleTime(TimePoint aNow) const noexcept
  {
    return aNow - mIdleSince;
  }

  /// When the connect succeeded.
  [[nodiscard]] TimePoint OpenedAt() const noexcept { return mOpenedAt; }

  /// The requests that this connection has carried. The sender adds them, if it
  /// matches responses by id.
  [[nodiscard]] CarriedRequests& Carried() noexcept { return mCarried; }
  [[nodiscard]] const CarriedRequests& Carried() const noexcept
  {
    return mCarried;
  }

  /// Tells the connections of this process apart.
  [[nodiscard]] std::uint64_t Number() const noexcept
  {
    return mCountHolder.Number();
  }

private:
  void WaitReadable();
  void OnReadable();
  void ResetParser();
  void ParseInput(bool aEndOfStream);
  bool SkipInterimResponse();
  void FinishResponse();
  void CloseOnError();
  void Write(std::size_t aFrom);
  /// Frees what was to be sent.
  void ForgetRequest();

  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  boost::asio::ip::tcp::socket mSocket;
  TimerQueue& mTimers;
  TimerQueue::Handle mConnectTimer;
  std::size_t mMaxResponseBodyBytes;
  ConnectHandler mConnectHandler;
  SendHandler mSendHandler;
  std::function<void()> mIdleCloseHandler;
  std::function<void(const ResponseMessage&)> mInterimHandler;
  std::optional<Parser> mParser;
  /// The request until it is written.
  std::string mHead;
  std::shared_ptr<const std::string> mBody;
  std::string mReadBuffer;
  /// Bytes received of the current response, interim ones included.
  MemoryBudget::Charge mCharge;
  ConnectionCount::Holder mCountHolder;
  CarriedRequests mCarried;
  unsigned mInterimCount = 0;
  bool mIsOpen = false;
  bool mIsWriting = false;
  bool mIsHeadRequest = false;
  bool mKeepAlive = true;
  TimePoint mOpenedAt{};
  TimePoint mIdleSince{};
  /// End of the server's idle timeout, if it states one, less a margin.
  TimePoint mReusableUntil = TimePoint::max();
};

} // namespace bronzedeal::gateway
