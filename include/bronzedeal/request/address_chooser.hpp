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
  /// The `ip:port` that callers connect to.
  std::string address;
  FailureDomain failureDomain;
  InstanceStatus status = InstanceStatus::Alive;
  bool fenced = false;
  /// Share, 0 to 1, of the caller's sub-requests that go to servers which this
  /// instance owns.
  double ownedShare = 0;
};

/// The addresses for one caller, best first, and how long the caller may use
/// them.
struct AddressReply
{
  std::vector<std::string> addresses;
  milliseconds ttl{};
};

/// Chooses the addresses that a caller uses until the reply expires. The subset
/// is stable per caller, ordered best first, spread over failure domains and
/// weighted by owned traffic. Only instances that are alive and not fenced are
/// chosen. Not thread safe: the caller synchronizes access.
class AddressChooser
{
public:
  struct Options
  {
    std::size_t maxAddresses = 3;
    milliseconds ttl{ 10'000 };
    /// The time to live varies by up to this share in both directions, so that
    /// callers that started together do not all ask again at the same time.
    double ttlJitter = 0.2;
    /// Weight that is added to the owned share of each instance. An instance
    /// that owns none of the caller's traffic still receives callers, so that
    /// not all of them choose the same owner.
    double baseWeight = 0.05;
  };

  explicit AddressChooser(std::mt19937_64 aGenerator);
  AddressChooser(std::mt19937_64 aGenerator, const Options& aOptions);

  /// `aCaller` is any stable name of the caller, such as its address and
  /// customer. The list of addresses is empty when no candidate is alive and
  /// unfenced.
  [[nodiscard]] AddressReply Choose(
    std::string_view aCaller,
    std::span<const AddressCandidate> aCandidates);

private:
  std::mt19937_64 mGenerator;
  Options mOptions;
};

} // namespace bronzedeal::request
