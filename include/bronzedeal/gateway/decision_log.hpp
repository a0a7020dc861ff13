#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
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

  /// Capacity of the buffer, in lines.
  static constexpr std::size_t kMaxBufferedLines = 4096;

  explicit DecisionLog(std::string aInstance, Sink aSink = {});
  /// Writes the buffered lines out, then ends the writer thread.
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  /// Appends one line. `aEvent` is one of the events in docs/OPERATIONS.md.
  /// Thread-safe; never blocks on the output.
  void Write(std::string_view aEvent, std::initializer_list<Field> aFields);

  /// Lines dropped since the start.
  [[nodiscard]] std::uint64_t DroppedCount() const noexcept;

private:
  void RunWriter();

  std::string mInstance;
  Sink mSink;
  std::atomic<std::uint64_t> mDroppedCount{ 0 };
  std::mutex mMutex;
  std::condition_variable mWakeWriter;
  std::deque<std::string> mBufferedLines;
  bool mIsStopping = false;
  std::thread mWriter;
};

} // namespace bronzedeal::gateway
