#pragma once

#include "bronzedeal/version/document.hpp"

#include <boost/json/value.hpp>
#include <optional>

namespace bronzedeal::version {

/// The canonical form as a JSON value.
[[nodiscard]] boost::json::value ToJson(const Document& aDocument);

/// Validates a JSON value; `aError` lists all errors.
[[nodiscard]] std::optional<Document> FromJson(const boost::json::value& aValue,
                                               Error& aError);

} // namespace bronzedeal::version
