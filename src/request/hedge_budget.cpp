#include "bronzedeal/request/hedge_budget.hpp"

#include <algorithm>
#include <cmath>

namespace bronzedeal::request {

HedgeBudget::HedgeBudget(double aPercent,
                         std::uint32_t aCapacity,
                         std::uint32_t aInitial) noexcept
  : mShare(0)
  , mCapacity(std::int64_t{ aCapacity } * kUnit)
  , mTokens(std::min(std::int64_t{ aInitial } * kUnit, mCapacity))
{
  SetPercent(aPercent);
}

void HedgeBudget::SetPercent(double aPercent) noexcept
{
  const auto percent = std::clamp(aPercent, 0.0, 100.0);
  // Rounded down, so that the promised share is never exceeded.
  mShare.store(static_cast<std::int64_t>(
                 std::floor(percent / 100 * static_cast<double>(kUnit) + 1e-6)),
               std::memory_order_relaxed);
}

void HedgeBudget::Earn(std::uint32_t aCount) noexcept
{
  const auto earned = mShare.load(std::memory_order_relaxed) * aCount;
  auto tokens = mTokens.load(std::memory_order_relaxed);
  while (!mTokens.compare_exchange_weak(
    tokens, std::min(tokens + earned, mCapacity), std::memory_order_relaxed)) {
  }
}

bool HedgeBudget::TrySpend() noexcept
{
  auto tokens = mTokens.load(std::memory_order_relaxed);
  do {
    if (tokens < kUnit) {
      return false;
    }
  } while (!mTokens.compare_exchange_weak(
    tokens, tokens - kUnit, std::memory_order_relaxed));
  return true;
}

std::uint32_t HedgeBudget::Tokens() const noexcept
{
  return static_cast<std::uint32_t>(mTokens.load(std::memory_order_relaxed) /
                                    kUnit);
}

} // namespace bronzedeal::request
