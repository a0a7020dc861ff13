#pragma once

#include "bronzedeal/gateway/memory_budget.hpp"

#include <cstddef>

namespace bronzedeal::gateway {

/// Who connects to a listening port.
enum class ListenerRole
{
  Callers,
  Instances,
  Addresses,
  Readiness,
  Metrics,
};

/// What the clients of one port may hold together. Each port has its own
/// limits, so that a crowd at one of them leaves the others alone.
struct ListenerLimits
{
  /// Requests and replies of all connections.
  MemoryBudget::Limits memory;
};

/// The limits of a port of an instance with `aMemoryBytes`.
///
///     LimitsFor(ListenerRole::Callers, 256 << 20).memory.totalBytes  // 64 MiB
[[nodiscard]] ListenerLimits LimitsFor(ListenerRole aRole,
                                       std::size_t aMemoryBytes) noexcept;

} // namespace bronzedeal::gateway
