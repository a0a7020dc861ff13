#pragma once

#include "bronzedeal/types.hpp"

#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::request {

enum class InstanceStatus : std::uint8_t
{
  Alive,
  Suspect,
  Leaving,
  Dead,
};

/// An instance that a caller may be sent to.
struct AddressCandidate
{
  InstanceId instance;
  /// `ip:port` for callers.
  std::string address;
  FailureDomain failureDomain;
  InstanceStatus status = InstanceStatus::Alive;
  bool fenced = false;
  /// Share of the caller's sub-requests, 0 to 1, whose server the instance
  /// owns.
  double ownedShare = 0;
};

struct AddressReply
{
  std::vector<std::string> addresses;
  milliseconds ttl{};
};

/// Chooses the addresses that a caller uses for a while: a stable subset, best
/// first, spread over failure domains and weighted by owned traffic. Leaving,
/// suspect, dead and fenced instances are never named.
/// Not thread safe: guarded by the caller.
class AddressChooser
{
public:
  struct Options
  {
    std::size_t maxAddresses = 3;
    milliseconds ttl{ 10'000 };
    /// The lifetime varies by this share up and down, so that callers that
    /// started together do not all ask again at the same time.
    double ttlJitter = 0.2;
    /// Weight of an instance that owns nothing of the caller's traffic; it
    /// keeps callers from all choosing one owner.
    double baseWeight = 0.05;
  };

  explicit AddressChooser(std::mt19937_64 aGenerator);
  AddressChooser(std::mt19937_64 aGenerator, const Options& aOptions);

  /// `aCaller` is any stable name of the caller, such as its address and
  /// customer. The list is empty when no instance can be named.
  [[nodiscard]] AddressReply Choose(
    std::string_view aCaller,
    std::span<const AddressCandidate> aCandidates);

private:
  std::mt19937_64 mGenerator;
  Options mOptions;
};

} // namespace bronzedeal::request
