#include "bronzedeal/types.hpp"

#include <fmt/format.h>
#include <xxhash.h>

namespace bronzedeal {

std::string ToString(const SliceId& aSlice)
{
  return fmt::format("{}/{}", aSlice.failureDomain, aSlice.number);
}

SliceId SliceOf(const ServerId& aServer,
                const FailureDomain& aDomain,
                std::uint32_t aSlicesPerDomain)
{
  const auto hash = XXH64(aServer.data(), aServer.size(), 0);
  return { aDomain, static_cast<std::uint32_t>(hash % aSlicesPerDomain) };
}

} // namespace bronzedeal
