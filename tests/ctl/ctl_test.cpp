#include "../../tools/ctl/ctl.hpp"

#include "../../tools/ctl/render.hpp"
#include "../../tools/ctl/request_log.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <sstream>
#include <thread>

namespace bronzedeal::ctl {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using Request = http::request<http::string_body>;

/// Answers each connection's one request by a function that gives the HTTP
/// status and the body.
class StandIn
{
public:
  using Answer =
    std::function<std::pair<unsigned, std::string>(const Request&)>;

  explicit StandIn(Answer aAnswer)
    : mAcceptor(mContext, { asio::ip::address_v4::loopback(), 0 })
    , mThread([this, answer = std::move(aAnswer)] { Serve(answer); })
  {
  }
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;
  ~StandIn()
  {
    mStop = true;
    asio::ip::tcp::socket(mContext).connect(mAcceptor.local_endpoint());
    mThread.join();
  }

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

private:
  void Serve(const Answer& aAnswer)
  {
    while (true) {
      auto socket = mAcceptor.accept();
      if (mStop) {
        return;
      }
      boost::beast::flat_buffer buffer;
      Request request;
      boost::beast::error_code ec;
      http::read(socket, buffer, request, ec);
      const auto [status, body] = aAnswer(request);
      http::response<http::string_body> response;
      response.result(status);
      response.body() = body;
      response.prepare_payload();
      http::write(socket, response, ec);
    }
  }

  asio::io_context mContext;
  asio::ip::tcp::acceptor mAcceptor;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

struct Run
{
  int exit;
  std::string out;
  std::string err;
};

Run Ctl(const std::vector<std::string>& aArguments)
{
  std::ostringstream out;
  std::ostringstream err;
  const int exit = RunCtl(aArguments, out, err);
  return { exit, out.str(), err.str() };
}

const std::string kExample = BRONZEDEAL_SOURCE_DIR "/examples/config.json";

// Guards against scripts that take a wrong command line or a failure for
// success.
TEST(Ctl, ExitCodesTellErrorsApart)
{
  for (const auto& it : std::vector<std::vector<std::string>>{
         {},
         { "stop" },
         { "status" },
         { "status", "--colour" },
         { "status", "-i" },
         { "validate" },
         { "withdrawal", "-i", "127.0.0.1:1" },
         { "withdrawal", "-i", "127.0.0.1:1", "--version", "0" },
         { "withdrawal", "-i", "127.0.0.1:1", "--version", "x" },
         { "withdrawal",
           "-i",
           "a:1",
           "--version",
           "1",
           "--wait-timeout-ms",
           "5" },
         { "audit", "-i", "127.0.0.1:1", "--after", "-1" },
         { "explain", "-c", "a=b" },
         { "explain", "--file", kExample, "-i", "127.0.0.1:1" },
         { "explain", "--file", kExample, "-c", "customer" },
         { "explain", "--file", kExample, "-c", "a=b,a=c" } }) {
    const auto run = Ctl(it);
    EXPECT_EQ(run.exit, kExitUsage);
    EXPECT_FALSE(run.err.empty());
    EXPECT_TRUE(run.out.empty());
  }
  // Port 1 has no listener.
  EXPECT_EQ(Ctl({ "status", "-i", "127.0.0.1:1" }).exit, kExitFailed);
  EXPECT_EQ(Ctl({ "audit", "-i", "no-port" }).exit, kExitFailed);
  EXPECT_EQ(Ctl({ "validate", "/nonexistent" }).exit, kExitFailed);
  EXPECT_EQ(Ctl({ "--help" }).exit, kExitOk);
  EXPECT_EQ(Ctl({ "withdrawal", "--help" }).exit, kExitOk);
  EXPECT_NE(Ctl({ "--version" }).out.find(BRONZEDEAL_VERSION),
            std::string::npos);
}

// Guards against a check that differs from the daemon's.
// Guards against lines of other requests, and of several instances out of
// order, in the explanation of one.
TEST(Ctl, ExplainsARequestFromLogs)
{
  std::istringstream logs(
    "12.0 gw-b {\"time_ms\":1020,\"event\":\"request_end\",\"instance\":"
    "\"gw-b\",\"request\":\"r1\",\"status\":504}\n"
    "not a line of a log\n"
    "{\"time_ms\":1000,\"event\":\"attempt_failed\",\"instance\":\"gw-a\","
    "\"request\":\"r1\",\"fault\":\"broken\"}\n"
    "{\"time_ms\":1001,\"event\":\"attempt_failed\",\"instance\":\"gw-a\","
    "\"request\":\"r2\",\"fault\":\"refused\"}\n{\"broken\n");
  std::ostringstream out;
  EXPECT_EQ(PrintRequestLog(logs, "r1", out), 2U);
  EXPECT_EQ(out.str(),
            "      0 ms  gw-a  attempt_failed  fault=\"broken\"\n"
            "     20 ms  gw-b  request_end  status=504\n");
}

TEST(Ctl, ValidatesADocument)
{
  const auto valid = Ctl({ "validate", kExample, "--json" });
  EXPECT_EQ(valid.exit, kExitOk);
  EXPECT_EQ(json::parse(valid.out).at("version"), 12);
  const auto invalid =
    Ctl({ "validate", "--json", BRONZEDEAL_SOURCE_DIR "/README.md" });
  EXPECT_EQ(invalid.exit, kExitFailed);
  EXPECT_EQ(json::parse(invalid.err).at("code_name"), "InvalidConfiguration");
}

// Guards against a different explanation offline and by an instance, and
// against labels lost on the way.
TEST(Ctl, ExplainsOfflineAndByAnInstance)
{
  const auto offline = Ctl({ "explain",
                             "--file",
                             kExample,
                             "--caller",
                             "customer=gaonsan",
                             "--request",
                             "kind=search",
                             "--json" });
  EXPECT_EQ(offline.exit, kExitOk);
  json::value body;
  std::string target;
  StandIn instance([&](const Request& aRequest) {
    body = json::parse(aRequest.body());
    target = aRequest.target();
    return std::pair{ 200U, offline.out };
  });
  const auto online = Ctl({ "explain",
                            "-i",
                            instance.Address(),
                            "-c",
                            "customer=gaonsan,role=buyer",
                            "-r",
                            "kind=search" });
  EXPECT_EQ(online.exit, kExitOk) << online.err;
  EXPECT_EQ(target, "/v1/explain");
  EXPECT_EQ(body,
            json::parse(R"({"caller":{"customer":"gaonsan","role":"buyer"},
                            "request":{"kind":"search"}})"));
  EXPECT_NE(online.out.find("gaonsan-search: `state!=out` fails"),
            std::string::npos);
}

// Guards against a script that goes on before a withdrawal is complete, and
// against a wait that one silent instance ends.
TEST(Ctl, WithdrawalWaitsUntilComplete)
{
  std::atomic<int> asked{ 0 };
  StandIn instance([&](const Request& aRequest) {
    EXPECT_EQ(aRequest.target(), "/v1/withdrawal?version=7");
    return std::pair{ 200U,
                      std::string(
                        ++asked < 3
                          ? R"({"version":7,"complete":false,"claimed_at":null,
                "waiting":[{"instance":"entry-4","reason":"silent",
                            "since_ms":40}],
                "counts":[{"instance":"entry-4","version":6,"selector":"s",
                           "failure_domain":"fd-a","kind":"queued",
                           "count":3}]})"
                          : R"({"version":7,"complete":true,"claimed_at":"now",
                "waiting":[],"counts":[]})") };
  });
  const std::vector<std::string> arguments = {
    "withdrawal", "-i", "127.0.0.1:1", "-i", instance.Address(),
    "--version",  "7"
  };
  const auto once = Ctl(arguments);
  EXPECT_EQ(once.exit, kExitNotComplete);
  EXPECT_NE(once.out.find("entry-4"), std::string::npos);
  auto waiting = arguments;
  waiting.emplace_back("--wait");
  const auto run = Ctl(waiting);
  EXPECT_EQ(run.exit, kExitOk);
  EXPECT_EQ(run.err, "version 7: waiting for entry-4; 3 unfinished\n");
  EXPECT_EQ(asked, 3);
}

// Guards against an endless wait for a call that every instance refuses.
TEST(Ctl, WithdrawalEndsOnRefusal)
{
  StandIn instance([](const Request&) {
    return std::pair{ 400U,
                      std::string(R"({"code":103,"code_name":"InvalidField",
        "message":"m","errors":[{"pointer":"/version","seen":"9",
        "allowed":"at most 8"}]})") };
  });
  const auto run =
    Ctl({ "withdrawal", "-i", instance.Address(), "--version", "9", "--wait" });
  EXPECT_EQ(run.exit, kExitFailed);
  EXPECT_NE(run.err.find("/version: found 9; allowed: at most 8"),
            std::string::npos);
}

// Guards against an instance that accepts and never answers, as a paused
// process does, blocking the operator.
TEST(Ctl, GivesUpOnASilentInstance)
{
  asio::io_context context;
  const asio::ip::tcp::acceptor silent(context,
                                       { asio::ip::address_v4::loopback(), 0 });
  const auto run =
    Ctl({ "status",
          "-i",
          "127.0.0.1:" + std::to_string(silent.local_endpoint().port()),
          "--timeout-ms",
          "50" });
  EXPECT_EQ(run.exit, kExitFailed);
  EXPECT_NE(run.out.find("read: "), std::string::npos) << run.out;
}

// Guards against answers that are attributed to the wrong instance, and against
// a crash on answers that are no JSON.
TEST(Ctl, StatusAsksAllMembers)
{
  StandIn second([](const Request&) {
    return std::pair{ 200U, std::string(R"({"instance":"entry-1","fenced":true,
        "config_version":4,"config_hash":"0123456789"})") };
  });
  StandIn first([&](const Request&) {
    return std::pair{ 200U,
                      R"({"instance":"entry-0","slices":["fd-a/0"],"members":[
        {"id":"entry-1","status":"alive","admin":")" +
                        second.Address() + R"("},
        {"id":"entry-2","status":"dead","admin":"127.0.0.1:1"}]})" };
  });
  StandIn broken([](const Request&) {
    return std::pair{ 200U, std::string("<html>") };
  });
  const auto run = Ctl({ "status",
                         "--all",
                         "--json",
                         "-i",
                         broken.Address(),
                         "-i",
                         first.Address() });
  EXPECT_EQ(run.exit, kExitFailed);
  const auto value = json::parse(run.out);
  ASSERT_EQ(value.at("instances").as_array().size(), 3U);
  EXPECT_EQ(value.at_pointer("/instances/0/error/code_name"), "IoError");
  EXPECT_EQ(value.at_pointer("/instances/1/state/instance"), "entry-0");
  EXPECT_EQ(value.at_pointer("/instances/2/state/instance"), "entry-1");
  EXPECT_NE(Ctl({ "status", "-i", second.Address() }).out.find("01234567"),
            std::string::npos);
}

// Guards against an order in which effects precede their causes: by version
// before time, and never against an instance's own sequence.
TEST(Ctl, AuditMergesInCausalOrder)
{
  const auto trails = json::parse(R"([
    {"events":[
      {"sequence":1,"time":"10:00:01","instance":"a","config_version":1},
      {"sequence":2,"time":"10:00:05","instance":"a","config_version":2},
      {"sequence":3,"time":"10:00:02","instance":"a","config_version":2}]},
    {"events":[
      {"sequence":7,"time":"10:00:09","instance":"b","config_version":1},
      {"sequence":8,"time":"10:00:04","instance":"b","config_version":2},
      {"sequence":9,"time":"10:00:06","instance":"b","config_version":2}]},
    {}])");
  std::string order;
  for (const auto& it :
       MergeEvents({ trails.as_array().begin(), trails.as_array().end() })) {
    order += Field(it, "instance") + Field(it, "sequence") + " ";
  }
  EXPECT_EQ(order, "a1 b7 b8 a2 a3 b9 ");
}

} // namespace
} // namespace bronzedeal::ctl
