#include "bronzedeal/gateway/decision_log.hpp"

#include <boost/json/serialize.hpp>
#include <chrono>
#include <cstdio>
#include <fmt/format.h>
#include <iterator>

namespace bronzedeal::gateway {

namespace {

void AppendText(std::string& aOut, std::string_view aText)
{
  // Ids from outside may hold quotes or bytes that are no UTF-8.
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

struct Appender
{
  std::string& out;

  void operator()(std::string_view aValue) const
  {
    out += '"';
    AppendText(out, aValue);
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
  // A failed write has nowhere to be reported to.
  std::fwrite(aText.data(), 1, aText.size(), stdout);
  std::fflush(stdout);
}

} // namespace

DecisionLog::DecisionLog(std::string aInstance, Sink aSink)
  : mInstance(std::move(aInstance))
  , mSink(aSink ? std::move(aSink) : Sink(WriteStandardOutput))
  , mWriter([this] { Run(); })
{
}

DecisionLog::~DecisionLog()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mReady.notify_one();
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
  AppendText(line, mInstance);
  line += '"';
  for (const auto& it : aFields) {
    fmt::format_to(std::back_inserter(line), ",\"{}\":", it.key);
    std::visit(Appender{ line }, it.value);
  }
  line += "}\n";
  {
    const std::lock_guard lock(mMutex);
    if (mWaiting.size() >= kMaxBufferedLines) {
      ++mDropped;
      return;
    }
    mWaiting.push_back(std::move(line));
    if (mWaiting.size() > 1) {
      return; // the writer is awake already
    }
  }
  mReady.notify_one();
}

std::uint64_t DecisionLog::DroppedCount() const noexcept
{
  return mDropped;
}

void DecisionLog::Run()
{
  // Lines are written in batches, so that a burst costs one wake-up.
  constexpr auto kBatchDelay = std::chrono::milliseconds(50);
  std::uint64_t reported = 0;
  std::unique_lock lock(mMutex);
  while (true) {
    mReady.wait(lock, [&] { return mStopping || !mWaiting.empty(); });
    if (!mStopping) {
      mReady.wait_for(lock, kBatchDelay, [&] { return mStopping; });
    }
    std::deque<std::string> batch;
    batch.swap(mWaiting);
    const bool stopping = mStopping;
    lock.unlock();
    std::string text;
    for (const auto& it : batch) {
      text += it;
    }
    const std::uint64_t dropped = mDropped;
    if (dropped != reported) {
      text += fmt::format(R"({{"event":"log_lines_dropped","instance":"{}",)"
                          R"("count":{}}})"
                          "\n",
                          mInstance,
                          dropped - reported);
      reported = dropped;
    }
    mSink(text);
    lock.lock();
    if (stopping && mWaiting.empty()) {
      return;
    }
  }
}

} // namespace bronzedeal::gateway
