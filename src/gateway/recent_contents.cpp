#include "bronzedeal/gateway/recent_contents.hpp"

#include <utility>
#include <xxhash.h>

namespace bronzedeal::gateway {

std::size_t ContentHash::operator()(const ContentId& aContent) const noexcept
{
  return XXH3_64bits(aContent.data(), aContent.size());
}

RecentContents::RecentContents(std::size_t aCapacity) noexcept
  : mHalfCapacity(aCapacity / 2)
{
}

void RecentContents::Add(const ContentId& aContent, TimePoint aNow)
{
  if (mNewer.size() >= mHalfCapacity && !mNewer.contains(aContent)) {
    mOlder = std::exchange(mNewer, {});
  }
  mNewer.insert_or_assign(aContent, aNow);
}

bool RecentContents::Contains(const ContentId& aContent) const
{
  return mNewer.contains(aContent) || mOlder.contains(aContent);
}

std::optional<TimePoint> RecentContents::LastAdded(
  const ContentId& aContent) const
{
  for (const auto* table : { &mNewer, &mOlder }) {
    if (const auto it = table->find(aContent); it != table->end()) {
      return it->second;
    }
  }
  return std::nullopt;
}

} // namespace bronzedeal::gateway
