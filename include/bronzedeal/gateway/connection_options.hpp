#pragma once

#include "bronzedeal/types.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace bronzedeal::gateway {

/// Sets TCP_NODELAY, and TCP_USER_TIMEOUT so that the kernel ends the
/// connection when data stays unacknowledged for `aUnacknowledgedTimeout`.
void SetConnectionOptions(boost::asio::ip::tcp::socket& aSocket,
                          milliseconds aUnacknowledgedTimeout,
                          boost::system::error_code& aError);

/// Enables TCP keep-alive with a probe each second, so that an idle connection
/// to an unreachable peer ends within about three seconds.
void SetKeepAliveProbes(boost::asio::ip::tcp::socket& aSocket,
                        boost::system::error_code& aError);

/// Returns the kernel's estimate of the round trip time to the peer; zero if
/// there is none.
[[nodiscard]] Duration RoundTripTime(boost::asio::ip::tcp::socket& aSocket);

} // namespace bronzedeal::gateway
