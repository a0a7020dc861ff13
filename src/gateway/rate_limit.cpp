#include "bronzedeal/gateway/rate_limit.hpp"

#include <charconv>
#include <cmath>

namespace bronzedeal::gateway {

namespace {

/// Time constant of the average rate of sends.
constexpr double kSendRateTimeConstantSeconds = 4.0;

} // namespace

std::optional<double> ParseRequestRate(std::string_view aText) noexcept
{
  double rate = 0;
  const auto* end = aText.data() + aText.size();
  const auto [at, ec] =
    std::from_chars(aText.data(), end, rate, std::chars_format::fixed);
  if (ec != std::errc{} || at != end || !std::isfinite(rate) || rate < 0) {
    return std::nullopt;
  }
  return rate;
}

void RateLimit::OnStated(double aRequestsPerSecond, TimePoint aNow) noexcept
{
  mRequestsPerSecond = aRequestsPerSecond;
  mStatedAt = aNow;
}

void RateLimit::OnNotStated(TimePoint aSentAt) noexcept
{
  if (mRequestsPerSecond && aSentAt > mStatedAt) {
    mRequestsPerSecond.reset();
  }
}

void RateLimit::OnSend(TimePoint aNow) noexcept
{
  mSendRate = SendRate(aNow) + 1 / kSendRateTimeConstantSeconds;
  mSendRateAt = aNow;
}

double RateLimit::SendRate(TimePoint aNow) const noexcept
{
  const double elapsedSeconds =
    std::chrono::duration<double>(aNow - mSendRateAt).count();
  return mSendRate * std::exp(-elapsedSeconds / kSendRateTimeConstantSeconds);
}

} // namespace bronzedeal::gateway
