#include "bronzedeal/process/logging.hpp"

#include <array>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <glog/logging.h>
#include <iostream>
#include <mutex>
#include <string>

namespace bronzedeal::process {

namespace {

struct LevelName
{
  LogLevel level;
  std::string_view name;
};

constexpr std::array<LevelName, 3> kLevelNames{ {
  { LogLevel::Info, "info" },
  { LogLevel::Warning, "warning" },
  { LogLevel::Error, "error" },
} };

std::string Quote(std::string_view aText)
{
  return boost::json::serialize(boost::json::string_view(aText));
}

std::string TimeNow()
{
  const auto now = std::chrono::system_clock::now();
  const auto ms =
    std::chrono::floor<std::chrono::milliseconds>(now).time_since_epoch();
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     ms.count() % 1000);
}

/// Writes each glog message as one JSON line to standard error. A message that
/// is itself a JSON object, as from `LogEvent`, is embedded under "data"; any
/// other text goes under "message".
class JsonSink : public google::LogSink
{
public:
  explicit JsonSink(std::string_view aInstance)
    : mInstance(Quote(aInstance))
  {
  }

  void send(google::LogSeverity aSeverity,
            const char* /*aFullName*/,
            const char* aBaseName,
            int aLine,
            const google::LogMessageTime& /*aTime*/,
            const char* aMessage,
            std::size_t aLength) override
  {
    const std::string_view text(aMessage, aLength);
    const bool isObject = text.starts_with('{') && text.ends_with('}');
    const auto line = fmt::format(
      R"({{"time":"{}","level":"{}","instance":{},"source":"{}:{}",)"
      R"("{}":{}}})"
      "\n",
      TimeNow(),
      google::GetLogSeverityName(aSeverity),
      mInstance,
      aBaseName,
      aLine,
      isObject ? "data" : "message",
      isObject ? std::string(text) : Quote(text));
    const std::lock_guard lock(mMutex);
    std::cerr << line;
  }

private:
  std::string mInstance;
  std::mutex mMutex;
};

} // namespace

bool ParseLogLevel(std::string_view aName, LogLevel& aLevel) noexcept
{
  for (const auto& it : kLevelNames) {
    if (it.name == aName) {
      aLevel = it.level;
      return true;
    }
  }
  return false;
}

void InitLogging(std::string_view aProgram,
                 std::string_view aInstance,
                 LogLevel aLevel)
{
  static const std::string program(aProgram);
  static JsonSink sink(aInstance);
  google::InitGoogleLogging(program.c_str());
  FLAGS_logtostderr = false;
  FLAGS_minloglevel = static_cast<int>(aLevel);
  // The sink is the only output, since instances have no disks.
  FLAGS_stderrthreshold = google::NUM_SEVERITIES;
  for (int n = 0; n < google::NUM_SEVERITIES; ++n) {
    google::SetLogDestination(n, "");
  }
  google::AddLogSink(&sink);
}

void LogEvent(LogLevel aLevel,
              std::string_view aEvent,
              std::initializer_list<LogField> aFields)
{
  std::string buf = fmt::format(R"({{"event":{})", Quote(aEvent));
  for (const auto& [key, value] : aFields) {
    buf += fmt::format(",{}:{}", Quote(key), Quote(value));
  }
  buf += '}';
  switch (aLevel) {
    case LogLevel::Info:
      LOG(INFO) << buf;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << buf;
      break;
    case LogLevel::Error:
      LOG(ERROR) << buf;
      break;
  }
}

} // namespace bronzedeal::process
