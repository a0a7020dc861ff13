#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace bronzedeal {

/// Monotonic time. Decisions receive it as an argument and never read a clock.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;

/// Labels of a caller, request, shard, server, service or failure domain.
using Labels = std::map<std::string, std::string, std::less<>>;

/// Version of the published configuration document; rises by one or more.
using ConfigVersion = std::uint64_t;
/// Version of the index that a query is answered from.
using IndexVersion = std::uint64_t;
/// Revision of the published instance list.
using RosterRevision = std::uint64_t;
/// Distinguishes the runs of one instance: start time in the upper bits (unix
/// milliseconds), random bits in the lower 20. A later start is greater.
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

  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const SliceId&) const = default;
};

/// The failure domain and the number, as in `fd-a/3`.
[[nodiscard]] std::string ToString(const SliceId& aSlice);

/// The slice of a server: xxhash64 of its id modulo the configured count.
/// `aSlicesPerDomain` must be at least 1.
[[nodiscard]] SliceId SliceOf(const ServerId& aServer,
                              const FailureDomain& aDomain,
                              std::uint32_t aSlicesPerDomain);

} // namespace bronzedeal
