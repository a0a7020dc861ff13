#include "bronzedeal/gateway/response_memory.hpp"

#include <algorithm>
#include <utility>

namespace bronzedeal::gateway {

namespace {

/// A response of this size is accepted whatever the others hold.
constexpr std::size_t kSmallResponseBytes = 65'536;
/// One response may hold the free memory divided by this.
constexpr std::size_t kFreeMemoryDivisor = 4;

} // namespace

bool ResponseMemory::Charge::TryGrow(std::size_t aBytes) noexcept
{
  mBytes += aBytes;
  mMemory.mUsed += aBytes;
  const auto free = mMemory.mLimit - std::min(mMemory.mUsed, mMemory.mLimit);
  return mBytes <= std::max(kSmallResponseBytes, free / kFreeMemoryDivisor);
}

void ResponseMemory::Charge::Release() noexcept
{
  mMemory.mUsed -= std::exchange(mBytes, 0);
}

} // namespace bronzedeal::gateway
