#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::gateway {

/// Fixed size of a record in a shard's answer.
inline constexpr std::size_t kRecordBytes = 16;

/// Returns the `aCount` greatest records of all bodies, greatest first.
///
/// Records compare as unsigned bytes; duplicates are kept. A trailing fragment
/// shorter than a record is ignored.
[[nodiscard]] std::string MergeTopRecords(
  const std::vector<std::string_view>& aBodies,
  std::size_t aCount);

} // namespace bronzedeal::gateway
