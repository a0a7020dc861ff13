#include "fanout_exchange.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

/// Value of Retry-After in a refusal for another reason than servers' limits.
constexpr auto kRetryAfter = milliseconds(100);

} // namespace

std::optional<std::pair<Duration, std::size_t>>
FanoutExchange::TimeUntilEnoughShards(TimePoint aNow)
{
  std::vector<std::pair<Duration, std::size_t>> waits;
  for (std::size_t n = 0; n < mShards.size(); ++n) {
    const auto& group = *mShards[n].group;
    if (mContext.servers.HasUsableServer(group, aNow)) {
      waits.emplace_back(Duration::zero(), n);
    } else if (const auto it = mContext.servers.TimeUntilSend(group, aNow)) {
      waits.emplace_back(*it, n);
    }
  }
  if (mRequiredShards == 0 || waits.size() < mRequiredShards) {
    return std::nullopt;
  }
  std::sort(waits.begin(), waits.end());
  const auto& last = waits[mRequiredShards - 1];
  return last.first > Duration::zero() ? std::optional(last) : std::nullopt;
}

Duration FanoutExchange::RefusalDelay(TimePoint aNow)
{
  const auto it = TimeUntilEnoughShards(aNow);
  return it ? mContext.servers.ScheduleReturn(
                *mShards[it->second].group, it->first, aNow)
            : kRetryAfter;
}

bool FanoutExchange::LimitsPreventCoverage(TimePoint aNow)
{
  const auto prevented =
    std::count_if(mShards.begin(), mShards.end(), [&](const auto& aIt) {
      if (aIt.answered || !aIt.attempts.empty()) {
        return false;
      }
      const auto wait = mContext.servers.TimeUntilSend(*aIt.group, aNow);
      return wait && aNow + *wait >= mRequest.deadline - kAnswerMargin;
    });
  return mShards.size() - static_cast<std::size_t>(prevented) < mRequiredShards;
}

bool FanoutExchange::MustWaitTooLong(TimePoint aNow)
{
  if (MayHaveRun()) {
    return false;
  }
  const auto wait = TimeUntilEnoughShards(aNow);
  return wait && aNow + wait->first >= mLatestStart;
}

std::vector<WithheldServer> FanoutExchange::WithheldServers(
  TimePoint aNow) const
{
  std::vector<WithheldServer> withheld;
  for (const auto& shard : mShards) {
    // Allowed servers that have been removed meanwhile are not in the group.
    for (const auto& it : shard.group->servers) {
      const bool isAllowed = std::find(shard.allowedServers.begin(),
                                       shard.allowedServers.end(),
                                       it.get()) != shard.allowedServers.end();
      const auto wait =
        std::chrono::ceil<milliseconds>(it->TimeUntilSend(aNow));
      if (isAllowed && wait > milliseconds(0)) {
        withheld.push_back({ it->Record().id, wait });
      }
    }
  }
  return withheld;
}

void FanoutExchange::ApplyWithheldServers(const ResponseMessage& aResponse,
                                          TimePoint aNow)
{
  for (const auto& it : DecodeWithheldServers(aResponse)) {
    if (const auto server = mContext.servers.Find(it.server)) {
      server->WithholdFor(it.wait, aNow);
    }
  }
}

bool FanoutExchange::IsWithheld(const BatchShard& aShard, TimePoint aNow)
{
  return std::any_of(
    aShard.servers.begin(), aShard.servers.end(), [&](const auto& aIt) {
      return aIt->TimeUntilSend(aNow) > Duration::zero();
    });
}

} // namespace bronzedeal::gateway
