#include "http_connection.hpp"

#include "bronzedeal/gateway/connection_options.hpp"
#include "bronzedeal/gateway/error_boundary.hpp"
#include "bronzedeal/http_framing.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <charconv>

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
/// Capacity of a buffer that an idle connection keeps.
constexpr std::size_t kKeptBufferBytes = 2048;
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
/// A caller that states a longer time must have taken its reply by then.
constexpr milliseconds kMaxReplyTime = std::chrono::seconds(30);
/// Number of requests of one connection that are answered before the exit.
constexpr std::size_t kMaxConcludedRequests = 16;
/// A string that grows may take this multiple of its size.
constexpr std::size_t kBufferGrowth = 2;
/// Memory of one field of a request beside its text.
constexpr std::size_t kFieldNodeBytes = 128;
/// A request in progress also holds its fields and its body as servers get
/// them; a body that has grown may take twice its size.
constexpr std::size_t kFieldCopies = 2;
constexpr std::size_t kBodyCopies = 3;
/// Time after which a caller should return when there was no memory for its
/// request; another instance may have room.
constexpr auto kShedRetryDelay = milliseconds(100);

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

/// Memory that the fields of a request take.
std::size_t FieldBytes(const http::fields& aFields)
{
  std::size_t bytes = 0;
  for (const auto& it : aFields) {
    const auto textBytes = it.name_string().size() + it.value().size();
    bytes += kFieldNodeBytes + kFieldCopies * textBytes;
  }
  return bytes;
}

/// Frees a buffer that an ordinary request doesn't need. An idle connection
/// keeps the others, so that they aren't allocated for each request.
void TrimBuffer(std::string& aBuffer)
{
  if (aBuffer.empty() && aBuffer.capacity() > kKeptBufferBytes) {
    std::string().swap(aBuffer);
  }
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

HttpListener::Connection::Connection(std::shared_ptr<Impl> aListener,
                                     tcp::socket aSocket)
  : mListener(std::move(aListener))
  , mSocket(std::move(aSocket))
  , mCharge(mListener->memory)
{
}

void HttpListener::Connection::Start()
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

void HttpListener::Connection::OnInternalError(const std::exception& aError)
{
  auto& process = mListener->process;
  process.metrics.Add(process::Counter::InternalErrors);
  process.log.Write("internal_error", { { "reason", aError.what() } });
  OnCallerDisconnected();
}

void HttpListener::Connection::Conclude()
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

void HttpListener::Connection::CloseIfIdle()
{
  ReadArrived();
  if (!HasRequest()) {
    Close();
  }
}

void HttpListener::Connection::ReadArrived()
{
  do {
    Parse();
  } while (mIsOpen && !mRequestInProgress && (HasNextRequest() || Read()));
}

void HttpListener::Connection::BeginRequest()
{
  mRequestStarted = false;
  mIdleSince = steady_clock::now();
  RestartTimer(mListener->limits.idleTimeout);
  EnterWaitList(mListener->awaitingRequest);
}

void HttpListener::Connection::ResetParser()
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

void HttpListener::Connection::RestartTimer(milliseconds aWait)
{
  RestartTimer(steady_clock::now() + aWait);
}

void HttpListener::Connection::RestartTimer(TimePoint aWhen)
{
  auto& timers = mListener->process.timers;
  timers.Cancel(mTimer);
  mTimer = timers.Schedule(aWhen, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->mTimer = {};
      self->OnTimeout();
    }
  });
}

void HttpListener::Connection::OnTimeout()
{
  const auto now = steady_clock::now();
  const auto idleEnd = mIdleSince + mListener->limits.idleTimeout;
  if (IsAwaitingReader()) {
    mListener->process.metrics.Add(process::Counter::RepliesShed);
    Close();
  } else if (ReadAwaitedRequest()) {
    // It arrived during a delay of the event loop.
    return;
  } else if (mRequestStarted) {
    RejectUnreadable(408);
  } else if (now < idleEnd) {
    // The timeout has been raised meanwhile.
    RestartTimer(std::chrono::ceil<milliseconds>(idleEnd - now));
  } else {
    Close();
  }
}

void HttpListener::Connection::WaitReadable()
{
  if (mIsWaitingReadable || !mIsOpen) {
    return;
  }
  mIsWaitingReadable = true;
  mSocket.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& aError) {
                       self->mIsWaitingReadable = false;
                       if (!aError && self->mIsOpen) {
                         RunWithRecovery([&] { self->OnReadable(); },
                                         [&] { self->OnCallerDisconnected(); });
                       }
                     });
}

bool HttpListener::Connection::Read()
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

bool HttpListener::Connection::ReadAwaitedRequest()
{
  const bool wasIdle = !mRequestStarted;
  while (mIsOpen && Read()) {
    Parse();
    if (wasIdle || !mRequestStarted || mRequestInProgress) {
      return true;
    }
  }
  return !mIsOpen;
}

void HttpListener::Connection::OnReadable()
{
  if (Read() && !mRequestInProgress) {
    Parse();
  }
  if (!mRequestInProgress ||
      (mReadBuffer.size() < kMaxPipelinedBytes && UpdateCharge())) {
    WaitReadable();
  }
}

void HttpListener::Connection::OnCallerDisconnected()
{
  const auto exchange = std::exchange(mExchange, nullptr);
  Close();
  if (exchange) {
    exchange->Cancel();
  }
}

void HttpListener::Connection::Parse()
{
  if (mReadBuffer.empty() || mRequestInProgress || !mIsOpen) {
    return;
  }
  if (!mRequestStarted) {
    mRequestStarted = true;
    ResetParser();
    mReceivedAt = steady_clock::now();
    RestartTimer(mListener->limits.headerTimeout);
    EnterWaitList(mListener->awaitingRequest);
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
  } else if (!UpdateCharge()) {
    Shed();
  } else if (mParser->is_done()) {
    Dispatch();
  }
}

void HttpListener::Connection::Dispatch()
{
  auto& process = mListener->process;
  process.timers.Cancel(mTimer);
  LeaveWaitList();
  CallerRequest request;
  request.message = mParser->release();
  mParser.reset();
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
  mReplyDeadline = std::min(request.callerDeadline.value_or(mReceivedAt),
                            mReceivedAt + kMaxReplyTime);
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

void HttpListener::Connection::OnReply(const CallerReply& aReply)
{
  mReplyStarted = true;
  mExchange = nullptr;
  mCloseAfterReply =
    mCloseAfterReply || (mListener->draining && mReadBuffer.empty());
  mWriteBuffer = Serialize(aReply, mCloseAfterReply, mIsHeadRequest);
  Write(0);
}

bool HttpListener::Connection::UpdateCharge()
{
  if (mParser) {
    const auto& message = mParser->get();
    // Trailers are added to the fields at the end.
    if (!mIsHeaderCounted || mParser->is_done()) {
      mFieldBytes = FieldBytes(message);
      mIsHeaderCounted = mParser->is_header_done();
    }
    mRequestBytes = mFieldBytes + kBodyCopies * message.body().size();
  }
  return mCharge.TryResize(kBufferGrowth * mReadBuffer.size() + mRequestBytes +
                           mReplyBytes);
}

void HttpListener::Connection::ForgetRequest()
{
  mParser.reset();
  mFieldBytes = 0;
  mIsHeaderCounted = false;
  mRequestBytes = 0;
  mCharge.Release();
}

void HttpListener::Connection::Shed()
{
  mListener->process.metrics.Add(process::Counter::RequestsShed);
  Reject(RefusedReply("unfinished requests hold the memory", kShedRetryDelay));
}

void HttpListener::Connection::RejectUnreadable(unsigned aStatus)
{
  Reject(TextReply(aStatus, "the request can't be read"));
}

void HttpListener::Connection::Reject(const CallerReply& aReply)
{
  mListener->process.log.Write(
    "request_rejected",
    { { "status", static_cast<std::int64_t>(aReply.status) } });
  mListener->process.timers.Cancel(mTimer);
  std::string().swap(mReadBuffer);
  ForgetRequest();
  mRequestInProgress = true;
  ++mListener->busyConnections;
  mCloseAfterReply = true;
  mWriteBuffer = Serialize(aReply, true, false);
  Write(0);
}

void HttpListener::Connection::Write(std::size_t aFrom)
{
  if (!mIsOpen) {
    return;
  }
  error_code ec;
  const auto n = mSocket.write_some(
    asio::buffer(mWriteBuffer.data() + aFrom, mWriteBuffer.size() - aFrom), ec);
  if (ec && ec != asio::error::would_block) {
    OnCallerDisconnected();
    return;
  }
  if (aFrom + n == mWriteBuffer.size()) {
    OnWritten();
    return;
  }
  if (!IsAwaitingReader()) {
    // The reply stays until the caller reads it; the request is done.
    ForgetRequest();
    mReplyBytes = mWriteBuffer.size();
    if (!UpdateCharge()) {
      mListener->process.metrics.Add(process::Counter::RepliesShed);
      Close();
      return;
    }
    EnterWaitList(mListener->awaitingReader);
    RestartTimer(std::max(mReplyDeadline,
                          steady_clock::now() + mListener->limits.idleTimeout));
  }
  mSocket.async_wait(
    tcp::socket::wait_write,
    [self = shared_from_this(), from = aFrom + n](const error_code& aError) {
      if (!aError) {
        self->Write(from);
      }
    });
}

void HttpListener::Connection::OnWritten()
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

void HttpListener::Connection::EndRequest()
{
  mReplyBytes = 0;
  ForgetRequest();
  TrimBuffer(mReadBuffer);
  mWriteBuffer.clear();
  TrimBuffer(mWriteBuffer);
  if (mRequestInProgress) {
    mRequestInProgress = false;
    --mListener->busyConnections;
  }
  mReplyStarted = false;
}

void HttpListener::Connection::EnterWaitList(std::list<Connection*>& aList)
{
  LeaveWaitList();
  mWaitPosition = aList.insert(aList.end(), this);
  mWaitList = &aList;
}

void HttpListener::Connection::LeaveWaitList()
{
  if (mWaitList != nullptr) {
    mWaitList->erase(mWaitPosition);
    mWaitList = nullptr;
  }
}

void HttpListener::Connection::Close()
{
  if (!mIsOpen) {
    return;
  }
  mIsOpen = false;
  LeaveWaitList();
  EndRequest();
  mListener->process.timers.Cancel(mTimer);
  error_code ec;
  mSocket.close(ec); // Fails only if it is already closed.
  mListener->connections.erase(shared_from_this());
}

} // namespace bronzedeal::gateway
