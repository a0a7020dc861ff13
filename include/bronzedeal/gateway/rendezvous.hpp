#pragma once

#include <cstdint>
#include <string_view>

namespace bronzedeal::gateway {

/// Rendezvous hash: orders instances for each key alike on all instances, so
/// that they agree without talking.
[[nodiscard]] std::uint64_t RendezvousHash(std::string_view aKey,
                                           std::string_view aInstance) noexcept;

} // namespace bronzedeal::gateway
