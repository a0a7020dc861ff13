#include "bronzedeal/daemon/http_server.hpp"

#include "bronzedeal/http_framing.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/url/params_view.hpp>
#include <boost/url/parse.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <sys/resource.h>
#include <unordered_set>
#include <utility>

namespace bronzedeal::daemon {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

// An idle connection is kept longer than callers keep an address answer, so
// that the caller closes it and not the server.
constexpr std::chrono::seconds kIdleTimeout{ 120 };
/// Bytes of a request that the parser can't take yet.
constexpr std::size_t kMaxUnparsedBytes = 65'536;
/// Bodies of the requests of one port that are read or running, together. Small
/// ones don't count: the number of connections bounds them.
constexpr std::size_t kMaxBodiesBytes = std::size_t{ 48 } << 20;
constexpr std::size_t kSmallBodyBytes = 16'384;
/// Connections of one port: a part of the descriptors, and no more than this.
constexpr std::size_t kDescriptorDivisor = 4;
constexpr std::size_t kMaxConnections = 512;
/// Delay before the next accept after a failed one.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 20 };

std::size_t MaxConnections() noexcept
{
  rlimit limit{};
  return ::getrlimit(RLIMIT_NOFILE, &limit) == 0
           ? std::clamp<std::size_t>(
               limit.rlim_cur / kDescriptorDivisor, 1, kMaxConnections)
           : kMaxConnections;
}

tcp::endpoint ParseEndpoint(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    throw boost::system::system_error(asio::error::invalid_argument, aAddress);
  }
  const auto port = std::strtoul(aAddress.c_str() + colon + 1, nullptr, 10);
  return { asio::ip::make_address(aAddress.substr(0, colon)),
           static_cast<std::uint16_t>(port) };
}

} // namespace

HttpResponse ErrorResponse(ResultCode aCode, std::string_view aMessage)
{
  const auto& info = Describe(aCode);
  const boost::json::value body{
    { "code", static_cast<int>(aCode) },
    { "code_name", info.name },
    { "message", aMessage },
  };
  return { info.httpStatus, boost::json::serialize(body) };
}

std::string QueryParameter(std::string_view aQueryString,
                           std::string_view aName)
{
  // The parsed view refers to this text.
  const auto target = "/?" + std::string(aQueryString);
  const auto url = boost::urls::parse_origin_form(target);
  if (!url) {
    return {};
  }
  const auto params = url->params();
  const auto it = params.find(aName);
  return it == params.end() ? std::string{} : std::string((*it).value);
}

class Session;

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
  Impl(asio::io_context& aContext,
       const std::string& aAddress,
       HttpHandler aHandler)
    : context(aContext)
    , acceptor(asio::make_strand(aContext))
    , acceptTimer(acceptor.get_executor())
    , handler(std::move(aHandler))
  {
    const auto endpoint = ParseEndpoint(aAddress);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
  }

  void Accept();
  void OnAccepted(tcp::socket aSocket);
  /// Closes the connection that has waited for its caller's request for
  /// longest; false if there is none.
  bool CloseLongestWaiting();

  asio::io_context& context;
  tcp::acceptor acceptor;
  asio::steady_timer acceptTimer;
  HttpHandler handler;
  std::atomic<bool> draining{ false };
  std::atomic<bool> stopped{ false };
  std::atomic<std::size_t> runningRequests{ 0 };
  std::atomic<std::size_t> bodiesBytes{ 0 };
  const std::size_t maxConnections = MaxConnections();
  std::mutex mutex;
  std::unordered_set<Session*> sessions;
  /// Connections without a whole request, by the order in which they began to
  /// wait for one.
  std::map<std::uint64_t, Session*> waiting;
  std::uint64_t lastWait = 0;
};

/// One connection of a caller.
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket aSocket, std::shared_ptr<HttpServer::Impl> aServer)
    : mStream(std::move(aSocket))
    , mServer(std::move(aServer))
  {
    boost::system::error_code ec;
    mStream.socket().set_option(tcp::no_delay(true), ec);
    const std::lock_guard lock(mServer->mutex);
    mServer->sessions.insert(this);
  }

  ~Session()
  {
    const std::lock_guard lock(mServer->mutex);
    mServer->sessions.erase(this);
    mServer->waiting.erase(mWait);
    ReleaseBody();
  }

  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Serves the connection, unless the server was stopped meanwhile. On the
  /// strand, since `CloseIfIdle` may already be on its way.
  void Start()
  {
    asio::dispatch(mStream.get_executor(), [self = shared_from_this()] {
      if (self->mServer->stopped.load()) {
        self->Shutdown();
      } else {
        self->Read();
      }
    });
  }

  void Read()
  {
    BeginWait();
    mParser.emplace();
    mParser->body_limit(HttpServer::kMaxBodyBytes);
    mStream.expires_after(kIdleTimeout);
    http::async_read_header(
      mStream,
      mBuffer,
      *mParser,
      beast::bind_front_handler(&Session::OnHeader, shared_from_this()));
  }

  /// Closes the connection when no request was read; a partly read request is
  /// left to finish.
  void CloseIfIdle()
  {
    asio::post(mStream.get_executor(), [self = shared_from_this()] {
      const bool isIdle = !self->mRequestRunning && self->mBuffer.size() == 0 &&
                          !(self->mParser && self->mParser->got_some());
      if (isIdle) {
        self->Shutdown();
      }
    });
  }

  /// Closes the connection unless a request is running.
  void CloseIfWaiting()
  {
    asio::post(mStream.get_executor(), [self = shared_from_this()] {
      if (!self->mRequestRunning) {
        self->Shutdown();
      }
    });
  }

private:
  void BeginWait()
  {
    const std::lock_guard lock(mServer->mutex);
    mServer->waiting.erase(mWait);
    mWait = ++mServer->lastWait;
    mServer->waiting.emplace(mWait, this);
  }

  void EndWait()
  {
    const std::lock_guard lock(mServer->mutex);
    mServer->waiting.erase(mWait);
  }

  void OnHeader(beast::error_code aError, std::size_t aBytes)
  {
    if (aError) {
      OnRead(aError, aBytes);
    } else if (!ReserveBody()) {
      EndWait();
      Refuse(ErrorResponse(ResultCode::NotRunOverloaded,
                           "the bodies of other requests hold the memory"));
    } else {
      http::async_read(
        mStream,
        mBuffer,
        *mParser,
        beast::bind_front_handler(&Session::OnRead, shared_from_this()));
    }
  }

  /// Counts the body that the header announces; false if there is no room.
  [[nodiscard]] bool ReserveBody()
  {
    const std::size_t bytes = mParser->chunked()
                                ? HttpServer::kMaxBodyBytes
                                : mParser->content_length().value_or(0);
    if (bytes <= kSmallBodyBytes) {
      return true;
    }
    mBodyBytes = bytes;
    return mServer->bodiesBytes.fetch_add(bytes) + bytes <= kMaxBodiesBytes;
  }

  void ReleaseBody()
  {
    mServer->bodiesBytes.fetch_sub(std::exchange(mBodyBytes, 0));
  }

  void OnRead(beast::error_code aError, std::size_t /*aBytes*/)
  {
    EndWait();
    if (!aError && !HasKnownFraming(mParser->get())) {
      aError = http::error::bad_transfer_encoding;
    }
    if (aError) {
      HandleReadError(aError);
      return;
    }
    mRequestRunning = true;
    mServer->runningRequests.fetch_add(1);
    auto message = mParser->release();
    mKeepAlive = message.keep_alive();
    HttpRequest request;
    request.method = std::string(message.method_string());
    const std::string_view target = message.target();
    const auto queryStart = target.find('?');
    request.path = std::string(target.substr(0, queryStart));
    if (queryStart != std::string_view::npos) {
      request.queryString = std::string(target.substr(queryStart + 1));
    }
    request.body = std::move(message.body());
    mServer->handler(
      std::move(request), [self = shared_from_this()](HttpResponse aResponse) {
        asio::dispatch(self->mStream.get_executor(),
                       [self, response = std::move(aResponse)]() mutable {
                         self->Write(std::move(response));
                       });
      });
  }

  /// Answers a message that can't be parsed and closes; a connection that ended
  /// between requests is only closed.
  void HandleReadError(beast::error_code aError)
  {
    if (aError == http::error::end_of_stream ||
        aError == beast::error::timeout ||
        aError.category() !=
          http::make_error_code(http::error::bad_method).category()) {
      Shutdown();
      return;
    }
    const bool tooLarge = aError == http::error::body_limit;
    Refuse(ErrorResponse(tooLarge ? ResultCode::BodyTooLarge
                                  : ResultCode::MalformedHttp,
                         aError.message()));
  }

  /// Answers a request that was not read whole, and closes.
  void Refuse(HttpResponse aResponse)
  {
    mRequestRunning = true;
    mKeepAlive = false;
    mServer->runningRequests.fetch_add(1);
    Write(std::move(aResponse));
  }

  void Write(HttpResponse aResponse)
  {
    mKeepAlive = mKeepAlive && !mServer->draining.load();
    mResponse = {};
    mResponse.version(11);
    mResponse.result(static_cast<unsigned>(aResponse.status));
    mResponse.set(http::field::content_type, aResponse.contentType);
    mResponse.keep_alive(mKeepAlive);
    mResponse.body() = std::move(aResponse.body);
    mResponse.prepare_payload();
    http::async_write(
      mStream,
      mResponse,
      beast::bind_front_handler(&Session::OnWrite, shared_from_this()));
  }

  void OnWrite(beast::error_code aError, std::size_t /*aBytes*/)
  {
    mRequestRunning = false;
    mServer->runningRequests.fetch_sub(1);
    ReleaseBody();
    if (aError || !mKeepAlive || mServer->stopped.load()) {
      Shutdown();
      return;
    }
    Read();
  }

  void Shutdown()
  {
    boost::system::error_code ec;
    mStream.socket().shutdown(tcp::socket::shutdown_send, ec);
    mStream.close();
  }

  beast::tcp_stream mStream;
  std::shared_ptr<HttpServer::Impl> mServer;
  // The parser limits neither the trailers nor the line of a chunk, and takes
  // none of their bytes before their end.
  beast::flat_buffer mBuffer{ kMaxUnparsedBytes };
  std::optional<http::request_parser<http::string_body>> mParser;
  http::response<http::string_body> mResponse;
  /// Bytes of the body that count in `bodiesBytes`.
  std::size_t mBodyBytes = 0;
  /// Place in the order of connections that wait; zero before the first wait.
  std::uint64_t mWait = 0;
  bool mKeepAlive = true;
  bool mRequestRunning = false;
};

void HttpServer::Impl::Accept()
{
  acceptor.async_accept(
    asio::make_strand(context),
    [self = shared_from_this()](boost::system::error_code aError,
                                tcp::socket aSocket) {
      if (self->stopped.load() || aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        self->OnAccepted(std::move(aSocket));
        self->Accept();
        return;
      }
      // No descriptor is free, for example.
      self->CloseLongestWaiting();
      self->acceptTimer.expires_after(kAcceptRetryDelay);
      self->acceptTimer.async_wait(
        [self](boost::system::error_code aCancelled) {
          if (!aCancelled && !self->stopped.load()) {
            self->Accept();
          }
        });
    });
}

void HttpServer::Impl::OnAccepted(tcp::socket aSocket)
{
  bool isFull = false;
  {
    const std::lock_guard lock(mutex);
    isFull = sessions.size() >= maxConnections;
  }
  if (!isFull || CloseLongestWaiting()) {
    std::make_shared<Session>(std::move(aSocket), shared_from_this())->Start();
  }
}

bool HttpServer::Impl::CloseLongestWaiting()
{
  std::shared_ptr<Session> longest;
  {
    const std::lock_guard lock(mutex);
    while (!longest && !waiting.empty()) {
      longest = waiting.begin()->second->weak_from_this().lock();
      waiting.erase(waiting.begin());
    }
  }
  if (longest) {
    longest->CloseIfWaiting();
  }
  return longest != nullptr;
}

HttpServer::HttpServer(asio::io_context& aContext,
                       const std::string& aAddress,
                       HttpHandler aHandler)
  : mImpl(std::make_shared<Impl>(aContext, aAddress, std::move(aHandler)))
{
  mImpl->Accept();
}

HttpServer::~HttpServer()
{
  StopAccepting();
}

std::string HttpServer::Address() const
{
  const auto endpoint = mImpl->acceptor.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void HttpServer::BeginDrain()
{
  mImpl->draining.store(true);
}

void HttpServer::StopAccepting()
{
  if (mImpl->stopped.exchange(true)) {
    return;
  }
  asio::post(mImpl->acceptor.get_executor(), [impl = mImpl] {
    boost::system::error_code ec;
    impl->acceptor.close(ec);
  });
  std::vector<std::shared_ptr<Session>> sessions;
  {
    const std::lock_guard lock(mImpl->mutex);
    for (auto* it : mImpl->sessions) {
      if (auto session = it->weak_from_this().lock()) {
        sessions.push_back(std::move(session));
      }
    }
  }
  for (const auto& it : sessions) {
    it->CloseIfIdle();
  }
}

std::size_t HttpServer::RunningRequestCount() const noexcept
{
  return mImpl->runningRequests.load();
}

} // namespace bronzedeal::daemon
