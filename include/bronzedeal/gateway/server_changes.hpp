#pragma once

#include "bronzedeal/types.hpp"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bronzedeal::gateway {

/// Change log of the known servers, numbered by a sequence that is local to
/// this process. Keeps only the last change of each server and a bounded number
/// of removals. Reads no clock.
class ServerChanges
{
public:
  struct Delta
  {
    std::vector<ServerId> changed;
    std::vector<ServerId> removed;
  };

  /// Number of removals kept.
  static constexpr std::size_t kMaxRemovals = 2048;

  void RecordChange(const ServerId& aServer);
  void RecordRemoval(const ServerId& aServer);

  /// Sequence number of the last change; 1 before the first change.
  [[nodiscard]] std::uint64_t LatestSequence() const noexcept
  {
    return mLatestSequence;
  }

  /// Returns the changes after `aSequence`; nullopt if removals since then have
  /// been dropped, or if `aSequence` is greater than the latest one.
  [[nodiscard]] std::optional<Delta> ChangesAfter(
    std::uint64_t aSequence) const;

private:
  struct Removal
  {
    std::uint64_t sequence;
    ServerId server;
  };

  std::uint64_t mLatestSequence = 1;
  std::unordered_map<ServerId, std::uint64_t> mSequenceByServer;
  std::map<std::uint64_t, ServerId> mServersBySequence;
  std::deque<Removal> mRemovals;
  /// Sequence number of the last dropped removal; 0 before the first.
  std::uint64_t mLastDroppedRemoval = 0;
};

} // namespace bronzedeal::gateway
