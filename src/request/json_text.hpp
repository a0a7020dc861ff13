#pragma once

#include <string>
#include <string_view>

namespace bronzedeal::request {

/// Returns the unchanged text of a member of a JSON object; empty when the
/// value is not an object or has no such member. Of members with the same name,
/// the last one is used, as in Boost.JSON. `aObject` must be valid JSON.
[[nodiscard]] std::string_view MemberText(std::string_view aObject,
                                          std::string_view aName);

/// Returns a valid JSON text without white space and with sorted keys. Numbers
/// keep their text: Boost.JSON 1.81 parses some doubles with an error of one
/// unit in the last place, which would alter the caller's request.
[[nodiscard]] std::string CanonicalText(std::string_view aValue);

} // namespace bronzedeal::request
