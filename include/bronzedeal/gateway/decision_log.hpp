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

/// A value in a log line.
using LogValue = std::variant<std::string_view, std::int64_t, double, bool>;

/// Decisions as JSON lines on standard output.
///
/// A line is put into a bounded buffer that another thread writes out, so that
/// a blocked reader delays no request. Lines that don't fit are counted, and
/// the count is written once there is room again.
class DecisionLog
{
public:
  struct Field
  {
    std::string_view key;
    LogValue value;
  };

  /// Writes some bytes; may block. Standard output by default.
  using Sink = std::function<void(std::string_view)>;

  /// Lines that wait for the writer.
  static constexpr std::size_t kMaxBufferedLines = 4096;

  explicit DecisionLog(std::string aInstance, Sink aSink = {});
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  /// `aEvent` is one of the kinds in docs/OPERATIONS.md.
  void Write(std::string_view aEvent, std::initializer_list<Field> aFields);

  [[nodiscard]] std::uint64_t DroppedCount() const noexcept;

private:
  void Run();

  std::string mInstance;
  Sink mSink;
  std::atomic<std::uint64_t> mDropped{ 0 };
  std::mutex mMutex;
  std::condition_variable mReady;
  std::deque<std::string> mWaiting;
  bool mStopping = false;
  std::thread mWriter;
};

} // namespace bronzedeal::gateway
