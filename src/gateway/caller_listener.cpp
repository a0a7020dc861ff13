#include "bronzedeal/gateway/caller_listener.hpp"

#include "bronzedeal/gateway/connection_options.hpp"

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

/// A caller that doesn't acknowledge bytes for this long has gone.
constexpr auto kSilence = milliseconds(5000);
constexpr std::size_t kReadBytes = 8192;
/// Open connections of callers; the descriptors above go to servers.
constexpr std::size_t kMaxConnections = 2048;
/// Bytes of following requests that are read while one is in progress.
constexpr std::size_t kMaxPipelined = 65'536;
/// Connections are accepted again this long after the system refused one.
constexpr auto kAcceptPause = milliseconds(20);

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

unsigned StatusOf(const error_code& aError)
{
  if (aError == http::error::body_limit) {
    return 413;
  }
  return aError == http::error::header_limit ? 431 : 400;
}

} // namespace

struct CallerListener::Impl : std::enable_shared_from_this<Impl>
{
  Impl(Process& aProcess, RequestHandler aHandler)
    : process(aProcess)
    , acceptor(aProcess.context)
    , handler(std::move(aHandler))
  {
  }

  void Accept();

  Process& process;
  tcp::acceptor acceptor;
  RequestHandler handler;
  CallerLimits limits;
  std::set<std::shared_ptr<Connection>> connections;
  std::size_t busy = 0;
  bool draining = false;
};

/// One caller's connection.
class CallerListener::Connection
  : public std::enable_shared_from_this<Connection>
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
    SetConnectionOptions(mSocket, kSilence, ec);
    mSocket.non_blocking(true, ec);
    if (ec) {
      Close();
      return;
    }
    BeginRequest();
    Watch();
  }

  void CloseIfIdle()
  {
    if (!mBusy && !mStarted && mIn.empty()) {
      Close();
    }
  }

private:
  using Parser = http::request_parser<http::string_body>;

  void BeginRequest()
  {
    const auto& limits = mListener->limits;
    mParser.emplace();
    mParser->eager(true);
    mParser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    mParser->body_limit(limits.bodyBytes);
    mStarted = false;
    SetTimer(limits.idleTimeout);
  }

  void SetTimer(milliseconds aWait)
  {
    auto& timers = mListener->process.timers;
    timers.Cancel(mTimer);
    mTimer = timers.At(steady_clock::now() + aWait, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->mTimer = {};
        self->OnTimeout();
      }
    });
  }

  void OnTimeout()
  {
    if (mStarted) {
      Reject(408);
    } else {
      Close();
    }
  }

  void Watch()
  {
    if (mWatching || !mOpen) {
      return;
    }
    mWatching = true;
    mSocket.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& aError) {
                         self->mWatching = false;
                         if (!aError && self->mOpen) {
                           self->OnReadable();
                         }
                       });
  }

  void OnReadable()
  {
    std::array<char, kReadBytes> buf; // NOLINT: filled by the read
    error_code ec;
    const auto n = mSocket.read_some(asio::buffer(buf), ec);
    if (ec == asio::error::would_block) {
      Watch();
      return;
    }
    if (ec) {
      OnCallerGone();
      return;
    }
    mIn.append(buf.data(), n);
    if (mBusy) {
      if (mIn.size() < kMaxPipelined) {
        Watch();
      }
      return;
    }
    Parse();
    Watch();
  }

  void OnCallerGone()
  {
    const auto exchange = std::exchange(mExchange, nullptr);
    Close();
    if (exchange) {
      exchange->Abandon();
    }
  }

  void Parse()
  {
    if (mIn.empty() || mBusy || !mOpen) {
      return;
    }
    if (!mStarted) {
      mStarted = true;
      mReceived = steady_clock::now();
      SetTimer(mListener->limits.headerTimeout);
    }
    error_code ec;
    while (!mIn.empty() && !mParser->is_done()) {
      const auto n = mParser->put(asio::buffer(mIn), ec);
      mIn.erase(0, n);
      if (ec == http::error::need_more) {
        ec = {};
        break;
      }
      if (ec || n == 0) {
        break;
      }
    }
    if (ec) {
      Reject(StatusOf(ec));
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
    request.received = mReceived;
    const auto& names = process.settings.headerNames;
    request.requestId = std::string(request.message[names.requestId]);
    if (const auto left = ParseInteger(request.message[names.timeLeft])) {
      request.callerDeadline =
        mReceived + milliseconds(std::max<std::int64_t>(0, *left));
    }
    mClose = !request.message.keep_alive();
    mHeadOnly = request.message.method() == http::verb::head;
    mBusy = true;
    ++mListener->busy;
    auto exchange = mListener->handler(
      std::move(request), [weak = weak_from_this()](CallerReply aReply) {
        if (const auto self = weak.lock()) {
          self->OnReply(aReply);
        }
      });
    if (mBusy && !mReplied) {
      mExchange = std::move(exchange);
    }
  }

  void OnReply(const CallerReply& aReply)
  {
    mReplied = true;
    mExchange = nullptr;
    mClose = mClose || mListener->draining;
    mOut = Serialize(aReply, mClose, mHeadOnly);
    Write(0);
  }

  /// An answer to a request that can't be read; the connection ends with it.
  void Reject(unsigned aStatus)
  {
    mListener->process.log.Write(
      "request_rejected", { { "status", static_cast<std::int64_t>(aStatus) } });
    mListener->process.timers.Cancel(mTimer);
    mBusy = true;
    ++mListener->busy;
    mClose = true;
    mOut =
      Serialize(OwnReply(aStatus, "the request can't be read"), true, false);
    Write(0);
  }

  void Write(std::size_t aFrom)
  {
    if (!mOpen) {
      return;
    }
    error_code ec;
    const auto n = mSocket.write_some(
      asio::buffer(mOut.data() + aFrom, mOut.size() - aFrom), ec);
    if (ec && ec != asio::error::would_block) {
      OnCallerGone();
      return;
    }
    if (aFrom + n == mOut.size()) {
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
    EndBusy();
    if (mClose) {
      // Unread bytes would turn the close into a reset that may overtake the
      // answer.
      error_code ec;
      mSocket.shutdown(tcp::socket::shutdown_send, ec);
      Close();
      return;
    }
    BeginRequest();
    // A pipelined request must not recurse through a chain of replies.
    asio::post(mSocket.get_executor(), [self = shared_from_this()] {
      self->Parse();
      self->Watch();
    });
  }

  void EndBusy()
  {
    if (mBusy) {
      mBusy = false;
      --mListener->busy;
    }
    mReplied = false;
  }

  void Close()
  {
    if (!mOpen) {
      return;
    }
    mOpen = false;
    EndBusy();
    mListener->process.timers.Cancel(mTimer);
    error_code ec;
    mSocket.close(ec); // fails only when it is closed already
    mListener->connections.erase(shared_from_this());
  }

  std::shared_ptr<Impl> mListener;
  tcp::socket mSocket;
  std::optional<Parser> mParser;
  std::shared_ptr<Exchange> mExchange;
  TimerQueue::Handle mTimer;
  std::string mIn;
  std::string mOut;
  TimePoint mReceived{};
  bool mOpen = true;
  bool mWatching = false;
  bool mStarted = false;
  bool mBusy = false;
  bool mReplied = false;
  bool mClose = false;
  bool mHeadOnly = false;
};

void CallerListener::Impl::Accept()
{
  acceptor.async_accept([self = shared_from_this()](const error_code& aError,
                                                    tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted || !self->acceptor.is_open()) {
      return;
    }
    if (aError) {
      self->process.log.Write("accept_failed",
                              { { "reason", aError.message() } });
      self->process.timers.At(steady_clock::now() + kAcceptPause,
                              [self] { self->Accept(); });
      return;
    }
    // Above the limit the socket closes at once: the caller takes another
    // instance.
    if (self->connections.size() < kMaxConnections) {
      auto connection = std::make_shared<Connection>(self, std::move(aSocket));
      self->connections.insert(connection);
      connection->Start();
    }
    self->Accept();
  });
}

CallerListener::CallerListener(Process& aProcess,
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

CallerListener::~CallerListener()
{
  StopAccepting();
}

tcp::endpoint CallerListener::Address() const
{
  return mImpl->acceptor.local_endpoint();
}

void CallerListener::SetLimits(const CallerLimits& aLimits)
{
  mImpl->limits = aLimits;
}

void CallerListener::BeginDrain()
{
  mImpl->draining = true;
}

void CallerListener::StopAccepting()
{
  error_code ec;
  mImpl->acceptor.close(ec); // fails only when it is closed already
}

void CallerListener::CloseIdle()
{
  const auto connections = mImpl->connections;
  for (const auto& it : connections) {
    it->CloseIfIdle();
  }
}

std::size_t CallerListener::Busy() const noexcept
{
  return mImpl->busy;
}

std::size_t CallerListener::Connections() const noexcept
{
  return mImpl->connections.size();
}

} // namespace bronzedeal::gateway
