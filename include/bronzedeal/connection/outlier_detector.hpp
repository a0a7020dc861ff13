#pragma once

#include "bronzedeal/types.hpp"

#include <cstdint>
#include <optional>

namespace bronzedeal::connection {

struct OutlierDetectorOptions
{
  /// Failures in a row (lost connections, failed connects, timeouts, 5xx)
  /// after which a server is ejected.
  unsigned consecutiveFailures = 5;
  /// A server is ejected when its smoothed latency exceeds this multiple of its
  /// service's latency.
  double latencyFactor = 5.0;
  /// Responses since the last ejection before the latency is evaluated.
  unsigned minLatencySamples = 16;
  /// A smoothed latency up to this never ejects a server.
  Duration minEjectionLatency = milliseconds(5);
  /// Duration of the first ejection. It doubles with each further ejection, up
  /// to `maxEjectionTime`, until a success after an ejection.
  Duration firstEjectionTime = milliseconds(500);
  Duration maxEjectionTime = milliseconds(8000);
};

/// Outlier ejection for one backend server, based on what its owner observes:
/// failures in a row and the latency relative to the service's. After an
/// ejection a single success brings the server back, and a single failure
/// starts the next, longer ejection.
///
/// Reads no clock and does no I/O. Not thread safe.
class OutlierDetector
{
public:
  explicit OutlierDetector(const OutlierDetectorOptions& aOptions = {});

  /// Records a response. `aServiceLatency` is the typical latency over the
  /// service's servers; without it the latency is not evaluated.
  void RecordSuccess(Duration aLatency,
                     std::optional<Duration> aServiceLatency,
                     TimePoint aNow);
  void RecordFailure(TimePoint aNow);

  /// False while the server is ejected. `aOtherUsableReplicas` is the number of
  /// other usable replicas of the shard; the last replica always stays usable.
  [[nodiscard]] bool IsUsable(unsigned aOtherUsableReplicas,
                              TimePoint aNow) const noexcept
  {
    return aOtherUsableReplicas == 0 || !IsEjected(aNow);
  }
  [[nodiscard]] bool IsEjected(TimePoint aNow) const noexcept
  {
    return aNow < mEjectedUntil;
  }
  [[nodiscard]] unsigned ConsecutiveFailures() const noexcept
  {
    return mConsecutiveFailures;
  }
  /// Ejections so far.
  [[nodiscard]] std::uint64_t EjectionCount() const noexcept
  {
    return mEjectionCount;
  }

private:
  void Eject(TimePoint aNow);

  OutlierDetectorOptions mOptions;
  unsigned mConsecutiveFailures = 0;
  unsigned mLatencySamples = 0;
  /// Exponentially weighted moving average.
  double mSmoothedLatencyNs = 0;
  Duration mNextEjectionTime;
  TimePoint mEjectedUntil;
  /// True from an ejection until the first success after it. Meanwhile a single
  /// failure ejects the server again.
  bool mAwaitingSuccess = false;
  std::uint64_t mEjectionCount = 0;
};

} // namespace bronzedeal::connection
