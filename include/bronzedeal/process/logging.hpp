#pragma once

#include <initializer_list>
#include <string_view>
#include <utility>

namespace bronzedeal::process {

/// Severity of a log line.
enum class LogLevel
{
  Info,
  Warning,
  Error,
};

/// Sets `aLevel` to the level of a name such as `warning`; returns false, and
/// leaves it unchanged, when the name is unknown.
[[nodiscard]] bool ParseLogLevel(std::string_view aName,
                                 LogLevel& aLevel) noexcept;

/// Sets up glog to write JSON lines to standard error with time, level,
/// instance, source position and message. Lines below `aLevel` are omitted. To
/// be called once, before any other thread starts.
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
