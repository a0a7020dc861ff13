#include "bronzedeal/gateway/decision_log.hpp"

#include <boost/json/serialize.hpp>
#include <chrono>
#include <cstdio>
#include <fmt/format.h>
#include <iterator>

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

void WriteStandardOutput(std::string_view aText)
{
  // There is no other place to report a failed write to.
  std::fwrite(aText.data(), 1, aText.size(), stdout);
  std::fflush(stdout);
}

} // namespace

DecisionLog::DecisionLog(std::string aInstance, Sink aSink)
  : mInstance(std::move(aInstance))
  , mSink(aSink ? std::move(aSink) : Sink(WriteStandardOutput))
  , mWriter([this] { RunWriter(); })
{
}

DecisionLog::~DecisionLog()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mWakeWriter.notify_one();
  mWriter.join();
}

void DecisionLog::Write(std::string_view aEvent,
                        std::initializer_list<Field> aFields)
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  auto line = fmt::format(
    R"({{"time_ms":{},"event":"{}","instance":")",
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count(),
    aEvent);
  AppendEscaped(line, mInstance);
  line += '"';
  for (const auto& it : aFields) {
    fmt::format_to(std::back_inserter(line), ",\"{}\":", it.key);
    std::visit(ValueAppender{ line }, it.value);
  }
  line += "}\n";
  {
    const std::lock_guard lock(mMutex);
    if (mBufferedLines.size() >= kMaxBufferedLines) {
      ++mDroppedCount;
      return;
    }
    mBufferedLines.push_back(std::move(line));
    if (mBufferedLines.size() > 1) {
      return; // the writer has already been notified
    }
  }
  mWakeWriter.notify_one();
}

std::uint64_t DecisionLog::DroppedCount() const noexcept
{
  return mDroppedCount;
}

void DecisionLog::RunWriter()
{
  // Lines are written in batches, so that a burst causes a single wake-up.
  constexpr auto kBatchDelay = std::chrono::milliseconds(50);
  std::uint64_t reportedCount = 0;
  std::unique_lock lock(mMutex);
  while (true) {
    mWakeWriter.wait(lock,
                     [&] { return mIsStopping || !mBufferedLines.empty(); });
    if (!mIsStopping) {
      mWakeWriter.wait_for(lock, kBatchDelay, [&] { return mIsStopping; });
    }
    std::deque<std::string> batch;
    batch.swap(mBufferedLines);
    const bool isStopping = mIsStopping;
    lock.unlock();
    std::string text;
    for (const auto& it : batch) {
      text += it;
    }
    const std::uint64_t droppedCount = mDroppedCount;
    if (droppedCount != reportedCount) {
      text += fmt::format(R"({{"event":"log_lines_dropped","instance":"{}",)"
                          R"("count":{}}})"
                          "\n",
                          mInstance,
                          droppedCount - reportedCount);
      reportedCount = droppedCount;
    }
    mSink(text);
    lock.lock();
    if (isStopping && mBufferedLines.empty()) {
      return;
    }
  }
}

} // namespace bronzedeal::gateway
