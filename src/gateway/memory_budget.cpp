#include "bronzedeal/gateway/memory_budget.hpp"

#include <algorithm>
#include <utility>

namespace bronzedeal::gateway {

namespace {

/// One message may hold the free memory divided by this.
constexpr std::size_t kFreeMemoryDivisor = 4;

} // namespace

bool MemoryBudget::Charge::TryGrow(std::size_t aBytes) noexcept
{
  mBytes += aBytes;
  mMemory.mUsed += aBytes;
  const auto& limits = mMemory.mLimits;
  const auto free =
    limits.totalBytes - std::min(mMemory.mUsed, limits.totalBytes);
  return mBytes <= std::max(limits.smallBytes, free / kFreeMemoryDivisor);
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
