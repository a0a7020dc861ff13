#pragma once

#include "bronzedeal/types.hpp"

#include <cstdint>
#include <optional>

namespace bronzedeal::connection {

struct OutlierDetectorOptions
{
  /// Failures in a row (lost connections, failed connects, timeouts, 5xx)
  /// after which a server is set aside.
  unsigned consecutiveFailures = 5;
  /// A server is set aside when its smoothed latency exceeds this multiple of
  /// its service's latency.
  double latencyFactor = 5.0;
  /// Answers before the latency is judged.
  unsigned minLatencySamples = 16;
  /// Answers faster than this never set a server aside.
  Duration minEjectionLatency = milliseconds(5);
  /// Length of the first period; it doubles with each period in a row.
  Duration firstEjectionTime = milliseconds(500);
  Duration maxEjectionTime = milliseconds(8000);
};

/// Judges one backend server by what its owner sees: failures in a row and its
/// latency relative to its service. After the period a single success brings
/// the server back and a single failure starts the next, longer period.
///
/// Pure and not thread safe.
class OutlierDetector
{
public:
  explicit OutlierDetector(const OutlierDetectorOptions& aOptions = {});

  /// `aServiceLatency` is the typical latency over the service's servers; none
  /// when it is not known.
  void RecordSuccess(Duration aLatency,
                     std::optional<Duration> aServiceLatency,
                     TimePoint aNow);
  void RecordFailure(TimePoint aNow);

  /// False while the server is set aside. `aOthersUsable` is the number of
  /// other usable replicas of the shard; the last replica always stays usable.
  [[nodiscard]] bool IsUsable(unsigned aOthersUsable,
                              TimePoint aNow) const noexcept
  {
    return aOthersUsable == 0 || !IsEjected(aNow);
  }
  [[nodiscard]] bool IsEjected(TimePoint aNow) const noexcept
  {
    return aNow < mEjectedUntil;
  }
  [[nodiscard]] unsigned ConsecutiveFailures() const noexcept
  {
    return mConsecutiveFailures;
  }
  /// Periods begun so far.
  [[nodiscard]] std::uint64_t EjectionCount() const noexcept
  {
    return mEjectionCount;
  }

private:
  void Eject(TimePoint aNow);

  OutlierDetectorOptions mOptions;
  unsigned mConsecutiveFailures = 0;
  unsigned mLatencySamples = 0;
  double mSmoothedLatencyNs = 0;
  Duration mNextEjectionTime;
  TimePoint mEjectedUntil;
  bool mAwaitingSuccess = false;
  std::uint64_t mEjectionCount = 0;
};

} // namespace bronzedeal::connection
