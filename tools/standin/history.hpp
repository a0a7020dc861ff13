#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace bronzedeal::tools {

/// CLOCK_MONOTONIC in microseconds; comparable between processes of a machine.
[[nodiscard]] inline std::int64_t NowMicros() noexcept
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

/// A file of JSON lines that several writers append whole blocks to.
class HistoryFile
{
public:
  /// An empty path discards all records. Throws std::runtime_error when the
  /// file can't be created.
  explicit HistoryFile(const std::string& aPath);

  [[nodiscard]] bool Enabled() const noexcept { return mFile != nullptr; }
  void Append(std::string_view aBlock);

private:
  std::mutex mMutex;
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> mFile;
};

/// Buffer of one thread. Records reach the file in blocks of about 64 KB, at
/// `Flush` and on destruction, so the lines of a file are not in time order.
class HistoryWriter
{
public:
  explicit HistoryWriter(std::shared_ptr<HistoryFile> aFile);
  HistoryWriter(const HistoryWriter&) = delete;
  HistoryWriter& operator=(const HistoryWriter&) = delete;
  ~HistoryWriter() { Flush(); }

  [[nodiscard]] bool Enabled() const noexcept { return mFile->Enabled(); }
  /// Appends one JSON object without a line end.
  void Write(std::string_view aLine);
  void Flush();

private:
  std::shared_ptr<HistoryFile> mFile;
  std::string mBuffer;
};

} // namespace bronzedeal::tools
