#include "bronzedeal/gateway/server_announcements.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace bronzedeal::gateway {

namespace {

/// A server that turns requests away for longer is tried again after this time.
constexpr double kMaxRetryAfterSeconds = 3600;

} // namespace

std::optional<Duration> ParseRetryAfter(std::string_view aText) noexcept
{
  double seconds = 0;
  const auto* end = aText.data() + aText.size();
  const auto [at, ec] =
    std::from_chars(aText.data(), end, seconds, std::chars_format::fixed);
  if (ec != std::errc{} || at != end || std::isnan(seconds) || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(seconds, kMaxRetryAfterSeconds)));
}

void ServerAnnouncements::OnAnswer(const Answer& aAnswer,
                                   TimePoint aNow) noexcept
{
  if (aAnswer.leaving && !mLeavingSince) {
    mLeavingSince = aNow;
  }
  const bool isLater = aAnswer.sentAt > mTurnedAwayAt;
  if (!aAnswer.retryAfter) {
    if (isLater) {
      mTurningAwaySince.reset();
    }
    return;
  }
  const auto until = aNow + *aAnswer.retryAfter;
  mTurnedAwayUntil = isLater ? until : std::max(mTurnedAwayUntil, until);
  mTurnedAwayAt = aNow;
  mTurningAwaySince = mTurningAwaySince.value_or(aNow);
}

bool ServerAnnouncements::MaySend(std::size_t aInFlight,
                                  TimePoint aNow) const noexcept
{
  return !mLeavingSince && aNow >= mTurnedAwayUntil &&
         (!mTurningAwaySince || aInFlight == 0);
}

Duration ServerAnnouncements::TimeUntilSend(TimePoint aNow) const noexcept
{
  return std::max(mTurnedAwayUntil - aNow, Duration::zero());
}

} // namespace bronzedeal::gateway
