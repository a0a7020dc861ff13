#pragma once

#include "bronzedeal/json_fields.hpp"

namespace bronzedeal::version {

/// Reports each key that occurs twice in one object of the JSON text, which
/// Boost.JSON accepts silently. `aText` must be valid JSON.
void FindDuplicateKeys(std::string_view aText,
                       std::vector<FieldError>& aErrors);

/// A required name as in `IsName`.
[[nodiscard]] std::string TakeName(JsonFields& aFields, std::string_view aKey);

[[nodiscard]] Labels TakeLabels(JsonFields& aFields,
                                std::string_view aKey,
                                bool aRequired = false);

/// True for 1 to 63 letters, digits, `-`, `_` and `.` with an alphanumeric
/// begin and end. Such ids are also valid label values.
[[nodiscard]] bool IsName(std::string_view aText) noexcept;

inline constexpr std::string_view kNameAllowed =
  "1 to 63 letters, digits, `-`, `_`, `.`; alphanumeric at both ends";

} // namespace bronzedeal::version
