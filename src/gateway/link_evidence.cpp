#include "bronzedeal/gateway/link_evidence.hpp"

#include <algorithm>
#include <utility>

namespace bronzedeal::gateway {

void LinkEvidence::Await(const void* aKey,
                         TimePoint aSince,
                         Duration aMaxWait,
                         Handler aHandler)
{
  std::erase_if(mRequests, [&](const auto& aIt) {
    return aIt.key == aKey || aIt.expiresAt <= aSince;
  });
  mRequests.push_back({ aKey, aSince, aSince + aMaxWait, std::move(aHandler) });
}

void LinkEvidence::OnWorked(TimePoint aSentAt, TimePoint aNow)
{
  if (mRequests.empty()) {
    return;
  }
  const auto pending = std::stable_partition(
    mRequests.begin(), mRequests.end(), [&](const auto& aIt) {
      return aIt.since >= aSentAt && aNow < aIt.expiresAt;
    });
  std::vector<Request> done(std::make_move_iterator(pending),
                            std::make_move_iterator(mRequests.end()));
  mRequests.erase(pending, mRequests.end());
  // Handlers may ask for evidence again.
  for (const auto& it : done) {
    if (aNow < it.expiresAt) {
      it.handler();
    }
  }
}

} // namespace bronzedeal::gateway
