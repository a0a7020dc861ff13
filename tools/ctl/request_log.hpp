#pragma once

#include <istream>
#include <ostream>
#include <string_view>

namespace bronzedeal::ctl {

/// Prints the lines of one request from the gateways' logs as a timeline, in
/// order of time. Lines may have text before their JSON object, such as a time
/// or an instance's name; others are passed over. Returns the number of lines
/// found.
std::size_t PrintRequestLog(std::istream& aLogs,
                            std::string_view aRequest,
                            std::ostream& aOut);

} // namespace bronzedeal::ctl
