#pragma once

#include <initializer_list>
#include <string_view>
#include <utility>

namespace bronzedeal::process {

/// Least severity that is written.
enum class LogLevel
{
  Info,
  Warning,
  Error,
};

/// The level of a name such as `warning`; false when the name is not known.
[[nodiscard]] bool ParseLogLevel(std::string_view aName,
                                 LogLevel& aLevel) noexcept;

/// Starts glog with JSON lines on standard error: time, severity, instance,
/// source position and message. Call once, before any other thread starts.
void InitLogging(std::string_view aProgram,
                 std::string_view aInstance,
                 LogLevel aLevel);

/// One key and its value in a log line.
using LogField = std::pair<std::string_view, std::string_view>;

/// Writes one JSON line with an event name and fields.
void LogEvent(LogLevel aLevel,
              std::string_view aEvent,
              std::initializer_list<LogField> aFields);

} // namespace bronzedeal::process
