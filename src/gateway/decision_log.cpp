#include "bronzedeal/gateway/decision_log.hpp"

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <fmt/format.h>
#include <iterator>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace bronzedeal::gateway {

namespace {

void AppendEscaped(std::string& aOut, std::string_view aText)
{
  // Ids from callers may contain quotes, control characters and invalid UTF-8.
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      aOut += '\\';
      aOut += c;
    } else if (byte < 0x20 || byte >= 0x7f) {
      fmt::format_to(std::back_inserter(aOut), "\\u{:04x}", byte);
    } else {
      aOut += c;
    }
  }
}

struct ValueAppender
{
  std::string& out;

  void operator()(std::string_view aValue) const
  {
    out += '"';
    AppendEscaped(out, aValue);
    out += '"';
  }
  void operator()(std::int64_t aValue) const
  {
    fmt::format_to(std::back_inserter(out), "{}", aValue);
  }
  void operator()(double aValue) const
  {
    fmt::format_to(std::back_inserter(out), "{:.3f}", aValue);
  }
  void operator()(bool aValue) const { out += aValue ? "true" : "false"; }
};

/// Doesn't use the buffer of stdio, which the exit of the process would flush
/// even while nobody reads.
void WriteStandardOutput(std::string_view aText)
{
  while (!aText.empty()) {
    const auto n = ::write(STDOUT_FILENO, aText.data(), aText.size());
    if (n < 0 && errno != EINTR) {
      return; // There is no other place to report a failed write to.
    }
    aText.remove_prefix(n < 0 ? 0 : static_cast<std::size_t>(n));
  }
}

} // namespace

/// Shared with the writer thread, which may outlive the log while its output is
/// blocked.
struct DecisionLog::State
{
  void RunWriter();

  std::string instance;
  Sink sink;
  std::atomic<std::uint64_t> droppedCount{ 0 };
  std::mutex mutex;
  std::condition_variable wakeWriter;
  std::condition_variable wakeDestructor;
  std::deque<std::string> bufferedLines;
  std::size_t bufferedBytes = 0;
  bool isStopping = false;
  bool hasStopped = false;
};

DecisionLog::DecisionLog(std::string aInstance, Sink aSink)
  : mState(std::make_shared<State>())
{
  mState->instance = std::move(aInstance);
  mState->sink = aSink ? std::move(aSink) : Sink(WriteStandardOutput);
  std::thread([state = mState] { state->RunWriter(); }).detach();
}

DecisionLog::~DecisionLog()
{
  std::unique_lock lock(mState->mutex);
  mState->isStopping = true;
  mState->wakeWriter.notify_one();
  mState->wakeDestructor.wait_for(
    lock, kMaxFlushTime, [&] { return mState->hasStopped; });
}

void DecisionLog::Write(std::string_view aEvent,
                        std::initializer_list<Field> aFields)
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  auto line = fmt::format(
    R"({{"time_ms":{},"event":"{}","instance":")",
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count(),
    aEvent);
  AppendEscaped(line, mState->instance);
  line += '"';
  for (const auto& it : aFields) {
    fmt::format_to(std::back_inserter(line), ",\"{}\":", it.key);
    std::visit(ValueAppender{ line }, it.value);
  }
  line += "}\n";
  {
    const std::lock_guard lock(mState->mutex);
    if (mState->bufferedLines.size() >= kMaxBufferedLines ||
        mState->bufferedBytes + line.size() > kMaxBufferedBytes) {
      ++mState->droppedCount;
      return;
    }
    mState->bufferedBytes += line.size();
    mState->bufferedLines.push_back(std::move(line));
    if (mState->bufferedLines.size() > 1) {
      return; // the writer has already been notified
    }
  }
  mState->wakeWriter.notify_one();
}

std::uint64_t DecisionLog::DroppedCount() const noexcept
{
  return mState->droppedCount;
}

void DecisionLog::State::RunWriter()
{
  // Lines are written in batches, so that a burst causes a single wake-up.
  constexpr auto kBatchDelay = std::chrono::milliseconds(50);
  std::uint64_t reportedCount = 0;
  std::unique_lock lock(mutex);
  while (true) {
    wakeWriter.wait(lock, [&] { return isStopping || !bufferedLines.empty(); });
    if (!isStopping) {
      wakeWriter.wait_for(lock, kBatchDelay, [&] { return isStopping; });
    }
    std::deque<std::string> batch;
    batch.swap(bufferedLines);
    bufferedBytes = 0;
    const bool wasStopping = isStopping;
    lock.unlock();
    std::string text;
    for (const auto& it : batch) {
      text += it;
    }
    const std::uint64_t totalDropped = droppedCount;
    if (totalDropped != reportedCount) {
      text += fmt::format(R"({{"event":"log_lines_dropped","instance":"{}",)"
                          R"("count":{}}})"
                          "\n",
                          instance,
                          totalDropped - reportedCount);
      reportedCount = totalDropped;
    }
    sink(text);
    lock.lock();
    if (wasStopping && bufferedLines.empty()) {
      break;
    }
  }
  hasStopped = true;
  wakeDestructor.notify_one();
}

} // namespace bronzedeal::gateway
