#include "bronzedeal/gateway/carried_requests.hpp"

#include <algorithm>
#include <xxhash.h>

namespace bronzedeal::gateway {

namespace {

std::uint64_t HashOf(std::string_view aRequestId) noexcept
{
  return XXH3_64bits(aRequestId.data(), aRequestId.size());
}

} // namespace

void CarriedRequests::Add(std::string_view aRequestId,
                          TimePoint aUntil,
                          TimePoint aNow)
{
  mEntries.push_back({ HashOf(aRequestId), aUntil });
  if (mEntries.size() < mSizeToRemove) {
    return;
  }
  std::erase_if(mEntries,
                [&](const Entry& aEntry) { return aEntry.until <= aNow; });
  mSizeToRemove = std::clamp(2 * mEntries.size(), kMinSizeToRemove, kCapacity);
}

bool CarriedRequests::Contains(std::string_view aRequestId) const noexcept
{
  const auto hash = HashOf(aRequestId);
  return std::any_of(
    mEntries.begin(), mEntries.end(), [&](const Entry& aEntry) {
      return aEntry.idHash == hash;
    });
}

} // namespace bronzedeal::gateway
