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

/// Mechanisms that can be switched off, to measure what each one gives.
struct Features
{
  bool hedging = true;
  bool canary = true;
  bool coldRamp = true;
  bool quarantine = true;
  bool admission = true;
};

/// Faults on the messages from this instance to one peer, for tests.
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

/// Settings of one process; docs/operations.md has the table of fields.
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
  /// How long a leaving instance still serves callers that keep an old address
  /// answer; must exceed the answer's lifetime with its jitter.
  milliseconds shutdownLinger{ 12'000 };
  milliseconds addressTtl{ 10'000 };
  Features features;
  /// Set only when the settings allow faults to be injected.
  std::optional<FaultInjection> faultInjection;
};

/// Parses and validates the whole text. Fails with `InvalidJson` or
/// `InvalidField`; the error lists every field at fault.
[[nodiscard]] Result<Settings> ParseSettings(std::string_view aJson);

/// Parses the value of `fault_injection`, as `POST /v1/fault` takes it.
[[nodiscard]] Result<FaultInjection> ParseFaultInjection(
  std::string_view aJson);

} // namespace bronzedeal::process
