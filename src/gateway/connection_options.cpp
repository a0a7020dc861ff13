#include "bronzedeal/gateway/connection_options.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bronzedeal::gateway {

namespace {

template<int OptionName>
using TcpOption =
  boost::asio::detail::socket_option::integer<IPPROTO_TCP, OptionName>;

constexpr int kProbeIntervalSeconds = 1;
constexpr int kMaxUnansweredProbes = 2;

} // namespace

void SetConnectionOptions(boost::asio::ip::tcp::socket& aSocket,
                          milliseconds aUnacknowledgedTimeout,
                          boost::system::error_code& aError)
{
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), aError);
  aSocket.set_option(TcpOption<TCP_USER_TIMEOUT>(
                       static_cast<int>(aUnacknowledgedTimeout.count())),
                     aError);
}

void SetKeepAliveProbes(boost::asio::ip::tcp::socket& aSocket,
                        boost::system::error_code& aError)
{
  aSocket.set_option(boost::asio::socket_base::keep_alive(true), aError);
  aSocket.set_option(TcpOption<TCP_KEEPIDLE>(kProbeIntervalSeconds), aError);
  aSocket.set_option(TcpOption<TCP_KEEPINTVL>(kProbeIntervalSeconds), aError);
  aSocket.set_option(TcpOption<TCP_KEEPCNT>(kMaxUnansweredProbes), aError);
}

Duration RoundTripTime(boost::asio::ip::tcp::socket& aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof info;
  const bool isKnown =
    getsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) ==
    0;
  return std::chrono::microseconds(isKnown ? info.tcpi_rtt : 0);
}

} // namespace bronzedeal::gateway
