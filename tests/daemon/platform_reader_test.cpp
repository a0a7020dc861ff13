#include "bronzedeal/daemon/http_server.hpp"
#include "bronzedeal/daemon/platform_reader.hpp"
#include "support.hpp"

#include <map>

namespace bronzedeal::daemon {
namespace {

using process::ServiceReadStatus;

/// A platform whose answers are given one by one, and a reader on one thread.
class PlatformReaderTest : public testing::Test
{
protected:
  /// Runs the handlers until a condition holds.
  template<typename Predicate>
  void RunUntil(Predicate aReached)
  {
    while (!aReached()) {
      mContext.run_one();
    }
  }

  /// The reply function of the next request.
  HttpReply NextReply()
  {
    RunUntil([&] { return !mReplies.empty(); });
    auto reply = std::move(mReplies.front());
    mReplies.erase(mReplies.begin());
    return reply;
  }

  boost::asio::io_context mContext{ 1 };
  std::vector<std::string> mTargets;
  std::vector<HttpReply> mReplies;
  HttpServer mServer{ mContext,
                      "127.0.0.1:0",
                      [this](const HttpRequest& aRequest, HttpReply aReply) {
                        mTargets.push_back(aRequest.path + "?" +
                                           aRequest.queryString);
                        mReplies.push_back(std::move(aReply));
                      } };
  process::Metrics mMetrics;
  PlatformReader mReader{ mContext,
                          boost::asio::make_strand(mContext),
                          mServer.Address(),
                          mMetrics };
};

// Guards against a status that is taken for another one: an error that counts
// as "none newer" would keep a reader from asking elsewhere.
TEST_F(PlatformReaderTest, ReportsTheStatusOfAConfigurationRead)
{
  for (const auto& [status, expected] :
       { std::pair{ 200, ServiceReadStatus::Document },
         { 304, ServiceReadStatus::NotModified },
         { 503, ServiceReadStatus::Failed } }) {
    std::optional<process::ServiceReadResult> answer;
    mReader.ReadConfig({ .afterVersion = 3, .maxWait = milliseconds(0) },
                       [&](const auto& aAnswer) { answer = aAnswer; });
    NextReply()({ status, status == 200 ? "text" : "" });
    RunUntil([&] { return answer.has_value(); });
    EXPECT_EQ(expected, answer->status);
    EXPECT_EQ(status == 200 ? "text" : "", answer->text);
  }
  EXPECT_EQ("/v1/config?after=3&wait_ms=0", mTargets[0]);
  EXPECT_EQ(3, mMetrics.Value(process::Counter::PlatformReads));
}

// Guards against the answer to a forgotten read that ends the current one.
TEST_F(PlatformReaderTest, IgnoresAnswersToEarlierReads)
{
  std::vector<std::string> texts;
  const auto take = [&](const auto& aAnswer) { texts.push_back(aAnswer.text); };
  const process::ServiceRead read{ .afterVersion = 0,
                                   .maxWait = milliseconds(0) };
  mReader.ReadConfig(read, take);
  const auto first = NextReply();
  mReader.ReadConfig(read, take);
  const auto second = NextReply();
  first({ 200, "first" });
  second({ 200, "second" });
  RunUntil([&] { return !texts.empty(); });
  EXPECT_EQ(std::vector<std::string>{ "second" }, texts);
}

// Guards against two reads of the list at a time, and against a platform that
// is asked without a pause while it fails.
TEST_F(PlatformReaderTest, ReadsOneListAtATime)
{
  using Clock = std::chrono::steady_clock;
  std::string text;
  const auto take = [&](const std::string& aText) { text = aText; };
  EXPECT_TRUE(mReader.MayReadList(Clock::now()));
  mReader.ReadList(7, milliseconds(10), take);
  EXPECT_FALSE(mReader.MayReadList(TimePoint::max()));
  NextReply()({ 200, "list" });
  RunUntil([&] { return !text.empty(); });
  EXPECT_EQ("list", text);
  EXPECT_EQ("/v1/instances?after=7&wait_ms=10", mTargets[0]);
  EXPECT_TRUE(mReader.MayReadList(Clock::now()));
  const auto before = Clock::now();
  mReader.ReadList(7, milliseconds(0), take);
  NextReply()({ 503, "" });
  RunUntil([&] { return mReader.MayReadList(TimePoint::max()); });
  EXPECT_FALSE(mReader.MayReadList(before));
}

} // namespace
} // namespace bronzedeal::daemon
