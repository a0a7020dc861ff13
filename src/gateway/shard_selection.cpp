#include "bronzedeal/gateway/shard_selection.hpp"

#include <algorithm>
#include <utility>

namespace bronzedeal::gateway {

namespace {

/// A shard is late if its expected latency is above the time left by this
/// factor: the expectation comes from few samples of one instance.
constexpr double kLateFactor = 1.5;

} // namespace

std::vector<std::size_t> SelectSkippedShards(
  const std::vector<double>& aExpectedMs,
  double aTimeLeftMs,
  std::size_t aMaxSkipped,
  std::minstd_rand& aRandom)
{
  // Random weights prefer slower shards without always skipping the same ones.
  std::uniform_real_distribution<double> weight(0.5, 1.5);
  std::vector<std::pair<double, std::size_t>> late;
  for (std::size_t n = 0; n < aExpectedMs.size(); ++n) {
    if (aExpectedMs[n] > kLateFactor * aTimeLeftMs) {
      late.emplace_back(aExpectedMs[n] * weight(aRandom), n);
    }
  }
  std::sort(late.rbegin(), late.rend());
  late.resize(std::min(late.size(), aMaxSkipped));
  std::vector<std::size_t> skipped;
  skipped.reserve(late.size());
  for (const auto& [expected, n] : late) {
    skipped.push_back(n);
  }
  std::sort(skipped.begin(), skipped.end());
  return skipped;
}

} // namespace bronzedeal::gateway
