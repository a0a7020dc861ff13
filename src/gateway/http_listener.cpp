#include "bronzedeal/gateway/http_listener.hpp"

#include "bronzedeal/gateway/connection_options.hpp"
#include "bronzedeal/gateway/error_boundary.hpp"
#include "bronzedeal/http_framing.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <set>

namespace bronzedeal::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::steady_clock;
using tcp = asio::ip::tcp;

namespace {

/// A caller that acknowledges no data for this long counts as disconnected.
constexpr auto kUnacknowledgedTimeout = milliseconds(5000);
constexpr std::size_t kReadBufferBytes = 8192;
/// Maximum number of open connections; leaves file descriptors for connections
/// to servers.
constexpr std::size_t kMaxConnections = 2048;
/// Reading stops at this many bytes of further requests while one is in
/// progress.
constexpr std::size_t kMaxPipelinedBytes = 65'536;
/// Round trips that a caller waits for: the request and its reply, the connect
/// before the first request of a connection, and the connect and reply of an
/// address lookup, which may precede each request.
constexpr int kRequestRoundTrips = 1;
constexpr int kConnectRoundTrips = 1;
constexpr int kAddressLookupRoundTrips = 2;
/// A caller that states a longer time is taken to wait for this long.
constexpr milliseconds kMaxTimeLeft = std::chrono::hours(24);
/// Number of requests of one connection that are answered before the exit.
constexpr std::size_t kMaxConcludedRequests = 16;
/// Delay before the next accept after a failed one.
constexpr auto kAcceptRetryDelay = milliseconds(20);

std::optional<std::int64_t> ParseInteger(boost::beast::string_view aText)
{
  std::int64_t value = 0;
  const auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (ec != std::errc{} || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

/// Returns the HTTP status for a parser error.
unsigned StatusForParseError(const error_code& aError)
{
  if (aError == http::error::body_limit) {
    return 413;
  }
  return aError == http::error::header_limit ? 431 : 400;
}

} // namespace

struct HttpListener::Impl : std::enable_shared_from_this<Impl>
{
  Impl(Process& aProcess, RequestHandler aHandler)
    : process(aProcess)
    , acceptor(aProcess.context)
    , handler(std::move(aHandler))
  {
  }

  void Accept();
  /// Accepts the connections that wait in the kernel.
  void AcceptArrived();
  void OnAccepted(tcp::socket aSocket);

  Process& process;
  tcp::acceptor acceptor;
  RequestHandler handler;
  CallerLimits limits;
  std::set<std::shared_ptr<Connection>> connections;
  std::size_t busyConnections = 0;
  bool draining = false;
};

/// One accepted connection.
class HttpListener::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(std::shared_ptr<Impl> aListener, tcp::socket aSocket)
    : mListener(std::move(aListener))
    , mSocket(std::move(aSocket))
  {
  }

  void Start()
  {
    error_code ec;
    SetConnectionOptions(mSocket, kUnacknowledgedTimeout, ec);
    mSocket.non_blocking(true, ec);
    if (ec) {
      Close();
      return;
    }
    BeginRequest();
    WaitReadable();
  }

  /// Answers the request in progress and those that have arrived behind it.
  void Conclude()
  {
    for (std::size_t n = 0; n < kMaxConcludedRequests && mIsOpen; ++n) {
      ReadArrived();
      if (mRequestStarted && !mRequestInProgress) {
        Reject(RefusedReply("the instance stops", milliseconds(0)));
      }
      const auto exchange = mExchange;
      if (!exchange) {
        return;
      }
      exchange->Conclude();
    }
  }

  void CloseIfIdle()
  {
    ReadArrived();
    if (!HasRequest()) {
      Close();
    }
  }

  /// Begins the request that has arrived, if none is in progress.
  void ReadArrived()
  {
    do {
      Parse();
    } while (mIsOpen && !mRequestInProgress && (HasNextRequest() || Read()));
  }

  /// Runs `aAction`. An error ends this connection only.
  template<typename Action>
  void Isolate(Action&& aAction)
  {
    try {
      std::forward<Action>(aAction)();
    } catch (const std::exception& e) {
      auto& process = mListener->process;
      process.metrics.Add(process::Counter::InternalErrors);
      process.log.Write("internal_error", { { "reason", e.what() } });
      OnCallerDisconnected();
    }
  }

  /// True if a request is in progress or has arrived in part.
  [[nodiscard]] bool HasRequest() const noexcept { return mRequestStarted; }

private:
  using Parser = http::request_parser<http::string_body>;

  /// Waits for the next request. Its limits are those in force when it begins.
  void BeginRequest()
  {
    mRequestStarted = false;
    mIdleSince = steady_clock::now();
    RestartTimer(mListener->limits.idleTimeout);
  }

  void ResetParser()
  {
    const auto& limits = mListener->limits;
    mParser.emplace();
    mParser->eager(true);
    mParser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    mParser->body_limit(limits.bodyBytes);
    // The parser limits neither the trailers nor the line of a chunk, and takes
    // none of their bytes before their end.
    mMaxUnparsedBytes = limits.headerBytes + kReadBufferBytes;
  }

  void RestartTimer(milliseconds aWait)
  {
    auto& timers = mListener->process.timers;
    timers.Cancel(mTimer);
    mTimer =
      timers.Schedule(steady_clock::now() + aWait, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->mTimer = {};
          self->OnTimeout();
        }
      });
  }

  void OnTimeout()
  {
    const auto now = steady_clock::now();
    const auto idleEnd = mIdleSince + mListener->limits.idleTimeout;
    if (mRequestStarted) {
      RejectUnreadable(408);
    } else if (now < idleEnd) {
      // The timeout has been raised meanwhile.
      RestartTimer(std::chrono::ceil<milliseconds>(idleEnd - now));
    } else {
      Close();
    }
  }

  void WaitReadable()
  {
    if (mIsWaitingReadable || !mIsOpen) {
      return;
    }
    mIsWaitingReadable = true;
    mSocket.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& aError) {
                         self->mIsWaitingReadable = false;
                         if (!aError && self->mIsOpen) {
                           RunWithRecovery(
                             [&] { self->OnReadable(); },
                             [&] { self->OnCallerDisconnected(); });
                         }
                       });
  }

  /// True if bytes of a further request were read together with the last one.
  [[nodiscard]] bool HasNextRequest() const noexcept
  {
    return !mRequestStarted && !mReadBuffer.empty();
  }

  /// Reads what has arrived; returns whether there was anything.
  bool Read()
  {
    std::array<char, kReadBufferBytes> buf; // NOLINT: filled by the read
    error_code ec;
    const auto n = mSocket.read_some(asio::buffer(buf), ec);
    if (ec == asio::error::would_block) {
      return false;
    }
    if (ec) {
      OnCallerDisconnected();
      return false;
    }
    mReadBuffer.append(buf.data(), n);
    return true;
  }

  void OnReadable()
  {
    if (Read() && !mRequestInProgress) {
      Parse();
    }
    if (!mRequestInProgress || mReadBuffer.size() < kMaxPipelinedBytes) {
      WaitReadable();
    }
  }

  void OnCallerDisconnected()
  {
    const auto exchange = std::exchange(mExchange, nullptr);
    Close();
    if (exchange) {
      exchange->Cancel();
    }
  }

  void Parse()
  {
    if (mReadBuffer.empty() || mRequestInProgress || !mIsOpen) {
      return;
    }
    if (!mRequestStarted) {
      mRequestStarted = true;
      ResetParser();
      mReceivedAt = steady_clock::now();
      RestartTimer(mListener->limits.headerTimeout);
    }
    error_code ec;
    while (!mReadBuffer.empty() && !mParser->is_done()) {
      const auto n = mParser->put(asio::buffer(mReadBuffer), ec);
      mReadBuffer.erase(0, n);
      if (ec == http::error::need_more) {
        ec = {};
        break;
      }
      if (ec || n == 0) {
        break;
      }
    }
    if (!ec && mParser->is_done() && !HasKnownFraming(mParser->get())) {
      ec = http::error::bad_transfer_encoding;
    }
    if (!ec && !mParser->is_done() && mReadBuffer.size() > mMaxUnparsedBytes) {
      ec = http::error::header_limit;
    }
    if (ec) {
      RejectUnreadable(StatusForParseError(ec));
    } else if (mParser->is_done()) {
      Dispatch();
    }
  }

  void Dispatch()
  {
    auto& process = mListener->process;
    process.timers.Cancel(mTimer);
    CallerRequest request;
    request.message = mParser->release();
    request.receivedAt = mReceivedAt;
    const int roundTrips = kRequestRoundTrips + kAddressLookupRoundTrips +
                           (mIsFirstRequest ? kConnectRoundTrips : 0);
    request.networkDelay = roundTrips * RoundTripTime(mSocket);
    mIsFirstRequest = false;
    const auto& headerNames = process.settings.headerNames;
    request.requestId = std::string(request.message[headerNames.requestId]);
    if (const auto timeLeftMs =
          ParseInteger(request.message[headerNames.timeLeft])) {
      request.callerDeadline =
        mReceivedAt +
        std::clamp(milliseconds(*timeLeftMs), milliseconds(0), kMaxTimeLeft);
    }
    mCloseAfterReply = !request.message.keep_alive();
    mIsHeadRequest = request.message.method() == http::verb::head;
    mRequestInProgress = true;
    ++mListener->busyConnections;
    auto exchange = mListener->handler(
      std::move(request), [weak = weak_from_this()](CallerReply aReply) {
        if (const auto self = weak.lock()) {
          self->OnReply(aReply);
        }
      });
    if (mRequestInProgress && !mReplyStarted) {
      mExchange = std::move(exchange);
    }
  }

  void OnReply(const CallerReply& aReply)
  {
    mReplyStarted = true;
    mExchange = nullptr;
    mCloseAfterReply =
      mCloseAfterReply || (mListener->draining && mReadBuffer.empty());
    mWriteBuffer = Serialize(aReply, mCloseAfterReply, mIsHeadRequest);
    Write(0);
  }

  void RejectUnreadable(unsigned aStatus)
  {
    Reject(TextReply(aStatus, "the request can't be read"));
  }

  /// Replies to a request that was not read whole, then closes the connection.
  void Reject(const CallerReply& aReply)
  {
    mListener->process.log.Write(
      "request_rejected",
      { { "status", static_cast<std::int64_t>(aReply.status) } });
    mListener->process.timers.Cancel(mTimer);
    mRequestInProgress = true;
    ++mListener->busyConnections;
    mCloseAfterReply = true;
    mWriteBuffer = Serialize(aReply, true, false);
    Write(0);
  }

  void Write(std::size_t aFrom)
  {
    if (!mIsOpen) {
      return;
    }
    error_code ec;
    const auto n = mSocket.write_some(
      asio::buffer(mWriteBuffer.data() + aFrom, mWriteBuffer.size() - aFrom),
      ec);
    if (ec && ec != asio::error::would_block) {
      OnCallerDisconnected();
      return;
    }
    if (aFrom + n == mWriteBuffer.size()) {
      OnWritten();
      return;
    }
    mSocket.async_wait(
      tcp::socket::wait_write,
      [self = shared_from_this(), from = aFrom + n](const error_code& aError) {
        if (!aError) {
          self->Write(from);
        }
      });
  }

  void OnWritten()
  {
    EndRequest();
    if (mCloseAfterReply) {
      // Shut down the sending side first: closing with unread bytes sends a
      // reset, which may overtake the reply.
      error_code ec;
      mSocket.shutdown(tcp::socket::shutdown_send, ec);
      Close();
      return;
    }
    BeginRequest();
    // Post instead of calling: immediate replies to pipelined requests would
    // recurse.
    asio::post(mSocket.get_executor(), [self = shared_from_this()] {
      RunWithRecovery(
        [&] {
          self->Parse();
          self->WaitReadable();
        },
        [&] { self->OnCallerDisconnected(); });
    });
  }

  void EndRequest()
  {
    if (mRequestInProgress) {
      mRequestInProgress = false;
      --mListener->busyConnections;
    }
    mReplyStarted = false;
  }

  void Close()
  {
    if (!mIsOpen) {
      return;
    }
    mIsOpen = false;
    EndRequest();
    mListener->process.timers.Cancel(mTimer);
    error_code ec;
    mSocket.close(ec); // Fails only if it is already closed.
    mListener->connections.erase(shared_from_this());
  }

  std::shared_ptr<Impl> mListener;
  tcp::socket mSocket;
  std::optional<Parser> mParser;
  std::shared_ptr<Exchange> mExchange;
  TimerQueue::Handle mTimer;
  /// Limit of the bytes that the parser can't take yet.
  std::size_t mMaxUnparsedBytes = 0;
  std::string mReadBuffer;
  std::string mWriteBuffer;
  TimePoint mReceivedAt{};
  TimePoint mIdleSince{};
  bool mIsOpen = true;
  bool mIsWaitingReadable = false;
  bool mIsFirstRequest = true;
  bool mRequestStarted = false;
  bool mRequestInProgress = false;
  bool mReplyStarted = false;
  bool mCloseAfterReply = false;
  bool mIsHeadRequest = false;
};

void HttpListener::Impl::Accept()
{
  acceptor.async_accept([self = shared_from_this()](const error_code& aError,
                                                    tcp::socket aSocket) {
    if (!aError && !self->acceptor.is_open()) {
      // It was accepted right before the listening socket was closed.
      self->OnAccepted(std::move(aSocket));
      return;
    }
    if (aError == asio::error::operation_aborted || !self->acceptor.is_open()) {
      return;
    }
    if (aError) {
      self->process.log.Write("accept_failed",
                              { { "reason", aError.message() } });
      self->process.timers.Schedule(steady_clock::now() + kAcceptRetryDelay,
                                    [self] { self->Accept(); });
      return;
    }
    RunWithRecovery([&] { self->OnAccepted(std::move(aSocket)); },
                    [&] { self->Accept(); });
    self->Accept();
  });
}

void HttpListener::Impl::AcceptArrived()
{
  error_code ec;
  acceptor.non_blocking(true, ec);
  while (!ec) {
    tcp::socket socket(process.context);
    acceptor.accept(socket, ec);
    if (!ec) {
      OnAccepted(std::move(socket));
    }
  }
}

void HttpListener::Impl::OnAccepted(tcp::socket aSocket)
{
  // Above the limit the socket is closed at once, so that the caller tries
  // another instance.
  if (connections.size() < kMaxConnections) {
    auto connection =
      std::make_shared<Connection>(shared_from_this(), std::move(aSocket));
    connections.insert(connection);
    connection->Start();
  }
}

HttpListener::HttpListener(Process& aProcess,
                           const tcp::endpoint& aAddress,
                           RequestHandler aHandler)
  : mImpl(std::make_shared<Impl>(aProcess, std::move(aHandler)))
{
  mImpl->acceptor.open(aAddress.protocol());
  mImpl->acceptor.set_option(tcp::acceptor::reuse_address(true));
  mImpl->acceptor.bind(aAddress);
  mImpl->acceptor.listen();
  mImpl->Accept();
}

HttpListener::~HttpListener()
{
  error_code ec;
  mImpl->acceptor.close(ec); // Fails only if it is already closed.
}

tcp::endpoint HttpListener::Address() const
{
  return mImpl->acceptor.local_endpoint();
}

void HttpListener::SetLimits(const CallerLimits& aLimits)
{
  mImpl->limits = aLimits;
}

void HttpListener::BeginDrain()
{
  mImpl->draining = true;
}

void HttpListener::StopAccepting()
{
  if (!mImpl->acceptor.is_open()) {
    return;
  }
  mImpl->AcceptArrived();
  error_code ec;
  mImpl->acceptor.close(ec); // Nothing could be done about a failure.
}

void HttpListener::CloseIdleConnections()
{
  const auto connections = mImpl->connections;
  for (const auto& it : connections) {
    it->Isolate([&] { it->CloseIfIdle(); });
  }
}

void HttpListener::ConcludeRequests()
{
  const auto connections = mImpl->connections;
  for (const auto& it : connections) {
    it->Isolate([&] { it->Conclude(); });
  }
}

std::size_t HttpListener::BusyConnectionCount() const noexcept
{
  return mImpl->busyConnections;
}

std::size_t HttpListener::CountRequests()
{
  std::size_t count = 0;
  const auto connections = mImpl->connections;
  for (const auto& it : connections) {
    it->Isolate([&] { it->ReadArrived(); });
    count += it->HasRequest() ? 1 : 0;
  }
  return count;
}

std::size_t HttpListener::ConnectionCount() const noexcept
{
  return mImpl->connections.size();
}

} // namespace bronzedeal::gateway
