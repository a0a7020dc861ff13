#include "bronzedeal/connection/outlier_detector.hpp"

#include <algorithm>

namespace bronzedeal::connection {

namespace {

/// Weight of a new answer in the smoothed latency: about the last 16 answers.
constexpr double kWeight = 1.0 / 16;

} // namespace

OutlierDetector::OutlierDetector(const OutlierOptions& aOptions)
  : mOptions(aOptions)
  , mNextPeriod(aOptions.firstPeriod)
{
}

void OutlierDetector::Success(Duration aLatency,
                              std::optional<Duration> aServiceLatency,
                              TimePoint aNow)
{
  mFailures = 0;
  const auto n = static_cast<double>(aLatency.count());
  mSmoothed = mAnswers == 0 ? n : mSmoothed + kWeight * (n - mSmoothed);
  ++mAnswers;
  if (SetAside(aNow)) {
    return;
  }
  if (mOnTrial) {
    mOnTrial = false;
    mNextPeriod = mOptions.firstPeriod;
  }
  if (aServiceLatency && mAnswers >= mOptions.minimumAnswers &&
      mSmoothed > static_cast<double>(mOptions.latencyFloor.count()) &&
      mSmoothed > mOptions.latencyFactor *
                    static_cast<double>(aServiceLatency->count())) {
    Begin(aNow);
  }
}

void OutlierDetector::Failure(TimePoint aNow)
{
  ++mFailures;
  if (!SetAside(aNow) &&
      (mOnTrial || mFailures >= mOptions.consecutiveFailures)) {
    Begin(aNow);
  }
}

void OutlierDetector::Begin(TimePoint aNow)
{
  mUntil = aNow + mNextPeriod;
  mNextPeriod = std::min(2 * mNextPeriod, mOptions.longestPeriod);
  mOnTrial = true;
  mFailures = 0;
  // The latency is judged anew after the period.
  mAnswers = 0;
  ++mPeriods;
}

} // namespace bronzedeal::connection
