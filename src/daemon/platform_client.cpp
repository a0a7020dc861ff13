#include "bronzedeal/daemon/platform_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace bronzedeal::daemon {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

// The service stores values of up to a megabyte; the rest is a margin for
// growth.
constexpr std::size_t kMaxResponseBytes = std::size_t{ 4 } << 20;

class GetOperation : public std::enable_shared_from_this<GetOperation>
{
public:
  GetOperation(asio::io_context& aContext, PlatformClient::Handler aHandler)
    : mStream(asio::make_strand(aContext))
    , mHandler(std::move(aHandler))
  {
    mParser.body_limit(kMaxResponseBytes);
  }

  void Run(const std::string& aAddress,
           const std::string& aTarget,
           std::chrono::milliseconds aTimeout)
  {
    const auto colon = aAddress.rfind(':');
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(aAddress.substr(0, colon), ec);
    if (ec || colon == std::string::npos) {
      Finish({ 0, "invalid address " + aAddress });
      return;
    }
    const auto port = std::strtoul(aAddress.c_str() + colon + 1, nullptr, 10);
    mRequest.version(11);
    mRequest.method(http::verb::get);
    mRequest.target(aTarget);
    mRequest.set(http::field::host, aAddress);
    mRequest.keep_alive(false);
    mStream.expires_after(aTimeout);
    mStream.async_connect(
      tcp::endpoint(ip, static_cast<std::uint16_t>(port)),
      beast::bind_front_handler(&GetOperation::OnConnect, shared_from_this()));
  }

private:
  void OnConnect(beast::error_code aError)
  {
    if (aError) {
      Finish({ 0, aError.message() });
      return;
    }
    http::async_write(
      mStream,
      mRequest,
      beast::bind_front_handler(&GetOperation::OnWrite, shared_from_this()));
  }

  void OnWrite(beast::error_code aError, std::size_t /*aBytes*/)
  {
    if (aError) {
      Finish({ 0, aError.message() });
      return;
    }
    http::async_read(
      mStream,
      mBuffer,
      mParser,
      beast::bind_front_handler(&GetOperation::OnRead, shared_from_this()));
  }

  void OnRead(beast::error_code aError, std::size_t /*aBytes*/)
  {
    if (aError) {
      Finish({ 0, aError.message() });
      return;
    }
    Finish({ static_cast<int>(mParser.get().result_int()),
             std::move(mParser.get().body()) });
  }

  void Finish(PlatformClient::Response aResponse)
  {
    mStream.close();
    mHandler(std::move(aResponse));
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  http::request<http::empty_body> mRequest;
  http::response_parser<http::string_body> mParser;
  PlatformClient::Handler mHandler;
};

} // namespace

PlatformClient::PlatformClient(asio::io_context& aContext, std::string aAddress)
  : mContext(aContext)
  , mAddress(std::move(aAddress))
{
}

void PlatformClient::Get(std::string aTarget,
                         std::chrono::milliseconds aTimeout,
                         Handler aHandler)
{
  std::make_shared<GetOperation>(mContext, std::move(aHandler))
    ->Run(mAddress, aTarget, aTimeout);
}

} // namespace bronzedeal::daemon
