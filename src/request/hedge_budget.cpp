#include "bronzedeal/request/hedge_budget.hpp"

#include <algorithm>
#include <cmath>

namespace bronzedeal::request {

HedgeBudget::HedgeBudget(double aPercent,
                         std::uint32_t aCapacityTokens,
                         std::uint32_t aInitialTokens) noexcept
  : mUnitsPerAttempt(0)
  , mCapacityUnits(std::int64_t{ aCapacityTokens } * kUnitsPerToken)
  , mTokenUnits(
      std::min(std::int64_t{ aInitialTokens } * kUnitsPerToken, mCapacityUnits))
{
  SetPercent(aPercent);
}

void HedgeBudget::SetPercent(double aPercent) noexcept
{
  const auto percent = std::clamp(aPercent, 0.0, 100.0);
  // Rounded down, so that the configured share is never exceeded; 1e-6 absorbs
  // floating-point error.
  mUnitsPerAttempt.store(
    static_cast<std::int64_t>(
      std::floor(percent / 100 * static_cast<double>(kUnitsPerToken) + 1e-6)),
    std::memory_order_relaxed);
}

void HedgeBudget::CreditAttempts(std::uint32_t aFirstAttempts) noexcept
{
  const auto creditUnits =
    mUnitsPerAttempt.load(std::memory_order_relaxed) * aFirstAttempts;
  auto units = mTokenUnits.load(std::memory_order_relaxed);
  while (!mTokenUnits.compare_exchange_weak(
    units,
    std::min(units + creditUnits, mCapacityUnits),
    std::memory_order_relaxed)) {
  }
}

bool HedgeBudget::TryTakeToken() noexcept
{
  auto units = mTokenUnits.load(std::memory_order_relaxed);
  do {
    if (units < kUnitsPerToken) {
      return false;
    }
  } while (!mTokenUnits.compare_exchange_weak(
    units, units - kUnitsPerToken, std::memory_order_relaxed));
  return true;
}

std::uint32_t HedgeBudget::Tokens() const noexcept
{
  return static_cast<std::uint32_t>(
    mTokenUnits.load(std::memory_order_relaxed) / kUnitsPerToken);
}

} // namespace bronzedeal::request
