#include "bronzedeal/gateway/address_picker.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace bronzedeal::gateway {

namespace {

/// Part of all living cores that the named instances have at least.
constexpr double kMinCores = 0.2;
/// Fewest instances that are named, so that callers survive the loss of some.
constexpr std::size_t kMinInstances = 4;
/// Beyond that, instances are named up to this number: each more divides the
/// connections that servers accept into smaller shares.
constexpr std::size_t kUsualInstances = 12;
/// An instance with less than this part of the cores of the strongest makes
/// wide queries late.
constexpr double kStrongShare = 0.5;
/// Instances whose locality is below this part of the best are named only
/// where the others are too few.
constexpr double kNearShare = 0.6;
/// Part of all living cores that near instances must have so that others
/// aren't named.
constexpr double kMinNearCores = 0.5;
/// Most addresses that a caller takes from one answer.
constexpr std::size_t kMaxAddresses = 64;

/// Leaves those for which the flag is set, unless there are none.
void Prefer(std::vector<AddressCandidate>& aCandidates,
            bool AddressCandidate::*aFlag)
{
  const auto has = [&](const AddressCandidate& aIt) { return aIt.*aFlag; };
  if (std::any_of(aCandidates.begin(), aCandidates.end(), has)) {
    std::erase_if(aCandidates, std::not_fn(has));
  }
}

} // namespace

std::vector<boost::asio::ip::address> PickAddresses(
  std::vector<AddressCandidate> aCandidates)
{
  Prefer(aCandidates, &AddressCandidate::ready);
  Prefer(aCandidates, &AddressCandidate::hasCoverage);
  double total = 0;
  double strongest = 0;
  double nearest = 0;
  for (const auto& it : aCandidates) {
    total += it.cores;
    strongest = std::max(strongest, it.cores);
    nearest = std::max(nearest, it.locality);
  }
  const auto near = [&](const AddressCandidate& aIt) {
    return aIt.locality >= kNearShare * nearest;
  };
  const auto strong = [&](const AddressCandidate& aIt) {
    return aIt.cores >= kStrongShare * strongest;
  };
  double nearCores = 0;
  for (const auto& it : aCandidates) {
    nearCores += near(it) ? it.cores : 0;
  }
  const bool nearOnly = nearCores >= kMinNearCores * total;
  // The order is the same on all instances with the same view.
  std::sort(aCandidates.begin(),
            aCandidates.end(),
            [&](const auto& aLeft, auto& aRight) {
              return std::tuple(!strong(aLeft), !near(aLeft), aLeft.address) <
                     std::tuple(!strong(aRight), !near(aRight), aRight.address);
            });
  std::vector<boost::asio::ip::address> picked;
  double named = 0;
  for (const auto& it : aCandidates) {
    const bool needed =
      picked.size() < kMinInstances || named < kMinCores * total;
    const bool wanted =
      strong(it) && picked.size() < kUsualInstances && (near(it) || !nearOnly);
    if ((needed || wanted) && picked.size() < kMaxAddresses) {
      picked.push_back(it.address);
      named += it.cores;
    }
  }
  return picked;
}

} // namespace bronzedeal::gateway
