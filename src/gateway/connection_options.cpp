#include "bronzedeal/gateway/connection_options.hpp"

#include <netinet/tcp.h>

namespace bronzedeal::gateway {

namespace {

template<int Name>
using TcpOption =
  boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

constexpr int kProbeSeconds = 1;
constexpr int kProbes = 2;

} // namespace

void SetConnectionOptions(boost::asio::ip::tcp::socket& aSocket,
                          milliseconds aSilence,
                          boost::system::error_code& aError)
{
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), aError);
  aSocket.set_option(
    TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(aSilence.count())), aError);
}

void SetKeepAliveProbes(boost::asio::ip::tcp::socket& aSocket,
                        boost::system::error_code& aError)
{
  aSocket.set_option(boost::asio::socket_base::keep_alive(true), aError);
  aSocket.set_option(TcpOption<TCP_KEEPIDLE>(kProbeSeconds), aError);
  aSocket.set_option(TcpOption<TCP_KEEPINTVL>(kProbeSeconds), aError);
  aSocket.set_option(TcpOption<TCP_KEEPCNT>(kProbes), aError);
}

} // namespace bronzedeal::gateway
