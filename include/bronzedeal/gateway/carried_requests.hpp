#pragma once

#include "bronzedeal/types.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace bronzedeal::gateway {

/// The requests that one connection has carried and that may be sent again.
/// Answers are matched to requests by id only, so a late copy of an answer
/// would pass for the answer to a second send on the same connection.
///
///     CarriedRequests carried;
///     carried.Add("r-1", deadline, now);
///     carried.Contains("r-1"); // true
class CarriedRequests
{
public:
  /// Most requests that are remembered at once.
  static constexpr std::size_t kCapacity = 4096;

  /// Remembers a request that may be sent again until `aUntil`.
  void Add(std::string_view aRequestId, TimePoint aUntil, TimePoint aNow);

  [[nodiscard]] bool Contains(std::string_view aRequestId) const noexcept;

  /// True if no further request can be remembered: the connection must carry
  /// none.
  [[nodiscard]] bool IsFull() const noexcept
  {
    return mEntries.size() >= kCapacity;
  }

private:
  struct Entry
  {
    std::uint64_t idHash = 0;
    TimePoint until{};
  };

  /// Number of entries at which those that have ended are removed.
  static constexpr std::size_t kMinSizeToRemove = 16;

  std::vector<Entry> mEntries;
  std::size_t mSizeToRemove = kMinSizeToRemove;
};

} // namespace bronzedeal::gateway
