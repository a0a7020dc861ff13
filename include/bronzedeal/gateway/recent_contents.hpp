#pragma once

#include "bronzedeal/gateway/content_id.hpp"

#include <cstddef>
#include <unordered_set>

namespace bronzedeal::gateway {

/// Hash of a content for tables. The id is a hash already.
struct ContentHash
{
  std::size_t operator()(const ContentId& aContent) const noexcept;
};

/// A bounded set of the contents that were added last: at least half of
/// `capacity` and at most all of it.
///
/// Not thread-safe.
class RecentContents
{
public:
  explicit RecentContents(std::size_t aCapacity) noexcept;

  void Add(const ContentId& aContent);
  [[nodiscard]] bool Contains(const ContentId& aContent) const;
  [[nodiscard]] std::size_t size() const noexcept
  {
    return mNewer.size() + mOlder.size();
  }

private:
  using Set = std::unordered_set<ContentId, ContentHash>;

  std::size_t mHalfCapacity;
  Set mNewer;
  Set mOlder;
};

} // namespace bronzedeal::gateway
