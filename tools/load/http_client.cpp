#include "http_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <optional>
#include <sys/socket.h>
#include <vector>

namespace bronzedeal::load {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// Room for the answer of a query to every shard.
constexpr std::uint64_t kBodyLimit = std::uint64_t{ 16 } << 20;

/// False once the peer has closed a kept connection.
bool StillOpen(tcp::socket& aSocket)
{
  char byte = 0;
  const auto n =
    ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::string_view NameOf(ClientError aError) noexcept
{
  switch (aError) {
    case ClientError::None:
      return "answered";
    case ClientError::Connect:
      return "connect";
    case ClientError::Cut:
      return "cut";
    case ClientError::Timeout:
      return "timeout";
  }
  return "";
}

class HttpClient::Impl : public std::enable_shared_from_this<Impl>
{
public:
  class Exchange;

  struct Target
  {
    tcp::endpoint endpoint;
    std::vector<tcp::socket> idle;
    std::size_t open = 0;
    std::deque<std::shared_ptr<Exchange>> waiting;
  };

  Impl(asio::io_context& aContext, std::size_t aLimit)
    : mContext(aContext)
    , mLimit(aLimit)
  {
  }

  Target& Find(const std::string& aAddress)
  {
    const auto [it, added] = mTargets.try_emplace(aAddress);
    if (added) {
      const auto colon = aAddress.rfind(':');
      it->second.endpoint = { asio::ip::make_address(aAddress.substr(0, colon)),
                              static_cast<std::uint16_t>(
                                std::stoul(aAddress.substr(colon + 1))) };
    }
    return it->second;
  }

  void Next(Target& aTarget);

  asio::io_context& mContext;
  std::size_t mLimit;
  std::map<std::string, Target, std::less<>> mTargets;
};

class HttpClient::Impl::Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(std::shared_ptr<Impl> aClient,
           Target& aTarget,
           ClientRequest aRequest,
           ClientHandler aHandler)
    : mClient(std::move(aClient))
    , mTarget(aTarget)
    , mSocket(mClient->mContext)
    , mTimer(mClient->mContext)
    , mHandler(std::move(aHandler))
  {
    mRequest.method_string(aRequest.method);
    mRequest.target(aRequest.target);
    mRequest.set(http::field::host, "bronzedeal");
    if (!aRequest.requestId.empty()) {
      mRequest.set("x-request-id", aRequest.requestId);
    }
    if (aRequest.indexVersion != 0) {
      mRequest.set("x-index-version", std::to_string(aRequest.indexVersion));
    }
    if (aRequest.deadlineMs != 0) {
      mRequest.set("x-deadline-ms", std::to_string(aRequest.deadlineMs));
    }
    mRequest.body() = std::move(aRequest.body);
    mRequest.prepare_payload();
  }

  void Wait(std::chrono::steady_clock::time_point aUntil)
  {
    mTimer.expires_at(aUntil);
    mTimer.async_wait(
      [self = shared_from_this()](boost::system::error_code aError) {
        if (!aError) {
          self->Finish({ .error = ClientError::Timeout });
        }
      });
  }

  [[nodiscard]] bool Done() const noexcept { return mDone; }

  void Start()
  {
    mStarted = true;
    while (!mTarget.idle.empty()) {
      auto socket = std::move(mTarget.idle.back());
      mTarget.idle.pop_back();
      if (StillOpen(socket)) {
        mSocket = std::move(socket);
        Write();
        return;
      }
      --mTarget.open;
    }
    ++mTarget.open;
    mSocket.async_connect(
      mTarget.endpoint,
      [self = shared_from_this()](boost::system::error_code aError) {
        if (self->mDone) {
          return;
        }
        if (aError) {
          self->Finish({ .error = ClientError::Connect });
          return;
        }
        boost::system::error_code ec;
        self->mSocket.set_option(tcp::no_delay(true), ec);
        self->Write();
      });
  }

private:
  void Write()
  {
    http::async_write(mSocket,
                      mRequest,
                      [self = shared_from_this()](
                        boost::system::error_code aError, std::size_t) {
                        if (self->mDone) {
                          return;
                        }
                        if (aError) {
                          self->Finish({ .error = ClientError::Cut });
                          return;
                        }
                        self->Read();
                      });
  }

  void Read()
  {
    mParser.body_limit(kBodyLimit);
    http::async_read(mSocket,
                     mBuffer,
                     mParser,
                     [self = shared_from_this()](
                       boost::system::error_code aError, std::size_t) {
                       if (self->mDone) {
                         return;
                       }
                       if (aError) {
                         self->Finish({ .error = ClientError::Cut });
                         return;
                       }
                       auto& message = self->mParser.get();
                       self->mReusable = message.keep_alive();
                       self->Finish({ .status = message.result_int(),
                                      .body = std::move(message.body()) });
                     });
  }

  void Finish(ClientResponse aResponse)
  {
    if (mDone) {
      return;
    }
    mDone = true;
    mTimer.cancel();
    if (mReusable) {
      mTarget.idle.push_back(std::move(mSocket));
    } else {
      boost::system::error_code ec;
      mSocket.close(ec);
      if (mStarted) {
        --mTarget.open;
      }
    }
    mClient->Next(mTarget);
    mHandler(std::move(aResponse));
  }

  std::shared_ptr<Impl> mClient;
  Target& mTarget;
  tcp::socket mSocket;
  asio::steady_timer mTimer;
  http::request<http::string_body> mRequest;
  http::response_parser<http::string_body> mParser;
  boost::beast::flat_buffer mBuffer;
  ClientHandler mHandler;
  bool mStarted = false;
  bool mReusable = false;
  bool mDone = false;
};

void HttpClient::Impl::Next(Target& aTarget)
{
  while (!aTarget.waiting.empty() &&
         (aTarget.open < mLimit || !aTarget.idle.empty())) {
    const auto exchange = std::move(aTarget.waiting.front());
    aTarget.waiting.pop_front();
    if (!exchange->Done()) {
      exchange->Start();
    }
  }
}

HttpClient::HttpClient(asio::io_context& aContext, std::size_t aLimit)
  : mImpl(std::make_shared<Impl>(aContext, aLimit))
{
}

HttpClient::~HttpClient()
{
  mImpl->mTargets.clear();
}

void HttpClient::Send(const std::string& aAddress,
                      ClientRequest aRequest,
                      std::chrono::steady_clock::time_point aUntil,
                      ClientHandler aHandler)
{
  auto& target = mImpl->Find(aAddress);
  auto exchange = std::make_shared<Impl::Exchange>(
    mImpl, target, std::move(aRequest), std::move(aHandler));
  exchange->Wait(aUntil);
  if (mImpl->mLimit != 0 && target.idle.empty() &&
      target.open >= mImpl->mLimit) {
    target.waiting.push_back(std::move(exchange));
  } else {
    exchange->Start();
  }
}

} // namespace bronzedeal::load
