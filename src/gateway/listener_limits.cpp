#include "bronzedeal/gateway/listener_limits.hpp"

#include <array>

namespace bronzedeal::gateway {

namespace {

/// A connection may hold this whatever the others hold: an ordinary request.
constexpr std::size_t kSmallRequestBytes = 8192;
/// One request at the limits is a small part of a port's memory, so it may take
/// more of what is free than the response of a server.
constexpr std::size_t kFreeDivisor = 2;

struct Shares
{
  /// The limit is the instance's memory divided by this.
  std::size_t memoryDivisor;
};

/// In the order of `ListenerRole`.
constexpr std::array<Shares, 5> kShares{ {
  { 4 },
  { 8 },
  { 64 },
  { 64 },
  { 64 },
} };

} // namespace

ListenerLimits LimitsFor(ListenerRole aRole, std::size_t aMemoryBytes) noexcept
{
  const auto& shares = kShares.at(static_cast<std::size_t>(aRole));
  return { .memory = { .totalBytes = aMemoryBytes / shares.memoryDivisor,
                       .smallBytes = kSmallRequestBytes,
                       .freeDivisor = kFreeDivisor } };
}

} // namespace bronzedeal::gateway
