#include "bronzedeal/daemon/operation_service.hpp"
#include "bronzedeal/peer.pb.h"
#include "support.hpp"

#include <boost/json/parse.hpp>
#include <fmt/format.h>

namespace bronzedeal::daemon {
namespace {

/// Instance `entry-0`, incarnation 7, with its services; it owns `svc-a`.
/// Peer `entry-1` is connected and never answers, `entry-2` is a member that
/// the transport doesn't know, `entry-3` has restarted as incarnation 9.
class OperationTest : public testing::Test
{
protected:
  OperationTest()
    : mRemote({ .self = "entry-1", .incarnation = 1 })
    , mTransport({ .self = "entry-0", .incarnation = 7 })
  {
    mRemote.SetMessageHandler([this](peer::Envelope&& aEnvelope) {
      const std::lock_guard lock(mMutex);
      mForwards.push_back(aEnvelope.ticket_forward().forward_id());
    });
    const auto port = mRemote.Listen("127.0.0.1:0");
    mTransport.SetPeers(
      { { "entry-1", "127.0.0.1:" + std::to_string(port.value()) } });
    auto view = std::make_shared<FleetView>();
    view->ready = true;
    view->fenced = false;
    view->owners = { { mOwner.Slice(), "entry-0" } };
    for (const auto& [id, incarnation] :
         { std::pair{ "entry-1", 1U }, { "entry-2", 1U }, { "entry-3", 9U } }) {
      process::Member member;
      member.id = id;
      member.incarnation = incarnation;
      view->members.push_back(std::move(member));
    }
    mFleet.Store(std::move(view));
    mRouter.SetResultHandler(
      [this](request::AttemptId aAttempt, OwnerResult aResult) {
        mOperations.OnResult(aAttempt, std::move(aResult));
      });
  }

  std::string Ticket()
  {
    std::string body;
    mOperations.HandleTicket(
      "{}", [&](const HttpResponse& aReply) { body = aReply.body; });
    return std::string(boost::json::parse(body).at("ticket").as_string());
  }

  /// The id of the n-th forward that `entry-1` received, from 0.
  std::uint64_t ForwardAt(std::size_t aForward)
  {
    WaitFor([&] {
      const std::lock_guard lock(mMutex);
      return mForwards.size() > aForward;
    });
    const std::lock_guard lock(mMutex);
    return mForwards[aForward];
  }

  static std::string BodyOf(const std::string& aTicket,
                            const std::string& aShard,
                            int aContent)
  {
    return fmt::format(R"({{"ticket":"{}","caller":{{"customer":"x"}},)"
                       R"("request":{{"kind":"reserve"}},"shard":"{}",)"
                       R"("operation":{{"operation_result":{}}},)"
                       R"("deadline_ms":10000}})",
                       aTicket,
                       aShard,
                       aContent);
  }

  /// Sends an operation; the future holds the answer's body.
  std::future<std::string> Run(const std::string& aTicket,
                               const std::string& aShard = "shard-0",
                               int aContent = 1)
  {
    const auto promise = std::make_shared<std::promise<std::string>>();
    mOperations.HandleOperation(BodyOf(aTicket, aShard, aContent),
                                [promise](const HttpResponse& aReply) {
                                  promise->set_value(aReply.body);
                                });
    return promise->get_future();
  }

  static std::int64_t CodeOf(const std::string& aBody)
  {
    return boost::json::parse(aBody).at("code").as_int64();
  }

  static std::int64_t Number(ResultCode aCode)
  {
    return static_cast<std::int64_t>(aCode);
  }

  FakeHttpServer mServer;
  Owner mOwner{ mServer.Address() };
  process::Settings mSettings{ .instance = "entry-0" };
  process::Metrics mMetrics;
  FleetViewHolder mFleet;
  std::mutex mMutex;
  std::vector<std::uint64_t> mForwards;
  connection::PeerTransport mRemote;
  connection::PeerTransport mTransport;
  AttemptRouter mRouter{ "entry-0",       7,          mFleet,
                         mOwner.executor, mTransport, mOwner.ledger,
                         mMetrics };
  QueryService mQueries{ mOwner.context, mSettings, mOwner.snapshots,
                         mFleet,         mRouter,   mOwner.ledger,
                         mMetrics };
  OperationService mOperations{ mOwner.context,   mSettings,  7,
                                mOwner.snapshots, mFleet,     mRouter,
                                mQueries,         mTransport, mOwner.ledger,
                                mMetrics };
};

// Guards against a second run of an operation that another run of this
// instance, or a member that has restarted or left, may have executed.
TEST_F(OperationTest, TicketOfAnotherIncarnationIsUnknown)
{
  for (const auto* ticket :
       { "entry-0.6.1", "entry-0.8.1", "entry-3.8.1", "gone.1.1" }) {
    EXPECT_EQ(Number(ResultCode::OutcomeUnknownIssuerGone),
              CodeOf(Run(ticket).get()))
      << ticket;
  }
  EXPECT_TRUE(mServer.Requests().empty());
}

// Guards against a resent operation that runs again or gets another outcome.
TEST_F(OperationTest, DuplicateGetsTheRecordedOutcome)
{
  const auto ticket = Ticket();
  const auto first = Run(ticket).get();
  EXPECT_EQ(Number(ResultCode::Ok), CodeOf(first));
  EXPECT_EQ(1, boost::json::parse(first).at("result").as_int64());
  EXPECT_EQ(first, Run(ticket).get());
  EXPECT_EQ(Number(ResultCode::InvalidTicket),
            CodeOf(Run(ticket, "shard-0", 2).get()));
  EXPECT_EQ(1U, mServer.Requests().size());
}

// Guards against a duplicate that starts a second run while the first one is
// in progress.
TEST_F(OperationTest, DuplicateWaitsForTheRunningOperation)
{
  const auto ticket = Ticket();
  auto first = Run(ticket, "hold");
  auto second = Run(ticket, "hold");
  WaitFor([&] { return mServer.Requests().size() == 1; });
  mServer.ReleaseHeldRequests();
  const auto body = first.get();
  EXPECT_EQ(Number(ResultCode::Ok), CodeOf(body));
  EXPECT_EQ(body, second.get());
  EXPECT_EQ(1U, mServer.Requests().size());
}

// Guards against a second run after the server closed the connection during the
// first one.
TEST_F(OperationTest, RepeatAfterALostServerStaysUnknown)
{
  const auto ticket = Ticket();
  EXPECT_EQ(Number(ResultCode::OutcomeUnknown),
            CodeOf(Run(ticket, "close").get()));
  EXPECT_EQ(Number(ResultCode::OutcomeUnknown),
            CodeOf(Run(ticket, "close").get()));
  EXPECT_EQ(1U, mServer.Requests().size());
}

// Guards against a forward that can't be sent and ends another forward too.
TEST_F(OperationTest, UnsentForwardEndsAlone)
{
  auto other = Run("entry-1.1.1");
  EXPECT_EQ(Number(ResultCode::OutcomeUnknown),
            CodeOf(Run("entry-2.1.1").get()));
  EXPECT_EQ(1U, mOperations.InProgressCount());
  mOperations.OnPeerDisconnected("entry-2");
  EXPECT_EQ(1U, mOperations.InProgressCount());
  mOperations.OnPeerDisconnected("entry-1");
  EXPECT_EQ(Number(ResultCode::OutcomeUnknown), CodeOf(other.get()));
}

// Guards against an outcome that completes another operation: it belongs to a
// forward from before this instance's restart, or comes from another peer.
TEST_F(OperationTest, IgnoresOutcomesOfOtherForwards)
{
  auto answer = Run("entry-1.1.1");
  peer::TicketOutcome outcome;
  outcome.set_code(static_cast<int>(ResultCode::NotRunShed));
  // The first forward of incarnation 8 of this instance.
  OperationService later{ mOwner.context, mSettings, 8,        mOwner.snapshots,
                          mFleet,         mRouter,   mQueries, mTransport,
                          mOwner.ledger,  mMetrics };
  const auto number = ForwardAt(0);
  outcome.set_forward_id(number);
  mOperations.OnOutcome("entry-2", outcome);
  EXPECT_EQ(1U, mOperations.InProgressCount());
  later.HandleOperation(BodyOf("entry-1.1.1", "shard-0", 1),
                        [](const HttpResponse&) {});
  EXPECT_NE(number, ForwardAt(1));
  later.OnOutcome("entry-1", outcome);
  EXPECT_EQ(1U, later.InProgressCount());
  mOperations.OnOutcome("entry-1", outcome);
  EXPECT_EQ(Number(ResultCode::NotRunShed), CodeOf(answer.get()));
}

} // namespace
} // namespace bronzedeal::daemon
