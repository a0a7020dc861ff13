#pragma once

#include "bronzedeal/gateway/route_config.hpp"

#include <boost/json/value.hpp>

namespace bronzedeal::gateway {

/// Encodes a configuration as instances relay it to each other.
[[nodiscard]] boost::json::value EncodeRouteConfig(const RouteConfig& aConfig);

/// The inverse of `EncodeRouteConfig`. Throws boost::system::system_error when
/// a member is missing or has another type.
[[nodiscard]] RouteConfig DecodeRouteConfig(const boost::json::value& aValue);

} // namespace bronzedeal::gateway
