#include "bronzedeal/connection/outlier_detector.hpp"

#include <algorithm>

namespace bronzedeal::connection {

namespace {

/// Weight of a new answer in the smoothed latency: about the last 16 answers.
constexpr double kSmoothingWeight = 1.0 / 16;

} // namespace

OutlierDetector::OutlierDetector(const OutlierDetectorOptions& aOptions)
  : mOptions(aOptions)
  , mNextEjectionTime(aOptions.firstEjectionTime)
{
}

void OutlierDetector::RecordSuccess(Duration aLatency,
                                    std::optional<Duration> aServiceLatency,
                                    TimePoint aNow)
{
  mConsecutiveFailures = 0;
  const auto n = static_cast<double>(aLatency.count());
  mSmoothedLatencyNs =
    mLatencySamples == 0
      ? n
      : mSmoothedLatencyNs + kSmoothingWeight * (n - mSmoothedLatencyNs);
  ++mLatencySamples;
  if (IsEjected(aNow)) {
    return;
  }
  if (mAwaitingSuccess) {
    mAwaitingSuccess = false;
    mNextEjectionTime = mOptions.firstEjectionTime;
  }
  if (aServiceLatency && mLatencySamples >= mOptions.minLatencySamples &&
      mSmoothedLatencyNs >
        static_cast<double>(mOptions.minEjectionLatency.count()) &&
      mSmoothedLatencyNs > mOptions.latencyFactor *
                             static_cast<double>(aServiceLatency->count())) {
    Eject(aNow);
  }
}

void OutlierDetector::RecordFailure(TimePoint aNow)
{
  ++mConsecutiveFailures;
  if (!IsEjected(aNow) &&
      (mAwaitingSuccess ||
       mConsecutiveFailures >= mOptions.consecutiveFailures)) {
    Eject(aNow);
  }
}

void OutlierDetector::Eject(TimePoint aNow)
{
  mEjectedUntil = aNow + mNextEjectionTime;
  mNextEjectionTime = std::min(2 * mNextEjectionTime, mOptions.maxEjectionTime);
  mAwaitingSuccess = true;
  mConsecutiveFailures = 0;
  // The latency is judged anew after the period.
  mLatencySamples = 0;
  ++mEjectionCount;
}

} // namespace bronzedeal::connection
