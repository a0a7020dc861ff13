#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace bronzedeal::gateway {

/// Value of a field in a log line.
using LogValue = std::variant<std::string_view, std::int64_t, double, bool>;

/// Structured log of the decisions of an instance: one JSON object per line, on
/// standard output by default.
///
/// Lines are buffered and written by another thread, so that a blocked reader
/// of the output delays no request. When the buffer is full, lines are dropped
/// and counted; the count is logged as soon as the writer proceeds.
class DecisionLog
{
public:
  struct Field
  {
    std::string_view key;
    LogValue value;
  };

  /// Writes one or more whole lines; may block. Called on the writer thread.
  using Sink = std::function<void(std::string_view)>;

  /// Capacity of the buffer, in lines and in bytes. Lines hold text of callers,
  /// so that their number alone bounds nothing.
  static constexpr std::size_t kMaxBufferedLines = 4096;
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{ 2 } << 20;
  static constexpr std::chrono::milliseconds kMaxFlushTime{ 300 };

  explicit DecisionLog(std::string aInstance, Sink aSink = {});
  /// Writes the buffered lines out, for `kMaxFlushTime` at most. A writer
  /// thread whose output is blocked for longer ends with the process.
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  /// Appends one line. `aEvent` is one of the events in docs/OPERATIONS.md.
  /// Thread-safe; never blocks on the output.
  void Write(std::string_view aEvent, std::initializer_list<Field> aFields);

  /// Lines dropped since the start.
  [[nodiscard]] std::uint64_t DroppedCount() const noexcept;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace bronzedeal::gateway
