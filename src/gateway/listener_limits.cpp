#include "bronzedeal/gateway/listener_limits.hpp"

#include <algorithm>
#include <array>

namespace bronzedeal::gateway {

namespace {

/// A connection may hold this whatever the others hold: an ordinary request.
constexpr std::size_t kSmallRequestBytes = 8192;
/// One request at the limits is a small part of a port's memory, so it may take
/// more of what is free than the response of a server.
constexpr std::size_t kFreeDivisor = 2;

/// A limit is what the instance has divided by these.
struct Divisors
{
  std::size_t memory;
  std::size_t connections;
};

/// In the order of `ListenerRole`.
constexpr std::array<Divisors, 5> kDivisors{ {
  { .memory = 4, .connections = 2 },
  { .memory = 8, .connections = 8 },
  { .memory = 64, .connections = 16 },
  { .memory = 64, .connections = 64 },
  { .memory = 64, .connections = 64 },
} };

/// Part of the descriptors that ports leave to connections to servers.
constexpr std::size_t kServerConnectionDivisor = 5;

} // namespace

std::size_t MaxServerConnections(std::size_t aMaxFileDescriptors) noexcept
{
  return aMaxFileDescriptors / kServerConnectionDivisor;
}

ListenerLimits LimitsFor(ListenerRole aRole,
                         std::size_t aMemoryBytes,
                         std::size_t aMaxFileDescriptors) noexcept
{
  const auto& divisors = kDivisors.at(static_cast<std::size_t>(aRole));
  return { .memory = { .totalBytes = aMemoryBytes / divisors.memory,
                       .smallBytes = kSmallRequestBytes,
                       .freeDivisor = kFreeDivisor },
           .maxConnections = std::max<std::size_t>(
             1, aMaxFileDescriptors / divisors.connections) };
}

} // namespace bronzedeal::gateway
