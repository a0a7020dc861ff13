#pragma once

#include "bronzedeal/types.hpp"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bronzedeal::gateway {

/// Which servers have changed since when, in a sequence of this process's own.
/// A server that changed several times counts once. Bounded: old removals are
/// forgotten. Pure: no clock.
class ServerChanges
{
public:
  struct Delta
  {
    std::vector<ServerId> changed;
    std::vector<ServerId> removed;
  };

  /// Removals that are remembered.
  static constexpr std::size_t kMaxRemovals = 2048;

  void RecordChange(const ServerId& aServer);
  void RecordRemoval(const ServerId& aServer);

  /// Number of the last change; starts at 1, before any change.
  [[nodiscard]] std::uint64_t LatestSequence() const noexcept
  {
    return mLatestSequence;
  }

  /// What has changed after `aSequence`; nothing when that is too long ago or
  /// lies ahead.
  [[nodiscard]] std::optional<Delta> ChangesAfter(
    std::uint64_t aSequence) const;

private:
  struct Removal
  {
    std::uint64_t sequence;
    ServerId server;
  };

  std::uint64_t mLatestSequence = 1;
  std::unordered_map<ServerId, std::uint64_t> mChangedAt;
  std::map<std::uint64_t, ServerId> mBySequence;
  std::deque<Removal> mRemovals;
  /// Sequence of the last forgotten removal.
  std::uint64_t mLastDroppedRemoval = 0;
};

} // namespace bronzedeal::gateway
