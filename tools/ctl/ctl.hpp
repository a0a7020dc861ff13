#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace bronzedeal::ctl {

/// Exit codes of bronzedealctl.
inline constexpr int kExitOk = 0;
/// The command failed: no answer, or the document is invalid.
inline constexpr int kExitFailed = 1;
/// Invalid command line.
inline constexpr int kExitUsage = 2;
/// The withdrawal is not complete.
inline constexpr int kExitNotComplete = 3;

/// Runs one command. `aArguments` excludes the program name. Results go to
/// `aOut`; errors and progress go to `aErr`.
[[nodiscard]] int RunCtl(const std::vector<std::string>& aArguments,
                         std::ostream& aOut,
                         std::ostream& aErr);

} // namespace bronzedeal::ctl
