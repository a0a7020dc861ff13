#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace bronzedeal {

/// Monotonic time. Code that decides takes the present time as an argument
/// instead of reading a clock.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;

/// Labels of a caller, request, shard, server, service or failure domain.
using Labels = std::map<std::string, std::string, std::less<>>;

/// Version of the published configuration document; each change raises it by
/// one or more.
using ConfigVersion = std::uint64_t;
/// Version of the search index from which a query is answered.
using IndexVersion = std::uint64_t;
/// Revision of the published instance list.
using RosterRevision = std::uint64_t;
/// Distinguishes the process runs of one instance: the start time in Unix
/// milliseconds in the upper bits, 20 random bits below. A later start has a
/// greater value.
using Incarnation = std::uint64_t;

using InstanceId = std::string;
using ServerId = std::string;
using ServiceId = std::string;
using ShardId = std::string;
using FailureDomain = std::string;

/// A group of backend servers of one failure domain that one lease covers.
struct SliceId
{
  FailureDomain failureDomain;
  std::uint32_t number = 0;

  // clang-tidy 14 mistakes the 0 in a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const SliceId&) const = default;
};

/// The failure domain and the number, such as `fd-a/3`.
[[nodiscard]] std::string ToString(const SliceId& aSlice);

/// The slice of a server: XXH64 of its id modulo the number of slices in a
/// failure domain.
/// `aSlicesPerDomain` must be at least 1.
[[nodiscard]] SliceId SliceOf(const ServerId& aServer,
                              const FailureDomain& aDomain,
                              std::uint32_t aSlicesPerDomain);

} // namespace bronzedeal
