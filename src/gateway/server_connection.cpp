#include "bronzedeal/gateway/server_connection.hpp"

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

/// A server whose packets aren't acknowledged for this long is given up; above
/// the pauses of sound servers (150 ms) and the repeats of lost packets.
constexpr auto kSilence = milliseconds(1500);
/// Read at once; above the usual response of some kilobytes.
constexpr std::size_t kReadBytes = 16'384;
constexpr std::uint32_t kMaxHeaderBytes = 65'536;
/// Time before the end of a server's idle timeout from which a connection isn't
/// used again, since a request may cross the close.
constexpr auto kIdleMargin = milliseconds(700);

/// The `timeout` parameter of a Keep-Alive header, in seconds.
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
                                   std::size_t aMaxResponseBody)
  : mSocket(aContext)
  , mTimers(aTimers)
  , mMaxResponseBody(aMaxResponseBody)
{
}

void ServerConnection::Connect(const asio::ip::tcp::endpoint& aEndpoint,
                               Duration aTimeout,
                               ConnectHandler aHandler)
{
  mConnected = std::move(aHandler);
  auto self = shared_from_this();
  mConnectTimer = mTimers.At(std::chrono::steady_clock::now() + aTimeout,
                             [self] { self->Close(); });
  mSocket.async_connect(aEndpoint, [self](const error_code& aError) {
    self->mTimers.Cancel(self->mConnectTimer);
    if (!self->mConnected) {
      return;
    }
    error_code ec = aError;
    if (!ec) {
      SetConnectionOptions(self->mSocket, kSilence, ec);
      self->mSocket.non_blocking(true, ec);
    }
    self->mOpen = !ec;
    self->mRestsSince = std::chrono::steady_clock::now();
    if (ec) {
      error_code ignored;
      self->mSocket.close(ignored); // the connection is given up already
    } else {
      self->Watch();
    }
    std::exchange(self->mConnected, nullptr)(!ec);
  });
}

void ServerConnection::Send(std::string aBytes,
                            bool aHeadOnly,
                            SendHandler aHandler)
{
  mOut = std::move(aBytes);
  mSent = std::move(aHandler);
  mHeadOnly = aHeadOnly;
  mParser.emplace();
  mParser->eager(true);
  mParser->body_limit(mMaxResponseBody);
  mParser->header_limit(kMaxHeaderBytes);
  mParser->skip(aHeadOnly);
  Write(0);
}

void ServerConnection::Write(std::size_t aFrom)
{
  error_code ec;
  const auto n = mSocket.write_some(
    asio::buffer(mOut.data() + aFrom, mOut.size() - aFrom), ec);
  if (ec && ec != asio::error::would_block) {
    // The response may have come before the write failed.
    return;
  }
  if (aFrom + n == mOut.size()) {
    return;
  }
  mWriting = true;
  mSocket.async_wait(
    asio::ip::tcp::socket::wait_write,
    [self = shared_from_this(), from = aFrom + n](const error_code& aError) {
      self->mWriting = false;
      if (!aError && self->mSent) {
        self->Write(from);
      }
    });
}

void ServerConnection::Close()
{
  mTimers.Cancel(mConnectTimer);
  mOpen = false;
  error_code ec;
  mSocket.close(ec); // fails only when it is closed already
  if (mConnected) {
    std::exchange(mConnected, nullptr)(false);
  }
  if (mSent) {
    std::exchange(mSent, nullptr)(SendResult::Broken, nullptr);
  }
}

void ServerConnection::OnIdleClose(std::function<void()> aHandler)
{
  mIdleClosed = std::move(aHandler);
}

bool ServerConnection::Reusable(TimePoint aNow) const noexcept
{
  return mOpen && mKeep && !mSent && aNow < mIdleUntil;
}

void ServerConnection::Watch()
{
  mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& aError) {
                       if (!aError && self->mOpen) {
                         self->OnReadable();
                       }
                     });
}

void ServerConnection::OnReadable()
{
  std::array<char, kReadBytes> buf; // NOLINT: filled by the read
  error_code ec;
  const auto n = mSocket.read_some(asio::buffer(buf), ec);
  if (ec == asio::error::would_block) {
    Watch();
    return;
  }
  if (!mSent) {
    // Bytes or an end with no request waiting: the connection is of no use.
    Fail();
    return;
  }
  mIn.append(buf.data(), n);
  if (ec && ec != asio::error::eof) {
    Fail();
    return;
  }
  Consume(ec == asio::error::eof);
}

void ServerConnection::Consume(bool aEnd)
{
  error_code ec;
  while (!mIn.empty() && !mParser->is_done()) {
    const auto n = mParser->put(asio::buffer(mIn), ec);
    mIn.erase(0, n);
    if (ec == http::error::need_more) {
      ec = {};
      break;
    }
    if (ec) {
      Fail();
      return;
    }
    if (mParser->is_done() && SkipInterim()) {
      continue;
    }
    if (n == 0) {
      break;
    }
  }
  if (!mParser->is_done() && aEnd) {
    mKeep = false;
    if (mParser->got_some()) {
      mParser->put_eof(ec);
    }
    if (ec || !mParser->is_done()) {
      Fail();
      return;
    }
  }
  if (mParser->is_done()) {
    mKeep = mKeep && !aEnd;
    FinishResponse();
    return;
  }
  Watch();
}

bool ServerConnection::SkipInterim()
{
  if (mParser->get().result_int() >= 200) {
    return false;
  }
  mParser.emplace();
  mParser->eager(true);
  mParser->body_limit(mMaxResponseBody);
  mParser->header_limit(kMaxHeaderBytes);
  mParser->skip(mHeadOnly);
  return true;
}

void ServerConnection::FinishResponse()
{
  auto response = mParser->release();
  mParser.reset();
  // Bytes after the response, or a response before the request was written,
  // leave the connection in a state that no request should meet.
  mKeep = mKeep && response.keep_alive() && mIn.empty() && !mWriting;
  mRestsSince = std::chrono::steady_clock::now();
  if (const auto seconds = KeepAliveSeconds(response)) {
    mIdleUntil = mRestsSince + std::chrono::seconds(*seconds) - kIdleMargin;
  }
  if (mKeep) {
    Watch();
  } else {
    mOpen = false;
    error_code ec;
    mSocket.close(ec); // fails only when it is closed already
  }
  std::exchange(mSent, nullptr)(SendResult::Answered, &response);
}

void ServerConnection::Fail()
{
  const bool idle = mOpen && !mSent && !mConnected;
  auto self = shared_from_this();
  Close();
  if (idle && mIdleClosed) {
    mIdleClosed();
  }
}

} // namespace bronzedeal::gateway
