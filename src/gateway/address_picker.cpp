#include "bronzedeal/gateway/address_picker.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <tuple>

namespace bronzedeal::gateway {

namespace {

/// Minimum fraction of the cores of all candidates that the selected ones have
/// together.
constexpr double kMinCoreFraction = 0.2;
/// Minimum number of selected instances, so that callers can do without some of
/// them.
constexpr std::size_t kMinInstances = 4;
/// Strong instances are selected up to this number. Each further one divides
/// the connections that a server accepts into smaller shares.
constexpr std::size_t kTargetInstances = 12;
/// An instance with at least this fraction of the cores of the largest one is
/// strong. A weaker one delays queries that fan out to many shards.
constexpr double kMinStrongCoreFraction = 0.5;
/// An instance whose locality is at least this fraction of the highest is
/// local. Others are selected only when the local ones are too few.
constexpr double kMinLocalityFraction = 0.6;
/// When local instances have at least this fraction of all cores, no others are
/// selected beyond the minimum.
constexpr double kMinLocalCoreFraction = 0.5;
/// Maximum number of addresses that a caller reads from one answer.
constexpr std::size_t kMaxAddresses = 64;

/// Removes the candidates without the flag, unless no candidate has it.
void KeepFlagged(std::vector<AddressCandidate>& aCandidates,
                 bool AddressCandidate::*aFlag)
{
  const auto has = [&](const AddressCandidate& aIt) { return aIt.*aFlag; };
  if (std::any_of(aCandidates.begin(), aCandidates.end(), has)) {
    std::erase_if(aCandidates, std::not_fn(has));
  }
}

/// Reorders each run of equivalent candidates so that the first ones of all
/// failure domains come before the second ones, and so on.
template<typename Equivalent>
void SpreadOverDomains(std::vector<AddressCandidate>& aCandidates,
                       Equivalent aEquivalent)
{
  auto begin = aCandidates.begin();
  while (begin != aCandidates.end()) {
    const auto end =
      std::find_if_not(begin, aCandidates.end(), [&](const auto& aIt) {
        return aEquivalent(*begin, aIt);
      });
    std::map<FailureDomain, unsigned> countByDomain;
    std::vector<std::pair<unsigned, AddressCandidate>> ranked;
    for (auto it = begin; it != end; ++it) {
      const auto rank = countByDomain[it->failureDomain]++;
      ranked.emplace_back(rank, std::move(*it));
    }
    std::stable_sort(
      ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.first < aRight.first;
      });
    for (auto& [rank, candidate] : ranked) {
      *begin++ = std::move(candidate);
    }
  }
}

} // namespace

bool IsStrongInstance(double aCores, double aMostCores) noexcept
{
  return aCores >= kMinStrongCoreFraction * aMostCores;
}

std::vector<boost::asio::ip::address> PickAddresses(
  std::vector<AddressCandidate> aCandidates)
{
  KeepFlagged(aCandidates, &AddressCandidate::ready);
  KeepFlagged(aCandidates, &AddressCandidate::hasCoverage);
  double totalCores = 0;
  double mostCores = 0;
  double highestLocality = 0;
  for (const auto& it : aCandidates) {
    totalCores += it.cores;
    mostCores = std::max(mostCores, it.cores);
    highestLocality = std::max(highestLocality, it.locality);
  }
  const auto isLocal = [&](const AddressCandidate& aIt) {
    return aIt.locality >= kMinLocalityFraction * highestLocality;
  };
  const auto isStrong = [&](const AddressCandidate& aIt) {
    return IsStrongInstance(aIt.cores, mostCores);
  };
  double localCores = 0;
  for (const auto& it : aCandidates) {
    localCores += isLocal(it) ? it.cores : 0;
  }
  const bool localOnly = localCores >= kMinLocalCoreFraction * totalCores;
  // The address as the last criterion makes the order the same on all instances
  // with the same view.
  const auto preference = [&](const AddressCandidate& aIt) {
    return std::tuple(!isStrong(aIt), !isLocal(aIt), aIt.address);
  };
  std::sort(aCandidates.begin(),
            aCandidates.end(),
            [&](const auto& aLeft, const auto& aRight) {
              return preference(aLeft) < preference(aRight);
            });
  SpreadOverDomains(aCandidates, [&](const auto& aLeft, const auto& aRight) {
    return isStrong(aLeft) == isStrong(aRight) &&
           isLocal(aLeft) == isLocal(aRight);
  });
  std::vector<boost::asio::ip::address> picked;
  double pickedCores = 0;
  for (const auto& it : aCandidates) {
    const bool needed = picked.size() < kMinInstances ||
                        pickedCores < kMinCoreFraction * totalCores;
    const bool wanted = isStrong(it) && picked.size() < kTargetInstances &&
                        (isLocal(it) || !localOnly);
    if ((needed || wanted) && picked.size() < kMaxAddresses) {
      picked.push_back(it.address);
      pickedCores += it.cores;
    }
  }
  return picked;
}

} // namespace bronzedeal::gateway
