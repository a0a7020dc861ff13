#pragma once

#include "bronzedeal/types.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace bronzedeal::gateway {

/// The time over which each server is known not to have ended.
///
/// A connection ends with the process at its other end, so an answer shows that
/// the server has run since its connection was opened. Answers on connections
/// that overlap in time extend this.
///
/// Keeps at least half of `capacity` servers and at most all of it, those that
/// answered last. Performs no I/O and reads no clock. Not thread-safe.
class LiveServers
{
public:
  explicit LiveServers(std::size_t aCapacity) noexcept;

  /// Records the answer to a request that was sent at `aSentAt` on a connection
  /// that was opened at `aConnectedAt`. `aServer` is the hash of the server's
  /// id and start.
  void OnAnswered(std::uint32_t aServer,
                  TimePoint aConnectedAt,
                  TimePoint aSentAt);

  /// True if the server is known not to have ended between these times.
  [[nodiscard]] bool HasRunThrough(std::uint32_t aServer,
                                   TimePoint aFrom,
                                   TimePoint aUntil) const;

  [[nodiscard]] std::size_t size() const noexcept
  {
    return mNewer.size() + mOlder.size();
  }

private:
  struct Span
  {
    TimePoint from{};
    TimePoint until{};
  };
  using Table = std::unordered_map<std::uint32_t, Span>;

  [[nodiscard]] const Span* Find(std::uint32_t aServer) const;

  std::size_t mHalfCapacity;
  Table mNewer;
  Table mOlder;
};

} // namespace bronzedeal::gateway
