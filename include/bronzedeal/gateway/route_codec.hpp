#pragma once

#include "bronzedeal/gateway/route_config.hpp"

#include <boost/json/value.hpp>

namespace bronzedeal::gateway {

/// The form in which instances pass a configuration on.
[[nodiscard]] boost::json::value EncodeRouteConfig(const RouteConfig& aConfig);

/// Throws boost::system::system_error when a member is missing or has another
/// type.
[[nodiscard]] RouteConfig DecodeRouteConfig(const boost::json::value& aValue);

} // namespace bronzedeal::gateway
