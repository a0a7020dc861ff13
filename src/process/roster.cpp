#include "bronzedeal/process/roster.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <utility>
#include <xxhash.h>

namespace bronzedeal::process {
namespace {

std::uint64_t Rank(const SliceId& aSlice, const std::string& aName)
{
  const auto seed =
    XXH64(aSlice.failureDomain.data(), aSlice.failureDomain.size(), 0) ^
    (static_cast<std::uint64_t>(aSlice.number) * 0x9E3779B97F4A7C15ULL);
  return XXH64(aName.data(), aName.size(), seed);
}

using Ranked = std::pair<std::uint64_t, const InstanceId*>;

bool Before(const Ranked& aLeft, const Ranked& aRight)
{
  return aLeft.first != aRight.first ? aLeft.first < aRight.first
                                     : *aLeft.second < *aRight.second;
}

} // namespace

std::vector<InstanceId> WitnessSet(const SliceId& aSlice,
                                   std::span<const RosterEntry> aRoster)
{
  std::map<FailureDomain, std::vector<Ranked>> byDomain;
  for (const auto& it : aRoster) {
    byDomain[it.failureDomain].emplace_back(Rank(aSlice, it.id), &it.id);
  }
  // The domains are ordered by their own hash, not by that of their first
  // instance, so that the loss of one instance replaces one witness only.
  std::vector<std::pair<std::uint64_t, std::vector<Ranked>*>> domains;
  const auto wanted = std::min(aRoster.size(), kMaxWitnesses);
  for (auto& it : byDomain) {
    const auto n = std::min(it.second.size(), wanted);
    std::partial_sort(it.second.begin(),
                      it.second.begin() + static_cast<std::ptrdiff_t>(n),
                      it.second.end(),
                      Before);
    domains.emplace_back(Rank(aSlice, "domain " + it.first), &it.second);
  }
  std::sort(domains.begin(), domains.end(), [](const auto& aL, const auto& aR) {
    return aL.first < aR.first;
  });
  std::vector<InstanceId> witnesses;
  for (std::size_t round = 0; witnesses.size() < wanted; ++round) {
    for (const auto& it : domains) {
      if (round < it.second->size() && witnesses.size() < wanted) {
        witnesses.push_back(*(*it.second)[round].second);
      }
    }
  }
  return witnesses;
}

std::vector<InstanceId> PreferredOwners(const SliceId& aSlice,
                                        const std::string& aRegion,
                                        std::span<const Candidate> aCandidates,
                                        std::size_t aCount)
{
  std::array<std::vector<Ranked>, 3> tiers;
  for (const auto& it : aCandidates) {
    const std::size_t tier = it.failureDomain == aSlice.failureDomain   ? 0
                             : !aRegion.empty() && it.region == aRegion ? 1
                                                                        : 2;
    tiers[tier].emplace_back(Rank(aSlice, it.id), &it.id);
  }
  std::vector<InstanceId> owners;
  for (auto& tier : tiers) {
    const auto n = std::min(tier.size(), aCount - owners.size());
    std::partial_sort(tier.begin(),
                      tier.begin() + static_cast<std::ptrdiff_t>(n),
                      tier.end(),
                      Before);
    for (std::size_t i = 0; i < n; ++i) {
      owners.push_back(*tier[i].second);
    }
  }
  return owners;
}

} // namespace bronzedeal::process
