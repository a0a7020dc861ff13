#include "support.hpp"

#include "bronzedeal/gateway/http_listener.hpp"

#include <gtest/gtest.h>

namespace bronzedeal::gateway::test {

namespace {

/// A listener and one caller's connection to it.
struct Connected : TestGateway
{
  explicit Connected(RequestHandler aHandler)
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

  /// Reads until the text has come or the connection ends.
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

RequestHandler Echo()
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
  void Cancel() override { mCancelled = true; }

private:
  bool& mCancelled;
};

} // namespace

// Guards against bodies in chunks that are cut or joined wrongly.
TEST(HttpListener, ReadsBodiesWithALengthAndInChunks)
{
  Connected world(Echo());
  world.Send("POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n"
             "Content-Length: 3\r\n\r\nabc");
  EXPECT_NE(world.ReadUntil("abc|1").find("200"), std::string::npos);
  world.Send(
    "POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 2\r\n"
    "Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n");
  EXPECT_NE(world.ReadUntil("def|2").find("def|2"), std::string::npos);
}

// Guards against answers out of order or lost when requests are pipelined.
TEST(HttpListener, AnswersPipelinedRequestsInOrder)
{
  Connected world(Echo());
  world.Send("GET /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n"
             "GET /b HTTP/1.1\r\nHost: h\r\nX-Request-Id: 2\r\n\r\n");
  const auto got = world.ReadUntil("|2");
  EXPECT_LT(got.find("|1"), got.find("|2"));
}

// Guards against a request that is smuggled behind contradictory lengths.
TEST(HttpListener, RejectsContradictoryLengths)
{
  Connected world(Echo());
  world.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n"
             "Host: h\r\nX-Request-Id: 2\r\n\r\n");
  const auto got = world.ReadUntil("never");
  EXPECT_EQ(got.find("|2"), std::string::npos);
  EXPECT_NE(got.find("HTTP/1.1 400"), std::string::npos);
}

// Guards against requests above the limits in force.
TEST(HttpListener, RejectsWhatIsOverTheLimits)
{
  Connected world(Echo());
  CallerLimits limits;
  limits.bodyBytes = 4;
  world.listener.SetLimits(limits);
  world.RunUntil([&] { return world.listener.ConnectionCount() == 1; });
  world.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
  EXPECT_NE(world.ReadUntil("ab|").find("200"), std::string::npos);
  world.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde");
  EXPECT_NE(world.ReadUntil("413").find("413"), std::string::npos);
}

// Guards against work that goes on for a caller that has left.
TEST(HttpListener, AbandonsTheExchangeOfACallerThatLeaves)
{
  bool abandoned = false;
  bool started = false;
  Connected world([&](const CallerRequest&, const ReplyHandler&) {
    started = true;
    return std::make_shared<CancelRecorder>(abandoned);
  });
  world.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  world.RunUntil([&] { return started; });
  world.socket.close();
  world.RunUntil([&] { return abandoned; });
  EXPECT_TRUE(abandoned);
  EXPECT_EQ(world.listener.BusyConnectionCount(), 0U);
}

// Guards against a stop that cuts a request off or leaves callers waiting.
TEST(HttpListener, FinishesRequestsWhileItDrains)
{
  ReplyHandler pending;
  Connected world([&](const CallerRequest&, ReplyHandler aReply) {
    pending = std::move(aReply);
    return nullptr;
  });
  world.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  world.RunUntil([&] { return pending != nullptr; });
  world.listener.BeginDrain();
  world.listener.StopAccepting();
  world.listener.CloseIdleConnections();
  EXPECT_EQ(world.listener.BusyConnectionCount(), 1U);
  pending(CallerReply{ 200, "OK", "", "done" });
  const auto got = world.ReadUntil("done");
  EXPECT_NE(got.find("Connection: close"), std::string::npos);
  EXPECT_NE(got.find("done"), std::string::npos);
  EXPECT_EQ(world.listener.ConnectionCount(), 0U);
}

} // namespace bronzedeal::gateway::test
