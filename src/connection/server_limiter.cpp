#include "bronzedeal/connection/server_limiter.hpp"

#include <algorithm>

namespace bronzedeal::connection {

namespace {

/// Slow or lost attempts in a row that reset the allowance (docs/design.md,
/// 4.7).
constexpr unsigned kSlowAnswersToReset = 3;
/// Multiple of the median latency above which an attempt is slow
/// (docs/design.md, 4.7).
constexpr int kSlowFactor = 4;
/// Responses before this server's own median is used.
constexpr std::size_t kMinMedianSamples = 8;
/// Responses between two computations of the median.
constexpr std::size_t kMedianInterval = 16;

} // namespace

std::string_view Name(AttemptOutcome aOutcome) noexcept
{
  switch (aOutcome) {
    case AttemptOutcome::Answered:
      return "answered";
    case AttemptOutcome::Refused:
      return "refused";
    case AttemptOutcome::Cancelled:
      return "cancelled";
    case AttemptOutcome::NotSent:
      return "not_sent";
    case AttemptOutcome::Lost:
      return "lost";
  }
  return "";
}

std::string_view Name(ResetReason aReason) noexcept
{
  switch (aReason) {
    case ResetReason::Start:
      return "start";
    case ResetReason::ConnectionLost:
      return "connection_lost";
    case ResetReason::Reconnect:
      return "reconnect";
    case ResetReason::Refusals:
      return "refusals";
    case ResetReason::SlowAnswers:
      return "slow_answers";
  }
  return "";
}

ServerLimiter::ServerLimiter(const LimiterOptions& aOptions, TimePoint aNow)
  : mOptions(aOptions)
  , mAllowance(ClampedColdAllowance())
  , mAllowanceChangedAt(aNow)
  , mResetAt(aNow)
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

void ServerLimiter::Complete(AttemptOutcome aOutcome,
                             Duration aLatency,
                             TimePoint aNow)
{
  if (mInFlight > 0) {
    --mInFlight;
  }
  if (aOutcome == AttemptOutcome::NotSent) {
    return;
  }
  const bool slow = IsSlow(aLatency);
  if (aOutcome == AttemptOutcome::Answered) {
    RecordLatency(aLatency);
  }
  const auto sentAt = aNow - aLatency;
  if (sentAt <= mResetAt) {
    return;
  }
  if (aOutcome == AttemptOutcome::Refused) {
    // Only the owner sends to this server, and it kept to the slots. A single
    // refusal therefore proves that the server takes fewer attempts than that.
    ResetAllowance(ResetReason::Refusals, aNow);
    return;
  }
  if (slow || aOutcome == AttemptOutcome::Lost) {
    if (++mConsecutiveSlow >= kSlowAnswersToReset) {
      ResetAllowance(ResetReason::SlowAnswers, aNow);
    }
  } else if (aOutcome == AttemptOutcome::Answered) {
    mConsecutiveSlow = 0;
    if (sentAt > mAllowanceChangedAt && mAllowance < mOptions.slots &&
        ++mRampCompletions >= mOptions.warmCompletions) {
      mRampCompletions = 0;
      mAllowanceChangedAt = aNow;
      mAllowance = std::min(2 * mAllowance, mOptions.slots);
    }
  }
}

void ServerLimiter::OnConnectionLost(TimePoint aNow)
{
  mReconnectPending = true;
  ResetAllowance(ResetReason::ConnectionLost, aNow);
}

void ServerLimiter::OnConnected(TimePoint aNow)
{
  if (mReconnectPending) {
    mReconnectPending = false;
    ResetAllowance(ResetReason::Reconnect, aNow);
  }
}

void ServerLimiter::SetOptions(const LimiterOptions& aOptions, TimePoint aNow)
{
  mOptions = aOptions;
  const auto n = aOptions.rampEnabled
                   ? std::clamp(mAllowance, ClampedColdAllowance(), Slots())
                   : aOptions.slots;
  if (n != mAllowance) {
    mAllowance = n;
    mAllowanceChangedAt = aNow;
    mRampCompletions = 0;
  }
}

std::optional<Duration> ServerLimiter::MedianLatency() const
{
  return mServiceMedian ? mServiceMedian : mOwnMedian;
}

void ServerLimiter::ResetAllowance(ResetReason aReason, TimePoint aNow)
{
  ++mResetCount;
  mResetReason = aReason;
  mAllowance = ClampedColdAllowance();
  mAllowanceChangedAt = aNow;
  mResetAt = aNow;
  mRampCompletions = 0;
  mConsecutiveSlow = 0;
}

void ServerLimiter::RecordLatency(Duration aLatency)
{
  mLatencies[mLatencyCount % kLatencyWindow] = aLatency;
  ++mLatencyCount;
  if (mLatencyCount < kMinMedianSamples ||
      (mOwnMedian && mLatencyCount % kMedianInterval != 0)) {
    return;
  }
  auto sorted = mLatencies;
  const auto n = std::min(mLatencyCount, kLatencyWindow);
  auto* middle = sorted.data() + n / 2;
  std::nth_element(sorted.data(), middle, sorted.data() + n);
  mOwnMedian = *middle;
}

bool ServerLimiter::IsSlow(Duration aLatency) const
{
  const auto median = MedianLatency();
  return median && aLatency > mOptions.minSlowLatency &&
         aLatency > kSlowFactor * *median;
}

unsigned ServerLimiter::ClampedColdAllowance() const noexcept
{
  return mOptions.rampEnabled
           ? std::min(std::max(mOptions.coldAllowance, 1U), mOptions.slots)
           : mOptions.slots;
}

} // namespace bronzedeal::connection
