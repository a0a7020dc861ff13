#include "http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace bronzedeal::ctl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxConcurrent = 64;
constexpr std::uint64_t kMaxBodyBytes = 64U << 20U;

/// One request on its own connection.
class Session : public std::enable_shared_from_this<Session>
{
public:
  using Done = std::function<void()>;

  Session(asio::io_context& aContext,
          const HttpCall& aCall,
          milliseconds aTimeout,
          HttpAnswer& aAnswer,
          Done aDone)
    : mResolver(aContext)
    , mStream(aContext)
    , mTimeout(aTimeout)
    , mAnswer(aAnswer)
    , mDone(std::move(aDone))
  {
    mRequest.method(aCall.body.empty() ? http::verb::get : http::verb::post);
    mRequest.target(aCall.target);
    mRequest.version(11);
    mRequest.set(http::field::host, aCall.address);
    mRequest.set(http::field::connection, "close");
    if (!aCall.body.empty()) {
      mRequest.set(http::field::content_type, "application/json");
      mRequest.body() = aCall.body;
    }
    mRequest.prepare_payload();
    mParser.body_limit(kMaxBodyBytes);
  }

  void Start(const std::string& aAddress)
  {
    const auto colon = aAddress.rfind(':');
    if (colon == std::string::npos || colon + 1 == aAddress.size()) {
      mAnswer.failure = "the address is not HOST:PORT";
      mDone();
      return;
    }
    auto host = aAddress.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
      host = host.substr(1, host.size() - 2);
    }
    mResolver.async_resolve(
      host,
      aAddress.substr(colon + 1),
      [self = shared_from_this()](beast::error_code aError,
                                  const tcp::resolver::results_type& aFound) {
        if (!self->Failed(aError, "resolve")) {
          self->Connect(aFound);
        }
      });
  }

private:
  void Connect(const tcp::resolver::results_type& aFound)
  {
    mStream.expires_after(mTimeout);
    mStream.async_connect(aFound,
                          [self = shared_from_this()](beast::error_code aError,
                                                      const tcp::endpoint&) {
                            if (!self->Failed(aError, "connect")) {
                              self->Write();
                            }
                          });
  }

  void Write()
  {
    http::async_write(
      mStream,
      mRequest,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        if (!self->Failed(aError, "write")) {
          self->Read();
        }
      });
  }

  void Read()
  {
    http::async_read(
      mStream,
      mBuffer,
      mParser,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        if (!self->Failed(aError, "read")) {
          self->mAnswer.status = self->mParser.get().result_int();
          self->mAnswer.body = std::move(self->mParser.get().body());
          self->mDone();
        }
      });
  }

  bool Failed(const beast::error_code& aError, const char* aStep)
  {
    if (!aError) {
      return false;
    }
    mAnswer.failure = std::string(aStep) + ": " + aError.message();
    mDone();
    return true;
  }

  tcp::resolver mResolver;
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  http::request<http::string_body> mRequest;
  http::response_parser<http::string_body> mParser;
  milliseconds mTimeout;
  HttpAnswer& mAnswer;
  Done mDone;
};

} // namespace

std::vector<HttpAnswer> CallAll(const std::vector<HttpCall>& aCalls,
                                milliseconds aTimeout)
{
  std::vector<HttpAnswer> answers(aCalls.size());
  asio::io_context context;
  std::size_t next = 0;
  std::function<void()> startNext = [&] {
    if (next < aCalls.size()) {
      const auto n = next++;
      std::make_shared<Session>(
        context, aCalls[n], aTimeout, answers[n], startNext)
        ->Start(aCalls[n].address);
    }
  };
  for (std::size_t n = 0; n < kMaxConcurrent; ++n) {
    startNext();
  }
  context.run();
  return answers;
}

} // namespace bronzedeal::ctl
