#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzedeal::gateway {

/// XXH3 128-bit hash of what a request consists of for a server, whoever sends
/// it: method, host, target and body. In canonical (big-endian) byte order.
using ContentId = std::array<std::uint8_t, 16>;

[[nodiscard]] ContentId ContentIdOf(std::string_view aMethod,
                                    std::string_view aHost,
                                    std::string_view aTarget,
                                    std::string_view aBody) noexcept;

/// The id as 32 hexadecimal digits, for logs and messages.
[[nodiscard]] std::string ToHex(const ContentId& aContent);

/// The id of 32 hexadecimal digits; nothing if the text is something else.
[[nodiscard]] std::optional<ContentId> ContentIdFromHex(std::string_view aText);

} // namespace bronzedeal::gateway
