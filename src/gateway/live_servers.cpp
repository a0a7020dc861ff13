#include "bronzedeal/gateway/live_servers.hpp"

#include <algorithm>
#include <utility>

namespace bronzedeal::gateway {

LiveServers::LiveServers(std::size_t aCapacity) noexcept
  : mHalfCapacity(aCapacity / 2)
{
}

void LiveServers::OnAnswered(std::uint32_t aServer,
                             TimePoint aConnectedAt,
                             TimePoint aSentAt)
{
  Span span{ aConnectedAt, aSentAt };
  const auto* known = Find(aServer);
  if (known != nullptr && aConnectedAt <= known->until) {
    span.from = std::min(span.from, known->from);
    span.until = std::max(span.until, known->until);
  }
  if (mNewer.size() >= mHalfCapacity && !mNewer.contains(aServer)) {
    mOlder = std::exchange(mNewer, {});
  }
  mNewer.insert_or_assign(aServer, span);
}

bool LiveServers::HasRunThrough(std::uint32_t aServer,
                                TimePoint aFrom,
                                TimePoint aUntil) const
{
  const auto* known = Find(aServer);
  return known != nullptr && known->from <= aFrom && known->until >= aUntil;
}

const LiveServers::Span* LiveServers::Find(std::uint32_t aServer) const
{
  for (const auto* table : { &mNewer, &mOlder }) {
    if (const auto it = table->find(aServer); it != table->end()) {
      return &it->second;
    }
  }
  return nullptr;
}

} // namespace bronzedeal::gateway
