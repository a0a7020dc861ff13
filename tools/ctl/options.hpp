#pragma once

#include "bronzedeal/types.hpp"

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace bronzedeal::ctl {

/// The parsed command line.
struct Options
{
  std::string command;
  /// Admin addresses.
  std::vector<std::string> instances;
  bool all = false;
  bool json = false;
  milliseconds timeout{ 2000 };
  std::string file;
  Labels caller;
  Labels request;
  /// Id of a caller's request in the logs.
  std::string requestId;
  ConfigVersion version = 0;
  bool wait = false;
  /// Zero: no limit.
  milliseconds waitTimeout{ 0 };
  std::uint64_t after = 0;
};

enum class ParseOutcome
{
  Run,    ///< The command is to be run.
  Done,   ///< Help or the version was printed.
  Invalid ///< The reason was printed to `aErr`.
};

[[nodiscard]] ParseOutcome ParseOptions(
  const std::vector<std::string>& aArguments,
  Options& aOptions,
  std::ostream& aOut,
  std::ostream& aErr);

} // namespace bronzedeal::ctl
