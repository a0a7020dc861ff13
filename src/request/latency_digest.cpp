#include "bronzedeal/request/latency_digest.hpp"

#include <algorithm>
#include <bit>

namespace bronzedeal::request {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

/// Bucket 0 holds everything below 2^6 us; each octave has 2^3 buckets.
constexpr std::uint32_t kLowestBits = 6;
constexpr std::uint32_t kStepBits = 3;
constexpr std::uint32_t kSteps = 1U << kStepBits;

} // namespace

LatencyDigest::LatencyDigest(Duration aWindow) noexcept
  : mWindow(aWindow)
{
}

std::size_t LatencyDigest::BucketOf(Duration aLatency) noexcept
{
  const auto us = duration_cast<microseconds>(aLatency).count();
  if (us < (std::int64_t{ 1 } << kLowestBits)) {
    return 0;
  }
  const auto n = static_cast<std::uint64_t>(us);
  const auto octave = static_cast<std::uint32_t>(std::bit_width(n)) - 1;
  const auto step = (n >> (octave - kStepBits)) & (kSteps - 1);
  return std::min<std::size_t>(
    1 + std::size_t{ octave - kLowestBits } * kSteps + step, kBuckets - 1);
}

Duration LatencyDigest::MiddleOf(std::size_t aBucket) noexcept
{
  if (aBucket == 0) {
    return microseconds(1 << (kLowestBits - 1));
  }
  const auto octave = kLowestBits + (aBucket - 1) / kSteps;
  const auto step = (aBucket - 1) % kSteps;
  const auto width = std::uint64_t{ 1 } << (octave - kStepBits);
  return microseconds((kSteps + step) * width + width / 2);
}

void LatencyDigest::Rotate(TimePoint aNow) noexcept
{
  if (mWindowStart == TimePoint{}) {
    mWindowStart = aNow;
    return;
  }
  if (aNow - mWindowStart < mWindow) {
    return;
  }
  const auto passed = (aNow - mWindowStart) / mWindow;
  for (std::int64_t i = 0;
       i < std::min<std::int64_t>(passed, std::int64_t{ kWindows });
       ++i) {
    mCurrent = (mCurrent + 1) % kWindows;
    auto& oldest = mRing[mCurrent];
    for (std::size_t n = 0; n < kBuckets; ++n) {
      mSum[n] -= oldest[n];
      mCount -= oldest[n];
    }
    oldest.fill(0);
  }
  mWindowStart += passed * mWindow;
  Refresh();
}

void LatencyDigest::Add(Duration aLatency, TimePoint aNow) noexcept
{
  Rotate(aNow);
  const auto n = BucketOf(aLatency);
  ++mRing[mCurrent][n];
  ++mSum[n];
  ++mCount;
  ++mStale;
  if (mStale >= kRefresh || mCount <= kRefresh) {
    Refresh();
  }
}

Duration LatencyDigest::Quantile(std::uint32_t aPercent) const noexcept
{
  if (mCount == 0) {
    return {};
  }
  const auto rank = (std::uint64_t{ mCount } * aPercent + 99) / 100;
  std::uint64_t seen = 0;
  for (std::size_t n = 0; n < kBuckets; ++n) {
    seen += mSum[n];
    if (seen >= rank) {
      return MiddleOf(n);
    }
  }
  return MiddleOf(kBuckets - 1);
}

void LatencyDigest::Refresh() noexcept
{
  mMedian = Quantile(50);
  mP95 = Quantile(95);
  mStale = 0;
}

Duration LatencyDigest::Median(TimePoint aNow) noexcept
{
  Rotate(aNow);
  return mMedian;
}

Duration LatencyDigest::P95(TimePoint aNow) noexcept
{
  Rotate(aNow);
  return mP95;
}

std::uint32_t LatencyDigest::Count(TimePoint aNow) noexcept
{
  Rotate(aNow);
  return mCount;
}

LatencyDigests::LatencyDigests(Duration aWindow) noexcept
  : mWindow(aWindow)
{
}

LatencyDigests::Index LatencyDigests::IndexOf(std::string_view aService)
{
  if (const auto it = mIndex.find(aService); it != mIndex.end()) {
    return it->second;
  }
  const auto index = static_cast<Index>(mDigests.size());
  mDigests.emplace_back(mWindow);
  mIndex.emplace(aService, index);
  return index;
}

} // namespace bronzedeal::request
