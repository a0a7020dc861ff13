#include "bronzedeal/connection/server_limiter.hpp"

#include <algorithm>

namespace bronzedeal::connection {

namespace {

/// Events in a row that make the allowance fall back (design, 4.7).
constexpr unsigned kConsecutive = 3;
/// Multiple of the median above which an answer is slow (design, 4.7).
constexpr int kSlowFactor = 4;
/// Answers before a median of this server's own is used.
constexpr std::size_t kMinimumAnswers = 8;
/// Answers between two computations of the median.
constexpr std::size_t kMedianInterval = 16;

} // namespace

std::string_view Name(Outcome aOutcome) noexcept
{
  switch (aOutcome) {
    case Outcome::Answered:
      return "answered";
    case Outcome::Refused:
      return "refused";
    case Outcome::Cancelled:
      return "cancelled";
    case Outcome::NotSent:
      return "not_sent";
    case Outcome::Lost:
      return "lost";
  }
  return "";
}

std::string_view Name(FallBack aReason) noexcept
{
  switch (aReason) {
    case FallBack::Start:
      return "start";
    case FallBack::ConnectionLost:
      return "connection_lost";
    case FallBack::Reconnect:
      return "reconnect";
    case FallBack::Refusals:
      return "refusals";
    case FallBack::SlowAnswers:
      return "slow_answers";
  }
  return "";
}

ServerLimiter::ServerLimiter(const LimiterOptions& aOptions, TimePoint aNow)
  : mOptions(aOptions)
  , mAllowance(ColdValue())
  , mChangedAt(aNow)
  , mFellAt(aNow)
{
}

bool ServerLimiter::TryAcquire(TimePoint /*aNow*/)
{
  if (mDraining || mInFlight >= mAllowance) {
    return false;
  }
  ++mInFlight;
  return true;
}

void ServerLimiter::Complete(Outcome aOutcome,
                             Duration aLatency,
                             TimePoint aNow)
{
  if (mInFlight > 0) {
    --mInFlight;
  }
  if (aOutcome == Outcome::NotSent) {
    return;
  }
  const bool slow = Slow(aLatency);
  if (aOutcome == Outcome::Answered) {
    Record(aLatency);
  }
  const auto sentAt = aNow - aLatency;
  if (sentAt <= mFellAt) {
    return;
  }
  if (aOutcome == Outcome::Refused) {
    // The owner is the only sender and kept to the slots, so one refusal proves
    // that the server bears less than them.
    Fall(FallBack::Refusals, aNow);
    return;
  }
  if (slow || aOutcome == Outcome::Lost) {
    if (++mAbnormal >= kConsecutive) {
      Fall(FallBack::SlowAnswers, aNow);
    }
  } else if (aOutcome == Outcome::Answered) {
    mAbnormal = 0;
    if (sentAt > mChangedAt && mAllowance < mOptions.slots &&
        ++mGoodCompletions >= mOptions.warmCompletions) {
      mGoodCompletions = 0;
      mChangedAt = aNow;
      mAllowance = std::min(2 * mAllowance, mOptions.slots);
    }
  }
}

void ServerLimiter::ConnectionLost(TimePoint aNow)
{
  mLost = true;
  Fall(FallBack::ConnectionLost, aNow);
}

void ServerLimiter::Connected(TimePoint aNow)
{
  if (mLost) {
    mLost = false;
    Fall(FallBack::Reconnect, aNow);
  }
}

void ServerLimiter::SetOptions(const LimiterOptions& aOptions, TimePoint aNow)
{
  mOptions = aOptions;
  const auto n = aOptions.ramp ? std::clamp(mAllowance, ColdValue(), Slots())
                               : aOptions.slots;
  if (n != mAllowance) {
    mAllowance = n;
    mChangedAt = aNow;
    mGoodCompletions = 0;
  }
}

std::optional<Duration> ServerLimiter::Median() const
{
  return mGivenMedian ? mGivenMedian : mMedian;
}

void ServerLimiter::Fall(FallBack aReason, TimePoint aNow)
{
  ++mFallBacks;
  mReason = aReason;
  mAllowance = ColdValue();
  mChangedAt = aNow;
  mFellAt = aNow;
  mGoodCompletions = 0;
  mAbnormal = 0;
}

void ServerLimiter::Record(Duration aLatency)
{
  mLatencies[mLatencyCount % kWindow] = aLatency;
  ++mLatencyCount;
  if (mLatencyCount < kMinimumAnswers ||
      (mMedian && mLatencyCount % kMedianInterval != 0)) {
    return;
  }
  auto sorted = mLatencies;
  const auto n = std::min(mLatencyCount, kWindow);
  auto* middle = sorted.data() + n / 2;
  std::nth_element(sorted.data(), middle, sorted.data() + n);
  mMedian = *middle;
}

bool ServerLimiter::Slow(Duration aLatency) const
{
  const auto median = Median();
  return median && aLatency > mOptions.slowFloor &&
         aLatency > kSlowFactor * *median;
}

unsigned ServerLimiter::ColdValue() const noexcept
{
  return mOptions.ramp
           ? std::min(std::max(mOptions.coldAllowance, 1U), mOptions.slots)
           : mOptions.slots;
}

} // namespace bronzedeal::connection
