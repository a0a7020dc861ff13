#include "bronzedeal/gateway/memory_budget.hpp"

#include <algorithm>
#include <utility>

namespace bronzedeal::gateway {

bool MemoryBudget::Charge::TryGrow(std::size_t aBytes) noexcept
{
  mBytes += aBytes;
  mMemory.mUsed += aBytes;
  const auto& limits = mMemory.mLimits;
  const auto free =
    limits.totalBytes - std::min(mMemory.mUsed, limits.totalBytes);
  return mBytes <= std::max(limits.smallBytes, free / limits.freeDivisor);
}

bool MemoryBudget::Charge::TryResize(std::size_t aBytes) noexcept
{
  if (aBytes <= mBytes) {
    mMemory.mUsed -= mBytes - aBytes;
    mBytes = aBytes;
    return true;
  }
  return TryGrow(aBytes - mBytes);
}

void MemoryBudget::Charge::Release() noexcept
{
  mMemory.mUsed -= std::exchange(mBytes, 0);
}

} // namespace bronzedeal::gateway
