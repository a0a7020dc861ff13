#pragma once

#include "bronzedeal/types.hpp"

#include <cstdint>
#include <optional>

namespace bronzedeal::connection {

struct OutlierOptions
{
  /// Failures in a row (lost connections, failed connects, timeouts, 5xx)
  /// after which a server is set aside.
  unsigned consecutiveFailures = 5;
  /// A server is set aside when its smoothed latency exceeds this multiple of
  /// its service's latency.
  double latencyFactor = 5.0;
  /// Answers before the latency is judged.
  unsigned minimumAnswers = 16;
  /// Answers faster than this never set a server aside.
  Duration latencyFloor = milliseconds(5);
  /// Length of the first period; it doubles with each period in a row.
  Duration firstPeriod = milliseconds(500);
  Duration longestPeriod = milliseconds(8000);
};

/// Judges one backend server by what its owner sees: failures in a row and its
/// latency relative to its service. After the period a single success brings
/// the server back and a single failure starts the next, longer period.
///
/// Pure and not thread safe.
class OutlierDetector
{
public:
  explicit OutlierDetector(const OutlierOptions& aOptions = {});

  /// `aServiceLatency` is the typical latency over the service's servers; none
  /// when it is not known.
  void Success(Duration aLatency,
               std::optional<Duration> aServiceLatency,
               TimePoint aNow);
  void Failure(TimePoint aNow);

  /// False while the server is set aside. `aOthersUsable` is the number of
  /// other usable replicas of the shard; the last replica always stays usable.
  [[nodiscard]] bool Usable(unsigned aOthersUsable,
                            TimePoint aNow) const noexcept
  {
    return aOthersUsable == 0 || !SetAside(aNow);
  }
  [[nodiscard]] bool SetAside(TimePoint aNow) const noexcept
  {
    return aNow < mUntil;
  }
  [[nodiscard]] unsigned ConsecutiveFailures() const noexcept
  {
    return mFailures;
  }
  /// Periods begun so far.
  [[nodiscard]] std::uint64_t Periods() const noexcept { return mPeriods; }

private:
  void Begin(TimePoint aNow);

  OutlierOptions mOptions;
  unsigned mFailures = 0;
  unsigned mAnswers = 0;
  double mSmoothed = 0;
  Duration mNextPeriod;
  TimePoint mUntil;
  bool mOnTrial = false;
  std::uint64_t mPeriods = 0;
};

} // namespace bronzedeal::connection
