#include "support.hpp"

#include "bronzedeal/gateway/connection_options.hpp"
#include "bronzedeal/gateway/http_listener.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace bronzedeal::gateway::test {

namespace {

/// A listener and one client connection to it.
struct ListenerFixture : TestGateway
{
  explicit ListenerFixture(RequestHandler aHandler)
    : listener(process,
               { asio::ip::address_v4::loopback(), 0 },
               std::move(aHandler))
    , socket(process.context)
  {
    socket.connect(listener.Address());
  }

  void Send(const std::string& aBytes)
  {
    asio::write(socket, asio::buffer(aBytes));
  }

  /// Reads until the text has arrived or the connection ends.
  std::string ReadUntil(const std::string& aText)
  {
    socket.non_blocking(true);
    std::string got;
    bool ended = false;
    RunUntil([&] {
      std::array<char, 4096> buf{};
      boost::system::error_code ec;
      const auto n = socket.read_some(asio::buffer(buf), ec);
      got.append(buf.data(), n);
      ended = ec && ec != asio::error::would_block;
      return ended || got.find(aText) != std::string::npos;
    });
    return got;
  }

  HttpListener listener;
  tcp::socket socket;
};

RequestHandler EchoHandler()
{
  return [](const CallerRequest& aRequest, const ReplyHandler& aReply) {
    CallerReply reply;
    reply.body = aRequest.message.body() + "|" + aRequest.requestId;
    aReply(std::move(reply));
    return nullptr;
  };
}

class CancelRecorder : public Exchange
{
public:
  explicit CancelRecorder(bool& aCancelled)
    : mCancelled(aCancelled)
  {
  }
  void Conclude() override {}
  void Cancel() override { mCancelled = true; }

private:
  bool& mCancelled;
};

} // namespace

// Guards against truncated or wrongly joined chunked bodies.
TEST(HttpListener, ReadsBodiesWithContentLengthAndInChunks)
{
  ListenerFixture fixture(EchoHandler());
  fixture.Send("POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n"
               "Content-Length: 3\r\n\r\nabc");
  EXPECT_NE(fixture.ReadUntil("abc|1").find("200"), std::string::npos);
  fixture.Send(
    "POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 2\r\n"
    "Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n");
  EXPECT_NE(fixture.ReadUntil("def|2").find("def|2"), std::string::npos);
}

// Guards against lost or reordered replies to pipelined requests.
TEST(HttpListener, AnswersPipelinedRequestsInOrder)
{
  ListenerFixture fixture(EchoHandler());
  fixture.Send("GET /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n"
               "GET /b HTTP/1.1\r\nHost: h\r\nX-Request-Id: 2\r\n\r\n");
  const auto got = fixture.ReadUntil("|2");
  EXPECT_LT(got.find("|1"), got.find("|2"));
}

// Guards against request smuggling through contradictory body lengths.
TEST(HttpListener, RejectsContradictoryLengths)
{
  ListenerFixture fixture(EchoHandler());
  fixture.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n"
               "Host: h\r\nX-Request-Id: 2\r\n\r\n");
  const auto got = fixture.ReadUntil("never");
  EXPECT_EQ(got.find("|2"), std::string::npos);
  EXPECT_NE(got.find("HTTP/1.1 400"), std::string::npos);
}

// Guards against request smuggling: what follows a body of unknown framing must
// not be read as a request.
TEST(HttpListener, RejectsBodiesOfUnknownFraming)
{
  for (const std::string framing :
       { "Transfer-Encoding: gzip",
         "Transfer-Encoding: identity",
         "Transfer-Encoding: gzip, chunked",
         "Transfer-Encoding: chunked, gzip",
         "Transfer-Encoding: xchunked",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
         "Transfer-Encoding:",
         "Content-Length: 2\r\nContent-Length: 3",
         "Content-Length: 2, 3",
         "Content-Length: +2",
         "Content-Length: 0x2" }) {
    ListenerFixture fixture(EchoHandler());
    fixture.Send("POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n" +
                 framing +
                 "\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n"
                 "X-Request-Id: 2\r\n\r\n");
    const auto got = fixture.ReadUntil("never");
    EXPECT_EQ(got.find("|1"), std::string::npos) << framing << '\n' << got;
    EXPECT_EQ(got.find("|2"), std::string::npos) << framing << '\n' << got;
    EXPECT_NE(got.find("HTTP/1.1 400"), std::string::npos) << framing;
  }
}

// Guards against accepting requests above the configured limits.
TEST(HttpListener, RejectsABodyOverTheLimit)
{
  ListenerFixture fixture(EchoHandler());
  CallerLimits limits;
  limits.bodyBytes = 4;
  fixture.listener.SetLimits(limits);
  fixture.RunUntil([&] { return fixture.listener.ConnectionCount() == 1; });
  fixture.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
  EXPECT_NE(fixture.ReadUntil("ab|").find("200"), std::string::npos);
  fixture.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde");
  EXPECT_NE(fixture.ReadUntil("413").find("413"), std::string::npos);
}

// Guards against requests that are judged by the limits that were in force when
// the request before them ended, or the connection was accepted.
TEST(HttpListener, AppliesTheLimitsThatAreInForceWhenARequestBegins)
{
  ListenerFixture fixture(EchoHandler());
  const auto post = [&](std::size_t aSize) {
    fixture.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                 std::to_string(aSize) + "\r\n\r\n" + std::string(aSize, 'x'));
  };
  CallerLimits limits;
  limits.bodyBytes = 10;
  fixture.listener.SetLimits(limits);
  post(10);
  EXPECT_NE(fixture.ReadUntil("|").find("200"), std::string::npos);
  limits.bodyBytes = 100;
  fixture.listener.SetLimits(limits);
  post(100);
  EXPECT_NE(fixture.ReadUntil("|").find("200"), std::string::npos);
  limits.bodyBytes = 10;
  fixture.listener.SetLimits(limits);
  post(11);
  EXPECT_NE(fixture.ReadUntil("read").find("413"), std::string::npos);
}

// Guards against connections that are closed by a former idle timeout while
// callers rely on the longer one in force.
TEST(HttpListener, KeepsIdleConnectionsForTheTimeoutInForce)
{
  ListenerFixture fixture(EchoHandler());
  CallerLimits limits;
  limits.idleTimeout = milliseconds(300);
  fixture.listener.SetLimits(limits);
  fixture.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_NE(fixture.ReadUntil("|").find("200"), std::string::npos);
  limits.idleTimeout = milliseconds(5000);
  fixture.listener.SetLimits(limits);
  const auto until = std::chrono::steady_clock::now() + milliseconds(600);
  fixture.RunUntil([&] { return std::chrono::steady_clock::now() > until; });
  fixture.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_NE(fixture.ReadUntil("|").find("200"), std::string::npos);
}

/// Two clients of a listener with short timeouts. A request for `/delay` of the
/// second one delays the event loop beyond them, while the first one sends
/// `sentMeanwhile`; timers run before the loop reads that.
struct DelayedLoopFixture : ListenerFixture
{
  static constexpr milliseconds kTimeout{ 1500 };

  DelayedLoopFixture()
    : ListenerFixture(
        [this](const CallerRequest& aRequest, const ReplyHandler& aReply) {
          if (aRequest.message.target() == "/delay") {
            Send(sentMeanwhile);
            std::this_thread::sleep_for(kTimeout);
          }
          aReply(TextReply(200, "end"));
          return nullptr;
        })
    , delayer(process.context)
  {
    CallerLimits limits;
    limits.idleTimeout = kTimeout;
    limits.headerTimeout = kTimeout;
    listener.SetLimits(limits);
    delayer.connect(listener.Address());
    Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(ReadUntil("end").find("200"), std::string::npos);
    RunUntil([&] { return listener.ConnectionCount() == 2; });
  }

  /// Sends the first part of a request, and waits until it has been read.
  void SendFirstPart(const std::string& aBytes)
  {
    Send(aBytes);
    const auto end = std::chrono::steady_clock::now() + kTimeout / 10;
    RunUntil([&] { return std::chrono::steady_clock::now() > end; });
  }

  /// Makes the request and a timer ready in the same turn of the event loop,
  /// and returns what the first client gets.
  std::string DelayAndRead()
  {
    asio::write(
      delayer,
      asio::buffer(std::string_view("GET /delay HTTP/1.1\r\nHost: h\r\n\r\n")));
    process.timers.Schedule(std::chrono::steady_clock::now(), [] {});
    return ReadUntil("end");
  }

  tcp::socket delayer;
  std::string sentMeanwhile;
};

// Guards against requests that are cut because the idle timeout is handled
// before what arrived during a delay of the event loop.
TEST(HttpListener, ReadsBeforeItClosesAnIdleConnection)
{
  DelayedLoopFixture fixture;
  fixture.sentMeanwhile = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  EXPECT_NE(fixture.DelayAndRead().find("200"), std::string::npos);
}

// Guards against a 408 for requests whose rest arrived in time, during a delay
// of the event loop.
TEST(HttpListener, ReadsTheRestBeforeItRejectsAnIncompleteRequest)
{
  // Larger than one read.
  constexpr std::size_t kBodyBytes = 50'000;
  DelayedLoopFixture fixture;
  fixture.SendFirstPart("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                        std::to_string(kBodyBytes) + "\r\n");
  fixture.sentMeanwhile = "\r\n" + std::string(kBodyBytes, 'x');
  EXPECT_NE(fixture.DelayAndRead().find("200"), std::string::npos);
}

// Guards against connections that bytes of an incomplete request keep open
// beyond the timeout.
TEST(HttpListener, RejectsARequestThatIsStillIncompleteAfterADelay)
{
  DelayedLoopFixture fixture;
  fixture.SendFirstPart("GET /a HTTP/1.1\r\n");
  fixture.sentMeanwhile = "Host: h\r\n";
  EXPECT_NE(fixture.DelayAndRead().find("408"), std::string::npos);
}

// Guards against answers to the first request on a connection that come too
// late, because the caller counts the connect as well.
TEST(HttpListener, EstimatesTheNetworkDelayOfTheCaller)
{
  std::vector<Duration> delays;
  ListenerFixture fixture(
    [&](const CallerRequest& aRequest, const ReplyHandler& aReply) {
      delays.push_back(aRequest.networkDelay);
      aReply(TextReply(200, "end"));
      return nullptr;
    });
  const auto roundTrip = RoundTripTime(fixture.socket);
  for (int n = 0; n < 2; ++n) {
    fixture.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(fixture.ReadUntil("end").find("200"), std::string::npos);
  }
  ASSERT_EQ(delays.size(), 2U);
  EXPECT_GT(roundTrip.count(), 0);
  EXPECT_GT(delays[0].count(), 0);
  EXPECT_GT(delays[1].count(), 0);
}

// Guards against a process that ends, or stops listening, because the handling
// of one request fails unexpectedly.
TEST(HttpListener, GoesOnAfterAnUnexpectedError)
{
  ListenerFixture fixture(
    [](const CallerRequest& aRequest, const ReplyHandler& aReply) {
      if (aRequest.message.target() == "/bad") {
        throw std::runtime_error("unexpected");
      }
      aReply(TextReply(200, "sound"));
      return nullptr;
    });
  fixture.Send("GET /bad HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_THROW(fixture.ReadUntil("HTTP"), std::runtime_error);
  fixture.process.context.restart();
  fixture.RunUntil([&] { return fixture.listener.ConnectionCount() == 0; });
  EXPECT_EQ(fixture.listener.ConnectionCount(), 0U);
  EXPECT_EQ(fixture.listener.BusyConnectionCount(), 0U);
  fixture.socket = tcp::socket(fixture.process.context);
  fixture.socket.connect(fixture.listener.Address());
  fixture.Send("GET /good HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_NE(fixture.ReadUntil("sound").find("200"), std::string::npos);
}

// Guards against timers that no longer run after one of them has failed.
TEST(TimerQueue, RunsTheOtherTimersAfterAnUnexpectedError)
{
  TestGateway fixture;
  bool hasRun = false;
  const auto now = std::chrono::steady_clock::now();
  fixture.process.timers.Schedule(
    now, [] { throw std::runtime_error("unexpected"); });
  fixture.process.timers.Schedule(now + milliseconds(1),
                                  [&] { hasRun = true; });
  EXPECT_THROW(fixture.RunUntil([&] { return hasRun; }), std::runtime_error);
  fixture.process.context.restart();
  fixture.RunUntil([&] { return hasRun; });
  EXPECT_TRUE(hasRun);
}

// Guards against a stated waiting time that overflows and so counts as passed.
TEST(HttpListener, AcceptsTheLongestStatedWaitingTime)
{
  std::optional<TimePoint> deadline;
  ListenerFixture fixture(
    [&](const CallerRequest& aRequest, const ReplyHandler& aReply) {
      deadline = aRequest.callerDeadline;
      aReply(TextReply(200, "end"));
      return nullptr;
    });
  fixture.Send("GET /a HTTP/1.1\r\nHost: h\r\n"
               "X-Time-Left-Ms: 9223372036854775807\r\n\r\n");
  fixture.ReadUntil("end");
  ASSERT_TRUE(deadline);
  EXPECT_GT(*deadline, std::chrono::steady_clock::now());
}

// Guards against continuing an exchange after the caller has disconnected.
TEST(HttpListener, CancelsTheExchangeWhenTheCallerDisconnects)
{
  bool abandoned = false;
  bool started = false;
  ListenerFixture fixture([&](const CallerRequest&, const ReplyHandler&) {
    started = true;
    return std::make_shared<CancelRecorder>(abandoned);
  });
  fixture.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.RunUntil([&] { return started; });
  fixture.socket.close();
  fixture.RunUntil([&] { return abandoned; });
  EXPECT_TRUE(abandoned);
  EXPECT_EQ(fixture.listener.BusyConnectionCount(), 0U);
}

// Guards against a shutdown that aborts a request in progress or keeps its
// connection open afterwards.
TEST(HttpListener, FinishesRequestsWhileDraining)
{
  ReplyHandler pending;
  ListenerFixture fixture([&](const CallerRequest&, ReplyHandler aReply) {
    pending = std::move(aReply);
    return nullptr;
  });
  fixture.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.RunUntil([&] { return pending != nullptr; });
  fixture.listener.BeginDrain();
  fixture.listener.StopAccepting();
  fixture.listener.CloseIdleConnections();
  EXPECT_EQ(fixture.listener.BusyConnectionCount(), 1U);
  pending(CallerReply{ 200, "OK", "", "done" });
  const auto got = fixture.ReadUntil("done");
  EXPECT_NE(got.find("Connection: close"), std::string::npos);
  EXPECT_NE(got.find("done"), std::string::npos);
  EXPECT_EQ(fixture.listener.ConnectionCount(), 0U);
}

} // namespace bronzedeal::gateway::test
