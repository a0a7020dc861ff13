#pragma once

#include "bronzedeal/types.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzedeal::request {

/// Latency quantiles of recent samples. Latencies from 64 us to 16 s are
/// counted in fixed logarithmic buckets, 8 per octave, so that an estimate is
/// within 7% of the true value. The counts are kept in a ring of time windows,
/// of which the oldest is dropped as time passes. Not thread safe: the caller
/// synchronizes access.
class LatencyDigest
{
public:
  /// A sample is dropped after 3 to 4 windows of this length.
  explicit LatencyDigest(
    Duration aWindowLength = std::chrono::seconds(5)) noexcept;

  /// Adds a latency. The time for which a cancelled attempt had waited must be
  /// added as well: without it, the slow samples that a hedge replaced would be
  /// missing, and the p95 would sink from window to window.
  void Add(Duration aLatency, TimePoint aNow) noexcept;

  /// Estimate of the median; 0 without samples.
  [[nodiscard]] Duration Median(TimePoint aNow) noexcept;
  /// Estimate of the 95th percentile; 0 without samples.
  [[nodiscard]] Duration P95(TimePoint aNow) noexcept;
  /// Number of samples in the ring.
  [[nodiscard]] std::uint32_t SampleCount(TimePoint aNow) noexcept;

private:
  static constexpr std::size_t kBuckets = 145;
  static constexpr std::size_t kWindows = 4;
  /// The quantiles are recomputed after this many further samples (after each
  /// one while there are at most this many) and when a window ends, so that a
  /// read takes constant time on average.
  static constexpr std::uint32_t kSamplesPerUpdate = 64;

  [[nodiscard]] static std::size_t BucketOf(Duration aLatency) noexcept;
  [[nodiscard]] static Duration BucketMidpoint(std::size_t aBucket) noexcept;
  [[nodiscard]] Duration Quantile(std::uint32_t aPercent) const noexcept;
  void DropExpiredWindows(TimePoint aNow) noexcept;
  void UpdateQuantiles() noexcept;

  using Counts = std::array<std::uint32_t, kBuckets>;
  std::array<Counts, kWindows> mWindowCounts{};
  Counts mTotalCounts{};
  Duration mWindowLength;
  TimePoint mWindowStart{};
  std::size_t mCurrentWindow = 0;
  std::uint32_t mSampleCount = 0;
  std::uint32_t mSamplesSinceUpdate = 0;
  Duration mCachedMedian{};
  Duration mCachedP95{};
};

/// The digests of all services. An index stays valid for the lifetime of the
/// object. Not thread safe: the caller synchronizes access.
class LatencyDigests
{
public:
  using Index = std::uint32_t;

  explicit LatencyDigests(
    Duration aWindowLength = std::chrono::seconds(5)) noexcept;

  /// Returns the index of a service; adds the service when it is unknown.
  [[nodiscard]] Index FindOrAdd(std::string_view aService);
  [[nodiscard]] LatencyDigest& At(Index aIndex) noexcept
  {
    return mDigests[aIndex];
  }
  [[nodiscard]] std::size_t size() const noexcept { return mDigests.size(); }

private:
  struct Hash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const noexcept
    {
      return std::hash<std::string_view>{}(aText);
    }
  };

  Duration mWindowLength;
  std::unordered_map<ServiceId, Index, Hash, std::equal_to<>> mIndex;
  std::vector<LatencyDigest> mDigests;
};

} // namespace bronzedeal::request
