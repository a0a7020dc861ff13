#pragma once

#include "bronzedeal/types.hpp"

#include <span>
#include <string>
#include <vector>

namespace bronzedeal::process {

/// One instance of the published instance list.
struct RosterEntry
{
  InstanceId id;
  std::string httpAddress;
  std::string peerAddress;
  FailureDomain failureDomain;
  std::string region;
  bool leaving = false;

  bool operator==(const RosterEntry&) const = default;
};

inline constexpr std::size_t kMaxWitnesses = 9;

/// The instances that vote on the lease of a slice: the first
/// `kMaxWitnesses` of the roster in rendezvous order (xxhash64 of slice and
/// id), alternating between failure domains. Entries that are leaving still
/// vote.
[[nodiscard]] std::vector<InstanceId> WitnessSet(
  const SliceId& aSlice,
  std::span<const RosterEntry> aRoster);

/// Grants needed from `aWitnesses` witnesses: ceil(2w/3), so 9 -> 6, 6 -> 4,
/// 3 -> 2.
[[nodiscard]] constexpr std::size_t QuorumSize(std::size_t aWitnesses) noexcept
{
  return (2 * aWitnesses + 2) / 3;
}

/// Number of witnesses by which two sets of size w may differ while their
/// quorums of size q still intersect: 2q - w - 1.
[[nodiscard]] constexpr std::size_t ToleratedWitnessDifference(
  std::size_t aWitnesses) noexcept
{
  const auto n = 2 * QuorumSize(aWitnesses);
  return n > aWitnesses ? n - aWitnesses - 1 : 0;
}

/// An instance that may own slices.
struct Candidate
{
  InstanceId id;
  FailureDomain failureDomain;
  std::string region;
};

/// The first `aCount` candidates for a slice in order of preference: those of
/// the slice's failure domain, then those of its region, then the rest, each in
/// rendezvous order. `aRegion` is the region of the slice's failure domain.
[[nodiscard]] std::vector<InstanceId> PreferredOwners(
  const SliceId& aSlice,
  const std::string& aRegion,
  std::span<const Candidate> aCandidates,
  std::size_t aCount = 1);

} // namespace bronzedeal::process
