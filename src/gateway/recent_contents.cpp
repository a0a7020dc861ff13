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

void RecentContents::Add(const ContentId& aContent)
{
  if (mNewer.size() >= mHalfCapacity) {
    mOlder = std::exchange(mNewer, {});
  }
  mNewer.insert(aContent);
}

bool RecentContents::Contains(const ContentId& aContent) const
{
  return mNewer.contains(aContent) || mOlder.contains(aContent);
}

} // namespace bronzedeal::gateway
