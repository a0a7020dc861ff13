#include "bronzedeal/connection/server_pool.hpp"

#include "fake_http_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <ctime>
#include <future>
#include <gtest/gtest.h>

namespace bronzedeal::connection {
namespace {

class ServerPoolTest : public testing::Test
{
protected:
  ServerPoolTest()
    : mThread([this] { mContext.run(); })
  {
    mOptions.maxConnections = 3;
    mOptions.unconfirmedTimeout = std::chrono::hours(1);
    mOptions.onConnectionLost = [this](bool aInFlight) {
      ++(aInFlight ? mLostBusyConnections : mLostIdleConnections);
    };
  }
  ~ServerPoolTest() override
  {
    mPool.reset();
    mWork.reset();
    mThread.join();
  }

  void OpenPool(const std::string& aAddress)
  {
    mOptions.address = aAddress;
    mPool = std::make_unique<ServerPool>(mContext, mOptions);
  }

  struct Attempt
  {
    std::promise<SendResult> result;
    std::promise<AttemptEnd> ended;
    ServerPool::Handle handle = 0;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  AttemptPtr Send(const std::string& aTarget,
                  const std::string& aBody,
                  Duration aTimeout = std::chrono::hours(1),
                  std::function<bool()> aGuard = {})
  {
    auto attempt = std::make_shared<Attempt>();
    SendRequest request;
    request.target = aTarget;
    request.body = std::make_shared<const std::string>(aBody);
    request.requestId = "id-" + aBody.substr(0, 8);
    request.deadline = std::chrono::steady_clock::now() + aTimeout;
    request.maySend = std::move(aGuard);
    request.onResult = [attempt](SendResult&& aResult) {
      attempt->result.set_value(std::move(aResult));
    };
    request.onEnded = [attempt](AttemptEnd aEnd, Duration) {
      attempt->ended.set_value(aEnd);
    };
    attempt->handle = mPool->AsyncSend(std::move(request));
    return attempt;
  }

  /// Polls a condition that another thread makes true.
  template<typename F>
  static void WaitUntil(F aCondition)
  {
    while (!aCondition()) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  boost::asio::io_context mContext{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork{ mContext.get_executor() };
  std::thread mThread;
  ServerPoolOptions mOptions;
  std::atomic<int> mLostBusyConnections{ 0 };
  std::atomic<int> mLostIdleConnections{ 0 };
  FakeHttpServer mServer;
  std::unique_ptr<ServerPool> mPool;
};

// Guards against a response that loses its status, headers or body.
TEST_F(ServerPoolTest, ResultHasStatusHeadersAndBody)
{
  OpenPool(mServer.Address());
  const auto attempt = Send("/refuse", std::string(900000, 'b'));
  const auto result = attempt->result.get_future().get();
  EXPECT_EQ(result.error, SendError::None);
  EXPECT_EQ(result.status, 503U);
  EXPECT_EQ(result.Header("x-outcome"), "not-run");
  EXPECT_TRUE(result.body == std::string(900000, 'b'));
  EXPECT_EQ(attempt->ended.get_future().get(), AttemptEnd::Answered);
}

// Guards against a late copy of an answer that passes for the answer to the
// next send on its connection.
TEST_F(ServerPoolTest, AnswerToAnotherSendIsNoAnswer)
{
  mOptions.maxConnections = 1;
  OpenPool(mServer.Address());
  EXPECT_EQ(Send("/a", "1")->result.get_future().get().error, SendError::None);
  const auto attempt = Send("/copy", "2");
  const auto result = attempt->result.get_future().get();
  EXPECT_EQ(result.error, SendError::BadAnswer);
  EXPECT_TRUE(result.byteWritten);
  EXPECT_EQ(attempt->ended.get_future().get(), AttemptEnd::ConnectionLost);
  EXPECT_EQ(Send("/a", "3")->result.get_future().get().error, SendError::None);
}

// Guards against servers that state no ids and so are never used, and against
// an answer without one on a connection that gives them.
TEST_F(ServerPoolTest, AnswerWithoutIdIsTakenOnlyWhereNoneStatesOne)
{
  mOptions.maxConnections = 1;
  OpenPool(mServer.Address());
  for (const char* it : { "1", "2" }) {
    EXPECT_EQ(Send("/anonymous", it)->result.get_future().get().error,
              SendError::None);
  }
  EXPECT_EQ(Send("/a", "3")->result.get_future().get().error, SendError::None);
  EXPECT_EQ(Send("/anonymous", "4")->result.get_future().get().error,
            SendError::BadAnswer);
}

// Guards against bytes that count as an answer, or as an interim response, with
// a status that the protocol doesn't have.
TEST_F(ServerPoolTest, StatusOutsideTheProtocolIsNoAnswer)
{
  OpenPool(mServer.Address());
  for (const std::string status : { "000", "099", "600", "999" }) {
    auto result = Send("/status/" + status, "a")->result.get_future();
    ASSERT_EQ(result.wait_for(std::chrono::seconds(10)),
              std::future_status::ready)
      << status;
    EXPECT_EQ(result.get().error, SendError::BadAnswer) << status;
  }
}

// Guards against a request that runs twice because the pool sent it again after
// the connection broke, and against a lost busy connection that is not
// reported.
TEST_F(ServerPoolTest, RequestIsNotResentOnceAByteWasWritten)
{
  OpenPool(mServer.Address());
  const auto attempt = Send("/close", "a");
  const auto result = attempt->result.get_future().get();
  EXPECT_EQ(result.error, SendError::Closed);
  EXPECT_TRUE(result.byteWritten);
  EXPECT_EQ(attempt->ended.get_future().get(), AttemptEnd::ConnectionLost);
  EXPECT_EQ(mLostBusyConnections, 1);
  Send("/", "b")->result.get_future().get();
  EXPECT_EQ(mServer.Requests(),
            (std::vector<std::string>{ "POST /close", "POST /" }));
}

// Guards against the late response to a timed-out request being taken for the
// response to another one, and against its slot being freed before the server
// has ended the work.
TEST_F(ServerPoolTest, LateResponseReachesNoOtherRequest)
{
  OpenPool(mServer.Address());
  // Opens a connection first, so that the short deadline can't expire before
  // the request is sent.
  Send("/", "warm")->result.get_future().get();
  const auto late = Send("/hold", "late", milliseconds(20));
  EXPECT_EQ(late->result.get_future().get().error, SendError::Timeout);
  auto ended = late->ended.get_future();
  for (int i = 0; i < 5; ++i) {
    const auto body = std::to_string(i);
    EXPECT_EQ(Send("/", body)->result.get_future().get().body, body);
  }
  EXPECT_EQ(ended.wait_for(std::chrono::seconds(0)),
            std::future_status::timeout);
  EXPECT_EQ(mPool->Stats().unconfirmedAttempts, 1U);
  mServer.ReleaseHeldRequests();
  EXPECT_EQ(ended.get(), AttemptEnd::Answered);
  const auto requests = mServer.Requests();
  EXPECT_EQ(
    std::count(requests.begin(), requests.end(), "DELETE /v1/requests/id-late"),
    1);
  EXPECT_EQ(Send("/", "x")->result.get_future().get().body, "x");
}

// Guards against a cancelled attempt that counts as ended although the server
// may still run it.
TEST_F(ServerPoolTest, CancelledAttemptStaysUnconfirmedUntilItsResponse)
{
  OpenPool(mServer.Address());
  const auto attempt = Send("/hold", "c");
  WaitUntil([&] { return !mServer.Requests().empty(); });
  mPool->Cancel(attempt->handle);
  EXPECT_EQ(attempt->result.get_future().get().error, SendError::Cancelled);
  WaitUntil([&] { return mServer.Requests().size() == 2; });
  EXPECT_EQ(mServer.Requests()[1], "DELETE /v1/requests/id-c");
  EXPECT_EQ(mPool->Stats().unconfirmedAttempts, 1U);
  mServer.ReleaseHeldRequests();
  EXPECT_EQ(attempt->ended.get_future().get(), AttemptEnd::Answered);
  WaitUntil([&] { return mPool->Stats().unconfirmedAttempts == 0; });
}

// Guards against an unconfirmed attempt that holds its connection for ever when
// the server never responds.
TEST_F(ServerPoolTest, UnconfirmedAttemptEndsAfterItsTimeout)
{
  mOptions.unconfirmedTimeout = milliseconds(10);
  OpenPool(mServer.Address());
  Send("/", "warm")->result.get_future().get();
  const auto attempt = Send("/hold", "g", milliseconds(10));
  EXPECT_EQ(attempt->result.get_future().get().error, SendError::Timeout);
  EXPECT_EQ(attempt->ended.get_future().get(), AttemptEnd::GivenUp);
}

// Guards against more connections than `maxConnections`, and against a waiting
// request that is never sent, or sent after it was cancelled.
TEST_F(ServerPoolTest, ConnectionLimitHoldsWhileRequestsWait)
{
  OpenPool(mServer.Address());
  std::vector<AttemptPtr> attempts;
  attempts.reserve(20);
  for (int i = 0; i < 20; ++i) {
    attempts.push_back(Send("/hold", std::to_string(i)));
  }
  const auto cancelled = Send("/never", "n");
  WaitUntil([&] { return mServer.Requests().size() == 3; });
  mPool->Cancel(cancelled->handle);
  const auto result = cancelled->result.get_future().get();
  EXPECT_EQ(result.error, SendError::CancelledUnsent);
  EXPECT_FALSE(result.byteWritten);
  mServer.ReleaseHeldRequests();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(attempts[i]->result.get_future().get().body, std::to_string(i));
  }
  EXPECT_EQ(mServer.MaxOpenConnections(), 3);
  EXPECT_EQ(mServer.Requests().size(), 20U);
}

// Guards against a byte that is written after the lease has expired: the owner
// checks its lease in `maySend`.
TEST_F(ServerPoolTest, VetoedRequestWritesNoByte)
{
  OpenPool(mServer.Address());
  const auto attempt =
    Send("/", "v", std::chrono::hours(1), [] { return false; });
  const auto result = attempt->result.get_future().get();
  EXPECT_EQ(result.error, SendError::Vetoed);
  EXPECT_FALSE(result.byteWritten);
  EXPECT_EQ(attempt->ended.get_future().get(), AttemptEnd::NotSent);
  EXPECT_EQ(Send("/", "w")->result.get_future().get().body, "w");
  EXPECT_EQ(mServer.Requests(), std::vector<std::string>{ "POST /" });
}

// Guards against a request that is not reported as "not run" although no
// connection could be opened for it.
TEST_F(ServerPoolTest, FailedConnectWritesNoByte)
{
  unsigned short port = 0;
  {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
      context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    port = acceptor.local_endpoint().port();
  }
  OpenPool("127.0.0.1:" + std::to_string(port));
  const auto result = Send("/", "f")->result.get_future().get();
  EXPECT_EQ(result.error, SendError::ConnectFailed);
  EXPECT_FALSE(result.byteWritten);
}

// Guards against a pool that does not report the lost idle connection of a
// restarted server, or can't use the server afterwards.
TEST_F(ServerPoolTest, ReconnectsAfterAnIdleConnectionBroke)
{
  OpenPool(mServer.Address());
  for (int i = 1; i <= 3; ++i) {
    const auto body = std::to_string(i);
    const auto attempt = Send("/answer-then-close", body);
    EXPECT_EQ(attempt->result.get_future().get().body, body);
    WaitUntil([&] { return mLostIdleConnections == i; });
  }
  EXPECT_EQ(mLostBusyConnections, 0);
}

// Guards against a request that never ends because its pool was closed.
TEST_F(ServerPoolTest, ClosingThePoolEndsEveryRequest)
{
  OpenPool(mServer.Address());
  const auto attempt = Send("/hold", "h");
  WaitUntil([&] { return !mServer.Requests().empty(); });
  mPool->Close();
  EXPECT_EQ(attempt->result.get_future().get().error, SendError::PoolClosed);
  EXPECT_EQ(attempt->ended.get_future().get(), AttemptEnd::ConnectionLost);
  EXPECT_EQ(Send("/", "i")->result.get_future().get().error,
            SendError::PoolClosed);
}

// Prints the CPU time of a round trip, and guards against a response that
// reaches another request under load.
TEST_F(ServerPoolTest, CpuTimeOfARoundTrip)
{
  constexpr int kRequests = 5000;
  OpenPool(mServer.Address());
  const auto body = std::make_shared<const std::string>(200, 'q');
  std::promise<std::pair<timespec, timespec>> done;
  timespec begin{};
  int responses = 0;
  int echoed = 0;
  std::function<void()> send = [&] {
    SendRequest request;
    request.target = "/v1/shards/shard-00/search";
    request.headers = { { "x-index-version", "3" },
                        { "x-deadline-ms", "100" } };
    request.body = body;
    request.requestId = std::to_string(responses);
    request.deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(60);
    request.maySend = [] { return true; };
    request.onResult = [&](SendResult&& aResult) {
      echoed += aResult.body == *body ? 1 : 0;
      if (++responses == 100) {
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &begin);
      }
      if (responses < kRequests + 100) {
        send();
        return;
      }
      timespec end{};
      clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
      done.set_value({ begin, end });
    };
    mPool->AsyncSend(std::move(request));
  };
  boost::asio::post(mContext, send);
  const auto [from, to] = done.get_future().get();
  const auto ns =
    (to.tv_sec - from.tv_sec) * 1000000000LL + (to.tv_nsec - from.tv_nsec);
  std::printf("ServerPool: %.1f us of CPU per round trip, 200 byte bodies\n",
              static_cast<double>(ns) / 1000 / kRequests);
  EXPECT_EQ(echoed, kRequests + 100);
}

} // namespace
} // namespace bronzedeal::connection
