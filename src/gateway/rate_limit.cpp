#include "bronzedeal/gateway/rate_limit.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace bronzedeal::gateway {

namespace {

/// Time constant of the average rate of sends.
constexpr double kSendRateTimeConstantSeconds = 4.0;
/// Tokens that a full bucket holds, as a time of refill; at least one.
constexpr double kBurstSeconds = 1.0;
/// Requests per second that all instances together send to a server with a
/// lower limit: only its answers tell when the limit ends.
constexpr double kMinRequestsPerSecond = 0.5;
/// Longest wait for a token that is reported.
constexpr double kMaxWaitSeconds = 3600;

double ToSeconds(Duration aDuration) noexcept
{
  return std::chrono::duration<double>(aDuration).count();
}

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

void RateLimit::OnStated(double aRequestsPerSecond,
                         double aShare,
                         double aPhase,
                         TimePoint aNow) noexcept
{
  if (!mRequestsPerSecond) {
    mTokens = aPhase;
  } else {
    mTokens = Tokens(aShare, aNow);
    if (aRequestsPerSecond < *mRequestsPerSecond) {
      // The tokens stand for a time of sending at the former rate.
      mTokens *= std::max(aRequestsPerSecond, kMinRequestsPerSecond) /
                 std::max(*mRequestsPerSecond, kMinRequestsPerSecond);
    }
  }
  mTokensAt = aNow;
  mRequestsPerSecond = aRequestsPerSecond;
  mStatedAt = aNow;
}

void RateLimit::OnNotStated(TimePoint aSentAt) noexcept
{
  if (mRequestsPerSecond && aSentAt > mStatedAt) {
    mRequestsPerSecond.reset();
  }
}

double RateLimit::RefillRate(double aShare) const noexcept
{
  return aShare *
         std::max(mRequestsPerSecond.value_or(0), kMinRequestsPerSecond);
}

double RateLimit::Tokens(double aShare, TimePoint aNow) const noexcept
{
  const double rate = RefillRate(aShare);
  return std::min(mTokens + rate * ToSeconds(aNow - mTokensAt),
                  std::max(1.0, rate * kBurstSeconds));
}

void RateLimit::OnSend(double aShare, TimePoint aNow) noexcept
{
  mSendRate = SendRate(aNow) + 1 / kSendRateTimeConstantSeconds;
  mSendRateAt = aNow;
  if (mRequestsPerSecond) {
    mTokens = Tokens(aShare, aNow) - 1;
    mTokensAt = aNow;
  }
}

bool RateLimit::CanSend(double aShare,
                        TimePoint aNow,
                        std::size_t aPending) const noexcept
{
  return !mRequestsPerSecond ||
         Tokens(aShare, aNow) >= 1 + static_cast<double>(aPending);
}

Duration RateLimit::TimeUntilSend(double aShare, TimePoint aNow) const noexcept
{
  if (CanSend(aShare, aNow)) {
    return Duration::zero();
  }
  const double missing = 1 - Tokens(aShare, aNow);
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(
    std::min(missing / RefillRate(aShare), kMaxWaitSeconds)));
}

double RateLimit::SendRate(TimePoint aNow) const noexcept
{
  return mSendRate * std::exp(-ToSeconds(aNow - mSendRateAt) /
                              kSendRateTimeConstantSeconds);
}

} // namespace bronzedeal::gateway
