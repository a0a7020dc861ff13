#pragma once

#include <cstdint>

namespace bronzedeal::gateway {

/// What an instance understands of other instances beyond what all versions do.
/// While versions run side by side, an instance asks of another only what that
/// one states by gossip. docs/notes/versions.md lists all messages.
enum class PeerCapability : std::uint8_t
{
  /// Serves requests that another instance hands over.
  Handover,
  /// States the id of the request in its answers to other instances.
  StatesRequestId,
  /// Takes the state of a request along with it when it is handed over: what is
  /// known of its content, and the servers that may have run it.
  TakesHandoverState,
};

inline constexpr unsigned kPeerCapabilityCount = 3;

/// A set of capabilities. Those that this version doesn't know are kept, so
/// that they can be passed on.
class PeerCapabilities
{
public:
  constexpr PeerCapabilities() noexcept = default;
  constexpr explicit PeerCapabilities(std::uint32_t aBits) noexcept
    : mBits(aBits)
  {
  }

  /// All that this version has.
  [[nodiscard]] static constexpr PeerCapabilities Own() noexcept
  {
    return PeerCapabilities((1U << kPeerCapabilityCount) - 1);
  }

  [[nodiscard]] constexpr bool Has(PeerCapability aCapability) const noexcept
  {
    return (mBits >> static_cast<unsigned>(aCapability) & 1U) != 0;
  }

  /// True if none is stated, as in the state of an instance of a former
  /// version, or one that such an instance has passed on.
  [[nodiscard]] constexpr bool IsEmpty() const noexcept { return mBits == 0; }

  [[nodiscard]] constexpr std::uint32_t Bits() const noexcept { return mBits; }

private:
  std::uint32_t mBits = 0;
};

} // namespace bronzedeal::gateway
