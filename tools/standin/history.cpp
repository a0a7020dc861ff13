#include "history.hpp"

#include <stdexcept>

namespace bronzedeal::tools {

namespace {
constexpr std::size_t kBlockBytes = std::size_t{ 64 } * 1024;
} // namespace

HistoryFile::HistoryFile(const std::string& aPath)
  : mFile(aPath.empty() ? nullptr : std::fopen(aPath.c_str(), "w"),
          &std::fclose)
{
  if (!aPath.empty() && !mFile) {
    throw std::runtime_error("cannot create history file " + aPath);
  }
}

void HistoryFile::Append(std::string_view aBlock)
{
  if (!mFile) {
    return;
  }
  const std::lock_guard lock(mMutex);
  std::fwrite(aBlock.data(), 1, aBlock.size(), mFile.get());
  std::fflush(mFile.get());
}

HistoryWriter::HistoryWriter(std::shared_ptr<HistoryFile> aFile)
  : mFile(std::move(aFile))
{
}

void HistoryWriter::Write(std::string_view aLine)
{
  if (!Enabled()) {
    return;
  }
  mBuffer.append(aLine);
  mBuffer.push_back('\n');
  if (mBuffer.size() >= kBlockBytes) {
    Flush();
  }
}

void HistoryWriter::Flush()
{
  if (!mBuffer.empty()) {
    mFile->Append(mBuffer);
    mBuffer.clear();
  }
}

} // namespace bronzedeal::tools
