#include "bronzedeal/request/latency_digest.hpp"

#include <algorithm>
#include <bit>

namespace bronzedeal::request {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

/// Bucket 0 holds all latencies below 2^6 us; each octave above has 2^3
/// buckets.
constexpr std::uint32_t kMinLatencyBits = 6;
constexpr std::uint32_t kOctaveBucketBits = 3;
constexpr std::uint32_t kBucketsPerOctave = 1U << kOctaveBucketBits;

} // namespace

LatencyDigest::LatencyDigest(Duration aWindowLength) noexcept
  : mWindowLength(aWindowLength)
{
}

std::size_t LatencyDigest::BucketOf(Duration aLatency) noexcept
{
  const auto us = duration_cast<microseconds>(aLatency).count();
  if (us < (std::int64_t{ 1 } << kMinLatencyBits)) {
    return 0;
  }
  const auto n = static_cast<std::uint64_t>(us);
  const auto octave = static_cast<std::uint32_t>(std::bit_width(n)) - 1;
  const auto step =
    (n >> (octave - kOctaveBucketBits)) & (kBucketsPerOctave - 1);
  return std::min<std::size_t>(
    1 + std::size_t{ octave - kMinLatencyBits } * kBucketsPerOctave + step,
    kBuckets - 1);
}

Duration LatencyDigest::BucketMidpoint(std::size_t aBucket) noexcept
{
  if (aBucket == 0) {
    return microseconds(1 << (kMinLatencyBits - 1));
  }
  const auto octave = kMinLatencyBits + (aBucket - 1) / kBucketsPerOctave;
  const auto step = (aBucket - 1) % kBucketsPerOctave;
  const auto width = std::uint64_t{ 1 } << (octave - kOctaveBucketBits);
  return microseconds((kBucketsPerOctave + step) * width + width / 2);
}

void LatencyDigest::DropExpiredWindows(TimePoint aNow) noexcept
{
  if (mWindowStart == TimePoint{}) {
    mWindowStart = aNow;
    return;
  }
  if (aNow - mWindowStart < mWindowLength) {
    return;
  }
  const auto windowsPassed = (aNow - mWindowStart) / mWindowLength;
  for (std::int64_t i = 0;
       i < std::min<std::int64_t>(windowsPassed, std::int64_t{ kWindows });
       ++i) {
    mCurrentWindow = (mCurrentWindow + 1) % kWindows;
    auto& oldest = mWindowCounts[mCurrentWindow];
    for (std::size_t n = 0; n < kBuckets; ++n) {
      mTotalCounts[n] -= oldest[n];
      mSampleCount -= oldest[n];
    }
    oldest.fill(0);
  }
  mWindowStart += windowsPassed * mWindowLength;
  UpdateQuantiles();
}

void LatencyDigest::Add(Duration aLatency, TimePoint aNow) noexcept
{
  DropExpiredWindows(aNow);
  const auto n = BucketOf(aLatency);
  ++mWindowCounts[mCurrentWindow][n];
  ++mTotalCounts[n];
  ++mSampleCount;
  ++mSamplesSinceUpdate;
  if (mSamplesSinceUpdate >= kSamplesPerUpdate ||
      mSampleCount <= kSamplesPerUpdate) {
    UpdateQuantiles();
  }
}

Duration LatencyDigest::Quantile(std::uint32_t aPercent) const noexcept
{
  if (mSampleCount == 0) {
    return {};
  }
  const auto rank = (std::uint64_t{ mSampleCount } * aPercent + 99) / 100;
  std::uint64_t cumulativeCount = 0;
  for (std::size_t n = 0; n < kBuckets; ++n) {
    cumulativeCount += mTotalCounts[n];
    if (cumulativeCount >= rank) {
      return BucketMidpoint(n);
    }
  }
  return BucketMidpoint(kBuckets - 1);
}

void LatencyDigest::UpdateQuantiles() noexcept
{
  mCachedMedian = Quantile(50);
  mCachedP95 = Quantile(95);
  mSamplesSinceUpdate = 0;
}

Duration LatencyDigest::Median(TimePoint aNow) noexcept
{
  DropExpiredWindows(aNow);
  return mCachedMedian;
}

Duration LatencyDigest::P95(TimePoint aNow) noexcept
{
  DropExpiredWindows(aNow);
  return mCachedP95;
}

std::uint32_t LatencyDigest::SampleCount(TimePoint aNow) noexcept
{
  DropExpiredWindows(aNow);
  return mSampleCount;
}

LatencyDigests::LatencyDigests(Duration aWindowLength) noexcept
  : mWindowLength(aWindowLength)
{
}

LatencyDigests::Index LatencyDigests::FindOrAdd(std::string_view aService)
{
  if (const auto it = mIndex.find(aService); it != mIndex.end()) {
    return it->second;
  }
  const auto index = static_cast<Index>(mDigests.size());
  mDigests.emplace_back(mWindowLength);
  mIndex.emplace(aService, index);
  return index;
}

} // namespace bronzedeal::request
