#include "bronzedeal/gateway/server_connection.hpp"

#include "bronzedeal/gateway/error_boundary.hpp"
#include "bronzedeal/http_framing.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>

namespace bronzedeal::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// The connection ends if the server acknowledges no data for this long. Above
/// the pauses of healthy servers (150 ms) and TCP retransmissions.
constexpr auto kUnacknowledgedTimeout = milliseconds(1500);
/// Size of one read; above the typical response of some kilobytes.
constexpr std::size_t kReadBufferBytes = 16'384;
constexpr std::uint32_t kMaxHeaderBytes = 65'536;
/// Unparsed bytes: above the headers, a longer line of a chunk or of trailers
/// is no response.
constexpr std::size_t kMaxUnparsedBytes = kMaxHeaderBytes + kReadBufferBytes;
/// Interim (1xx) responses before the response to one request.
constexpr unsigned kMaxInterimResponses = 16;
/// A connection is not reused within this time before the end of the server's
/// idle timeout, because the server may close it while a request is on the way.
constexpr auto kIdleTimeoutMargin = milliseconds(700);

/// Returns the `timeout` parameter of a Keep-Alive header, in seconds.
std::optional<unsigned> KeepAliveSeconds(const ResponseMessage& aResponse)
{
  const auto value = aResponse[http::field::keep_alive];
  const auto at = value.find("timeout=");
  if (at == boost::beast::string_view::npos) {
    return std::nullopt;
  }
  unsigned seconds = 0;
  const char* first = value.data() + at + 8;
  const auto [end, ec] =
    std::from_chars(first, value.data() + value.size(), seconds);
  return ec == std::errc{} ? std::optional(seconds) : std::nullopt;
}

} // namespace

ServerConnection::ServerConnection(asio::io_context& aContext,
                                   TimerQueue& aTimers,
                                   MemoryBudget& aMemory,
                                   ConnectionCount& aCount,
                                   std::size_t aMaxResponseBodyBytes)
  : mSocket(aContext)
  , mTimers(aTimers)
  , mMaxResponseBodyBytes(aMaxResponseBodyBytes)
  , mCharge(aMemory)
  , mCountHolder(aCount)
{
}

void ServerConnection::Connect(const asio::ip::tcp::endpoint& aEndpoint,
                               Duration aTimeout,
                               ConnectHandler aHandler)
{
  mConnectHandler = std::move(aHandler);
  auto self = shared_from_this();
  mConnectTimer = mTimers.Schedule(std::chrono::steady_clock::now() + aTimeout,
                                   [self] { self->Close(); });
  mSocket.async_connect(aEndpoint, [self](const error_code& aError) {
    self->mTimers.Cancel(self->mConnectTimer);
    if (!self->mConnectHandler) {
      return;
    }
    error_code ec = aError;
    if (!ec) {
      SetConnectionOptions(self->mSocket, kUnacknowledgedTimeout, ec);
      self->mSocket.non_blocking(true, ec);
    }
    self->mIsOpen = !ec;
    self->mOpenedAt = std::chrono::steady_clock::now();
    self->mIdleSince = self->mOpenedAt;
    if (ec) {
      error_code ignored;
      self->mSocket.close(ignored); // The connection has failed anyway.
    } else {
      self->WaitReadable();
    }
    std::exchange(self->mConnectHandler, nullptr)(!ec);
  });
}

void ServerConnection::Send(std::string aHead,
                            std::shared_ptr<const std::string> aBody,
                            bool aIsHeadRequest,
                            SendHandler aHandler)
{
  mHead = std::move(aHead);
  mBody = std::move(aBody);
  mSendHandler = std::move(aHandler);
  mIsHeadRequest = aIsHeadRequest;
  mInterimCount = 0;
  ResetParser();
  Write(0);
}

void ServerConnection::ResetParser()
{
  mParser.emplace();
  mParser->eager(true);
  mParser->body_limit(mMaxResponseBodyBytes);
  mParser->header_limit(kMaxHeaderBytes);
  mParser->skip(mIsHeadRequest);
}

void ServerConnection::Write(std::size_t aFrom)
{
  const auto body = mBody ? asio::buffer(*mBody) : asio::const_buffer();
  const auto headBytes = std::min(aFrom, mHead.size());
  const std::array<asio::const_buffer, 2> unsent{
    asio::buffer(mHead) + headBytes, body + (aFrom - headBytes)
  };
  error_code ec;
  // Most requests have no body; a single buffer needs no gathering write.
  const auto n = mBody ? mSocket.write_some(unsent, ec)
                       : mSocket.write_some(unsent.front(), ec);
  if (ec && ec != asio::error::would_block) {
    // The server may have sent a response before the write failed; the pending
    // read delivers it or the error.
    return;
  }
  if (aFrom + n == mHead.size() + body.size()) {
    ForgetRequest();
    return;
  }
  mIsWriting = true;
  mSocket.async_wait(
    asio::ip::tcp::socket::wait_write,
    [self = shared_from_this(), from = aFrom + n](const error_code& aError) {
      self->mIsWriting = false;
      if (!aError && self->mSendHandler) {
        self->Write(from);
      }
    });
}

void ServerConnection::ForgetRequest()
{
  std::string().swap(mHead);
  mBody.reset();
}

void ServerConnection::Close()
{
  ForgetRequest();
  mTimers.Cancel(mConnectTimer);
  mIsOpen = false;
  mCharge.Release();
  error_code ec;
  mSocket.close(ec); // Fails only if it is already closed.
  if (mConnectHandler) {
    std::exchange(mConnectHandler, nullptr)(false);
  }
  if (mSendHandler) {
    std::exchange(mSendHandler, nullptr)(SendResult::Broken, nullptr);
  }
}

void ServerConnection::SetIdleCloseHandler(std::function<void()> aHandler)
{
  mIdleCloseHandler = std::move(aHandler);
}

void ServerConnection::SetInterimHandler(
  std::function<void(const ResponseMessage&)> aHandler)
{
  mInterimHandler = std::move(aHandler);
}

bool ServerConnection::IsReusable(TimePoint aNow) const noexcept
{
  return mIsOpen && mKeepAlive && !mSendHandler && aNow < mReusableUntil;
}

void ServerConnection::WaitReadable()
{
  mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& aError) {
                       if (!aError && self->mIsOpen) {
                         RunWithRecovery([&] { self->OnReadable(); },
                                         [&] { self->CloseOnError(); });
                       }
                     });
}

void ServerConnection::OnReadable()
{
  std::array<char, kReadBufferBytes> buf; // NOLINT: filled by the read
  error_code ec;
  const auto n = mSocket.read_some(asio::buffer(buf), ec);
  if (ec == asio::error::would_block) {
    WaitReadable();
    return;
  }
  if (!mSendHandler) {
    // Bytes or the end of the stream without a request in progress: the
    // connection is unusable.
    CloseOnError();
    return;
  }
  mReadBuffer.append(buf.data(), n);
  if (!mCharge.TryGrow(n)) {
    CloseOnError();
    return;
  }
  if (ec && ec != asio::error::eof) {
    CloseOnError();
    return;
  }
  ParseInput(ec == asio::error::eof);
}

void ServerConnection::ParseInput(bool aEndOfStream)
{
  error_code ec;
  while (!mReadBuffer.empty() && !mParser->is_done()) {
    const auto n = mParser->put(asio::buffer(mReadBuffer), ec);
    mReadBuffer.erase(0, n);
    if (ec == http::error::need_more) {
      ec = {};
      break;
    }
    if (ec) {
      CloseOnError();
      return;
    }
    if (mParser->is_done() && !IsResponseStatus(mParser->get().result_int())) {
      CloseOnError();
      return;
    }
    if (mParser->is_done() && SkipInterimResponse()) {
      if (++mInterimCount > kMaxInterimResponses) {
        CloseOnError();
        return;
      }
      continue;
    }
    if (n == 0) {
      break;
    }
  }
  if (mReadBuffer.size() > kMaxUnparsedBytes) {
    CloseOnError();
    return;
  }
  if (!mParser->is_done() && aEndOfStream) {
    mKeepAlive = false;
    if (mParser->got_some()) {
      mParser->put_eof(ec);
    }
    if (ec || !mParser->is_done()) {
      CloseOnError();
      return;
    }
  }
  if (mParser->is_done()) {
    if (!HasKnownFraming(mParser->get())) {
      CloseOnError();
      return;
    }
    mKeepAlive = mKeepAlive && !aEndOfStream;
    FinishResponse();
    return;
  }
  WaitReadable();
}

bool ServerConnection::SkipInterimResponse()
{
  if (mParser->get().result_int() >= 200) {
    return false;
  }
  if (mInterimHandler) {
    mInterimHandler(mParser->get());
  }
  ResetParser();
  return true;
}

void ServerConnection::FinishResponse()
{
  mCharge.Release();
  ForgetRequest();
  auto response = mParser->release();
  mParser.reset();
  // After surplus bytes, or a response before the whole request was written,
  // the state of the connection is unknown: don't reuse it.
  mKeepAlive =
    mKeepAlive && response.keep_alive() && mReadBuffer.empty() && !mIsWriting;
  mIdleSince = std::chrono::steady_clock::now();
  if (const auto seconds = KeepAliveSeconds(response)) {
    mReusableUntil =
      mIdleSince + std::chrono::seconds(*seconds) - kIdleTimeoutMargin;
  }
  if (mKeepAlive) {
    WaitReadable();
  } else {
    mIsOpen = false;
    error_code ec;
    mSocket.close(ec); // Fails only if it is already closed.
  }
  std::exchange(mSendHandler, nullptr)(SendResult::Answered, &response);
}

void ServerConnection::CloseOnError()
{
  const bool idle = mIsOpen && !mSendHandler && !mConnectHandler;
  auto self = shared_from_this();
  Close();
  if (idle && mIdleCloseHandler) {
    mIdleCloseHandler();
  }
}

} // namespace bronzedeal::gateway
