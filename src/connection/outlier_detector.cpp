#include "bronzedeal/connection/outlier_detector.hpp"

#include <algorithm>

namespace bronzedeal::connection {

namespace {

/// Weight of a new response in the smoothed latency, which averages about the
/// last 16 responses.
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
  const auto latencyNs = static_cast<double>(aLatency.count());
  mSmoothedLatencyNs =
    mLatencySamples == 0
      ? latencyNs
      : mSmoothedLatencyNs +
          kSmoothingWeight * (latencyNs - mSmoothedLatencyNs);
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
  // The latency is evaluated anew after the ejection.
  mLatencySamples = 0;
  ++mEjectionCount;
}

} // namespace bronzedeal::connection
