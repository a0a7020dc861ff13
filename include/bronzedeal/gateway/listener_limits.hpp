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
  /// Open connections.
  std::size_t maxConnections = 0;
};

/// Connections to servers and to other instances that an instance with
/// `aMaxFileDescriptors` keeps open, beside the first one to each.
[[nodiscard]] std::size_t MaxServerConnections(
  std::size_t aMaxFileDescriptors) noexcept;

/// The limits of a port of an instance with `aMemoryBytes` and
/// `aMaxFileDescriptors`. The connections of all ports together leave more than
/// a quarter of the descriptors for connections to servers.
///
///     LimitsFor(ListenerRole::Callers, 256 << 20, 4096) // 2048 connections
[[nodiscard]] ListenerLimits LimitsFor(
  ListenerRole aRole,
  std::size_t aMemoryBytes,
  std::size_t aMaxFileDescriptors) noexcept;

} // namespace bronzedeal::gateway
