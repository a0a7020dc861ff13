#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::gateway {

/// Size of a record in a shard's answer, in bytes.
inline constexpr std::size_t kRecordBytes = 16;

/// The `aCount` greatest records of all bodies, greatest first, compared byte
/// by byte; equal records all count. A remainder shorter than a record is left
/// out.
[[nodiscard]] std::string MergeTopRecords(
  const std::vector<std::string_view>& aBodies,
  std::size_t aCount);

} // namespace bronzedeal::gateway
