#include "bronzedeal/request/address_answer.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <xxhash.h>

namespace bronzedeal::request {

namespace {

/// A number in (0, 1) that depends on the pair only.
double Draw(std::string_view aCaller, std::string_view aInstance) noexcept
{
  const auto seed = XXH3_64bits(aCaller.data(), aCaller.size());
  const auto hash =
    XXH3_64bits_withSeed(aInstance.data(), aInstance.size(), seed);
  return (static_cast<double>(hash >> 11U) + 0.5) * 0x1p-53;
}

struct Scored
{
  const AddressCandidate* candidate;
  double score;
};

} // namespace

AddressAnswer::AddressAnswer(std::mt19937_64 aRandom)
  : AddressAnswer(aRandom, Options{})
{
}

AddressAnswer::AddressAnswer(std::mt19937_64 aRandom, const Options& aOptions)
  : mRandom(aRandom)
  , mOptions(aOptions)
{
}

AddressReply AddressAnswer::Answer(
  std::string_view aCaller,
  std::span<const AddressCandidate> aCandidates)
{
  // Weighted rendezvous hashing: a caller keeps its addresses until one of
  // them leaves or the weights change much.
  std::vector<Scored> scored;
  scored.reserve(aCandidates.size());
  for (const auto& it : aCandidates) {
    if (it.status == InstanceStatus::Alive && !it.fenced) {
      const auto weight =
        mOptions.baseWeight + std::clamp(it.ownedShare, 0.0, 1.0);
      scored.push_back({ &it, weight / -std::log(Draw(aCaller, it.instance)) });
    }
  }
  std::sort(scored.begin(),
            scored.end(),
            [](const Scored& aLeft, const Scored& aRight) {
              return aLeft.score != aRight.score
                       ? aLeft.score > aRight.score
                       : aLeft.candidate->instance < aRight.candidate->instance;
            });

  AddressReply reply;
  std::map<std::string_view, std::size_t> used;
  const auto count = std::min(mOptions.addresses, scored.size());
  while (reply.addresses.size() < count) {
    const auto least = [&used](const Scored& aLeft, const Scored& aRight) {
      return used[aLeft.candidate->failureDomain] <
             used[aRight.candidate->failureDomain];
    };
    const auto it = std::min_element(scored.begin(), scored.end(), least);
    ++used[it->candidate->failureDomain];
    reply.addresses.push_back(it->candidate->address);
    scored.erase(it);
  }
  // std::uniform_real_distribution differs between standard libraries.
  const auto draw = static_cast<double>(mRandom() >> 11U) * 0x1p-53;
  const auto factor = 1 + mOptions.jitter * (2 * draw - 1);
  reply.ttl = milliseconds(static_cast<std::int64_t>(
    std::lround(static_cast<double>(mOptions.ttl.count()) * factor)));
  return reply;
}

} // namespace bronzedeal::request
