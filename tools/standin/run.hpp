#pragma once

#include <string>

namespace bronzedeal::standin {

/// Runs the stand-in that the settings file describes until SIGTERM or SIGINT;
/// prints the `listening` line when all listeners are open. Throws
/// std::exception on bad settings or addresses.
void RunStandin(const std::string& aConfigFile);

} // namespace bronzedeal::standin
