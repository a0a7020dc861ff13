#include "bronzedeal/request/address_chooser.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <xxhash.h>

namespace bronzedeal::request {

namespace {

/// Returns a number in (0, 1) that depends only on the two names.
double UnitHash(std::string_view aCaller, std::string_view aInstance) noexcept
{
  const auto seed = XXH3_64bits(aCaller.data(), aCaller.size());
  const auto hash =
    XXH3_64bits_withSeed(aInstance.data(), aInstance.size(), seed);
  return (static_cast<double>(hash >> 11U) + 0.5) * 0x1p-53;
}

struct ScoredCandidate
{
  const AddressCandidate* candidate;
  double score;
};

} // namespace

AddressChooser::AddressChooser(std::mt19937_64 aGenerator)
  : AddressChooser(aGenerator, Options{})
{
}

AddressChooser::AddressChooser(std::mt19937_64 aGenerator,
                               const Options& aOptions)
  : mGenerator(aGenerator)
  , mOptions(aOptions)
{
}

AddressReply AddressChooser::Choose(
  std::string_view aCaller,
  std::span<const AddressCandidate> aCandidates)
{
  // Weighted rendezvous hashing: a caller keeps its addresses until one of the
  // instances becomes unusable or the weights change much.
  std::vector<ScoredCandidate> scored;
  scored.reserve(aCandidates.size());
  for (const auto& it : aCandidates) {
    if (it.status == InstanceStatus::Alive && !it.fenced) {
      const auto weight =
        mOptions.baseWeight + std::clamp(it.ownedShare, 0.0, 1.0);
      scored.push_back(
        { &it, weight / -std::log(UnitHash(aCaller, it.instance)) });
    }
  }
  std::sort(scored.begin(),
            scored.end(),
            [](const ScoredCandidate& aLeft, const ScoredCandidate& aRight) {
              return aLeft.score != aRight.score
                       ? aLeft.score > aRight.score
                       : aLeft.candidate->instance < aRight.candidate->instance;
            });

  AddressReply reply;
  std::map<std::string_view, std::size_t> usedPerDomain;
  const auto count = std::min(mOptions.maxAddresses, scored.size());
  while (reply.addresses.size() < count) {
    const auto lessUsedDomain =
      [&usedPerDomain](const ScoredCandidate& aLeft,
                       const ScoredCandidate& aRight) {
        return usedPerDomain[aLeft.candidate->failureDomain] <
               usedPerDomain[aRight.candidate->failureDomain];
      };
    const auto it =
      std::min_element(scored.begin(), scored.end(), lessUsedDomain);
    ++usedPerDomain[it->candidate->failureDomain];
    reply.addresses.push_back(it->candidate->address);
    scored.erase(it);
  }
  // std::uniform_real_distribution gives different numbers in different
  // standard libraries.
  const auto unitRandom = static_cast<double>(mGenerator() >> 11U) * 0x1p-53;
  const auto factor = 1 + mOptions.ttlJitter * (2 * unitRandom - 1);
  reply.ttl = milliseconds(static_cast<std::int64_t>(
    std::lround(static_cast<double>(mOptions.ttl.count()) * factor)));
  return reply;
}

} // namespace bronzedeal::request
