#include "bronzedeal/gateway/rendezvous.hpp"

#include <xxhash.h>

namespace bronzedeal::gateway {

std::uint64_t RendezvousHash(std::string_view aKey,
                             std::string_view aInstance) noexcept
{
  const auto seed = XXH64(aKey.data(), aKey.size(), 0);
  return XXH64(aInstance.data(), aInstance.size(), seed);
}

} // namespace bronzedeal::gateway
