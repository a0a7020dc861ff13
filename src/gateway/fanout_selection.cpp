#include "fanout_exchange.hpp"

#include "bronzedeal/gateway/shard_selection.hpp"

#include <algorithm>
#include <functional>
#include <random>

// Which shards a query leaves out because they would be late.
namespace bronzedeal::gateway {

double FanoutExchange::ExpectedShardLatencyMs(const ShardState& aShard,
                                              TimePoint aNow) const
{
  return mContext.servers.ExpectedLatencyMs(
    *aShard.group, mServerRequest->profile, aNow);
}

void FanoutExchange::SkipLateShards(TimePoint aNow)
{
  std::vector<double> expectedMs;
  expectedMs.reserve(mShards.size());
  for (const auto& it : mShards) {
    expectedMs.push_back(ExpectedShardLatencyMs(it, aNow));
  }
  std::minstd_rand random(static_cast<std::minstd_rand::result_type>(
    std::hash<std::string>{}(mRequest.caller.requestId)));
  for (const auto n : SelectSkippedShards(expectedMs,
                                          Milliseconds(mSoftDeadline - aNow),
                                          mShards.size() - mRequiredShards,
                                          random)) {
    mShards[n].skipped = true;
  }
}

void FanoutExchange::SendNeededSkippedShards(TimePoint aNow)
{
  if (IsHeld()) {
    return;
  }
  auto prospects = static_cast<std::size_t>(
    std::count_if(mShards.begin(), mShards.end(), [](const auto& aIt) {
      return aIt.answered || !aIt.attempts.empty();
    }));
  if (prospects >= mRequiredShards) {
    return;
  }
  std::vector<std::pair<double, std::size_t>> skipped;
  for (std::size_t n = 0; n < mShards.size(); ++n) {
    if (mShards[n].skipped) {
      skipped.emplace_back(ExpectedShardLatencyMs(mShards[n], aNow), n);
    }
  }
  std::sort(skipped.begin(), skipped.end());
  for (const auto& [expected, n] : skipped) {
    if (prospects >= mRequiredShards || !mReply) {
      return;
    }
    mShards[n].skipped = false;
    prospects += TrySend(n, aNow) ? 1 : 0;
  }
}

} // namespace bronzedeal::gateway
