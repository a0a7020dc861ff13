#pragma once

#include "bronzedeal/error.hpp"
#include "bronzedeal/process/logging.hpp"
#include "bronzedeal/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::process {

/// Mechanisms that can be disabled individually to measure their effect.
struct Features
{
  bool hedging = true;
  bool canary = true;
  bool coldRamp = true;
  bool quarantine = true;
  bool admission = true;
};

/// Faults injected into the messages from this instance to one peer, for tests.
struct LinkFault
{
  InstanceId to;
  /// Probability that a message is dropped, 0 to 1; 1 cuts the link.
  double drop = 0;
  milliseconds delay{ 0 };
};

struct FaultInjection
{
  std::uint64_t seed = 1;
  std::vector<LinkFault> links;
};

/// Settings of one process; docs/OPERATIONS.md has the table of fields.
struct Settings
{
  InstanceId instance;
  std::string httpAddress;
  std::string adminAddress;
  std::string peerAddress;
  FailureDomain failureDomain;
  std::string region;
  std::string platformAddress;
  unsigned threads = 2;
  LogLevel logLevel = LogLevel::Info;
  /// How long a leaving instance continues to serve callers that cache its
  /// address. Must be at least 1.2 times `addressTtl`, since cached lifetimes
  /// are jittered by up to 20%.
  milliseconds shutdownLinger{ 12'000 };
  /// How long a caller may cache the addresses it was given, before jitter.
  milliseconds addressTtl{ 10'000 };
  Features features;
  /// Set only when the settings allow faults to be injected.
  std::optional<FaultInjection> faultInjection;
};

/// Parses and validates the settings of a process. Fails with `InvalidJson`, or
/// with `InvalidField` and an error that lists every invalid field.
[[nodiscard]] Result<Settings> ParseSettings(std::string_view aJson);

/// Parses a value of `fault_injection`, the body of `POST /v1/fault`. Fails as
/// `ParseSettings` does.
[[nodiscard]] Result<FaultInjection> ParseFaultInjection(
  std::string_view aJson);

} // namespace bronzedeal::process
