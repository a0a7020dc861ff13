#pragma once

#include <string>
#include <string_view>

namespace bronzedeal::request {

/// The text of a member of a JSON object, unchanged; empty when the text is no
/// object or has no such member. The last member of a repeated name counts, as
/// in Boost.JSON. `aObject` must be valid JSON.
[[nodiscard]] std::string_view MemberText(std::string_view aObject,
                                          std::string_view aName);

/// Valid JSON without white space and with sorted keys. Numbers keep their
/// text: Boost.JSON 1.81 reads some doubles with an error of one unit in the
/// last place, which would alter the caller's request.
[[nodiscard]] std::string CanonicalText(std::string_view aValue);

} // namespace bronzedeal::request
