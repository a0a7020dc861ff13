#include "bronzedeal/connection/server_pool.hpp"

#include "bronzedeal/http_framing.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <cstring>
#include <deque>
#include <optional>
#include <random>

namespace bronzedeal::connection {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

using Strand = asio::strand<asio::io_context::executor_type>;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;
using Timer =
  asio::basic_waitable_timer<std::chrono::steady_clock,
                             asio::wait_traits<std::chrono::steady_clock>,
                             Strand>;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kReadChunkBytes = 16U << 10U;
/// Connections on which a request is tried while no byte of it was written.
/// After a restart of the server several idle connections may be broken.
constexpr unsigned kMaxSendTries = 4;

/// Keeps the status, the `x-` fields and the body of a response. Skipping the
/// other fields avoids the allocations of a full header map.
class ResponseParser : public http::basic_parser<false>
{
public:
  SendResult& Result() noexcept { return mResult; }

private:
  using String = boost::beast::string_view;

  void on_request_impl(http::verb, // NOLINT(readability-identifier-naming)
                       String,
                       String,
                       int,
                       error_code&) override
  {
  }
  void on_response_impl(int aStatus, // NOLINT(readability-identifier-naming)
                        String,
                        int,
                        error_code&) override
  {
    mResult.status = static_cast<unsigned>(aStatus);
  }
  void on_field_impl(http::field, // NOLINT(readability-identifier-naming)
                     String aName,
                     String aValue,
                     error_code&) override
  {
    if (aName.size() < 2 || (aName[0] | 0x20) != 'x' || aName[1] != '-') {
      return;
    }
    std::string name(aName);
    for (auto& it : name) {
      it = it >= 'A' && it <= 'Z' ? static_cast<char>(it | 0x20) : it;
    }
    mResult.headers.emplace_back(std::move(name), std::string(aValue));
  }
  void on_header_impl( // NOLINT(readability-identifier-naming)
    error_code&) override
  {
  }
  void on_body_init_impl( // NOLINT(readability-identifier-naming)
    const boost::optional<std::uint64_t>& aLength,
    error_code&) override
  {
    if (aLength) {
      mResult.body.reserve(static_cast<std::size_t>(*aLength));
    }
  }
  std::size_t on_body_impl( // NOLINT(readability-identifier-naming)
    String aBody,
    error_code&) override
  {
    mResult.body.append(aBody.data(), aBody.size());
    return aBody.size();
  }
  void on_chunk_header_impl( // NOLINT(readability-identifier-naming)
    std::uint64_t,
    String,
    error_code&) override
  {
  }
  std::size_t on_chunk_body_impl( // NOLINT(readability-identifier-naming)
    std::uint64_t,
    String aBody,
    error_code&) override
  {
    mResult.body.append(aBody.data(), aBody.size());
    return aBody.size();
  }
  void on_finish_impl( // NOLINT(readability-identifier-naming)
    error_code&) override
  {
  }

  SendResult mResult;
};

void AppendNumber(std::string& aOut, std::size_t aNumber)
{
  std::array<char, 20> buf{};
  const auto end =
    std::to_chars(buf.data(), buf.data() + buf.size(), aNumber).ptr;
  aOut.append(buf.data(), end);
}

} // namespace

std::string_view Name(SendError aError) noexcept
{
  switch (aError) {
    case SendError::None:
      return "none";
    case SendError::Vetoed:
      return "vetoed";
    case SendError::ConnectFailed:
      return "connect_failed";
    case SendError::NoConnection:
      return "no_connection";
    case SendError::CancelledUnsent:
      return "cancelled_unsent";
    case SendError::Cancelled:
      return "cancelled";
    case SendError::Closed:
      return "closed";
    case SendError::Timeout:
      return "timeout";
    case SendError::BadAnswer:
      return "bad_answer";
    case SendError::PoolClosed:
      return "pool_closed";
  }
  return "";
}

std::string_view SendResult::Header(std::string_view aName) const noexcept
{
  for (const auto& it : headers) {
    if (it.first == aName) {
      return it.second;
    }
  }
  return {};
}

class ServerPool::Impl : public std::enable_shared_from_this<ServerPool::Impl>
{
public:
  Impl(asio::io_context& aContext, ServerPoolOptions aOptions)
    : mStrand(asio::make_strand(aContext))
    , mOptions(std::move(aOptions))
    , mTimer(mStrand)
    , mRandom(mOptions.seed)
    , mBackoff(mOptions.initialBackoff)
  {
    ParseAddress();
  }

  void Start()
  {
    PostToStrand([](Impl& aImpl) { aImpl.AssignConnections(); });
  }

  Handle Send(SendRequest aRequest)
  {
    auto pending = std::make_unique<PendingRequest>();
    pending->id = mNextId.fetch_add(1, std::memory_order_relaxed);
    pending->request = std::move(aRequest);
    const auto id = pending->id;
    asio::post(
      mStrand,
      [self = shared_from_this(), pending = std::move(pending)]() mutable {
        self->mWaiting.push_back(std::move(pending));
        self->AssignConnections();
      });
    return id;
  }

  void Cancel(Handle aHandle)
  {
    PostToStrand([aHandle](Impl& aImpl) { aImpl.CancelOnStrand(aHandle); });
  }

  void SetConnectionLimits(unsigned aMax, unsigned aMin)
  {
    PostToStrand([aMax, aMin](Impl& aImpl) {
      aImpl.mOptions.maxConnections = aMax;
      aImpl.mOptions.minConnections = aMin;
      aImpl.CloseSurplusIdle();
      aImpl.AssignConnections();
    });
  }

  void Close()
  {
    PostToStrand([](Impl& aImpl) { aImpl.CloseOnStrand(); });
  }

  ServerPoolStats Stats() const
  {
    ServerPoolStats stats;
    stats.openConnections = mStats.openConnections;
    stats.connectingConnections = mStats.connectingConnections;
    stats.busyConnections = mStats.busyConnections;
    stats.unconfirmedAttempts = mStats.unconfirmedAttempts;
    stats.waitingRequests = mStats.waitingRequests;
    stats.connectionsOpened = mStats.connectionsOpened;
    stats.connectFailures = mStats.connectFailures;
    stats.connectionLosses = mStats.connectionLosses;
    stats.requestsSent = mStats.requestsSent;
    stats.bytesSent = mStats.bytesSent;
    stats.bytesReceived = mStats.bytesReceived;
    return stats;
  }

private:
  /// A request that has not ended.
  struct PendingRequest
  {
    Handle id = 0;
    SendRequest request;
    /// Connections on which the write failed before its first byte.
    unsigned failedSends = 0;
  };

  enum class State
  {
    Connecting,
    Idle,
    Busy,
    Closed,
  };

  struct Connection
  {
    explicit Connection(const Strand& aStrand)
      : socket(aStrand)
    {
    }

    Socket socket;
    State state = State::Connecting;
    /// The request that the server works on, which stays here after a timeout
    /// or a cancellation was reported.
    std::unique_ptr<PendingRequest> currentRequest;
    /// True from the report of a timeout or a cancellation until the server has
    /// ended the work.
    bool unconfirmed = false;
    bool writing = false;
    /// True after the first response on this connection.
    bool hasAnswered = false;
    /// True after a response that stated the id of its request.
    bool statesRequestId = false;
    TimePoint firstByteAt;
    /// When the connect, the request or its unconfirmed time is over.
    TimePoint timeoutAt;
    std::string writeBuffer;
    std::string readBuffer;
    /// Bytes at the start of `readBuffer` that were received but not parsed.
    std::size_t unparsedBytes = 0;
    std::optional<ResponseParser> parser;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  /// `ServerPoolStats` as written on the strand and read by any thread.
  struct AtomicStats
  {
    std::atomic<unsigned> openConnections{ 0 };
    std::atomic<unsigned> connectingConnections{ 0 };
    std::atomic<unsigned> busyConnections{ 0 };
    std::atomic<unsigned> unconfirmedAttempts{ 0 };
    std::atomic<unsigned> waitingRequests{ 0 };
    std::atomic<std::uint64_t> connectionsOpened{ 0 };
    std::atomic<std::uint64_t> connectFailures{ 0 };
    std::atomic<std::uint64_t> connectionLosses{ 0 };
    std::atomic<std::uint64_t> requestsSent{ 0 };
    std::atomic<std::uint64_t> bytesSent{ 0 };
    std::atomic<std::uint64_t> bytesReceived{ 0 };
  };

  template<typename F>
  void PostToStrand(F aCall)
  {
    asio::post(mStrand,
               [self = shared_from_this(), call = std::move(aCall)]() mutable {
                 call(*self);
               });
  }

  void ParseAddress()
  {
    const auto& text = mOptions.address;
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
      return;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
      host = host.substr(1, host.size() - 2);
    }
    unsigned short port = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    error_code ec;
    const auto address = asio::ip::make_address(host, ec);
    if (!ec && parsed.ec == std::errc() && parsed.ptr == end) {
      mEndpoint.emplace(address, port);
    }
  }

  // --- connections ---

  [[nodiscard]] std::size_t OpenCount() const
  {
    return mConnections.size() - mConnectingCount;
  }

  /// Sends waiting requests over idle connections, opens the connections that
  /// are needed and updates the statistics.
  void AssignConnections()
  {
    while (!mWaiting.empty() && !mIdle.empty() && !mClosed) {
      auto pending = std::move(mWaiting.front());
      mWaiting.pop_front();
      auto connection = std::move(mIdle.back());
      mIdle.pop_back();
      if (connection->state != State::Idle) {
        mWaiting.push_front(std::move(pending));
        continue;
      }
      Dispatch(connection, std::move(pending));
    }
    if (mClosed) {
      FailWaiting(SendError::PoolClosed);
    } else {
      OpenConnections();
      if (mConnections.empty()) {
        FailWaiting(SendError::ConnectFailed);
      }
      for (const auto& it : mWaiting) {
        ArmTimer(it->request.deadline);
      }
    }
    mStats.waitingRequests = static_cast<unsigned>(mWaiting.size());
    mStats.openConnections = static_cast<unsigned>(OpenCount());
    mStats.connectingConnections = static_cast<unsigned>(mConnectingCount);
  }

  void OpenConnections()
  {
    const auto needed =
      mWaiting.size() + static_cast<std::size_t>(mStats.busyConnections.load());
    const auto wanted = std::min<std::size_t>(
      mOptions.maxConnections,
      std::max<std::size_t>(mOptions.minConnections, needed));
    if (mConnections.size() >= wanted) {
      return;
    }
    const auto now = Clock::now();
    if (now < mBackoffUntil) {
      ArmTimer(mBackoffUntil);
      return;
    }
    if (!mEndpoint) {
      RecordConnectFailure(now);
      return;
    }
    while (mConnections.size() < wanted) {
      Connect(now);
    }
  }

  void Connect(TimePoint aNow)
  {
    auto connection = std::make_shared<Connection>(mStrand);
    connection->timeoutAt = aNow + mOptions.connectTimeout;
    ArmTimer(connection->timeoutAt);
    mConnections.push_back(connection);
    ++mConnectingCount;
    connection->socket.async_connect(
      *mEndpoint, [self = shared_from_this(), connection](error_code aError) {
        self->OnConnect(connection, aError);
      });
  }

  void OnConnect(const ConnectionPtr& aConnection, error_code aError)
  {
    if (aConnection->state != State::Connecting) {
      return;
    }
    if (!aError) {
      aConnection->socket.non_blocking(true, aError);
    }
    if (aError) {
      RemoveConnection(aConnection);
      RecordConnectFailure(Clock::now());
      AssignConnections();
      return;
    }
    aConnection->socket.set_option(asio::ip::tcp::no_delay(true), aError);
    --mConnectingCount;
    ++mStats.connectionsOpened;
    aConnection->state = State::Idle;
    mIdle.push_back(aConnection);
    StartRead(aConnection);
    Invoke(mOptions.onConnected);
    AssignConnections();
  }

  void RecordConnectFailure(TimePoint aNow)
  {
    ++mStats.connectFailures;
    if (aNow >= mBackoffUntil) {
      const auto factor = std::uniform_real_distribution<>(0.5, 1.0)(mRandom);
      mBackoffUntil =
        aNow + std::chrono::duration_cast<Duration>(mBackoff * factor);
      mBackoff = std::min(2 * mBackoff, mOptions.maxBackoff);
    }
    Invoke(mOptions.onConnectFailed);
  }

  /// Closes a connection and removes it from the pool. The caller takes care of
  /// its request.
  void RemoveConnection(const ConnectionPtr& aConnection)
  {
    if (aConnection->state == State::Connecting) {
      --mConnectingCount;
    }
    if (aConnection->state == State::Idle) {
      std::erase(mIdle, aConnection);
    }
    if (aConnection->state == State::Busy) {
      --mStats.busyConnections;
    }
    aConnection->state = State::Closed;
    error_code ec;
    aConnection->socket.close(ec);
    std::erase(mConnections, aConnection);
  }

  /// Closes idle connections above `maxConnections`.
  void CloseSurplusIdle()
  {
    while (!mIdle.empty() && mConnections.size() > mOptions.maxConnections) {
      RemoveConnection(ConnectionPtr(mIdle.front()));
    }
  }

  void CloseOnStrand()
  {
    mClosed = true;
    mTimer.cancel();
    const auto connections = mConnections;
    for (const auto& it : connections) {
      FailConnection(it, SendError::PoolClosed, AttemptEnd::ConnectionLost);
    }
    AssignConnections();
  }

  // --- requests ---

  void Dispatch(const ConnectionPtr& aConnection,
                std::unique_ptr<PendingRequest> aPending)
  {
    auto& request = aPending->request;
    Serialise(request, aConnection->writeBuffer);
    const auto now = Clock::now();
    if (request.maySend && !request.maySend()) {
      mIdle.push_back(aConnection);
      ReportUnsent(*aPending, SendError::Vetoed);
      return;
    }
    error_code ec;
    const auto n = aConnection->socket.write_some(
      asio::buffer(aConnection->writeBuffer), ec);
    if (ec) {
      // The kernel accepted no byte, so the request may be sent over another
      // connection.
      RemoveConnection(aConnection);
      RecordConnectionLoss(aConnection, false);
      if (++aPending->failedSends < kMaxSendTries) {
        mWaiting.push_front(std::move(aPending));
      } else {
        ReportUnsent(*aPending, SendError::ConnectFailed);
      }
      return;
    }
    ++mStats.requestsSent;
    ++mStats.busyConnections;
    mStats.bytesSent += aConnection->writeBuffer.size();
    aConnection->state = State::Busy;
    aConnection->unconfirmed = false;
    aConnection->firstByteAt = now;
    aConnection->timeoutAt = request.deadline;
    aConnection->currentRequest = std::move(aPending);
    ResetParser(*aConnection);
    ArmTimer(aConnection->timeoutAt);
    if (n < aConnection->writeBuffer.size()) {
      aConnection->writing = true;
      asio::async_write(aConnection->socket,
                        asio::buffer(aConnection->writeBuffer) + n,
                        [self = shared_from_this(),
                         connection = aConnection](error_code, std::size_t) {
                          // When a write fails, the pending read fails too and
                          // reports the loss.
                          connection->writing = false;
                        });
    }
  }

  void Serialise(const SendRequest& aRequest, std::string& aOut) const
  {
    aOut.clear();
    aOut.append(aRequest.method).append(" ").append(aRequest.target);
    aOut.append(" HTTP/1.1\r\nhost: ").append(mOptions.address);
    if (!aRequest.requestId.empty()) {
      aOut.append("\r\nx-request-id: ").append(aRequest.requestId);
    }
    for (const auto& it : aRequest.headers) {
      aOut.append("\r\n").append(it.first).append(": ").append(it.second);
    }
    if (aRequest.body) {
      aOut.append("\r\ncontent-length: ");
      AppendNumber(aOut, aRequest.body->size());
    } else if (aRequest.method != "GET" && aRequest.method != "DELETE") {
      aOut.append("\r\ncontent-length: 0");
    }
    aOut.append("\r\n\r\n");
    if (aRequest.body) {
      aOut.append(*aRequest.body);
    }
  }

  void StartRead(const ConnectionPtr& aConnection)
  {
    auto& buf = aConnection->readBuffer;
    if (buf.size() < aConnection->unparsedBytes + kReadChunkBytes / 2) {
      buf.resize(aConnection->unparsedBytes + kReadChunkBytes);
    }
    aConnection->socket.async_read_some(
      asio::buffer(buf.data() + aConnection->unparsedBytes,
                   buf.size() - aConnection->unparsedBytes),
      [self = shared_from_this(), connection = aConnection](error_code aError,
                                                            std::size_t aSize) {
        self->OnRead(connection, aError, aSize);
      });
  }

  void OnRead(const ConnectionPtr& aConnection,
              error_code aError,
              std::size_t aSize)
  {
    if (aConnection->state == State::Closed) {
      return;
    }
    mStats.bytesReceived += aSize;
    aConnection->unparsedBytes += aSize;
    if (aError) {
      OnEndOfStream(aConnection, aError);
      return;
    }
    if (aConnection->state != State::Busy) {
      // After data without a request in flight, the boundaries of later
      // responses can't be trusted.
      FailConnection(
        aConnection, SendError::Closed, AttemptEnd::ConnectionLost);
      AssignConnections();
      return;
    }
    if (!Parse(*aConnection)) {
      FailConnection(
        aConnection, SendError::BadAnswer, AttemptEnd::ConnectionLost);
      AssignConnections();
      return;
    }
    if (aConnection->parser->is_done()) {
      FinishResponse(aConnection);
      return;
    }
    StartRead(aConnection);
  }

  /// Takes a complete response for the answer to the request in flight, unless
  /// it states that it belongs to another send.
  void FinishResponse(const ConnectionPtr& aConnection)
  {
    if (AnswersCurrentRequest(*aConnection)) {
      OnResponse(aConnection);
      return;
    }
    FailConnection(
      aConnection, SendError::BadAnswer, AttemptEnd::ConnectionLost);
    AssignConnections();
  }

  /// Each send has an id of its own, so an answer with another id belongs to an
  /// earlier send. Servers that never state ids can't be checked.
  static bool AnswersCurrentRequest(Connection& aConnection)
  {
    const auto id = aConnection.parser->Result().Header("x-request-id");
    const auto& expected = aConnection.currentRequest->request.requestId;
    aConnection.statesRequestId =
      aConnection.statesRequestId || (!id.empty() && id == expected);
    return id.empty() ? expected.empty() || !aConnection.statesRequestId
                      : id == expected;
  }

  void ResetParser(Connection& aConnection) const
  {
    aConnection.parser.emplace();
    aConnection.parser->eager(true);
    aConnection.parser->body_limit(mOptions.maxResponseBodyBytes);
  }

  /// Feeds the received bytes to the parser. False when they are not valid HTTP
  /// or the body is too large.
  bool Parse(Connection& aConnection)
  {
    std::size_t used = 0;
    bool valid = true;
    while (used < aConnection.unparsedBytes && !aConnection.parser->is_done()) {
      error_code ec;
      const auto n = aConnection.parser->put(
        asio::buffer(aConnection.readBuffer.data() + used,
                     aConnection.unparsedBytes - used),
        ec);
      used += n;
      if (ec == http::error::need_more) {
        break;
      }
      if (ec) {
        valid = false;
        break;
      }
      if (aConnection.parser->is_done()) {
        const auto status = aConnection.parser->Result().status;
        valid = IsResponseStatus(status);
        if (!valid) {
          break;
        }
        if (status < 200) {
          // An interim response (1xx) precedes the final one.
          ResetParser(aConnection);
        }
      }
    }
    aConnection.unparsedBytes -= used;
    if (used > 0 && aConnection.unparsedBytes > 0) {
      std::memmove(aConnection.readBuffer.data(),
                   aConnection.readBuffer.data() + used,
                   aConnection.unparsedBytes);
    }
    return valid;
  }

  void OnEndOfStream(const ConnectionPtr& aConnection, error_code aError)
  {
    if (aConnection->state == State::Busy && aError == asio::error::eof &&
        aConnection->parser->is_header_done()) {
      // A response without a length ends with the connection.
      error_code ec;
      aConnection->parser->put_eof(ec);
      if (!ec && aConnection->parser->is_done()) {
        FinishResponse(aConnection);
        return;
      }
    }
    FailConnection(aConnection, SendError::Closed, AttemptEnd::ConnectionLost);
    AssignConnections();
  }

  void OnResponse(const ConnectionPtr& aConnection)
  {
    auto result = std::move(aConnection->parser->Result());
    const bool reusable = aConnection->parser->keep_alive() &&
                          !aConnection->writing &&
                          aConnection->unparsedBytes == 0 &&
                          mConnections.size() <= mOptions.maxConnections;
    const auto pending = std::move(aConnection->currentRequest);
    const bool unconfirmed = aConnection->unconfirmed;
    aConnection->hasAnswered = true;
    mBackoff = mOptions.initialBackoff;
    if (reusable) {
      --mStats.busyConnections;
      aConnection->state = State::Idle;
      mIdle.push_back(aConnection);
      StartRead(aConnection);
    } else {
      RemoveConnection(aConnection);
    }
    result.byteWritten = true;
    result.latency = Clock::now() - aConnection->firstByteAt;
    const auto latency = result.latency;
    if (unconfirmed) {
      --mStats.unconfirmedAttempts;
    } else {
      Invoke(pending->request.onResult, std::move(result));
    }
    Invoke(pending->request.onEnded, AttemptEnd::Answered, latency);
    AssignConnections();
  }

  /// Removes a connection and reports the failure of its request, if any.
  void FailConnection(const ConnectionPtr& aConnection,
                      SendError aError,
                      AttemptEnd aEnd)
  {
    const auto pending = std::move(aConnection->currentRequest);
    const bool connecting = aConnection->state == State::Connecting;
    const bool unconfirmed = aConnection->unconfirmed;
    RemoveConnection(aConnection);
    if (aError == SendError::Closed && !connecting) {
      RecordConnectionLoss(aConnection, pending != nullptr);
    }
    if (!pending) {
      return;
    }
    const auto latency = Clock::now() - aConnection->firstByteAt;
    if (unconfirmed) {
      --mStats.unconfirmedAttempts;
    } else {
      SendResult result;
      result.error = aError;
      result.byteWritten = true;
      result.latency = latency;
      Invoke(pending->request.onResult, std::move(result));
    }
    Invoke(pending->request.onEnded, aEnd, latency);
  }

  void RecordConnectionLoss(const ConnectionPtr& aConnection, bool aInFlight)
  {
    if (aInFlight || aConnection->hasAnswered) {
      ++mStats.connectionLosses;
      Invoke(mOptions.onConnectionLost, aInFlight);
    } else {
      RecordConnectFailure(Clock::now());
    }
  }

  void ReportUnsent(PendingRequest& aPending, SendError aError)
  {
    SendResult result;
    result.error = aError;
    Invoke(aPending.request.onResult, std::move(result));
    Invoke(aPending.request.onEnded, AttemptEnd::NotSent, Duration{});
  }

  void FailWaiting(SendError aError)
  {
    auto waiting = std::move(mWaiting);
    mWaiting.clear();
    for (const auto& it : waiting) {
      ReportUnsent(*it, aError);
    }
  }

  void CancelOnStrand(Handle aHandle)
  {
    if (aHandle == 0) {
      return;
    }
    const auto waiting =
      std::find_if(mWaiting.begin(), mWaiting.end(), [&](const auto& aPending) {
        return aPending->id == aHandle;
      });
    if (waiting != mWaiting.end()) {
      const auto pending = std::move(*waiting);
      mWaiting.erase(waiting);
      ReportUnsent(*pending, SendError::CancelledUnsent);
      AssignConnections();
      return;
    }
    const auto busy = std::find_if(
      mConnections.begin(), mConnections.end(), [&](const auto& aConnection) {
        return aConnection->currentRequest &&
               aConnection->currentRequest->id == aHandle;
      });
    if (busy != mConnections.end() && !(*busy)->unconfirmed) {
      ReportUnconfirmed(ConnectionPtr(*busy), SendError::Cancelled);
      AssignConnections();
    }
  }

  /// Reports a timeout or a cancellation to the caller and asks the server to
  /// cancel the request. The connection stays busy until the server has ended
  /// the work.
  void ReportUnconfirmed(const ConnectionPtr& aConnection, SendError aError)
  {
    const auto now = Clock::now();
    aConnection->unconfirmed = true;
    aConnection->timeoutAt = now + mOptions.unconfirmedTimeout;
    ++mStats.unconfirmedAttempts;
    ArmTimer(aConnection->timeoutAt);
    const auto& request = aConnection->currentRequest->request;
    if (!request.requestId.empty()) {
      auto cancel = std::make_unique<PendingRequest>();
      cancel->request.method = "DELETE";
      cancel->request.target = "/v1/requests/" + request.requestId;
      cancel->request.deadline = aConnection->timeoutAt;
      mWaiting.push_front(std::move(cancel));
    }
    SendResult result;
    result.error = aError;
    result.byteWritten = true;
    result.latency = now - aConnection->firstByteAt;
    Invoke(request.onResult, std::move(result));
  }

  // --- timer ---

  /// Makes `OnTimer` run at `aTime` or earlier.
  void ArmTimer(TimePoint aTime)
  {
    if (aTime >= mTimerDue || mClosed) {
      return;
    }
    mTimerDue = aTime;
    mTimer.expires_at(aTime);
    mTimer.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError) {
        self->OnTimer();
      }
    });
  }

  void OnTimer()
  {
    mTimerDue = TimePoint::max();
    const auto now = Clock::now();
    const auto connections = mConnections;
    for (const auto& it : connections) {
      if (it->state == State::Connecting && it->timeoutAt <= now) {
        RemoveConnection(it);
        RecordConnectFailure(now);
      } else if (it->state == State::Busy && it->timeoutAt <= now) {
        if (it->unconfirmed) {
          FailConnection(it, SendError::Timeout, AttemptEnd::GivenUp);
        } else {
          ReportUnconfirmed(it, SendError::Timeout);
        }
      }
    }
    std::vector<std::unique_ptr<PendingRequest>> expired;
    for (auto& it : mWaiting) {
      if (it->request.deadline <= now) {
        expired.push_back(std::move(it));
      }
    }
    std::erase(mWaiting, nullptr);
    for (const auto& it : expired) {
      ReportUnsent(*it, SendError::NoConnection);
    }
    for (const auto& it : mConnections) {
      if (it->state != State::Idle) {
        ArmTimer(it->timeoutAt);
      }
    }
    AssignConnections();
  }

  template<typename F, typename... Args>
  static void Invoke(const F& aFunction, Args&&... aArguments)
  {
    if (aFunction) {
      aFunction(std::forward<Args>(aArguments)...);
    }
  }

  Strand mStrand;
  ServerPoolOptions mOptions;
  Timer mTimer;
  std::minstd_rand mRandom;
  Duration mBackoff;
  std::atomic<Handle> mNextId{ 1 };
  AtomicStats mStats;

  // Used on the strand only.
  std::optional<asio::ip::tcp::endpoint> mEndpoint;
  std::vector<ConnectionPtr> mConnections;
  std::size_t mConnectingCount = 0;
  /// Used last in, first out, so that the data of few connections stays in the
  /// CPU caches.
  std::vector<ConnectionPtr> mIdle;
  std::deque<std::unique_ptr<PendingRequest>> mWaiting;
  TimePoint mBackoffUntil;
  TimePoint mTimerDue = TimePoint::max();
  bool mClosed = false;
};

ServerPool::ServerPool(asio::io_context& aContext, ServerPoolOptions aOptions)
  : mImpl(std::make_shared<Impl>(aContext, std::move(aOptions)))
{
  mImpl->Start();
}

ServerPool::~ServerPool()
{
  mImpl->Close();
}

ServerPool::Handle ServerPool::AsyncSend(SendRequest aRequest)
{
  return mImpl->Send(std::move(aRequest));
}

void ServerPool::Cancel(Handle aHandle)
{
  mImpl->Cancel(aHandle);
}

void ServerPool::SetConnectionLimits(unsigned aMax, unsigned aMin)
{
  mImpl->SetConnectionLimits(aMax, aMin);
}

void ServerPool::Close()
{
  mImpl->Close();
}

ServerPoolStats ServerPool::Stats() const
{
  return mImpl->Stats();
}

} // namespace bronzedeal::connection
