#include "bronzedeal/gateway/address_picker.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

/// Part of all living cores that the named instances have at least.
constexpr double kMinCores = 0.5;
/// Instances whose locality is below this part of the best are named only
/// where the others are too few.
constexpr double kNearShare = 0.6;
/// Most addresses that a caller takes from one answer.
constexpr std::size_t kMaxAddresses = 64;

} // namespace

std::vector<boost::asio::ip::address> PickAddresses(
  std::vector<AddressCandidate> aCandidates)
{
  const bool anyReady = std::any_of(aCandidates.begin(),
                                    aCandidates.end(),
                                    [](const auto& it) { return it.ready; });
  if (anyReady) {
    std::erase_if(aCandidates, [](const auto& it) { return !it.ready; });
  }
  std::stable_sort(aCandidates.begin(),
                   aCandidates.end(),
                   [](const auto& aLeft, auto& aRight) {
                     return aLeft.locality > aRight.locality;
                   });
  double total = 0;
  for (const auto& it : aCandidates) {
    total += it.cores;
  }
  std::vector<boost::asio::ip::address> picked;
  double named = 0;
  for (const auto& it : aCandidates) {
    const bool near = it.locality >= kNearShare * aCandidates.front().locality;
    if ((!near && named >= kMinCores * total) ||
        picked.size() >= kMaxAddresses) {
      break;
    }
    picked.push_back(it.address);
    named += it.cores;
  }
  return picked;
}

} // namespace bronzedeal::gateway
