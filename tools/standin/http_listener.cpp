#include "http_listener.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <unordered_set>

namespace bronzedeal::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// The largest configuration document is 1 MB.
constexpr std::uint64_t kBodyLimit = std::uint64_t{ 4 } << 20;

std::uint64_t ParseNumber(std::string_view aText, std::uint64_t aDefault)
{
  std::uint64_t n = 0;
  const auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), n);
  return ec == std::errc{} && end == aText.data() + aText.size() ? n : aDefault;
}

tcp::endpoint ParseEndpoint(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("address without a port: " + aAddress);
  }
  const auto port = ParseNumber(aAddress.substr(colon + 1), 65536);
  if (port > 65535) {
    throw std::invalid_argument("bad port: " + aAddress);
  }
  return { asio::ip::make_address(aAddress.substr(0, colon)),
           static_cast<std::uint16_t>(port) };
}

} // namespace

class HttpListener::Impl : public std::enable_shared_from_this<Impl>
{
public:
  class Connection;

  Impl(asio::io_context& aContext, Options aOptions, HttpHandler aHandler)
    : mOptions(std::move(aOptions))
    , mHandler(std::move(aHandler))
    , mReservation(aContext)
    , mAcceptor(aContext)
  {
    const auto endpoint = ParseEndpoint(mOptions.address);
    mReservation.open(endpoint.protocol());
    mReservation.set_option(tcp::acceptor::reuse_address(true));
    mReservation.bind(endpoint);
    mEndpoint = mReservation.local_endpoint();
    mAddress =
      fmt::format("{}:{}", mEndpoint.address().to_string(), mEndpoint.port());
  }

  void Open()
  {
    if (mAcceptor.is_open()) {
      return;
    }
    mAcceptor.open(mEndpoint.protocol());
    mAcceptor.set_option(tcp::acceptor::reuse_address(true));
    mAcceptor.bind(mEndpoint);
    mAcceptor.listen();
    Accept();
  }

  void Close();
  void Accept();

  Options mOptions;
  HttpHandler mHandler;
  /// Bound but never listening: keeps the port while the acceptor is closed.
  tcp::acceptor mReservation;
  tcp::acceptor mAcceptor;
  tcp::endpoint mEndpoint;
  std::string mAddress;
  std::unordered_set<std::shared_ptr<Connection>> mConnections;
};

class HttpListener::Impl::Connection
  : public std::enable_shared_from_this<Connection>
{
public:
  Connection(tcp::socket aSocket, std::shared_ptr<Impl> aListener)
    : mSocket(std::move(aSocket))
    , mTimer(mSocket.get_executor())
    , mListener(std::move(aListener))
  {
  }

  void Start()
  {
    boost::system::error_code ec;
    mSocket.set_option(tcp::no_delay(true), ec);
    if (mListener->mOptions.acceptDelay.count() == 0) {
      Read();
      return;
    }
    mTimer.expires_after(mListener->mOptions.acceptDelay);
    mTimer.async_wait(
      [self = shared_from_this()](boost::system::error_code aError) {
        if (!aError) {
          self->Read();
        }
      });
  }

  void Close()
  {
    boost::system::error_code ec;
    mTimer.cancel();
    mSocket.close(ec);
  }

private:
  void Read()
  {
    mParser.emplace();
    mParser->body_limit(kBodyLimit);
    http::async_read(mSocket,
                     mBuffer,
                     *mParser,
                     [self = shared_from_this()](
                       boost::system::error_code aError, std::size_t) {
                       if (aError) {
                         self->Remove();
                       } else {
                         self->Handle();
                       }
                     });
  }

  void Handle()
  {
    auto& message = mParser->get();
    mKeepAlive = message.keep_alive();
    HttpRequest request;
    request.method = message.method_string();
    request.target = message.target();
    request.requestId = message["x-request-id"];
    mRequestId = request.requestId;
    request.indexVersion = ParseNumber(message["x-index-version"], 0);
    request.deadlineMs = ParseNumber(message["x-deadline-ms"], 0);
    request.body = std::move(message.body());
    mListener->mHandler(std::move(request),
                        [self = shared_from_this()](HttpResponse aResponse) {
                          self->Write(std::move(aResponse));
                        });
  }

  void Write(HttpResponse aResponse)
  {
    if (!mSocket.is_open()) {
      return;
    }
    if (aResponse.abort) {
      Remove();
      return;
    }
    mResponse = {};
    mResponse.result(aResponse.status);
    mResponse.keep_alive(mKeepAlive);
    mResponse.set(http::field::content_type, "application/json");
    if (!mRequestId.empty()) {
      mResponse.set("x-request-id", mRequestId);
    }
    if (!aResponse.notRun.empty()) {
      mResponse.set("x-outcome", "not-run");
      mResponse.set("x-reason", aResponse.notRun);
    }
    mResponse.body() = std::move(aResponse.body);
    mResponse.prepare_payload();
    http::async_write(mSocket,
                      mResponse,
                      [self = shared_from_this()](
                        boost::system::error_code aError, std::size_t) {
                        if (aError || !self->mKeepAlive) {
                          self->Remove();
                        } else {
                          self->Read();
                        }
                      });
  }

  void Remove()
  {
    Close();
    mListener->mConnections.erase(shared_from_this());
  }

  tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::shared_ptr<Impl> mListener;
  boost::beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::string_body>> mParser;
  http::response<http::string_body> mResponse;
  bool mKeepAlive = true;
  std::string mRequestId;
};

void HttpListener::Impl::Close()
{
  boost::system::error_code ec;
  mAcceptor.close(ec);
  for (const auto& it : mConnections) {
    it->Close();
  }
  mConnections.clear();
}

void HttpListener::Impl::Accept()
{
  mAcceptor.async_accept([self = shared_from_this()](
                           boost::system::error_code aError,
                           tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted ||
        !self->mAcceptor.is_open()) {
      return;
    }
    const auto limit = self->mOptions.connectionLimit;
    if (!aError && (limit == 0 || self->mConnections.size() < limit)) {
      auto connection = std::make_shared<Connection>(std::move(aSocket), self);
      self->mConnections.insert(connection);
      connection->Start();
    }
    self->Accept();
  });
}

HttpListener::HttpListener(asio::io_context& aContext,
                           Options aOptions,
                           HttpHandler aHandler)
  : mImpl(std::make_shared<Impl>(aContext,
                                 std::move(aOptions),
                                 std::move(aHandler)))
{
}

HttpListener::~HttpListener()
{
  mImpl->Close();
}

void HttpListener::Open()
{
  mImpl->Open();
}

void HttpListener::Close()
{
  mImpl->Close();
}

const std::string& HttpListener::Address() const noexcept
{
  return mImpl->mAddress;
}

std::uint64_t QueryNumber(std::string_view aTarget,
                          std::string_view aKey,
                          std::uint64_t aDefault)
{
  const auto mark = aTarget.find('?');
  auto rest = mark == std::string_view::npos ? "" : aTarget.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const auto part = rest.substr(0, end);
    const auto equals = part.find('=');
    if (equals != std::string_view::npos && part.substr(0, equals) == aKey) {
      return ParseNumber(part.substr(equals + 1), aDefault);
    }
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return aDefault;
}

std::string_view PathOf(std::string_view aTarget) noexcept
{
  return aTarget.substr(0, aTarget.find('?'));
}

} // namespace bronzedeal::standin
