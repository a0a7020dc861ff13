#pragma once

#include "bronzedeal/types.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace bronzedeal::gateway {

/// Options of a TCP connection: no delay of small writes, and an end by the
/// system when a peer has not acknowledged data for `aSilence`.
void SetConnectionOptions(boost::asio::ip::tcp::socket& aSocket,
                          milliseconds aUnacknowledgedTimeout,
                          boost::system::error_code& aError);

/// Besides, probes an idle connection each second, so that one that has fallen
/// silent ends within about three seconds.
void SetKeepAliveProbes(boost::asio::ip::tcp::socket& aSocket,
                        boost::system::error_code& aError);

} // namespace bronzedeal::gateway
