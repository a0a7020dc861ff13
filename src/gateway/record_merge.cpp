#include "bronzedeal/gateway/record_merge.hpp"

#include <algorithm>
#include <functional>

namespace bronzedeal::gateway {

std::string MergeTopRecords(const std::vector<std::string_view>& aBodies,
                            std::size_t aCount)
{
  std::vector<std::string_view> records;
  for (const auto body : aBodies) {
    for (std::size_t at = 0; at + kRecordBytes <= body.size();
         at += kRecordBytes) {
      records.push_back(body.substr(at, kRecordBytes));
    }
  }
  const auto count = std::min(aCount, records.size());
  // string_view compares bytes as unsigned values.
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(count),
                    records.end(),
                    std::greater<>());
  std::string merged;
  merged.reserve(count * kRecordBytes);
  for (std::size_t n = 0; n < count; ++n) {
    merged += records[n];
  }
  return merged;
}

} // namespace bronzedeal::gateway
