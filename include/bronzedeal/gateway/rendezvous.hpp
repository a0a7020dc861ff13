#pragma once

#include <cstdint>
#include <string_view>

namespace bronzedeal::gateway {

/// Rendezvous hash (highest random weight): sorting instances by it gives the
/// same order for a key on every instance, without coordination.
[[nodiscard]] std::uint64_t RendezvousHash(std::string_view aKey,
                                           std::string_view aInstance) noexcept;

} // namespace bronzedeal::gateway
