#include "bronzedeal/gateway/decision_log.hpp"

#include <boost/json/parse.hpp>
#include <future>
#include <gtest/gtest.h>

namespace bronzedeal::gateway {

// Guards against ids from callers that make a log line invalid JSON.
TEST(DecisionLog, WritesValidJsonForAnyId)
{
  std::string text;
  {
    DecisionLog log("gw-0", [&](std::string_view aText) { text += aText; });
    log.Write("request_end",
              { { "request", "a\"b\\c\n\x01\xff" },
                { "took_ms", 1.5 },
                { "status", std::int64_t{ 200 } },
                { "ready", true } });
  }
  ASSERT_EQ(text.find('\n'), text.size() - 1);
  const auto line = boost::json::parse(text).as_object();
  EXPECT_EQ(line.at("event").as_string(), "request_end");
  EXPECT_EQ(line.at("status").as_int64(), 200);
  EXPECT_TRUE(line.at("ready").as_bool());
}

// Guards against a blocked reader of the log that delays requests, and against
// lines that are dropped without being counted.
TEST(DecisionLog, DropsAndCountsLinesWhileTheReaderIsBlocked)
{
  std::promise<void> release;
  auto released = release.get_future().share();
  std::string text;
  DecisionLog* logPointer = nullptr;
  {
    DecisionLog log("gw-0", [&, released](std::string_view aText) {
      released.wait();
      text += aText;
    });
    logPointer = &log;
    // More lines than two buffers hold, since the writer may have taken one
    // buffer out.
    for (std::size_t n = 0; n < 3 * DecisionLog::kMaxBufferedLines; ++n) {
      log.Write("summary", {});
    }
    EXPECT_GE(logPointer->DroppedCount(), DecisionLog::kMaxBufferedLines);
    release.set_value();
  }
  EXPECT_NE(text.find("log_lines_dropped"), std::string::npos);
}

} // namespace bronzedeal::gateway
