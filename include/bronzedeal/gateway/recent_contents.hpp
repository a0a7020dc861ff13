#pragma once

#include "bronzedeal/gateway/content_id.hpp"
#include "bronzedeal/types.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace bronzedeal::gateway {

/// Hash of a content for tables. The id is a hash already.
struct ContentHash
{
  std::size_t operator()(const ContentId& aContent) const noexcept;
};

/// The contents that were added last, at least half of `capacity` and at most
/// all of it, each with the time when it was last added.
///
/// Not thread-safe.
class RecentContents
{
public:
  explicit RecentContents(std::size_t aCapacity) noexcept;

  void Add(const ContentId& aContent, TimePoint aNow);
  [[nodiscard]] bool Contains(const ContentId& aContent) const;
  /// When the content was last added; nothing if it isn't kept.
  [[nodiscard]] std::optional<TimePoint> LastAdded(
    const ContentId& aContent) const;
  [[nodiscard]] std::size_t size() const noexcept
  {
    return mNewer.size() + mOlder.size();
  }

private:
  using Table = std::unordered_map<ContentId, TimePoint, ContentHash>;

  std::size_t mHalfCapacity;
  Table mNewer;
  Table mOlder;
};

} // namespace bronzedeal::gateway
