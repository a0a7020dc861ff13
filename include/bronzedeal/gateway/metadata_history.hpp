#pragma once

#include "bronzedeal/gateway/metadata_source.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace bronzedeal::gateway {

/// The history of the metadata service that this process reads, over all topics
/// and sources. When the service comes back from a copy, a new history begins:
/// revisions of the former one mean nothing there, and entries written since
/// the copy are missing until they have been written again. Reads no clock.
class MetadataHistory
{
public:
  enum class Verdict
  {
    /// The reply belongs to the newest history, or doesn't tell.
    Current,
    /// The reply is the first of another history.
    New,
    /// The reply comes from an instance that follows a former history.
    Former,
  };

  /// Applies the era of a reply. The service itself is always right;
  /// `aIsRelayed` tells that another instance has replied, which may be behind.
  /// Calls the handlers when a new history begins.
  Verdict OnReply(std::optional<MetadataEra> aEra,
                  bool aIsRelayed,
                  TimePoint aNow);

  /// The era of the history that is followed; absent until a reply has told
  /// one.
  [[nodiscard]] std::optional<MetadataEra> Era() const noexcept { return mEra; }

  /// True while entries that the service has lost may still be written again.
  [[nodiscard]] bool IsSettling(TimePoint aNow) const noexcept
  {
    return aNow < mSettledAt;
  }

  /// When all entries have been written again.
  [[nodiscard]] TimePoint SettledAt() const noexcept { return mSettledAt; }

  /// Adds a handler that is called when a new history begins.
  void OnNewHistory(std::function<void()> aHandler);

private:
  std::optional<MetadataEra> mEra;
  TimePoint mSettledAt{};
  std::vector<std::function<void()>> mHandlers;
};

} // namespace bronzedeal::gateway
